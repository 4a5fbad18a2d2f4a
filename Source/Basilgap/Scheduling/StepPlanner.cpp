#include "Basilgap/Scheduling/StepPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace basilgap::scheduling {

namespace {

// Slowdown from which deferrable work avoids a worker too.
constexpr double DegradedSlowdown = 1.5;

// Least slowdown of a task that runs in another rack than its data.
constexpr double RemoteRackFactor = 1.5;

// Largest share of the cell, and of an account's limit, that deferrable work leaves free for urgent
// work.
constexpr double MaxHeadroomShare = 0.4;

// How long a task waits to learn whether its last workers have crashed. A worker that has crashed
// usually announces itself again within seconds.
constexpr uint64_t CrashVerdictWaitMs = 4000;

// A worker over its capacity has no room, and takes none from the others.
Resources positivePart(const Resources &resources)
{
    return { std::max<int64_t>(0, resources.millicores), std::max<int64_t>(0, resources.memoryMb),
        std::max<int64_t>(0, resources.accelerators) };
}

} // namespace

bool StepPlanner::Candidate::operator<(const Candidate &other) const
{
    return std::tie(latenessBand, priority, slackMs, ref)
        < std::tie(other.latenessBand, other.priority, other.slackMs, other.ref);
}

StepPlanner::StepPlanner(StepPlanInput input)
    : input_(std::move(input))
{}

StepPlan StepPlanner::run()
{
    loadCapacity();
    collectCandidates();
    for (const Candidate &candidate : candidates_) {
        plan_.isCutShort = plan_.starts.size() >= input_.maxStarts;
        if (plan_.isCutShort)
            break;
        if (candidate.isPrefetch)
            requestAdvice(candidate, waitingOf(candidate));
        else if (candidate.work->specOf(candidate.ref).gang())
            placeGang(candidate);
        else
            placeStep(candidate);
    }
    return std::move(plan_);
}

void StepPlanner::loadCapacity()
{
    for (StepWorker &worker : input_.workers) {
        if (!worker.schedulable)
            continue;
        PoolCapacity &pool = pools_[worker.pool];
        pool.total += worker.capacity;
        pool.free += positivePart(worker.freeCapacity());
        // A backfill task needs memory only.
        if (worker.freeCapacity().memoryMb > 0)
            workersWithRoom_.push_back(&worker);
    }
}

// Whether the placement leaves the headroom that deferrable work keeps free for urgent work.
bool StepPlanner::leavesHeadroom(const Candidate &candidate, const Resources &reservation) const
{
    if (candidate.priority < DeferrablePriority && candidate.latenessBand < 2)
        return true;
    const auto pool = pools_.find(candidate.queue->pool());
    if (reservation.millicores == 0 || pool == pools_.end())
        return true;
    const auto maxHeadroom =
        static_cast<int64_t>(static_cast<double>(pool->second.total.millicores) * MaxHeadroomShare);
    const int64_t headroom =
        std::min(maxHeadroom, input_.urgent.poolHeadroom(pool->first).millicores);
    return pool->second.free.millicores - reservation.millicores >= headroom;
}

// Whether all predecessors are done or about to end, so that advice is prefetched.
bool StepPlanner::mayPrefetchAdvice(const Candidate &candidate) const
{
    if (!candidate.queue->has_advice())
        return false;
    for (const uint32_t before : candidate.work->specOf(candidate.ref).after()) {
        const StepRef ref{ candidate.ref.work, candidate.ref.occurrence, before };
        if (!candidate.work->stepAt(ref).isDone() && !input_.endingSteps.contains(ref))
            return false;
    }
    return true;
}

void StepPlanner::collectCandidates()
{
    std::set<state::WorkSerial> serials = input_.table.waiting();
    for (const auto &[step, tasks] : input_.pendingEnds.requeuedTasks)
        serials.insert(step.work);
    for (const state::WorkSerial serial : serials)
        addCandidates(*input_.table.find(serial));
    std::sort(candidates_.begin(), candidates_.end());
}

