#include "Basilgap/Scheduling/Lateness.h"

#include <algorithm>
#include <vector>

namespace basilgap::scheduling {

namespace {

// A work earns nothing after three times its latency objective.
constexpr int64_t ExpiredLatenessFactor = 3;

} // namespace

Lateness latenessOf(
    const state::Work &work, const schema::QueueConfig &queue, uint32_t occurrence, uint64_t wallMs)
{
    const auto chain = static_cast<double>(criticalPathMs(work, std::nullopt));
    const uint64_t due = std::max(work.dueMs(occurrence), work.submittedMs);
    const auto objective = static_cast<int64_t>(
        queue.slack_factor() * chain + static_cast<double>(queue.target_latency_ms()));
    const auto age = static_cast<int64_t>(wallMs) - static_cast<int64_t>(due);
    const int64_t slack = objective - age - static_cast<int64_t>(criticalPathMs(work, occurrence));
    const int lateBand = age < ExpiredLatenessFactor * objective ? 1 : 2;
    return { slack >= 0 ? 0 : lateBand, slack };
}

uint64_t criticalPathMs(const state::Work &work, std::optional<uint32_t> remainingOf)
{
    std::vector<uint64_t> ends(static_cast<size_t>(work.spec.steps_size()), 0);
    uint64_t longest = 0;
    for (size_t i = 0; i < ends.size(); i++) {
        const schema::StepSpec &step = work.spec.steps(static_cast<int>(i));
        uint64_t begin = 0;
        for (const uint32_t before : step.after())
            begin = std::max(begin, ends[before]);
        const bool isDone = remainingOf && work.occurrences[*remainingOf][i].isDone();
        ends[i] = begin + (isDone ? 0 : step.estimate_ms());
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

} // namespace basilgap::scheduling
