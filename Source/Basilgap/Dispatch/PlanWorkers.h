#pragma once

#include <functional>
#include <set>
#include <vector>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::dispatch {

// The planner's view of the workers. A round reads only those again that have changed since the
// last one. Load pattern: a large fleet, of which each round concerns a few workers.
class PlanWorkers
{
public:
    using Update = std::function<void(scheduling::StepWorker &)>;

    // Replaces the list, which is sorted by number; all of its workers count as changed.
    void assign(std::vector<scheduling::StepWorker> workers);

    void markChanged(state::WorkerNumber number) { changed_.insert(number); }

    // Calls `update` for each worker marked since the last call, and returns the list. A caller
    // that changes entries of the list marks them, so that they are read again.
    std::vector<scheduling::StepWorker> &refresh(const Update &update);

private:
    scheduling::StepWorker *find(state::WorkerNumber number);

    std::vector<scheduling::StepWorker> workers_;
    std::set<state::WorkerNumber> changed_;
};

} // namespace basilgap::dispatch
