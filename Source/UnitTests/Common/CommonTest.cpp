#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <cmath>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/LatencyHistogram.h"

namespace basilgap {

RC_GTEST_PROP(LatencyHistogramDifferential, percentilesMatchASortedList, ())
{
    LatencyHistogram histogram;
    std::vector<double> values;
    const int count = *rc::gen::inRange(1, 200);
    for (int i = 0; i < count; i++) {
        values.push_back(*rc::gen::inRange(1, 900000) / 10.0);
        histogram.add(values.back());
    }
    std::sort(values.begin(), values.end());
    for (const double fraction : { 0.5, 0.9, 0.99, 1.0 }) {
        const auto rank = static_cast<size_t>(std::ceil(fraction * count)) - 1;
        const double percentile = histogram.percentile(fraction);
        // Buckets are 8% wide.
        RC_ASSERT(percentile >= values[rank] * 0.999);
        RC_ASSERT(percentile <= values[rank] * 1.08);
    }
}

TEST(LatencyHistogram, countsValuesOutsideItsBuckets)
{
    LatencyHistogram histogram;
    EXPECT_EQ(histogram.percentile(0.99), 0);
    histogram.add(0);
    EXPECT_LE(histogram.percentile(0.5), 0.011);
    histogram.add(1e9);
    EXPECT_EQ(histogram.percentile(1.0), 600000);
    EXPECT_NE(histogram.metricText("wait").find("wait_count 2"), std::string::npos);
}

TEST(Hash, matchesPublishedValues)
{
    EXPECT_EQ(sha256Hex("abc"), "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
    EXPECT_TRUE(equalConstantTime("same", "same"));
    EXPECT_FALSE(equalConstantTime("same", "sane"));
    EXPECT_EQ(randomKey().size(), 43U);
    EXPECT_NE(randomKey(), randomKey());
}

RC_GTEST_PROP(IdsProperty, textRoundTrips, (uint64_t job, uint32_t index))
{
    TaskId task;
    RC_ASSERT(parseTaskId(toText(TaskId{ JobId(job), index }), &task));
    RC_ASSERT(task == (TaskId{ JobId(job), index }));
}

RC_GTEST_PROP(IdsProperty, otherTextsAreRejected, (const std::string &text))
{
    TaskId task;
    if (parseTaskId(text, &task))
        RC_ASSERT(toText(task) == text);
}

} // namespace basilgap
