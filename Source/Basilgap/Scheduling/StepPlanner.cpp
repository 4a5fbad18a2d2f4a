#include "Basilgap/Scheduling/StepPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

#include "Basilgap/Scheduling/Lateness.h"

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

StepPlanner::StepPlanner(StepPlanInput input)
    : input_(std::move(input))
{}

StepPlan StepPlanner::run()
{
    loadCapacity();
    collectChangedSteps();
    for (const WaitingStep &step : input_.waiting.ordered()) {
        if (!placeInserted(&step))
            return std::move(plan_);
        if (isChanged(step))
            continue;
        if (isOverShare(step))
            insert({ step });
        else
            place({ step });
    }
    placeInserted(nullptr);
    return std::move(plan_);
}

// Places the inserted steps that come before the given one, or all of them. Returns false once the
// round has planned enough.
bool StepPlanner::placeInserted(const WaitingStep *before)
{
    while (mayPlanMore()) {
        const auto first = insertedSteps_.begin();
        if (first == insertedSteps_.end() || (before != nullptr && !(*first < *before)))
            return true;
        const Candidate candidate = *first;
        insertedSteps_.erase(first);
        place(candidate);
    }
    return false;
}

// Steps of an account over its share rank with those that are one band later. Otherwise a flood of
// new jobs would go before the jobs of others that it has made late.
void StepPlanner::insert(Candidate candidate)
{
    if (isOverShare(candidate))
        candidate.latenessBand++;
    insertedSteps_.insert(candidate);
}

bool StepPlanner::isOverShare(const WaitingStep &step) const
{
    return step.latenessBand < 2 && !step.work->specOf(step.ref).service()
        && input_.shares.isOverShare(step.priority, step.work->account);
}

bool StepPlanner::mayPlanMore()
{
    plan_.isCutShort = plan_.starts.size() >= input_.maxStarts;
    return !plan_.isCutShort;
}

void StepPlanner::place(const Candidate &candidate)
{
    if (candidate.isPrefetch)
        return requestAdvice(candidate, waitingOf(candidate));
    if (isHopeless(candidate)) {
        // A step that waits for an advice reply is not counted as waiting for capacity.
        if (plan_.capacityDemand < demandOf(candidate)
            && !input_.permits.permitsFor(candidate.ref).isRequestPending())
            recordCapacityDemand(candidate);
        return;
    }
    if (candidate.work->specOf(candidate.ref).gang())
        placeGang(candidate);
    else
        placeStep(candidate);
}

// Most steps that wait in a full cell end here, so this reads as little as possible.
bool StepPlanner::isHopeless(const Candidate &candidate)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const Resources reservation = state::reservationOf(spec);
    if (!mayFit(candidate.queue->pool(), reservation)
        && !mayFitQuarantined(candidate, reservation)) {
        return !spec.gang() && fitsAccountCap(candidate) && !mayPreempt(candidate, reservation);
    }
    return !leavesHeadroom(candidate, reservation)
        && !(candidate.queue->has_advice() && mayRequestAdvice(candidate));
}

bool StepPlanner::mayFit(const std::string &pool, const Resources &reservation)
{
    const auto found = pools_.find(pool);
    if (found == pools_.end())
        return false;
    std::optional<Resources> &largest = found->second.largestFree;
    if (!largest) {
        largest.emplace();
        for (const StepWorker *worker : workersWithRoom_) {
            if (worker->pool != pool)
                continue;
            const Resources free = worker->freeCapacity();
            largest->millicores = std::max(largest->millicores, free.millicores);
            largest->memoryMb = std::max(largest->memoryMb, free.memoryMb);
            largest->accelerators = std::max(largest->accelerators, free.accelerators);
        }
    }
    return reservation.fitsIn(*largest);
}

bool StepPlanner::mayFitQuarantined(const Candidate &candidate, const Resources &reservation) const
{
    if (quarantined_.empty() || !mayUseQuarantined(candidate))
        return false;
    return std::any_of(quarantined_.begin(), quarantined_.end(), [&](const StepWorker *worker) {
        return reservation.fitsIn(worker->freeCapacity()) && mayRun(*worker, candidate);
    });
}

