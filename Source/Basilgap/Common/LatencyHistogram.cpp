#include "Basilgap/Common/LatencyHistogram.h"

#include <sstream>

#include <boost/histogram.hpp>

namespace basilgap {

namespace {

constexpr unsigned BucketCount = 240;
constexpr double MinMs = 0.01;
constexpr double MaxMs = 600000;

// Index of the underflow bucket, which counts values below the first bucket.
constexpr int UnderflowBucket = -1;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;

auto makeBuckets()
{
    return boost::histogram::make_histogram(Axis(BucketCount, MinMs, MaxMs));
}

} // namespace

struct LatencyHistogram::Data
{
    decltype(makeBuckets()) buckets = makeBuckets();
    uint64_t count = 0;
    double sum = 0;
};

LatencyHistogram::LatencyHistogram()
    : data_(std::make_unique<Data>())
{}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram &&) noexcept = default;
LatencyHistogram &LatencyHistogram::operator=(LatencyHistogram &&) noexcept = default;

void LatencyHistogram::add(double milliseconds)
{
    data_->buckets(milliseconds);
    data_->count++;
    data_->sum += milliseconds;
}

uint64_t LatencyHistogram::count() const
{
    return data_->count;
}

double LatencyHistogram::sum() const
{
    return data_->sum;
}

double LatencyHistogram::percentile(double fraction) const
{
    const double targetCount = fraction * static_cast<double>(data_->count);
    const auto &axis = data_->buckets.axis(0);
    double cumulativeCount = 0;
    double upper = 0;
    for (int i = UnderflowBucket; i <= axis.size(); i++) {
        const double count = data_->buckets.at(i);
        if (count == 0)
            continue;
        cumulativeCount += count;
        upper = std::min(axis.value(i + 1), MaxMs);
        if (cumulativeCount >= targetCount)
            return upper;
    }
    return upper;
}

std::string LatencyHistogram::metricText(const std::string &name) const
{
    std::ostringstream text;
    const auto &axis = data_->buckets.axis(0);
    text << "# TYPE " << name << " histogram\n";
    double cumulativeCount = 0;
    for (int i = UnderflowBucket; i < axis.size(); i++) {
        const double count = data_->buckets.at(i);
        if (count == 0)
            continue;
        cumulativeCount += count;
        text << name << "_bucket{le=\"" << axis.value(i + 1) << "\"} " << cumulativeCount << '\n';
    }
    text << name << "_bucket{le=\"+Inf\"} " << data_->count << '\n';
    text << name << "_sum " << data_->sum << '\n' << name << "_count " << data_->count << '\n';
    return text.str();
}

} // namespace basilgap
