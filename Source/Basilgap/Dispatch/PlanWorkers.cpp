#include "Basilgap/Dispatch/PlanWorkers.h"

#include <algorithm>

namespace basilgap::dispatch {

using scheduling::StepWorker;

void PlanWorkers::assign(std::vector<StepWorker> workers)
{
    workers_ = std::move(workers);
    changed_.clear();
    for (const StepWorker &worker : workers_)
        changed_.insert(changed_.end(), worker.number);
}

StepWorker *PlanWorkers::find(state::WorkerNumber number)
{
    const auto found = std::lower_bound(workers_.begin(), workers_.end(), number,
        [](const StepWorker &worker, state::WorkerNumber wanted) {
            return worker.number < wanted;
        });
    return found == workers_.end() || found->number != number ? nullptr : &*found;
}

std::vector<StepWorker> &PlanWorkers::refresh(const Update &update)
{
    for (const state::WorkerNumber number : changed_) {
        StepWorker *worker = find(number);
        if (worker != nullptr)
            update(*worker);
    }
    changed_.clear();
    return workers_;
}

} // namespace basilgap::dispatch
