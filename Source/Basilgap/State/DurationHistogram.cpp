#include "Basilgap/State/DurationHistogram.h"

#include <algorithm>
#include <array>
#include <bit>
#include <cstdlib>

namespace basilgap::state {

namespace {

// Powers of two in steps of a quarter, as multiples of 2^-16.
constexpr std::array<uint64_t, 5> QuarterPowers{ 65536, 77936, 92682, 110218, 131072 };
constexpr int FractionBits = 16;
constexpr int64_t PositionsPerBucket = 256;

// All weights are halved at this number of values, which is about every 144 values. That is an
// exponential window of 200 values.
constexpr uint32_t MaxRuns = 288;
constexpr uint32_t MaxTotal = MaxRuns * DurationHistogram::RunWeight;

// A value beyond the 10th or 90th percentile is evidence of a shift of level, one between them is
// half as much evidence against it. Independent values without a shift reach the limit with a
// probability below 1e-9; after a shift it takes 12 values.
constexpr uint32_t MinRunsForDrift = 16;
constexpr int32_t DriftPerOutlier = 2;
constexpr int32_t DriftLimit = 24;
// After a shift the old values count as 18 at most, so that as many new ones outweigh them.
constexpr uint32_t ShiftDivisor = 16;

} // namespace

int quarterOctaves(uint64_t value)
{
    if (value < 2)
        return 0;
    const int octave = std::bit_width(value) - 1;
    const uint64_t mantissa = octave >= FractionBits ? value >> (octave - FractionBits)
                                                     : value << (FractionBits - octave);
    int quarter = 0;
    while (quarter < 3 && mantissa >= QuarterPowers[static_cast<size_t>(quarter) + 1])
        quarter++;
    return 4 * octave + quarter;
}

uint64_t valueAt(int64_t position)
{
    position = std::max<int64_t>(0, position);
    const int64_t bucket = position / PositionsPerBucket;
    const auto fraction = static_cast<uint64_t>(position % PositionsPerBucket);
    const auto quarter = static_cast<size_t>(bucket % 4);
    const uint64_t step = QuarterPowers[quarter + 1] - QuarterPowers[quarter];
    const uint64_t mantissa = QuarterPowers[quarter] + step * fraction / PositionsPerBucket;
    const int64_t octave = bucket / 4;
    return octave >= FractionBits ? mantissa << (octave - FractionBits)
                                  : mantissa >> (FractionBits - octave);
}

std::optional<QuantilePositions> quantilesOf(const std::vector<uint64_t> &weights, int first)
{
    uint64_t total = 0;
    for (const uint64_t weight : weights)
        total += weight;
    if (total == 0)
        return std::nullopt;
    constexpr std::array<uint64_t, 3> Percents{ 10, 50, 90 };
    std::array<int64_t, 3> positions{};
    size_t next = 0;
    uint64_t below = 0;
    for (size_t i = 0; i < weights.size() && next < Percents.size(); i++) {
        const uint64_t upTo = below + weights[i];
        while (next < Percents.size() && weights[i] > 0 && total * Percents[next] <= upTo * 100) {
            const uint64_t inside = total * Percents[next] - below * 100;
            positions[next++] = (first + static_cast<int64_t>(i)) * PositionsPerBucket
                + static_cast<int64_t>(inside * PositionsPerBucket / (weights[i] * 100));
        }
        below = upTo;
    }
    return QuantilePositions{ positions[0], positions[1], positions[2] };
}

DurationHistogram::DurationHistogram(int first, int size)
    : first_(first)
    , size_(size)
    , buckets_(Axis(first, first + size))
{}

int DurationHistogram::clampedBucket(uint64_t value) const
{
    return std::clamp(quarterOctaves(value), first_, first_ + size_ - 1);
}

void DurationHistogram::add(uint64_t value, bool isIndependent)
{
    const int bucket = clampedBucket(value);
    if (isIndependent)
        noteDrift(bucket);
    addWeight(bucket);
}

void DurationHistogram::addCensored(uint64_t bound, uint32_t spread)
{
    const int lowest = clampedBucket(bound);
    uint64_t above = 0;
    for (int i = lowest - first_; i < size_; i++)
        above += buckets_.at(i);
    if (above == 0)
        return addWeight(std::min(lowest + 1, first_ + size_ - 1));
    const uint64_t target = above * spread / 256;
    uint64_t upTo = 0;
    int bucket = lowest - 1;
    while (upTo <= target)
        upTo += buckets_.at(++bucket - first_);
    addWeight(bucket);
}

void DurationHistogram::addWeight(int bucket)
{
    if (total_ + RunWeight > MaxTotal)
        divideWeights(2);
    buckets_(bucket, boost::histogram::weight(RunWeight));
    total_ += RunWeight;
}

void DurationHistogram::noteDrift(int bucket)
{
    if (runs() < MinRunsForDrift)
        return;
    const QuantilePositions now = *quantiles();
    if (bucket > now.high / PositionsPerBucket)
        drift_ = std::max(drift_, 0) + DriftPerOutlier;
    else if (bucket < now.low / PositionsPerBucket)
        drift_ = std::min(drift_, 0) - DriftPerOutlier;
    else
        drift_ -= (drift_ > 0) - (drift_ < 0);
    if (std::abs(drift_) < DriftLimit)
        return;
    divideWeights(ShiftDivisor);
    drift_ = 0;
}

void DurationHistogram::divideWeights(uint32_t divisor)
{
    total_ = 0;
    for (auto &&weight : buckets_) {
        weight = static_cast<uint16_t>(weight / divisor);
        total_ += weight;
    }
}

std::vector<uint64_t> DurationHistogram::weights() const
{
    return { buckets_.begin(), buckets_.end() };
}

std::optional<QuantilePositions> DurationHistogram::quantiles() const
{
    return quantilesOf(weights(), first_);
}

void DurationHistogram::save(schema::DurationHistogramState *state) const
{
    state->set_drift(drift_);
    int begin = 0;
    int end = size_;
    while (begin < end && buckets_.at(begin) == 0)
        begin++;
    while (end > begin && buckets_.at(end - 1) == 0)
        end--;
    state->set_first(static_cast<uint32_t>(begin));
    for (int i = begin; i < end; i++)
        state->add_weights(buckets_.at(i));
}

bool DurationHistogram::restore(const schema::DurationHistogramState &state)
{
    if (state.first() > static_cast<uint32_t>(size_)
        || state.weights_size() > size_ - static_cast<int>(state.first()))
        return false;
    if (std::abs(static_cast<int64_t>(state.drift())) >= DriftLimit)
        return false;
    uint64_t total = 0;
    for (const uint32_t weight : state.weights())
        total += weight;
    if (total > MaxTotal)
        return false;
    buckets_.reset();
    for (int i = 0; i < state.weights_size(); i++)
        buckets_.at(static_cast<int>(state.first()) + i) = static_cast<uint16_t>(state.weights(i));
    total_ = static_cast<uint32_t>(total);
    drift_ = state.drift();
    return true;
}

} // namespace basilgap::state
