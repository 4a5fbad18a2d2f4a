#include "Basilgap/Dispatch/ForecastAccuracy.h"

#include <algorithm>
#include <cmath>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::dispatch {

namespace {

double ratioOf(Millis actual, Millis expected)
{
    return static_cast<double>(actual.count())
        / static_cast<double>(std::max<int64_t>(1, expected.count()));
}

DurationRatios toPercent(const LatencyHistogram &ratios)
{
    return { std::lround(100 * ratios.percentile(0.5)), std::lround(100 * ratios.percentile(0.9)) };
}

} // namespace

void ForecastAccuracy::add(
    const state::QueueId &queue, Millis actual, Millis forecast, Millis estimate)
{
    Ratios &ratios = queues_[queue];
    ratios.toForecast.add(ratioOf(actual, forecast));
    if (estimate > Millis())
        ratios.toEstimate.add(ratioOf(actual, estimate));
}

std::vector<QueueAccuracy> ForecastAccuracy::take()
{
    std::vector<QueueAccuracy> accuracies;
    for (const auto &[queue, ratios] : queues_) {
        QueueAccuracy &accuracy = accuracies.emplace_back();
        accuracy.queue = queue;
        accuracy.runs = ratios.toForecast.count();
        accuracy.toForecast = toPercent(ratios.toForecast);
        if (ratios.toEstimate.count() > 0)
            accuracy.toEstimate = toPercent(ratios.toEstimate);
    }
    queues_.clear();
    return accuracies;
}

void ForecastAccuracy::log()
{
    for (const QueueAccuracy &accuracy : take()) {
        LogEvent line("forecast");
        line.with("queue", accuracy.queue.value())
            .with("runs", accuracy.runs)
            .with("ofForecast50Pct", accuracy.toForecast.median)
            .with("ofForecast90Pct", accuracy.toForecast.high);
        if (accuracy.toEstimate)
            line.with("ofEstimate50Pct", accuracy.toEstimate->median)
                .with("ofEstimate90Pct", accuracy.toEstimate->high);
    }
}

} // namespace basilgap::dispatch