void StepPlanner::addCandidates(const state::Work &work)
{
    const schema::QueueConfig *queue = input_.config.findQueue(work.queue);
    if (queue == nullptr)
        return;
    for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
        if (work.dueMs(occurrence) > input_.wallMs)
            continue;
        const Lateness lateness = latenessOf(work, *queue, occurrence, input_.wallMs);
        for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
            const StepRef ref{ work.serial, occurrence, step };
            if (input_.pendingEnds.waitingTasks(work, ref) == 0)
                continue;
            Candidate candidate{
                .ref = ref,
                .work = &work,
                .queue = queue,
                .priority = queue->priority(),
                .latenessBand = work.specOf(ref).service() ? 0 : lateness.band,
                .slackMs = lateness.slackMs,
                .isPrefetch = !input_.pendingEnds.isReady(work, ref),
            };
            if (!candidate.isPrefetch || mayPrefetchAdvice(candidate))
                candidates_.push_back(candidate);
        }
    }
}

bool StepPlanner::mayRun(const StepWorker &worker, const Candidate &candidate) const
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    if (!worker.schedulable || worker.remainingStarts == 0
        || worker.pool != candidate.queue->pool())
        return false;
    if (!hasRequiredLabel(worker, spec))
        return false;
    return spec.max_per_worker() == 0
        || tasksOn(candidate.ref, worker.number) < spec.max_per_worker();
}

uint32_t StepPlanner::tasksOn(const StepRef &step, WorkerNumber worker) const
{
    const auto planned = plannedTasks_.find({ step, worker });
    uint32_t count = planned == plannedTasks_.end() ? 0 : planned->second;
    const auto &runs = input_.table.runsOn(worker);
    for (auto it = runs.lower_bound({ step, 0 }); it != runs.end() && it->first.step == step; ++it)
        count++;
    return count;
}

bool StepPlanner::fitsAccountCap(const Candidate &candidate) const
{
    const state::Work &work = *candidate.work;
    const schema::StepSpec &spec = work.specOf(candidate.ref);
    const schema::AccountConfig *account = input_.config.findAccount(work.account);
    if (account == nullptr)
        return true;
    Resources used = input_.table.usageOf(work.account);
    const auto added = plannedUsage_.find(work.account);
    if (added != plannedUsage_.end())
        used += added->second;
    Resources reserve;
    if (candidate.priority >= DeferrablePriority)
        reserve = input_.urgent.headroomFor(work.account);
    const auto fits = [](int64_t inUse, uint64_t more, uint64_t cap, int64_t left) {
        const auto maxHeadroom = static_cast<int64_t>(static_cast<double>(cap) * MaxHeadroomShare);
        return cap == 0
            || inUse + static_cast<int64_t>(more) + std::min(left, maxHeadroom)
            <= static_cast<int64_t>(cap);
    };
    return fits(used.millicores, spec.millicores(), account->millicores_cap(), reserve.millicores)
        && fits(used.memoryMb, spec.memory_mb(), account->memory_mb_cap(), reserve.memoryMb)
        && fits(used.accelerators, spec.accelerators(), account->accelerators_cap(), 0);
}

StepWorker *StepPlanner::findWorker(WorkerNumber number)
{
    const auto found = std::lower_bound(input_.workers.begin(), input_.workers.end(), number,
        [](const StepWorker &worker, WorkerNumber wanted) { return worker.number < wanted; });
    return found == input_.workers.end() || found->number != number ? nullptr : &*found;
}

std::vector<StepWorker *> StepPlanner::candidateWorkers(
    const Candidate &candidate, const Resources &reservation)
{
    std::vector<StepWorker *> options;
    const auto addIfFits = [&](StepWorker *worker) {
        if (worker != nullptr && reservation.fitsIn(worker->freeCapacity())
            && mayRun(*worker, candidate))
            options.push_back(worker);
    };
    if (!candidate.queue->has_advice()) {
        for (StepWorker *worker : workersWithRoom_)
            addIfFits(worker);
        return options;
    }
    for (const auto &[number, ticket] : input_.permits.permitsFor(candidate.ref).tickets()) {
        if (ticket.expiresAt > input_.now)
            addIfFits(findWorker(number));
    }
    return options;
}

