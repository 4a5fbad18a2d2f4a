// Selects the deferrable runs to preempt for urgent work.

#include <algorithm>
#include <tuple>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {

void StepPlanner::loadPreemptibleRuns()
{
    if (preemptibleRuns_)
        return;
    preemptibleRuns_ = input_.preemptibleRuns();
    std::sort(preemptibleRuns_->begin(), preemptibleRuns_->end(),
        [](const PreemptibleRun &left, const PreemptibleRun &right) {
            return std::tie(left.lostWorkMs, left.task) < std::tie(right.lostWorkMs, right.task);
        });
    for (PreemptibleRun &run : *preemptibleRuns_) {
        preemptibleByWorker_[run.worker].push_back(&run);
        preemptibleByAccount_[run.account].push_back(&run);
        if (!run.isStopping)
            continue;
        stoppingByAccount_[run.account] += run.reservation;
        stoppingByWorker_[run.worker] += run.reservation;
    }
}

void StepPlanner::preemptRun(PreemptibleRun *run)
{
    run->isStopping = true;
    plan_.preemptions.push_back(run->task);
    stoppingByAccount_[run->account] += run->reservation;
    stoppingByWorker_[run->worker] += run->reservation;
}

// The account's limit is reached: its own deferrable runs are preempted for its urgent ones.
void StepPlanner::preemptWithinAccount(const Candidate &candidate, uint32_t missing)
{
    if (candidate.priority >= DeferrablePriority || candidate.latenessBand > 1)
        return;
    loadPreemptibleRuns();
    const Resources wanted = state::reservationOf(candidate.work->specOf(candidate.ref)) * missing;
    Resources &stopping = stoppingByAccount_[candidate.work->account];
    std::vector<PreemptibleRun *> &own = preemptibleByAccount_[candidate.work->account];
    for (PreemptibleRun *run : own) {
        if (wanted.fitsIn(stopping))
            break;
        if (!run->isStopping)
            preemptRun(run);
    }
    // Drop the runs that are stopping by now.
    std::erase_if(own, [](const PreemptibleRun *run) { return run->isStopping; });
    stopping -= wanted;
}

// No eligible worker has free capacity: deferrable runs are preempted on workers where that frees
// enough for a task.
void StepPlanner::preemptForCapacity(const Candidate &candidate, uint32_t missing)
{
    if (candidate.priority >= DeferrablePriority || candidate.latenessBand > 1)
        return;
    loadPreemptibleRuns();
    const Resources reservation = state::reservationOf(candidate.work->specOf(candidate.ref));
    if (candidate.queue->has_advice()) {
        for (const auto &[number, ticket] : input_.permits.permitsFor(candidate.ref).tickets()) {
            StepWorker *worker = findWorker(number);
            if (worker != nullptr && missing > 0
                && preemptOnWorker(candidate, reservation, *worker))
                missing--;
        }
        return;
    }
    for (const StepWorker &worker : input_.workers) {
        if (missing > 0 && preemptOnWorker(candidate, reservation, worker))
            missing--;
    }
}

// Preempts runs on the worker if that frees enough for one task; returns whether it does.
bool StepPlanner::preemptOnWorker(
    const Candidate &candidate, const Resources &reservation, const StepWorker &worker)
{
    if (!mayRun(worker, candidate))
        return false;
    Resources freeCapacity = worker.freeCapacity() + stoppingByWorker_[worker.number];
    std::vector<PreemptibleRun *> victims;
    for (PreemptibleRun *run : preemptibleByWorker_[worker.number]) {
        if (reservation.fitsIn(freeCapacity))
            break;
        if (run->isStopping)
            continue;
        victims.push_back(run);
        freeCapacity += run->reservation;
    }
    if (!reservation.fitsIn(freeCapacity))
        return false;
    for (PreemptibleRun *victim : victims)
        preemptRun(victim);
    stoppingByWorker_[worker.number] -= reservation;
    return true;
}

} // namespace basilgap::scheduling
