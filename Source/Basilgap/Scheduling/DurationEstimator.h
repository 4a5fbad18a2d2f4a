#pragma once

#include <map>
#include <optional>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Learns from finished tasks how fast each worker is against the others, and how long tasks really
// take against their estimates. Estimates are rough, so that workers are compared over tasks of the
// same step only.
class DurationEstimator
{
public:
    void recordDuration(const state::Work &work, const state::StepRef &step,
        state::WorkerNumber worker, Millis duration);

    // Time that the worker takes for work that takes a usual one 1; above 1: slower.
    double slowdown(state::WorkerNumber worker) const;
    // Time that a task of the step is expected to take on a usual worker.
    Millis expectedDuration(const state::Work &work, const state::StepRef &step) const;

    // The same from the estimate and the experience with the queue alone.
    Millis correctedEstimate(const state::Work &work, const state::StepRef &step) const;

    // The same from finished tasks of the step alone; nothing until there are several.
    std::optional<Millis> measuredDuration(const state::StepRef &step) const;

    // Forgets steps of works that are not active any more.
    void dropInactive(const state::WorkTable &table);

private:
    struct Mean
    {
        double value = 0;
        double weight = 0;

        void add(double sample, double maxWeight);
    };

    // Logarithms of ratios of durations.
    std::map<state::WorkerNumber, Mean> workers_;
    std::map<state::StepRef, Mean> steps_;
    std::map<state::QueueName, Mean> queues_;
};

} // namespace basilgap::scheduling
