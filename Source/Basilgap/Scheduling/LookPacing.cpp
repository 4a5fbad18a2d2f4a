#include "Basilgap/Scheduling/LookPacing.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

// Runs may fail before their expected end, so that no worker is left alone for longer.
constexpr Millis LongestRest{ 200 };
// While patient work waits for room; it has seconds to spare.
constexpr Millis PatientRest{ 150 };
// Time in which a run that has just begun shows how fast it is.
constexpr Millis UnknownRest{ 100 };

// A look begins this long before the end that it is for.
constexpr Millis Lead{ 40 };
// Forecasts are rough: an end this close to the last of its step may be the last.
constexpr Millis Tolerance{ 80 };

Millis restFor(const LookedAtRun &run, Millis now)
{
    if (!run.endsAt)
        return UnknownRest;
    if (!run.stepEndsAt || *run.endsAt + Tolerance < *run.stepEndsAt)
        return LongestRest;
    return std::max(Millis(0), *run.endsAt - Lead - now);
}

} // namespace

Millis restBeforeLook(const std::vector<LookedAtRun> &runs, RoomDemand demand, Millis now)
{
    if (demand == RoomDemand::Urgent)
        return Millis(0);
    Millis rest = demand == RoomDemand::Patient ? PatientRest : LongestRest;
    for (const LookedAtRun &run : runs)
        rest = std::min(rest, restFor(run, now));
    return rest;
}

} // namespace basilgap::scheduling
