#include <gtest/gtest.h>

#include "Basilgap/Scheduling/BackfillThrottle.h"

namespace basilgap::scheduling {
namespace {

const state::WorkerNumber Worker(1);

BackfillTask backfillAt(uint32_t speedPercent)
{
    return { { { state::WorkSerial(1), 0, 0 }, 0 }, speedPercent };
}

TEST(BackfillThrottle, pausesBackfillBesideATaskOverItsLatencyTarget)
{
    BackfillThrottle throttle;
    const auto changes =
        throttle.update(Worker, { { 120, 100 }, { 10, 100 } }, { backfillAt(100) }, Millis(10000));
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_EQ(changes[0].speedPercent, 0U);
}

TEST(BackfillThrottle, doesNotThrottleWithoutLatencySensitiveTasks)
{
    BackfillThrottle throttle;
    EXPECT_TRUE(throttle.update(Worker, {}, { backfillAt(100) }, Millis(10000)).empty());
}

// In a model where the tail latency rises with the speed of backfill, the control loop settles
// below the target.
TEST(BackfillThrottle, settlesBelowTheLatencyTarget)
{
    BackfillThrottle throttle;
    uint32_t speedPercent = 100;
    Millis over;
    for (Millis now(10000); now < Millis(60000); now += Millis(500)) {
        const double tail = 50 + 0.8 * speedPercent;
        if (tail > 100 && now > Millis(14000))
            over += Millis(500);
        for (const ThrottleChange &change :
            throttle.update(Worker, { { tail, 100 } }, { backfillAt(speedPercent) }, now))
            speedPercent = change.speedPercent;
    }
    EXPECT_EQ(over, Millis(0));
}

TEST(BackfillThrottle, raisesSpeedInSteps)
{
    BackfillThrottle throttle;
    EXPECT_EQ(throttle.update(Worker, { { 10, 100 } }, { backfillAt(0) }, Millis(10000))
                  .at(0)
                  .speedPercent,
        20U);
    EXPECT_TRUE(
        throttle.update(Worker, { { 10, 100 } }, { backfillAt(20) }, Millis(10500)).empty());
    EXPECT_EQ(throttle.update(Worker, { { 10, 100 } }, { backfillAt(20) }, Millis(11600))
                  .at(0)
                  .speedPercent,
        40U);
}

} // namespace
} // namespace basilgap::scheduling
