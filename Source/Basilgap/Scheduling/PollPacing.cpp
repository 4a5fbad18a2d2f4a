#include "Basilgap/Scheduling/PollPacing.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

// Runs may fail before their expected end, so that no worker is left alone for longer.
constexpr Millis MaxDelay{ 200 };
// While patient work waits for room; it has seconds to spare.
constexpr Millis MaxDeferrableDelay{ 150 };
// Time in which a run that has just begun shows how fast it is.
constexpr Millis UnknownSpeedDelay{ 100 };

// A look begins this long before the end that it is for.
constexpr Millis PollLeadTime{ 40 };
// Forecasts are rough: an end this close to the last of its step may be the last.
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
