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

    // Upper bound of the bucket that holds the fraction (0 to 1) of all values, in milliseconds;
    // 0 when nothing was counted.
    double percentile(double fraction) const;

    // The non-empty buckets as cumulative lines of the Prometheus text format.
    std::string metricText(const std::string &name) const;

private:
    struct Data;
    std::unique_ptr<Data> data_;
};

} // namespace basilgap
