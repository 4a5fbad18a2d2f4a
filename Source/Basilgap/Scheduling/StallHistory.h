#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Remembers which tasks were stopped as stalled, so that each stop gives the next run more time.
class StallHistory
{
public:
    // Records that the run was found stalled, which may happen repeatedly until it has stopped.
    void record(const state::StepTaskRef &task, uint32_t run);
    // How many runs of the task before this one were found stalled.
    uint32_t earlierStalls(const state::StepTaskRef &task, uint32_t run) const;
    void eraseIf(const std::function<bool(const state::StepTaskRef &)> &condition);

private:
    struct Stalls
    {
        // The newest run that was found stalled, and how many were before it.
        uint32_t run = 0;
        uint32_t earlier = 0;
    };

    std::map<state::StepTaskRef, Stalls> stalls_;
};

} // namespace basilgap::scheduling
