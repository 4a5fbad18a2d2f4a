#include "Basilgap/Scheduling/Lateness.h"

#include <algorithm>
#include <vector>

#include "Basilgap/Scheduling/DurationEstimator.h"

namespace basilgap::scheduling {

namespace {

// A work earns nothing after three times its latency objective.
constexpr int64_t ExpiredLatenessFactor = 3;

// Lengths of the critical path through a job's steps.
struct CriticalPath
{
    uint64_t allMs = 0;
    // Of the steps of one occurrence that are not done yet.
    uint64_t remainingMs = 0;
};

CriticalPath criticalPathOf(
    const state::Work &work, uint32_t occurrence, const DurationEstimator *durations)
{
    // Read whenever a waiting job changes, so the memory is kept.
    thread_local std::vector<CriticalPath> ends;
    ends.assign(static_cast<size_t>(work.spec.steps_size()), {});
    CriticalPath longest;
    for (size_t i = 0; i < ends.size(); i++) {
        const schema::StepSpec &step = work.spec.steps(static_cast<int>(i));
        CriticalPath begin;
        for (const uint32_t before : step.after()) {
            begin.allMs = std::max(begin.allMs, ends[before].allMs);
            begin.remainingMs = std::max(begin.remainingMs, ends[before].remainingMs);
        }
        const bool isDone = work.occurrences[occurrence][i].isDone();
        const state::StepRef ref{ work.serial, occurrence, static_cast<uint32_t>(i) };
        const uint64_t expectedMs = durations == nullptr
            ? step.estimate_ms()
            : static_cast<uint64_t>(durations->expectedDuration(work, ref).count());
        ends[i] = { begin.allMs + expectedMs, begin.remainingMs + (isDone ? 0 : expectedMs) };
        longest.allMs = std::max(longest.allMs, ends[i].allMs);
        longest.remainingMs = std::max(longest.remainingMs, ends[i].remainingMs);
    }
    return longest;
}

} // namespace

int LatencyBounds::bandAt(uint64_t wallMs) const
{
    const auto now = static_cast<int64_t>(wallMs);
    if (now <= latestStartMs)
        return 0;
    return now < expiryMs ? 1 : 2;
}

LatencyBounds latencyBoundsOf(const state::Work &work, const schema::QueueConfig &queue,
    uint32_t occurrence, const DurationEstimator *durations)
{
    const CriticalPath path = criticalPathOf(work, occurrence, durations);
    const auto due = static_cast<int64_t>(std::max(work.dueMs(occurrence), work.submittedMs));
    const auto objective =
        static_cast<int64_t>(queue.slack_factor() * static_cast<double>(path.allMs)
            + static_cast<double>(queue.target_latency_ms()));
    return { due + objective - static_cast<int64_t>(path.remainingMs),
        due + ExpiredLatenessFactor * objective };
}

} // namespace basilgap::scheduling
