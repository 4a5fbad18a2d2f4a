#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// A task that serves users of its own beside others on a worker.
struct LatencySensitiveTask
{
    // Tail of its response times and the bound that it must stay below, in milliseconds.
    double tailLatencyMs = 0;
    double targetLatencyMs = 0;
};

// A task that uses the processor that others leave, and may be slowed down for them.
struct BackfillTask
{
    state::StepTask task;
    // Share of its speed that it is allowed now, 0 to 100.
    uint32_t speedPercent = 100;
};

struct ThrottleChange
{
    state::StepTask task;
    uint32_t speedPercent = 100;
};

// Slows filling tasks down while a serving task beside them is near or over its target, and gives
// speed back slowly. Halving and small steps up keep the tail from swinging.
class BackfillThrottle
{
public:
    std::vector<ThrottleChange> update(state::WorkerNumber worker,
        const std::vector<LatencySensitiveTask> &latencySensitive,
        const std::vector<BackfillTask> &backfill, Millis now);

private:
    // When each worker's filling tasks were last changed.
    std::map<state::WorkerNumber, Millis> lastChangeAt_;
};

} // namespace basilgap::scheduling
