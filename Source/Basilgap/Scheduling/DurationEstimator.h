#pragma once

#include <map>
#include <optional>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/DurationForecast.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Estimates the relative speed of workers and the error of duration estimates from finished tasks.
// Since estimates are inexact, workers are compared only by tasks of the same step. Load pattern:
// heterogeneous and degraded workers, inexact estimates.
class DurationEstimator
{
public:
    void recordDuration(const state::Work &work, const state::StepRef &step,
        state::WorkerNumber worker, Millis duration);

    // Has expectedDuration() use the forecast; null: only estimates and the step's finished tasks.
    void useForecast(const DurationForecast *forecast) { forecast_ = forecast; }

    // Duration on the worker relative to a typical worker; above 1: slower.
    double slowdown(state::WorkerNumber worker) const;
    // The same, absent if no run on the worker was measured.
    std::optional<double> measuredSlowdown(state::WorkerNumber worker) const;
    // Expected duration of a task of the step on a typical worker.
    Millis expectedDuration(const state::Work &work, const state::StepRef &step) const;
    // The same by the given forecast, or without one.
    Millis expectedDuration(const state::Work &work, const state::StepRef &step,
        const DurationForecast *forecast) const;

    // Expected duration by the estimate and the mean error of the queue's estimates alone.
    Millis correctedEstimate(const state::Work &work, const state::StepRef &step) const;

    // Mean duration of the step's finished tasks; absent until there are several.
    std::optional<Millis> measuredDuration(const state::StepRef &step) const;

    // Removes steps that are done or whose work is no longer active.
    void dropInactive(const state::WorkTable &table);

private:
    struct Mean
    {
        double value = 0;
        double weight = 0;

        void add(double sample, double maxWeight);
    };

    const DurationForecast *forecast_ = nullptr;
    // Means of logarithms: of the worker's slowdown, of the step's durations, and of the ratio of
    // duration to estimate in the queue.
    std::map<state::WorkerNumber, Mean> workers_;
    std::map<state::StepRef, Mean> steps_;
    std::map<state::QueueId, Mean> queues_;
};

} // namespace basilgap::scheduling