void StepPlanner::loadCapacity()
{
    for (StepWorker &worker : input_.workers) {
        if (!worker.schedulable)
            continue;
        if (worker.isQuarantined && quarantineLimit().holds(worker.pool, {})) {
            quarantined_.push_back(&worker);
            continue;
        }
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

void StepPlanner::collectChangedSteps()
{
    std::set<std::pair<state::WorkSerial, uint32_t>> occurrences;
    for (const StepRef &step : input_.pendingEnds.doneSteps)
        occurrences.emplace(step.work, step.occurrence);
    for (const auto &[step, tasks] : input_.pendingEnds.requeuedTasks)
        occurrences.emplace(step.work, step.occurrence);
    for (const auto &[serial, occurrence] : occurrences) {
        changedWorks_.insert(serial);
        addChangedSteps(*input_.table.find(serial), occurrence);
    }
    addPrefetchSteps();
}

bool StepPlanner::isChanged(const WaitingStep &step) const
{
    return changedWorks_.contains(step.ref.work) && changedSteps_.contains(step.ref);
}

void StepPlanner::addChangedSteps(const state::Work &work, uint32_t occurrence)
{
    const schema::QueueConfig *queue = input_.config.findQueue(work.queue);
    if (queue == nullptr)
        return;
    const LatencyBounds bounds =
        latencyBoundsOf(work, *queue, occurrence, input_.waiting.durations());
    for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
        const StepRef ref{ work.serial, occurrence, step };
        if (input_.pendingEnds.waitingTasks(work, ref) == 0)
            continue;
        Candidate candidate;
        candidate.ref = ref;
        candidate.work = &work;
        candidate.queue = queue;
        candidate.priority = queue->priority();
        candidate.latenessBand = work.specOf(ref).service() ? 0 : bounds.bandAt(input_.wallMs);
        candidate.orderMs = bounds.orderMs;
        candidate.isPrefetch = !input_.pendingEnds.isReady(work, ref);
        // Unchanged steps that are ready are among the waiting steps.
        if (!candidate.isPrefetch && !changedWorks_.contains(work.serial))
            continue;
        if (candidate.isPrefetch && !mayPrefetchAdvice(candidate))
            continue;
        changedSteps_.insert(ref);
        insert(candidate);
    }
}

// Steps whose last predecessors are about to end.
void StepPlanner::addPrefetchSteps()
{
    std::set<std::pair<state::WorkSerial, uint32_t>> occurrences;
    for (const StepRef &step : input_.endingSteps) {
        if (!changedWorks_.contains(step.work))
            occurrences.emplace(step.work, step.occurrence);
    }
    for (const auto &[serial, occurrence] : occurrences) {
        const state::Work *work = input_.table.find(serial);
        if (work == nullptr || !work->isActive())
            continue;
        addChangedSteps(*work, occurrence);
    }
}

bool StepPlanner::mayRun(const StepWorker &worker, const Candidate &candidate) const
{
    return isEligible(worker, candidate) && mayRunAnother(worker, candidate)
        && (!worker.isQuarantined || mayUseQuarantined(candidate));
}

bool StepPlanner::isEligible(const StepWorker &worker, const Candidate &candidate) const
{
    return worker.schedulable && worker.pool == candidate.queue->pool()
        && hasRequiredLabel(worker, candidate.work->specOf(candidate.ref));
}

QuarantineLimit &StepPlanner::quarantineLimit() const
{
    if (!quarantineLimit_) {
        quarantineLimit_.emplace();
        for (const StepWorker &worker : input_.workers) {
            if (worker.schedulable)
                quarantineLimit_->add({ .pool = worker.pool,
                    .labels = worker.labels,
                    .millicores = worker.capacity.millicores,
                    .isQuarantined = worker.isQuarantined });
        }
    }
    return *quarantineLimit_;
}

// Whether quarantines would leave too little room for the step, or none at all.
bool StepPlanner::mayUseQuarantined(const Candidate &candidate) const
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const std::string &pool = candidate.queue->pool();
    QuarantineLimit &limit = quarantineLimit();
    if (!limit.holds(pool, {}) || !limit.holds(pool, spec.required_label()))
        return true;
    if (!onlyQuarantined_ || onlyQuarantined_->step != candidate.ref)
        onlyQuarantined_ = { candidate.ref, hasOnlyQuarantined(candidate) };
    return onlyQuarantined_->answer;
}

// Whether no other worker could hold a task of the step if it were empty.
bool StepPlanner::hasOnlyQuarantined(const Candidate &candidate) const
{
    const Resources reservation = state::reservationOf(candidate.work->specOf(candidate.ref));
    const StepPermits &permits = input_.permits.permitsFor(candidate.ref);
    return std::none_of(
        input_.workers.begin(), input_.workers.end(), [&](const StepWorker &worker) {
            return !worker.isQuarantined && isEligible(worker, candidate)
                && reservation.fitsIn(worker.capacity)
                && !(candidate.queue->has_advice() && permits.isRefused(worker.number));
        });
}

bool StepPlanner::mayRunAnother(const StepWorker &worker, const Candidate &candidate) const
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    return worker.remainingStarts > 0
        && (spec.max_per_worker() == 0
            || tasksOn(candidate.ref, worker.number) < spec.max_per_worker());
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

StepPlanner::AccountRoom &StepPlanner::roomOf(const state::AccountName &account)
{
    const auto [found, isNew] = accounts_.try_emplace(account);
    if (isNew)
        found->second = { input_.config.findAccount(account), input_.table.usageOf(account),
            input_.urgent.headroomFor(account) };
    return found->second;
}

