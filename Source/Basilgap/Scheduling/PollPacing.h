#pragma once

#include <optional>
#include <vector>

#include "Basilgap/Common/Millis.h"

namespace basilgap::scheduling {

// A run on a worker, as far as it decides when the worker is looked at again.
struct PolledRun
{
    // Absent while too little is known of its speed.
    std::optional<Millis> projectedEnd;
    // Latest expected end among the running tasks of its step; absent when something else is
    // waited for first, as tasks of the step that have no worker yet.
    std::optional<Millis> stepProjectedEnd;
};

// What waits for room that the end of a run would free.
enum class CapacityDemand { None, Deferrable, Urgent };

// How long to leave a worker alone before it is asked for ends again. Each look costs its worker
// and the network something, and of the tasks of a step only the last to end lets the job go on:
// the others may be told of together. Answers a cell on which each of many short tasks had a look
// of its own.
Millis pollDelay(const std::vector<PolledRun> &runs, CapacityDemand demand, Millis now);

} // namespace basilgap::scheduling
