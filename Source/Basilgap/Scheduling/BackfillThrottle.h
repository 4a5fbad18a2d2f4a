#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// A task with a bound on its response time that shares a worker with backfill tasks.
struct LatencySensitiveTask
{
    // Measured tail latency and its upper bound, in milliseconds.
    double tailLatencyMs = 0;
    double targetLatencyMs = 0;
};

// A task that uses processor time left by others and may be throttled in their favour.
struct BackfillTask
{
    state::StepTaskRef task;
    // Current limit of its speed, 0 to 100 percent.
    uint32_t speedPercent = 100;
};

struct ThrottleChange
{
    state::StepTaskRef task;
    uint32_t speedPercent = 100;
};

// Throttles backfill tasks while a latency-sensitive task on the same worker is near or over its
// target, and raises their speed slowly afterwards. Multiplicative decrease and additive increase
// keep the tail latency from oscillating. Load pattern: interference of backfill with
// latency-sensitive tasks.
class BackfillThrottle
{
public:
    std::vector<ThrottleChange> update(state::WorkerNumber worker,
        const std::vector<LatencySensitiveTask> &latencySensitive,
        const std::vector<BackfillTask> &backfill, Millis now);

private:
    // Time of the last speed change on each worker.
    std::map<state::WorkerNumber, Millis> lastChangeAt_;
};

} // namespace basilgap::scheduling
