#include "Basilgap/Scheduling/RunProgress.h"

namespace basilgap::scheduling {

namespace {

// Smaller progress is too inaccurate to derive a speed.
constexpr int MinProgressPercent = 5;

} // namespace

std::optional<Millis> RunProgress::projectedDuration() const
{
    const int done = percent - firstPercent;
    if (done < MinProgressPercent)
        return std::nullopt;
    return (progressAt - firstAt) * 100 / done;
}

std::optional<Millis> RunProgress::projectedEnd() const
{
    const auto duration = projectedDuration();
    if (!duration)
        return std::nullopt;
    return progressAt + *duration * (100 - percent) / 100;
}

} // namespace basilgap::scheduling
