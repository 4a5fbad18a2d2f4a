#include <gtest/gtest.h>

#include <cmath>
#include <random>

#include "Basilgap/State/DurationHistogram.h"

namespace basilgap::state {
namespace {

// Quarter octaves of durations from 16 ms on.
DurationHistogram emptyHistogram()
{
    return { 16, 80 };
}

uint64_t medianOf(const DurationHistogram &histogram)
{
    return valueAt(histogram.quantiles()->median);
}

// Guards against positions that differ between processors: the logarithm is computed in integers.
TEST(DurationHistogram, positionsFollowTheLogarithm)
{
    EXPECT_EQ(quarterOctaves(0), 0);
    EXPECT_EQ(quarterOctaves(1), 0);
    for (const uint64_t value : { 2ULL, 3ULL, 16ULL, 100ULL, 799ULL, 3800ULL, 65535ULL, 65536ULL,
             1000000007ULL, 1ULL << 40, (1ULL << 62) - 1 }) {
        const double exact = 4 * std::log2(static_cast<double>(value));
        EXPECT_NEAR(quarterOctaves(value), exact - 0.5, 0.51) << value;
        EXPECT_LE(valueAt(quarterOctaves(value) * 256), value);
        EXPECT_GE(valueAt((quarterOctaves(value) + 1) * 256) + 1, value);
    }
    EXPECT_EQ(valueAt(256 * 40), 1024U);
    EXPECT_EQ(valueAt(-5), 1U);
}

TEST(DurationHistogram, quantilesOfALogarithmicNormalDistribution)
{
    DurationHistogram histogram = emptyHistogram();
    std::mt19937 random(1);
    std::normal_distribution<double> logarithm(std::log(800.0), 0.4);
    for (int i = 0; i < 1000; i++)
        histogram.add(static_cast<uint64_t>(std::exp(logarithm(random))), true);
    const QuantilePositions positions = *histogram.quantiles();
    EXPECT_NEAR(static_cast<double>(valueAt(positions.median)), 800, 100);
    EXPECT_NEAR(static_cast<double>(valueAt(positions.low)), 479, 80);
    EXPECT_NEAR(static_cast<double>(valueAt(positions.high)), 1336, 220);
    EXPECT_LE(histogram.runs(), 288U);
    EXPECT_GE(histogram.runs(), 130U);
}

// Guards against a forecast that stays at the old level for the whole window of 200 runs.
TEST(DurationHistogram, followsAShiftOfLevelWithinTensOfRuns)
{
    for (const double factor : { 3.0, 1 / 3.0 }) {
        DurationHistogram histogram = emptyHistogram();
        std::mt19937 random(2);
        std::normal_distribution<double> spread(0, 0.3);
        for (int i = 0; i < 400; i++)
            histogram.add(static_cast<uint64_t>(1000 * std::exp(spread(random))), true);
        for (int i = 0; i < 40; i++)
            histogram.add(static_cast<uint64_t>(1000 * factor * std::exp(spread(random))), true);
        EXPECT_NEAR(std::log(static_cast<double>(medianOf(histogram)) / (1000 * factor)), 0, 0.25);
    }
}

// The tasks of one long step are no evidence of a shift; they only count as values.
TEST(DurationHistogram, correlatedValuesAreNoShift)
{
    DurationHistogram histogram = emptyHistogram();
    for (int i = 0; i < 280; i++)
        histogram.add(1000, true);
    for (int i = 0; i < 40; i++)
        histogram.add(5000, i == 0);
    EXPECT_NEAR(static_cast<double>(medianOf(histogram)), 1000, 120);
}

// Guards against the mean of the runs that were short enough to end: with each long run stopped,
// the forecast must not fall below the bounds.
TEST(DurationHistogram, censoredValuesCountAboveTheirBound)
{
    std::mt19937 random(3);
    std::normal_distribution<double> logarithm(std::log(4000.0), 0.5);
    DurationHistogram censored = emptyHistogram();
    DurationHistogram naive = emptyHistogram();
    DurationHistogram full = emptyHistogram();
    for (uint32_t i = 0; i < 2000; i++) {
        const auto duration = static_cast<uint64_t>(std::exp(logarithm(random)));
        full.add(duration, true);
        // Half of the runs are stopped after 3 s.
        if (i % 2 == 0 && duration > 3000) {
            censored.addCensored(3000, i * 97 % 256);
            naive.add(3000, true);
        } else {
            censored.add(duration, true);
            naive.add(duration, true);
        }
    }
    const auto error = [&](const DurationHistogram &histogram) {
        return std::abs(std::log(
            static_cast<double>(medianOf(histogram)) / static_cast<double>(medianOf(full))));
    };
    EXPECT_LT(error(censored), 0.15);
    EXPECT_GT(error(naive), 0.2) << "the distribution shows a difference";
}

TEST(DurationHistogram, onlyCensoredValuesGiveALowerBound)
{
    DurationHistogram histogram = emptyHistogram();
    for (uint32_t i = 0; i < 10; i++)
        histogram.addCensored(1000, i * 25);
    EXPECT_GE(medianOf(histogram), 1000U);
}

TEST(DurationHistogram, valuesOutsideTheRangeCountAtItsEnds)
{
    DurationHistogram histogram = emptyHistogram();
    histogram.add(1, true);
    histogram.addCensored(UINT64_MAX, 255);
    histogram.add(UINT64_MAX, true);
    EXPECT_EQ(histogram.runs(), 3U);
    EXPECT_GE(valueAt(histogram.quantiles()->low), 16U);
    EXPECT_LE(valueAt(histogram.quantiles()->high), uint64_t{ 1 } << 24);
}

TEST(DurationHistogram, savedStateContinuesInTheSameWay)
{
    DurationHistogram histogram = emptyHistogram();
    std::mt19937 random(4);
    for (int i = 0; i < 300; i++)
        histogram.add(100 + random() % 5000, true);
    schema::DurationHistogramState state;
    histogram.save(&state);
    DurationHistogram restored = emptyHistogram();
    ASSERT_TRUE(restored.restore(state));
    for (int i = 0; i < 300; i++) {
        const uint64_t value = 3000 + random() % 90000;
        histogram.add(value, i % 3 == 0);
        restored.add(value, i % 3 == 0);
    }
    schema::DurationHistogramState first;
    schema::DurationHistogramState second;
    histogram.save(&first);
    restored.save(&second);
    EXPECT_EQ(first.SerializeAsString(), second.SerializeAsString());
}

TEST(DurationHistogram, refusesAStateThatItCannotHaveSaved)
{
    schema::DurationHistogramState state;
    state.set_first(UINT32_MAX);
    EXPECT_FALSE(emptyHistogram().restore(state));
    state.set_first(79);
    state.add_weights(1);
    EXPECT_TRUE(emptyHistogram().restore(state));
    state.add_weights(1);
    EXPECT_FALSE(emptyHistogram().restore(state));
    state.clear_weights();
    state.add_weights(70000);
    EXPECT_FALSE(emptyHistogram().restore(state));
    state.clear_weights();
    state.set_drift(INT32_MIN);
    EXPECT_FALSE(emptyHistogram().restore(state));
}

} // namespace
} // namespace basilgap::state
