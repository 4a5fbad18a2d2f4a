#include <gtest/gtest.h>

#include "Basilgap/Dispatch/ForecastAccuracy.h"

namespace basilgap::dispatch {
namespace {

TEST(ForecastAccuracy, comparesWithForecastAndEstimate)
{
    ForecastAccuracy accuracy;
    const state::QueueId queue("queue");
    for (int i = 0; i < 80; i++)
        accuracy.add(queue, Millis(1000), Millis(1000), Millis(200));
    for (int i = 0; i < 20; i++)
        accuracy.add(queue, Millis(4000), Millis(1000), Millis(200));
    accuracy.add(state::QueueId("other"), Millis(10), Millis(0), Millis());
    const std::vector<QueueAccuracy> figures = accuracy.take();
    ASSERT_EQ(figures.size(), 2U);
    EXPECT_FALSE(figures[0].toEstimate) << "no estimate was given";
    EXPECT_EQ(figures[1].queue, queue);
    EXPECT_EQ(figures[1].runs, 100U);
    // The histogram has buckets of 8 percent.
    EXPECT_NEAR(static_cast<double>(figures[1].toForecast.median), 100, 9);
    EXPECT_NEAR(static_cast<double>(figures[1].toForecast.high), 400, 35);
    EXPECT_NEAR(static_cast<double>(figures[1].toEstimate->median), 500, 45);
    EXPECT_TRUE(accuracy.take().empty()) << "each run is in one line only";
}

} // namespace
} // namespace basilgap::dispatch
