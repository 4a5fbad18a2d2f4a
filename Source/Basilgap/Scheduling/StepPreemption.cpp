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
    for (StoppableRun &run : *stoppable_) {
        stoppableOn_[run.worker].push_back(&run);
        stoppableOf_[run.account].push_back(&run);
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
    const Resources wanted = state::reservationOf(candidate.work->specOf(candidate.ref)) * missing;
    Resources &leaving = leavingOfAccount_[candidate.work->account];
    std::vector<StoppableRun *> &own = stoppableOf_[candidate.work->account];
    for (StoppableRun *run : own) {
        if (wanted.fitsIn(leaving))
            break;
        if (!run->isStopping)
            stopRun(run);
    }
    // Those in front are all on their way out by now.
    std::erase_if(own, [](const StoppableRun *run) { return run->isStopping; });
    leaving -= wanted;
}

// No eligible worker has room: patient runs make way where that suffices for a task.
void StepPlanner::preemptForRoom(const Candidate &candidate, uint32_t missing)
{
    if (candidate.priority >= PatientPriority || candidate.band > 1)
        return;
    loadStoppable();
    const Resources need = state::reservationOf(candidate.work->specOf(candidate.ref));
    if (candidate.queue->has_advice()) {
        for (const auto &[number, ticket] : input_.permits.of(candidate.ref).eligible()) {
            StepWorker *worker = findWorker(number);
            if (worker != nullptr && missing > 0 && preemptOn(candidate, need, *worker))
                missing--;
        }
        return;
    }
    for (const StepWorker &worker : input_.workers) {
        if (missing > 0 && preemptOn(candidate, need, worker))
            missing--;
    }
}

// Whether runs that make way there suffice for a task.
bool StepPlanner::preemptOn(
    const Candidate &candidate, const Resources &need, const StepWorker &worker)
{
    if (!mayRun(worker, candidate))
        return false;
    Resources room = worker.room() + leavingOnWorker_[worker.number];
    std::vector<StoppableRun *> victims;
    for (StoppableRun *run : stoppableOn_[worker.number]) {
        if (need.fitsIn(room))
            break;
        if (run->isStopping)
            continue;
        victims.push_back(run);
        room += run->need;
    }
    if (!need.fitsIn(room))
        return false;
    for (StoppableRun *victim : victims)
        stopRun(victim);
    leavingOnWorker_[worker.number] -= need;
    return true;
}

} // namespace basilgap::scheduling
