#include "Basilgap/Scheduling/Lateness.h"

#include <algorithm>
#include <vector>

#include "Basilgap/Scheduling/DurationEstimator.h"

namespace basilgap::scheduling {

namespace {

// A work earns nothing after three times its latency objective.
constexpr int64_t ExpiredLatenessFactor = 3;

// From the plan to the start of a step's last task on a busy leader.
constexpr int64_t StartMarginMs = 100;
// The last task of a step of ten takes about a quarter longer than the median.
constexpr double LongestTaskShare = 0.25;

// Lengths of the critical path through a job's steps.
struct CriticalPath
{
    uint64_t allMs = 0;
    // Of the steps of one occurrence that are not done yet.
    uint64_t remainingMs = 0;
    // Part of the processor time of all tasks that is finished, from 0 to 1.
    double doneShare = 0;
};

CriticalPath criticalPathOf(
    const state::Work &work, uint32_t occurrence, const DurationEstimator *durations)
{
    // Read whenever a waiting job changes, so the memory is kept.
    thread_local std::vector<CriticalPath> ends;
    ends.assign(static_cast<size_t>(work.spec.steps_size()), {});
    CriticalPath longest;
    double allWork = 0;
    double doneWork = 0;
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
        // A job is not late before it would be by its own estimates, whatever the forecast says.
        const uint64_t objectiveMs = std::max<uint64_t>(expectedMs, step.estimate_ms());
        ends[i] = { begin.allMs + objectiveMs, begin.remainingMs + (isDone ? 0 : expectedMs) };
        const double taskWork = static_cast<double>(expectedMs * step.millicores());
        allWork += taskWork * step.count();
        doneWork += taskWork * work.occurrences[occurrence][i].done;
        longest.allMs = std::max(longest.allMs, ends[i].allMs);
        longest.remainingMs = std::max(longest.remainingMs, ends[i].remainingMs);
    }
    longest.doneShare = allWork > 0 ? doneWork / allWork : 0;
    return longest;
}

int64_t objectiveOf(const CriticalPath &path, const schema::QueueConfig &queue)
{
    return static_cast<int64_t>(queue.slack_factor() * static_cast<double>(path.allMs)
        + static_cast<double>(queue.target_latency_ms()));
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
    const int64_t objective = objectiveOf(path, queue);
    const auto margin = StartMarginMs
        + static_cast<int64_t>(LongestTaskShare * static_cast<double>(path.remainingMs));
    const int64_t latestStart = due + objective - static_cast<int64_t>(path.remainingMs) - margin;
    const auto done = static_cast<int64_t>(path.doneShare * static_cast<double>(objective));
    return { latestStart, latestStart - done, due + ExpiredLatenessFactor * objective };
}

Millis latencyObjectiveOf(const state::Work &work, const schema::QueueConfig &queue,
    uint32_t occurrence, const DurationEstimator *durations)
{
    return Millis(objectiveOf(criticalPathOf(work, occurrence, durations), queue));
}

} // namespace basilgap::scheduling
