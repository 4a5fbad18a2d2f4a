#pragma once

#include <map>
#include <set>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// What ends will change that go into the same record as the starts that are planned: ends count
// first there, so that what follows them need not wait for a record of its own. Answers jobs of
// short steps, in which a log write between two steps is a large part of the time.
struct PendingRunEnds
{
    // Steps whose last tasks end.
    std::set<state::StepRef> doneSteps;
    // Tasks that wait for a new run.
    std::map<state::StepRef, std::set<uint32_t>> requeuedTasks;

    bool isReady(const state::Work &work, const state::StepRef &ref) const;
    uint32_t waitingTasks(const state::Work &work, const state::StepRef &ref) const;
    bool isWaiting(const state::Work &work, const state::StepTask &task) const;
};

PendingRunEnds collectPendingRunEnds(const state::WorkTable &table, const schema::RunBatch &batch);

} // namespace basilgap::scheduling
