#include "Basilgap/Scheduling/UrgentDemand.h"

#include <algorithm>
#include <cmath>

namespace basilgap::scheduling {

namespace {

// A peak fades to a third in this time: bursts last some seconds.
constexpr double FadeMs = 8000;

} // namespace

void UrgentDemand::Demand::fade(double factor)
{
    const state::Resources now = running + wanted;
    peakMillicores = std::max(peakMillicores * factor, static_cast<double>(now.millicores));
    peakMemoryMb = std::max(peakMemoryMb * factor, static_cast<double>(now.memoryMb));
}

state::Resources UrgentDemand::Demand::reserve() const
{
    return { std::max<int64_t>(0, static_cast<int64_t>(peakMillicores) - running.millicores),
        std::max<int64_t>(0, static_cast<int64_t>(peakMemoryMb) - running.memoryMb), 0 };
}

void UrgentDemand::observe(
    const state::WorkTable &table, const state::WorkConfigState &config, Millis now)
{
    for (auto &[account, demand] : accounts_)
        demand.running = demand.wanted = {};
    cell_.running = cell_.wanted = {};
    for (const state::WorkSerial serial : table.active()) {
        const state::Work &work = *table.find(serial);
        const schema::QueueConfig *queue = config.findQueue(work.queue);
        if (queue == nullptr || queue->priority() >= patientPriority_)
            continue;
        Demand &demand = accounts_[work.account];
        for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
            for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
                const state::StepRef ref{ serial, occurrence, step };
                const state::WorkStep &state = work.stepAt(ref);
                // What lasts is there to stay and no part of a burst.
                if (state.isDone() || work.specOf(ref).service())
                    continue;
                const state::Resources need = state::reservationOf(work.specOf(ref));
                demand.running += need * state.running;
                cell_.running += need * state.running;
                if (state.waiting == 0 || !work.isReady(ref))
                    continue;
                demand.wanted += need * state.waiting;
                cell_.wanted += need * state.waiting;
            }
        }
    }
    const double factor = std::exp(-static_cast<double>((now - observedAt_).count()) / FadeMs);
    observedAt_ = now;
    cell_.fade(factor);
    for (auto &[account, demand] : accounts_)
        demand.fade(factor);
}

state::Resources UrgentDemand::reserveOf(const state::AccountName &account) const
{
    const auto found = accounts_.find(account);
    return found == accounts_.end() ? state::Resources() : found->second.reserve();
}

state::Resources UrgentDemand::reserveOfCell() const
{
    return cell_.reserve();
}

} // namespace basilgap::scheduling
