#include <gtest/gtest.h>

#include "Basilgap/Scheduling/RunProgress.h"

namespace basilgap::scheduling {
namespace {

TEST(RunProgress, extrapolatesTheSpeedSoFar)
{
    const RunProgress progress{
        .firstPercent = 20,
        .percent = 60,
        .firstAt = Millis(1000),
        .progressAt = Millis(1400),
    };
    EXPECT_EQ(progress.projectedDuration(), Millis(1000));
    EXPECT_EQ(progress.projectedEnd(), Millis(1800));
}

TEST(RunProgress, hasNoForecastForARunThatHasJustStarted)
{
    const RunProgress progress{
        .firstPercent = 0,
        .percent = 2,
        .firstAt = Millis(1000),
        .progressAt = Millis(1100),
    };
    EXPECT_FALSE(progress.projectedEnd().has_value());
}

} // namespace
} // namespace basilgap::scheduling
