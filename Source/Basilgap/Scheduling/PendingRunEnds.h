#pragma once

#include <map>
#include <set>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// Effect of run ends that are written into the same log record as the planned starts. The ends are
// applied first, so that the following steps need no log record of their own. Load pattern: jobs of
// short steps, where a log write between two steps is a large part of the latency.
struct PendingRunEnds
{
    // Steps that are complete once the ends are applied.
    std::set<state::StepRef> doneSteps;
    // Tasks that wait for a new run once the ends are applied.
    std::map<state::StepRef, std::set<uint32_t>> requeuedTasks;

    bool isReady(const state::Work &work, const state::StepRef &ref) const;
    uint32_t waitingTasks(const state::Work &work, const state::StepRef &ref) const;
    bool isWaiting(const state::Work &work, const state::StepTaskRef &task) const;
};

PendingRunEnds collectPendingRunEnds(const state::WorkTable &table, const schema::RunBatch &batch);

} // namespace basilgap::scheduling
