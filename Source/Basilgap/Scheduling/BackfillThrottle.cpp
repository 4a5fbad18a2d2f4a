#include "Basilgap/Scheduling/BackfillThrottle.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

// Fractions of the latency target: at the first and above, backfill tasks are throttled; below the
// second, they recover.
constexpr double ThrottleThreshold = 0.85;
constexpr double RecoveryThreshold = 0.6;

// Latencies cover the last half second, so a change shows up only after that.
constexpr Millis SettleTime{ 700 };
constexpr Millis RecoveryInterval{ 1500 };
constexpr uint32_t RecoveryStepPercent = 20;

// Below this speed the progress is not worth the memory that the task holds, so it is paused.
constexpr uint32_t MinPercent = 15;

} // namespace

std::vector<ThrottleChange> BackfillThrottle::update(state::WorkerNumber worker,
    const std::vector<LatencySensitiveTask> &latencySensitive,
    const std::vector<BackfillTask> &backfill, Millis now)
{
    double worstLatencyRatio = 0;
    for (const LatencySensitiveTask &task : latencySensitive) {
        if (task.targetLatencyMs > 0)
            worstLatencyRatio =
                std::max(worstLatencyRatio, task.tailLatencyMs / task.targetLatencyMs);
    }
    const Millis since = now - lastChangeAt_[worker];
    const bool mustThrottle = worstLatencyRatio >= ThrottleThreshold && since >= SettleTime;
    const bool mayRecover = worstLatencyRatio < RecoveryThreshold && since >= RecoveryInterval;
    std::vector<ThrottleChange> changes;
    for (const BackfillTask &task : backfill) {
        uint32_t speedPercent = task.speedPercent;
        if (mustThrottle)
            speedPercent =
                worstLatencyRatio >= 1 || speedPercent / 2 < MinPercent ? 0 : speedPercent / 2;
        else if (mayRecover)
            speedPercent = std::min(100U, std::max(speedPercent + RecoveryStepPercent, MinPercent));
        if (speedPercent != task.speedPercent)
            changes.push_back({ task.task, speedPercent });
    }
    if (!changes.empty())
        lastChangeAt_[worker] = now;
    return changes;
}

} // namespace basilgap::scheduling
