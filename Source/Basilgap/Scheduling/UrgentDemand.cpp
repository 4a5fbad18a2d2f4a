#include "Basilgap/Scheduling/UrgentDemand.h"

#include <algorithm>
#include <cmath>

namespace basilgap::scheduling {

namespace {

// Time in which a peak decays to about a third: bursts last some seconds.
constexpr double DecayTimeMs = 8000;

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

void UrgentDemand::update(
    const state::WorkTable &table, const state::WorkConfigState &config, Millis now)
{
    for (auto &[account, demand] : accounts_)
        demand.running = demand.waitingDemand = {};
    cellDemand_.running = cellDemand_.waitingDemand = {};
    for (const state::WorkSerial serial : table.active()) {
        const state::Work &work = *table.find(serial);
        const schema::QueueConfig *queue = config.findQueue(work.queue);
        if (queue == nullptr || queue->priority() >= deferrablePriority_)
            continue;
        Demand &demand = accounts_[work.account];
        for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
            for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
                const state::StepRef ref{ serial, occurrence, step };
                const state::WorkStep &state = work.stepAt(ref);
                // Services run permanently and are no part of a burst.
                if (state.isDone() || work.specOf(ref).service())
                    continue;
                const state::Resources reservation = state::reservationOf(work.specOf(ref));
                demand.running += reservation * state.running;
                cellDemand_.running += reservation * state.running;
                if (state.waiting == 0 || !work.isReady(ref))
                    continue;
                demand.waitingDemand += reservation * state.waiting;
                cellDemand_.waitingDemand += reservation * state.waiting;
            }
        }
    }
    const double factor = std::exp(-static_cast<double>((now - observedAt_).count()) / DecayTimeMs);
    observedAt_ = now;
    cellDemand_.decay(factor);
    for (auto &[account, demand] : accounts_)
        demand.decay(factor);
}

state::Resources UrgentDemand::headroomFor(const state::AccountName &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? state::Resources() : found->second.headroom();
}

state::Resources UrgentDemand::cellHeadroom() const
{
    return cellDemand_.headroom();
}

} // namespace basilgap::scheduling
