#include "Basilgap/Scheduling/RunForecast.h"

namespace basilgap::scheduling {

namespace {

// Progress below this says little of the speed.
constexpr int LeastProgress = 5;

} // namespace

std::optional<Millis> RunProgress::wholeTime() const
{
    const int done = percent - firstPercent;
    if (done < LeastProgress)
        return std::nullopt;
    return (progressAt - firstAt) * 100 / done;
}

std::optional<Millis> RunProgress::endsAt() const
{
    const auto whole = wholeTime();
    if (!whole)
        return std::nullopt;
    return progressAt + *whole * (100 - percent) / 100;
}

} // namespace basilgap::scheduling
