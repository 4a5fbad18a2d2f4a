#include "Basilgap/Scheduling/BackfillThrottle.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

// Parts of the target: from the first on filling tasks slow down, below the second they speed up.
constexpr double ThrottleThreshold = 0.85;
constexpr double RecoveryThreshold = 0.6;

// The figures tell of the last half second, so that a change shows after that long.
constexpr Millis SettleTime{ 700 };
constexpr Millis RecoveryInterval{ 1500 };
constexpr uint32_t RecoveryStepPercent = 20;

// Slower than this is not worth the memory: the task rests.
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
