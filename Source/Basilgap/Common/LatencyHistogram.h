#pragma once

#include <cstdint>
#include <memory>
#include <string>

namespace basilgap {

// Counts durations in logarithmic buckets from 0.01 ms to 10 minutes.
class LatencyHistogram
{
public:
    LatencyHistogram();
    ~LatencyHistogram();
    LatencyHistogram(LatencyHistogram &&) noexcept;
    LatencyHistogram &operator=(LatencyHistogram &&) noexcept;

    // Adds one duration in milliseconds.
    void add(double milliseconds);

    uint64_t count() const;
    double sum() const;

    // The percentile for a fraction (0 to 1): the upper bound of its bucket in milliseconds, or 0
    // if no value was added.
    double percentile(double fraction) const;

    // The non-empty buckets as cumulative lines of the Prometheus text format.
    std::string metricText(const std::string &name) const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

} // namespace basilgap
