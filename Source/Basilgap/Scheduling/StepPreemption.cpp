// Which patient runs make way for urgent work.

#include <algorithm>
#include <tuple>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {

void StepPlanner::loadStoppable()
{
    if (stoppable_)
        return;
    stoppable_ = input_.stoppable();
    std::sort(stoppable_->begin(), stoppable_->end(),
        [](const StoppableRun &left, const StoppableRun &right) {
            return std::tie(left.lostMs, left.task) < std::tie(right.lostMs, right.task);
        });
    for (const StoppableRun &run : *stoppable_) {
        if (!run.isStopping)
            continue;
        leavingOfAccount_[run.account] += run.need;
        leavingOnWorker_[run.worker] += run.need;
    }
}

void StepPlanner::stopRun(StoppableRun *run)
{
    run->isStopping = true;
    plan_.stops.push_back(run->task);
    leavingOfAccount_[run->account] += run->need;
    leavingOnWorker_[run->worker] += run->need;
}

// The account's limit is full: its own patient runs make way for its urgent ones.
void StepPlanner::preemptUnderCap(const Candidate &candidate, uint32_t missing)
{
    if (candidate.priority >= PatientPriority || candidate.band > 1)
        return;
    loadStoppable();
    const Resources wanted = state::needOf(candidate.work->specOf(candidate.ref)) * missing;
    Resources &leaving = leavingOfAccount_[candidate.work->account];
    for (StoppableRun &run : *stoppable_) {
        if (wanted.fitsIn(leaving))
            break;
        if (!run.isStopping && run.account == candidate.work->account)
            stopRun(&run);
    }
    leaving -= wanted;
}

// No eligible worker has room: patient runs make way where that suffices for a task.
void StepPlanner::preemptForRoom(const Candidate &candidate, uint32_t missing)
{
    if (candidate.priority >= PatientPriority || candidate.band > 1)
        return;
    loadStoppable();
    const Resources need = state::needOf(candidate.work->specOf(candidate.ref));
    const bool needsTicket = candidate.queue->has_advice();
    for (const StepWorker &worker : input_.workers) {
        if (missing == 0)
            return;
        if (!mayRun(worker, candidate)
            || (needsTicket && !input_.permits.isKnownEligible(candidate.ref, worker.number)))
            continue;
        Resources room = worker.room() + leavingOnWorker_[worker.number];
        std::vector<StoppableRun *> victims;
        for (StoppableRun &run : *stoppable_) {
            if (need.fitsIn(room))
                break;
            if (run.isStopping || run.worker != worker.number)
                continue;
            victims.push_back(&run);
            room += run.need;
        }
        if (!need.fitsIn(room))
            continue;
        for (StoppableRun *victim : victims)
            stopRun(victim);
        leavingOnWorker_[worker.number] -= need;
        missing--;
    }
}

} // namespace basilgap::scheduling
