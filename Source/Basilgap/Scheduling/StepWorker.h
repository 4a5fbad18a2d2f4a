#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

using state::Resources;
using state::WorkerNumber;

// State of a worker for the step planner.
struct StepWorker
{
    WorkerNumber number;
    std::string pool;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    // Includes all runs whose end is not confirmed.
    Resources reserved;
    // Millicores that the backfill tasks on the worker would use.
    int64_t backfillMillicores = 0;
    // Whether it may be given new tasks.
    bool schedulable = true;
    // Tasks stay off it as far as others have room for them (QuarantineLimit).
    bool isQuarantined = false;
    // Duration relative to a typical worker.
    double slowdown = 1;
    // Number of tasks that may still be started; limited while the worker is on probation.
    uint32_t remainingStarts = UINT32_MAX;

    Resources freeCapacity() const { return capacity - reserved; }
};

} // namespace basilgap::scheduling
