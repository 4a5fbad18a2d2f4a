#pragma once

#include <cstdint>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

class DurationEstimator;

// Times of an occurrence of a job against its latency objective, in Unix milliseconds. They change
// only when the state of its steps does.
struct LatencyBounds
{
    // The latest start of the remaining critical path that meets the objective, with a margin for
    // the time until a planned task starts and for tasks that take longer than expected.
    int64_t latestStartMs = 0;
    // The latest start, less the time that the finished part of the work was worth. By this order
    // jobs that have begun come to their end before others begin.
    int64_t orderMs = 0;
    // From then on the occurrence earns nothing more.
    int64_t expiryMs = 0;

    // 0: can meet the objective; 1: late; 2: so late that it earns nothing more.
    int bandAt(uint64_t wallMs) const;
};

// Latency objective of one occurrence of the job.
Millis latencyObjectiveOf(const state::Work &work, const schema::QueueConfig &queue,
    uint32_t occurrence, const DurationEstimator *durations);

// By the expected durations of the steps, or by the estimates in the job without an estimator.
LatencyBounds latencyBoundsOf(const state::Work &work, const schema::QueueConfig &queue,
    uint32_t occurrence, const DurationEstimator *durations);

} // namespace basilgap::scheduling
