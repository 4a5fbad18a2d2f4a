#include "Basilgap/Scheduling/DurationEstimator.h"

#include <algorithm>
#include <cmath>

namespace basilgap::scheduling {

namespace {

// Averaging windows in samples: the speed of workers changes within seconds, that of queues hardly.
constexpr double WorkerWindow = 12;
constexpr double StepWindow = 1000;
constexpr double QueueWindow = 200;

// Weight of the prior that a worker is as fast as the others.
constexpr double PriorWeight = 4;

// The forecast counts as this many finished tasks of the step. These resemble each other more than
// the runs behind the forecast do.
constexpr double ForecastWeight = 2;

double logarithm(double milliseconds)
{
    return std::log(std::max(1.0, milliseconds));
}

} // namespace

void DurationEstimator::Mean::add(double sample, double maxWeight)
{
    weight = std::min(weight + 1, maxWeight);
    value += (sample - value) / weight;
}

void DurationEstimator::recordDuration(const state::Work &work, const state::StepRef &step,
    state::WorkerNumber worker, Millis duration)
{
    const double logDuration = logarithm(static_cast<double>(duration.count()));
    const auto known = workers_.find(worker);
    const double workerSlowdown = known == workers_.end() ? 0 : known->second.value;
    Mean &stepMean = steps_[step];
    if (stepMean.weight >= 2) {
        Mean &mean = workers_[worker];
        if (mean.weight == 0)
            mean.weight = PriorWeight;
        mean.add(logDuration - stepMean.value, WorkerWindow);
    }
    stepMean.add(logDuration - workerSlowdown, StepWindow);
    const double estimate = logarithm(static_cast<double>(work.specOf(step).estimate_ms()));
    queues_[work.queue].add(logDuration - workerSlowdown - estimate, QueueWindow);
}

double DurationEstimator::slowdown(state::WorkerNumber worker) const
{
    return measuredSlowdown(worker).value_or(1.0);
}

std::optional<double> DurationEstimator::measuredSlowdown(state::WorkerNumber worker) const
{
    const auto found = workers_.find(worker);
    if (found == workers_.end())
        return std::nullopt;
    return std::exp(found->second.value);
}

Millis DurationEstimator::expectedDuration(
    const state::Work &work, const state::StepRef &step) const
{
    return expectedDuration(work, step, forecast_);
}

Millis DurationEstimator::expectedDuration(
    const state::Work &work, const state::StepRef &step, const DurationForecast *forecast) const
{
    const auto done = steps_.find(step);
    const auto quantiles = forecast == nullptr ? std::nullopt : forecast->forecast(work, step);
    if (quantiles) {
        const Mean finished = done == steps_.end() ? Mean() : done->second;
        const double prior = logarithm(static_cast<double>(quantiles->median));
        return Millis(
            std::llround(std::exp((finished.value * finished.weight + prior * ForecastWeight)
                / (finished.weight + ForecastWeight))));
    }
    if (done != steps_.end() && done->second.weight >= 1)
        return Millis(static_cast<int64_t>(std::exp(done->second.value)));
    return correctedEstimate(work, step);
}

Millis DurationEstimator::correctedEstimate(
    const state::Work &work, const state::StepRef &step) const
{
    const auto queue = queues_.find(work.queue);
    const double factor = queue == queues_.end() ? 1.0 : std::exp(queue->second.value);
    return Millis(
        static_cast<int64_t>(static_cast<double>(work.specOf(step).estimate_ms()) * factor));
}

std::optional<Millis> DurationEstimator::measuredDuration(const state::StepRef &step) const
{
    const auto done = steps_.find(step);
    if (done == steps_.end() || done->second.weight < 2)
        return std::nullopt;
    return Millis(static_cast<int64_t>(std::exp(done->second.value)));
}

void DurationEstimator::dropInactive(const state::WorkTable &table)
{
    std::erase_if(steps_, [&table](const auto &entry) {
        const state::Work *work = table.find(entry.first.work);
        return work == nullptr || !work->isActive() || work->stepAt(entry.first).isDone();
    });
}

} // namespace basilgap::scheduling