bool StepPlanner::fitsAccountCap(const Candidate &candidate)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const AccountRoom &room = roomOf(candidate.work->account);
    if (room.config == nullptr)
        return true;
    const Resources reserve =
        candidate.priority >= DeferrablePriority ? room.headroom : Resources();
    const auto fits = [](int64_t inUse, uint64_t more, uint64_t cap, int64_t left) {
        const auto maxHeadroom = static_cast<int64_t>(static_cast<double>(cap) * MaxHeadroomShare);
        return cap == 0
            || inUse + static_cast<int64_t>(more) + std::min(left, maxHeadroom)
            <= static_cast<int64_t>(cap);
    };
    return fits(room.used.millicores, spec.millicores(), room.config->millicores_cap(),
               reserve.millicores)
        && fits(
            room.used.memoryMb, spec.memory_mb(), room.config->memory_mb_cap(), reserve.memoryMb)
        && fits(room.used.accelerators, spec.accelerators(), room.config->accelerators_cap(), 0);
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
        for (StepWorker *worker : quarantined_)
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
    const std::set<WorkerNumber> *failed = failedWorkers(candidate);
    StepWorker *best = nullptr;
    std::tuple<bool, double, int64_t> bestScore;
    if (!leavesHeadroom(candidate, reservation))
        return nullptr;
    for (StepWorker *option : options) {
        StepWorker &worker = *option;
        if (!reservation.fitsIn(worker.freeCapacity()) || !mayRunAnother(worker, candidate))
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
        const std::tuple score{ hasFailed, spec.backfill() ? 0 : std::floor(factor * 10),
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
        if (!reservation.fitsIn(worker->freeCapacity()) || !mayRunAnother(*worker, candidate))
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
    PoolCapacity &pool = pools_[candidate.queue->pool()];
    pool.free -= state::reservationOf(spec);
    pool.largestFree.reset();
    worker->backfillMillicores += spec.backfill() ? static_cast<int64_t>(spec.millicores()) : 0;
    if (worker->remainingStarts != UINT32_MAX)
        worker->remainingStarts--;
    roomOf(candidate.work->account).used += Resources{ static_cast<int64_t>(spec.millicores()),
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
    if (!fitsAccountCap(candidate)) {
        const uint32_t missing = waitingOf(candidate) - heldBackTasks(candidate);
        if (missing == 0)
            return;
        recordCapacityDemand(candidate);
        return preemptWithinAccount(candidate, missing);
    }
    const std::vector<StepWorker *> options = candidateWorkers(candidate, reservation);
    uint32_t missing = waitingOf(candidate);
    for (uint32_t i = 0; i < step.tasks.size() && missing > 0 && !options.empty(); i++) {
        if (!input_.pendingEnds.isWaiting(*candidate.work, { candidate.ref, i })
            || isHeldBack(step.tasks[i]))
            continue;
        if (!fitsAccountCap(candidate)) {
            recordCapacityDemand(candidate);
            return preemptWithinAccount(candidate, missing - heldBackTasks(candidate));
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
    missing -= std::min(missing, heldBackTasks(candidate));
    if (missing == 0)
        return;
    const size_t adviceRequests = plan_.adviceRequests.size();
    if (candidate.queue->has_advice())
        requestAdvice(candidate, missing);
    // A step that waits for an advice reply is not counted as waiting for capacity.
    if (adviceRequests == plan_.adviceRequests.size()
        && !input_.permits.permitsFor(candidate.ref).isRequestPending())
        recordCapacityDemand(candidate);
    preemptForCapacity(candidate, missing);
}

// Tasks of the step that wait to learn whether their last workers have crashed.
uint32_t StepPlanner::heldBackTasks(const Candidate &candidate) const
{
    if (input_.table.lostWorkers().empty())
        return 0;
    const auto &tasks = candidate.work->stepAt(candidate.ref).tasks;
    uint32_t count = 0;
    for (uint32_t i = 0; i < tasks.size(); i++) {
        if (input_.pendingEnds.isWaiting(*candidate.work, { candidate.ref, i })
            && isHeldBack(tasks[i]))
            count++;
    }
    return count;
}

uint32_t StepPlanner::waitingOf(const Candidate &candidate) const
{
    return input_.pendingEnds.waitingTasks(*candidate.work, candidate.ref);
}

CapacityDemand StepPlanner::demandOf(const Candidate &candidate)
{
    const bool isUrgent = candidate.priority < DeferrablePriority && candidate.latenessBand < 2;
    return isUrgent ? CapacityDemand::Urgent : CapacityDemand::Deferrable;
}

void StepPlanner::recordCapacityDemand(const Candidate &candidate)
{
    plan_.capacityDemand = std::max(plan_.capacityDemand, demandOf(candidate));
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
    const auto accountsBefore = accounts_;
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
    accounts_ = accountsBefore;
    plannedTasks_ = placedBefore;
    plan_.starts.resize(startsBefore);
    if (needsTicket)
        requestAdvice(candidate, step.waiting);
}

} // namespace basilgap::scheduling
