#include "Basilgap/Scheduling/UrgentDemand.h"

#include <algorithm>
#include <cmath>

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
    reader_.readChanges(
        table, config, wallMs, [this] { clearWorks(); },
        [&](state::WorkSerial work) { readAgain(table, config, work, capacity, wallMs); });
    const double factor = std::exp(-static_cast<double>((now - observedAt_).count()) / DecayTimeMs);
    observedAt_ = now;
    for (auto &[pool, demand] : pools_)
        demand.decay(factor);
    for (auto &[account, demand] : accounts_)
        demand.decay(factor);
}

void UrgentDemand::clearWorks()
{
    for (auto &[account, demand] : accounts_)
        demand.running = demand.waitingDemand = {};
    for (auto &[pool, demand] : pools_)
        demand.running = demand.waitingDemand = {};
    works_.clear();
}

void UrgentDemand::readAgain(const state::WorkTable &table, const state::WorkConfigState &config,
    state::WorkSerial serial, const EmptyCapacity &capacity, uint64_t wallMs)
{
    const auto known = works_.find(serial);
    if (known != works_.end()) {
        for (Demand *demand : { &accounts_[known->second.account], &pools_[known->second.pool] }) {
            demand->running -= known->second.running;
            demand->waitingDemand -= known->second.waitingDemand;
        }
        works_.erase(known);
    }
    const state::Work *work = table.find(serial);
    const schema::QueueConfig *queue =
        work == nullptr || !work->isActive() ? nullptr : config.findQueue(work->queue);
    if (queue == nullptr || queue->priority() >= deferrablePriority_)
        return;
    WorkDemand ofWork =
        demandOf(*work, *queue, config.findAccount(work->account), capacity, wallMs);
    for (Demand *demand : { &accounts_[ofWork.account], &pools_[ofWork.pool] }) {
        demand->running += ofWork.running;
        demand->waitingDemand += ofWork.waitingDemand;
    }
    works_[serial] = std::move(ofWork);
}

UrgentDemand::WorkDemand UrgentDemand::demandOf(const state::Work &work,
    const schema::QueueConfig &queue, const schema::AccountConfig *account,
    const EmptyCapacity &capacity, uint64_t wallMs)
{
    WorkDemand demand{ .account = work.account, .pool = queue.pool() };
    for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
        const LatencyBounds bounds = latencyBoundsOf(work, queue, occurrence, nullptr);
        const bool isDue = work.dueMs(occurrence) <= wallMs;
        const bool isExpired = bounds.bandAt(wallMs) > 1;
        if (!isDue)
            reader_.readAgainAt(work.dueMs(occurrence), work.serial);
        for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
            const state::StepRef ref{ work.serial, occurrence, step };
            const state::WorkStep &state = work.stepAt(ref);
            const schema::StepSpec &spec = work.specOf(ref);
            // Services run permanently and are no part of a burst.
            if (state.isDone() || spec.service())
                continue;
            const state::Resources reservation = state::reservationOf(spec);
            demand.running += reservation * state.running;
            if (state.waiting == 0 || !isDue || isExpired || !work.isReady(ref))
                continue;
            reader_.readAgainAt(
                static_cast<uint64_t>(std::max<int64_t>(0, bounds.expiryMs)), work.serial);
            const int64_t placeable = placeableTasks(spec, queue.pool(), account, capacity);
            demand.waitingDemand += reservation * std::min<int64_t>(state.waiting, placeable);
        }
    }
    return demand;
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
