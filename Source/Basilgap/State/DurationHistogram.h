#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include <boost/histogram/axis/integer.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include "Work.pb.h"

namespace basilgap::state {

// Positions of quantiles on a logarithmic scale, in 1/256 of a quarter octave.
struct QuantilePositions
{
    int64_t low = 0;
    int64_t median = 0;
    int64_t high = 0;

    int64_t spread() const { return high - low; }
};

// Four times the binary logarithm of the value, rounded down; 0 for values below 2.
int quarterOctaves(uint64_t value);
// The value at a position on the logarithmic scale.
uint64_t valueAt(int64_t position);

// 10th, 50th and 90th percentile of weights by quarter octave, the first of which is the given one.
// Absent if all weights are 0.
std::optional<QuantilePositions> quantilesOf(const std::vector<uint64_t> &weights, int first);

// Histogram of values by quarter octave in which old values decay. It is part of the replicated
// state and uses integers only, so that it is the same on every kind of processor.
class DurationHistogram
{
public:
    // Weight of one value.
    static constexpr uint32_t RunWeight = 4;

    // Covers `size` quarter octaves from `first` on; values outside count at the nearest end.
    DurationHistogram(int first, int size);

    // Adds a value. A value that is correlated with the one before, as of another task of the same
    // step, is no evidence of a shift of level.
    void add(uint64_t value, bool isIndependent);
    // Adds a value of which only a lower bound is known: it counts at a place above the bound that
    // `spread`, from 0 to 255, selects by the distribution there.
    void addCensored(uint64_t bound, uint32_t spread);

    // Number of values, as far as they have not decayed.
    uint32_t runs() const { return total_ / RunWeight; }
    uint32_t total() const { return total_; }
    int first() const { return first_; }
    int size() const { return size_; }
    std::vector<uint64_t> weights() const;
    std::optional<QuantilePositions> quantiles() const;

    void save(schema::DurationHistogramState *state) const;
    // Returns false if the state is not one that save() can have written.
    bool restore(const schema::DurationHistogramState &state);

private:
    using Axis = boost::histogram::axis::integer<int, boost::histogram::use_default,
        boost::histogram::axis::option::none_t>;
    using Buckets = boost::histogram::histogram<std::tuple<Axis>,
        boost::histogram::storage_adaptor<std::vector<uint16_t>>>;

    int clampedBucket(uint64_t value) const;
    void addWeight(int bucket);
    void noteDrift(int bucket);
    void divideWeights(uint32_t divisor);

    int first_;
    int size_;
    Buckets buckets_;
    uint32_t total_ = 0;
    // Evidence of a shift of level: above 0 of a higher one, below 0 of a lower one.
    int32_t drift_ = 0;
};

} // namespace basilgap::state
