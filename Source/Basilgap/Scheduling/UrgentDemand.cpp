#include "Basilgap/Scheduling/UrgentDemand.h"

#include <algorithm>
#include <cmath>
#include <optional>

#include "Basilgap/Scheduling/Lateness.h"

namespace basilgap::scheduling {

namespace {

// Time in which a peak decays to about a third: bursts last some seconds.
constexpr double DecayTimeMs = 8000;

// How many tasks of the step can run at a time, if workers and the account's limit are otherwise
// unused. A gang runs as a whole or not at all.
int64_t placeableTasks(const schema::StepSpec &step, const std::string &pool,
    const schema::AccountConfig *account, const EmptyCapacity &capacity)
{
    int64_t tasks = capacity.maxTasks(pool, step);
    const auto limit = [&tasks](uint64_t cap, uint64_t needed) {
        if (cap > 0 && needed > 0)
            tasks = std::min(tasks, static_cast<int64_t>(cap / needed));
    };
    if (account != nullptr) {
        limit(account->millicores_cap(), step.millicores());
        limit(account->memory_mb_cap(), step.memory_mb());
        limit(account->accelerators_cap(), step.accelerators());
    }
    return step.gang() && tasks < static_cast<int64_t>(step.count()) ? 0 : tasks;
}

} // namespace

void UrgentDemand::Demand::decay(double factor)
{
    const state::Resources now = running + waitingDemand;
    peakMillicores = std::max(peakMillicores * factor, static_cast<double>(now.millicores));
    peakMemoryMb = std::max(peakMemoryMb * factor, static_cast<double>(now.memoryMb));
}

state::Resources UrgentDemand::Demand::headroom() const
{
    return { std::max<int64_t>(0, static_cast<int64_t>(peakMillicores) - running.millicores),
        std::max<int64_t>(0, static_cast<int64_t>(peakMemoryMb) - running.memoryMb), 0 };
}

void UrgentDemand::update(const state::WorkTable &table, const state::WorkConfigState &config,
    const EmptyCapacity &capacity, Millis now, uint64_t wallMs)
{
    for (auto &[account, demand] : accounts_)
        demand.running = demand.waitingDemand = {};
    for (auto &[pool, demand] : pools_)
        demand.running = demand.waitingDemand = {};
    for (const state::WorkSerial serial : table.active()) {
        const state::Work &work = *table.find(serial);
        const schema::QueueConfig *queue = config.findQueue(work.queue);
        if (queue != nullptr && queue->priority() < deferrablePriority_)
            addWork(work, *queue, config.findAccount(work.account), capacity, wallMs);
    }
    const double factor = std::exp(-static_cast<double>((now - observedAt_).count()) / DecayTimeMs);
    observedAt_ = now;
    for (auto &[pool, demand] : pools_)
        demand.decay(factor);
    for (auto &[account, demand] : accounts_)
        demand.decay(factor);
}

void UrgentDemand::addWork(const state::Work &work, const schema::QueueConfig &queue,
    const schema::AccountConfig *account, const EmptyCapacity &capacity, uint64_t wallMs)
{
    Demand &ofAccount = accounts_[work.account];
    Demand &ofPool = pools_[queue.pool()];
    for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
        std::optional<Lateness> lateness;
        for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
            const state::StepRef ref{ work.serial, occurrence, step };
            const state::WorkStep &state = work.stepAt(ref);
            const schema::StepSpec &spec = work.specOf(ref);
            // Services run permanently and are no part of a burst.
            if (state.isDone() || spec.service())
                continue;
            const state::Resources reservation = state::reservationOf(spec);
            ofAccount.running += reservation * state.running;
            ofPool.running += reservation * state.running;
            if (state.waiting == 0 || work.dueMs(occurrence) > wallMs || !work.isReady(ref))
                continue;
            if (!lateness)
                lateness = latenessOf(work, queue, occurrence, wallMs);
            if (lateness->isExpired())
                continue;
            const int64_t placeable = placeableTasks(spec, queue.pool(), account, capacity);
            const state::Resources waiting =
                reservation * std::min<int64_t>(state.waiting, placeable);
            ofAccount.waitingDemand += waiting;
            ofPool.waitingDemand += waiting;
        }
    }
}

state::Resources UrgentDemand::headroomFor(const state::AccountName &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? state::Resources() : found->second.headroom();
}

state::Resources UrgentDemand::poolHeadroom(const std::string &pool) const
{
    const auto found = pools_.find(pool);
    return found == pools_.end() ? state::Resources() : found->second.headroom();
}

} // namespace basilgap::scheduling
