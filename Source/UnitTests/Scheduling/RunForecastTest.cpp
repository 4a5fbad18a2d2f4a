#include <gtest/gtest.h>

#include "Basilgap/Scheduling/RunForecast.h"

namespace basilgap::scheduling {
namespace {

TEST(RunForecast, goesOnAtTheSpeedSoFar)
{
    const RunProgress progress{
        .firstPercent = 20,
        .percent = 60,
        .firstAt = Millis(1000),
        .progressAt = Millis(1400),
    };
    EXPECT_EQ(progress.wholeTime(), Millis(1000));
    EXPECT_EQ(progress.endsAt(), Millis(1800));
}

TEST(RunForecast, saysNothingOfARunThatHasHardlyBegun)
{
    const RunProgress progress{
        .firstPercent = 0,
        .percent = 2,
        .firstAt = Millis(1000),
        .progressAt = Millis(1100),
    };
    EXPECT_FALSE(progress.endsAt().has_value());
}

} // namespace
} // namespace basilgap::scheduling
