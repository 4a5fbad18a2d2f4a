#include "Basilgap/Scheduling/PollPacing.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

// Runs may fail before their projected end, so every worker is polled at least this often.
constexpr Millis MaxDelay{ 200 };
// Applies while deferrable work waits for capacity; it can wait for seconds.
constexpr Millis MaxDeferrableDelay{ 150 };
// Time after which the speed of a new run can be estimated.
constexpr Millis UnknownSpeedDelay{ 100 };

// A poll starts this long before the projected end of the run.
constexpr Millis PollLeadTime{ 40 };
// Forecasts are inexact: a run that is projected to end this shortly before the last run of its
// step may be the last one.
constexpr Millis ForecastTolerance{ 80 };

Millis delayFor(const PolledRun &run, Millis now)
{
    if (!run.projectedEnd)
        return UnknownSpeedDelay;
    if (!run.stepProjectedEnd || *run.projectedEnd + ForecastTolerance < *run.stepProjectedEnd)
        return MaxDelay;
    return std::max(Millis(0), *run.projectedEnd - PollLeadTime - now);
}

} // namespace

Millis pollDelay(const std::vector<PolledRun> &runs, CapacityDemand demand, Millis now)
{
    if (demand == CapacityDemand::Urgent)
        return Millis(0);
    Millis delay = demand == CapacityDemand::Deferrable ? MaxDeferrableDelay : MaxDelay;
    for (const PolledRun &run : runs)
        delay = std::min(delay, delayFor(run, now));
    return delay;
}

} // namespace basilgap::scheduling
