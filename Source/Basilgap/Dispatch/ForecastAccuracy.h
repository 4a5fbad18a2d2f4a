#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::dispatch {

// Percentiles of the ratio of actual to expected duration, in percent.
struct DurationRatios
{
    int64_t median = 0;
    int64_t high = 0;
};

struct QueueAccuracy
{
    state::QueueId queue;
    uint64_t runs = 0;
    DurationRatios toForecast;
    // Absent if no run had an estimate.
    std::optional<DurationRatios> toEstimate;
};

// Compares the durations of finished runs with their forecasts and with the given estimates.
class ForecastAccuracy
{
public:
    // The estimate is 0 if none was given.
    void add(const state::QueueId &queue, Millis actual, Millis forecast, Millis estimate);

    // Returns the figures of all queues with finished runs, and begins anew.
    std::vector<QueueAccuracy> take();

    // Logs the figures, one line for each queue, and begins anew.
    void log();

private:
    struct Ratios
    {
        LatencyHistogram toForecast;
        LatencyHistogram toEstimate;
    };

    std::map<state::QueueId, Ratios> queues_;
};

} // namespace basilgap::dispatch