StepWorker *StepPlanner::chooseWorker(const Candidate &candidate, const Resources &reservation,
    const std::vector<StepWorker *> &options)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const auto expectedDuration = static_cast<double>(
        input_.durations.expectedDuration(*candidate.work, candidate.ref).count());
    const std::set<WorkerNumber> *failed = failedWorkers(candidate);
    StepWorker *best = nullptr;
    std::tuple<bool, double, int64_t> bestScore;
    if (!leavesHeadroom(candidate, reservation))
        return nullptr;
    for (StepWorker *option : options) {
        StepWorker &worker = *option;
        if (!reservation.fitsIn(worker.freeCapacity()) || !mayRun(worker, candidate))
            continue;
        // Attempts are limited, so workers with a recent failure are tried last.
        const bool hasFailed = hasFailures(worker, failed);
        const bool isRemoteRack = !spec.home_rack().empty() && worker.rack != spec.home_rack();
        double factor = worker.slowdown * (isRemoteRack ? RemoteRackFactor : 1.0);
        // Deferrable work leaves fast workers to urgent work, but still avoids degraded ones.
        if (candidate.priority >= DeferrablePriority && factor < DegradedSlowdown)
            factor = isRemoteRack ? RemoteRackFactor : 1.0;
        // Slowdown is compared in steps of a tenth; among equals the fullest worker is chosen,
        // which avoids fragmentation of the others. A backfill task goes to the worker with the
        // most unclaimed processor time.
        const int64_t left = worker.freeCapacity().millicores - worker.backfillMillicores;
        const std::tuple score{ hasFailed,
            spec.backfill() ? 0 : std::floor(factor * 10) * expectedDuration,
            spec.backfill() ? -left : worker.freeCapacity().millicores };
        if (best == nullptr || score < bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

const std::set<WorkerNumber> *StepPlanner::failedWorkers(const Candidate &candidate) const
{
    const auto found = input_.health.failedOn().find(JobId(candidate.work->serial.value()));
    return found == input_.health.failedOn().end() ? nullptr : &found->second;
}

bool StepPlanner::hasFailures(
    const StepWorker &worker, const std::set<WorkerNumber> *failedWorkers) const
{
    return !input_.health.hasNoFailures(worker.number)
        || (failedWorkers != nullptr && failedWorkers->contains(worker.number));
}

// Whether the task waits to learn whether its last workers have crashed, after which its job fails.
bool StepPlanner::isHeldBack(const state::WorkTask &task) const
{
    return task.awaitsCrashVerdict() && input_.stateMs < task.phaseSinceMs + CrashVerdictWaitMs;
}

// A task that may crash its worker goes where that does the least harm, and where no other task has
// just started, so that a crash shows which of them caused it.
StepWorker *StepPlanner::chooseWorkerForSuspect(const Candidate &candidate,
    const Resources &reservation, const std::vector<StepWorker *> &options) const
{
    if (!leavesHeadroom(candidate, reservation))
        return nullptr;
    const std::set<WorkerNumber> *failed = failedWorkers(candidate);
    StepWorker *best = nullptr;
    std::tuple<bool, bool, bool, int64_t> bestScore;
    for (StepWorker *worker : options) {
        if (!reservation.fitsIn(worker->freeCapacity()) || !mayRun(*worker, candidate))
            continue;
        const bool hasFreshRun = input_.hasFreshRun(worker->number)
            || std::any_of(plan_.starts.begin(), plan_.starts.end(),
                [&](const PlannedRun &start) { return start.worker == worker->number; });
        const std::tuple score{ hasFailures(*worker, failed), hasFreshRun,
            worker->slowdown >= DegradedSlowdown, worker->reserved.millicores };
        if (best == nullptr || score < bestScore) {
            best = worker;
            bestScore = score;
        }
    }
    return best;
}

void StepPlanner::planStart(
    const Candidate &candidate, uint32_t index, uint32_t run, StepWorker *worker)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    worker->reserved += state::reservationOf(spec);
    pools_[candidate.queue->pool()].free -= state::reservationOf(spec);
    worker->backfillMillicores += spec.backfill() ? static_cast<int64_t>(spec.millicores()) : 0;
    if (worker->remainingStarts != UINT32_MAX)
        worker->remainingStarts--;
    plannedUsage_[candidate.work->account] += Resources{ static_cast<int64_t>(spec.millicores()),
        static_cast<int64_t>(spec.memory_mb()), static_cast<int64_t>(spec.accelerators()) };
    plannedTasks_[{ candidate.ref, worker->number }]++;
    const std::string *ticket =
        input_.permits.permitsFor(candidate.ref).validTicket(worker->number, input_.now);
    plan_.starts.push_back({ { candidate.ref, index }, run, worker->number,
        ticket == nullptr ? std::string() : *ticket });
}

void StepPlanner::undoStart(const Candidate &candidate, StepWorker *worker)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    worker->reserved -= state::reservationOf(spec);
    worker->backfillMillicores -= spec.backfill() ? static_cast<int64_t>(spec.millicores()) : 0;
    if (worker->remainingStarts != UINT32_MAX)
        worker->remainingStarts++;
}

