#pragma once

#include <optional>
#include <vector>

#include "Basilgap/Common/Millis.h"

namespace basilgap::scheduling {

// Forecast of a run, used to decide when its worker is polled again.
struct PolledRun
{
    // Absent while too little progress is known for a forecast.
    std::optional<Millis> projectedEnd;
    // Latest projected end among the step's running tasks. Absent if the step waits for something
    // else first, such as tasks that have no worker yet.
    std::optional<Millis> stepProjectedEnd;
};

// Most urgent work that waits for capacity which the end of a run would free.
enum class CapacityDemand { None, Deferrable, Urgent };

// Returns the delay before a worker is polled for ended runs again. Each poll costs the worker and
// the network, and only the last task of a step to end lets its job continue, so that earlier ends
// can be reported in one poll. Load pattern: many short tasks, each of which caused a poll of its
// own.
Millis pollDelay(const std::vector<PolledRun> &runs, CapacityDemand demand, Millis now);

} // namespace basilgap::scheduling
