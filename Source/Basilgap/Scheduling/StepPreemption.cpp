// Selects the deferrable runs to preempt for urgent work.

#include <algorithm>
#include <tuple>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {

namespace {

// Workers on which a round considers preemption for steps with advice, the most urgent first. In a
// full cell with a long queue, each step would look at the same few workers again.
constexpr size_t MaxPreemptionProbes = 256;

} // namespace

bool StepPlanner::isStopping(const PreemptibleRun &run) const
{
    return run.isStopping || preempted_.contains(run.task);
}

StepPlanner::PreemptibleRuns StepPlanner::toPreemptibleRuns(std::vector<PreemptibleRun> runs) const
{
    PreemptibleRuns result{ .runs = std::move(runs) };
    std::sort(result.runs.begin(), result.runs.end(),
        [](const PreemptibleRun &left, const PreemptibleRun &right) {
            return std::tie(left.lostWorkMs, left.task) < std::tie(right.lostWorkMs, right.task);
        });
    for (const PreemptibleRun &run : result.runs) {
        if (isStopping(run))
            result.stopping += run.reservation;
    }
    return result;
}

StepPlanner::PreemptibleRuns &StepPlanner::preemptibleOn(WorkerNumber worker)
{
    const auto known = preemptibleByWorker_.find(worker);
    if (known != preemptibleByWorker_.end())
        return known->second;
    return preemptibleByWorker_[worker] = toPreemptibleRuns(input_.preemptibleRunsOn(worker));
}

StepPlanner::PreemptibleRuns &StepPlanner::preemptibleOf(const state::AccountName &account)
{
    const auto known = preemptibleByAccount_.find(account);
    if (known != preemptibleByAccount_.end())
        return known->second;
    return preemptibleByAccount_[account] = toPreemptibleRuns(input_.preemptibleRunsOf(account));
}

void StepPlanner::preemptRun(const PreemptibleRun &run)
{
    preempted_.insert(run.task);
    plan_.preemptions.push_back(run.task);
    const auto ofWorker = preemptibleByWorker_.find(run.worker);
    if (ofWorker != preemptibleByWorker_.end())
        ofWorker->second.stopping += run.reservation;
    const auto ofAccount = preemptibleByAccount_.find(run.account);
    if (ofAccount != preemptibleByAccount_.end())
        ofAccount->second.stopping += run.reservation;
}

// Whether any worker that may run the step could hold one of its tasks if it were empty.
bool StepPlanner::couldAnyWorkerHold(const Candidate &candidate) const
{
    const Resources reservation = state::reservationOf(candidate.work->specOf(candidate.ref));
    return std::any_of(input_.workers.begin(), input_.workers.end(), [&](const StepWorker &worker) {
        return reservation.fitsIn(worker.capacity) && mayRun(worker, candidate);
    });
}

// The account's limit is reached: its own deferrable runs are preempted for its urgent ones.
void StepPlanner::preemptWithinAccount(const Candidate &candidate, uint32_t missing)
{
    if (candidate.priority >= DeferrablePriority || candidate.latenessBand > 1)
        return;
    if (!couldAnyWorkerHold(candidate))
        return;
    const Resources wanted = state::reservationOf(candidate.work->specOf(candidate.ref)) * missing;
    PreemptibleRuns &own = preemptibleOf(candidate.work->account);
    for (const PreemptibleRun &run : own.runs) {
        if (wanted.fitsIn(own.stopping))
            break;
        if (!isStopping(run))
            preemptRun(run);
    }
    own.stopping -= wanted;
}

bool StepPlanner::mayPreempt(const Candidate &candidate, const Resources &reservation) const
{
    if (candidate.priority >= DeferrablePriority || candidate.latenessBand > 1)
        return false;
    if (candidate.queue->has_advice())
        return preemptionProbes_ < MaxPreemptionProbes;
    return !unattainable_ || !unattainable_->fitsIn(reservation);
}

// No eligible worker has free capacity: deferrable runs are preempted on workers where that frees
// enough for a task.
void StepPlanner::preemptForCapacity(const Candidate &candidate, uint32_t missing)
{
    const Resources reservation = state::reservationOf(candidate.work->specOf(candidate.ref));
    if (!mayPreempt(candidate, reservation))
        return;
    if (candidate.queue->has_advice()) {
        for (const WorkerNumber number : input_.permits.permitsFor(candidate.ref).granted()) {
            if (missing == 0 || preemptionProbes_++ >= MaxPreemptionProbes)
                return;
            StepWorker *worker = findWorker(number);
            if (worker != nullptr && preemptOnWorker(candidate, reservation, *worker))
                missing--;
        }
        return;
    }
    for (const StepWorker &worker : input_.workers) {
        if (missing > 0 && preemptOnWorker(candidate, reservation, worker))
            missing--;
    }
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    if (missing > 0 && spec.required_label().empty() && spec.max_per_worker() == 0)
        unattainable_ = reservation;
}

// Preempts runs on the worker if that frees enough for one task; returns whether it does.
bool StepPlanner::preemptOnWorker(
    const Candidate &candidate, const Resources &reservation, const StepWorker &worker)
{
    if (!mayRun(worker, candidate))
        return false;
    PreemptibleRuns &preemptible = preemptibleOn(worker.number);
    Resources freeCapacity = worker.freeCapacity() + preemptible.stopping;
    std::vector<const PreemptibleRun *> victims;
    for (const PreemptibleRun &run : preemptible.runs) {
        if (reservation.fitsIn(freeCapacity))
            break;
        if (isStopping(run))
            continue;
        victims.push_back(&run);
        freeCapacity += run.reservation;
    }
    if (!reservation.fitsIn(freeCapacity))
        return false;
    for (const PreemptibleRun *victim : victims)
        preemptRun(*victim);
    preemptible.stopping -= reservation;
    return true;
}

} // namespace basilgap::scheduling