void StepPlanner::placeStep(const Candidate &candidate)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const state::WorkStep &step = candidate.work->stepAt(candidate.ref);
    const Resources reservation = state::reservationOf(spec);
    const bool needsTicket = candidate.queue->has_advice();
    const std::vector<StepWorker *> options = candidateWorkers(candidate, reservation);
    uint32_t missing = waitingOf(candidate);
    for (uint32_t i = 0; i < step.tasks.size() && missing > 0; i++) {
        if (!input_.pendingEnds.isWaiting(*candidate.work, { candidate.ref, i }))
            continue;
        if (isHeldBack(step.tasks[i])) {
            missing--;
            continue;
        }
        if (!fitsAccountCap(candidate)) {
            recordCapacityDemand(candidate);
            return preemptWithinAccount(candidate, missing);
        }
        const bool isSuspect = step.tasks[i].isCrashSuspect();
        StepWorker *worker = isSuspect ? chooseWorkerForSuspect(candidate, reservation, options)
                                       : chooseWorker(candidate, reservation, options);
        if (worker == nullptr)
            break;
        planStart(candidate, i, step.tasks[i].run + 1, worker);
        if (isSuspect)
            worker->remainingStarts = 0;
        missing--;
    }
    if (missing == 0)
        return;
    const size_t adviceRequests = plan_.adviceRequests.size();
    if (needsTicket)
        requestAdvice(candidate, missing);
    // A step that waits for an advice reply is not counted as waiting for capacity.
    if (adviceRequests == plan_.adviceRequests.size()
        && !input_.permits.permitsFor(candidate.ref).isRequestPending())
        recordCapacityDemand(candidate);
    preemptForCapacity(candidate, missing);
}

uint32_t StepPlanner::waitingOf(const Candidate &candidate) const
{
    return input_.pendingEnds.waitingTasks(*candidate.work, candidate.ref);
}

void StepPlanner::recordCapacityDemand(const Candidate &candidate)
{
    const bool isUrgent = candidate.priority < DeferrablePriority && candidate.latenessBand < 2;
    plan_.capacityDemand = std::max(
        plan_.capacityDemand, isUrgent ? CapacityDemand::Urgent : CapacityDemand::Deferrable);
}

void StepPlanner::placeGang(const Candidate &candidate)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const state::WorkStep &step = candidate.work->stepAt(candidate.ref);
    // Tasks of an earlier run of the gang may still be stopping.
    if (step.running > 0
        || std::any_of(step.tasks.begin(), step.tasks.end(),
            [this](const state::WorkTask &task) { return isHeldBack(task); }))
        return;
    const Resources reservation = state::reservationOf(spec);
    const bool needsTicket = candidate.queue->has_advice();
    const std::vector<StepWorker *> options = candidateWorkers(candidate, reservation);
    uint32_t run = 0;
    for (const state::WorkTask &task : step.tasks)
        run = std::max(run, task.run);
    const auto poolsBefore = pools_;
    const auto addedBefore = plannedUsage_;
    const auto placedBefore = plannedTasks_;
    const size_t startsBefore = plan_.starts.size();
    uint32_t missing = step.waiting;
    for (uint32_t i = 0; i < step.tasks.size(); i++) {
        if (step.tasks[i].phase != state::RunPhase::Waiting)
            continue;
        StepWorker *worker =
            fitsAccountCap(candidate) ? chooseWorker(candidate, reservation, options) : nullptr;
        if (worker == nullptr)
            break;
        planStart(candidate, i, run + 1, worker);
        missing--;
    }
    if (missing == 0)
        return;
    for (size_t i = startsBefore; i < plan_.starts.size(); i++)
        undoStart(candidate, findWorker(plan_.starts[i].worker));
    pools_ = poolsBefore;
    plannedUsage_ = addedBefore;
    plannedTasks_ = placedBefore;
    plan_.starts.resize(startsBefore);
    if (needsTicket)
        requestAdvice(candidate, step.waiting);
}

} // namespace basilgap::scheduling
