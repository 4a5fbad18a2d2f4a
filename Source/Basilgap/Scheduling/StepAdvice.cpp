// Selects the workers that placement advice is requested for.

#include <algorithm>
#include <tuple>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {

namespace {

// Share of the requested workers that advice typically grants, assumed for a step without a reply
// yet.
constexpr double TypicalGrantShare = 0.3;
// Number of workers named in an advice request: enough for a choice, few enough for a quick reply.
constexpr size_t MinAdviceWorkers = 20;
constexpr size_t MaxAdviceWorkers = 48;
// Capacity for this many times the missing tasks is requested, since other steps take some of it
// meanwhile.
constexpr double CapacityRequestFactor = 2;
// Part of the processes that deferrable steps leave free, since a request for such a step takes
// many times as long as one for an urgent step.
constexpr size_t UrgentAdvisorPart = 4;

// Whether one more step may ask for a worker. Claims are expected values, so the last one need not
// fit as a whole.
bool hasUnclaimedRoom(
    const Resources &reservation, const Resources &freeCapacity, const Resources &unclaimed)
{
    return reservation.fitsIn(freeCapacity)
        && (reservation.millicores == 0 || unclaimed.millicores > 0)
        && (reservation.memoryMb == 0 || unclaimed.memoryMb > 0);
}

// Number of tasks of the step that the capacity is enough for, at least 1.
int64_t fittingTasks(const schema::StepSpec &spec, const Resources &capacity,
    const Resources &reservation, uint32_t missing)
{
    int64_t tasks = missing;
    if (reservation.millicores > 0)
        tasks = std::min(tasks, capacity.millicores / reservation.millicores);
    if (reservation.memoryMb > 0)
        tasks = std::min(tasks, capacity.memoryMb / reservation.memoryMb);
    if (spec.max_per_worker() > 0)
        tasks = std::min<int64_t>(tasks, spec.max_per_worker());
    return std::max<int64_t>(1, tasks);
}

Resources scaled(const Resources &resources, double factor)
{
    return { static_cast<int64_t>(static_cast<double>(resources.millicores) * factor),
        static_cast<int64_t>(static_cast<double>(resources.memoryMb) * factor),
        static_cast<int64_t>(static_cast<double>(resources.accelerators) * factor) };
}

} // namespace

bool hasRequiredLabel(const StepWorker &worker, const schema::StepSpec &spec)
{
    return spec.required_label().empty()
        || std::find(worker.labels.begin(), worker.labels.end(), spec.required_label())
        != worker.labels.end();
}

AdviceSelection selectAdviceWorkers(
    const schema::StepSpec &spec, std::vector<AdviceCandidate> options, uint32_t missing)
{
    const auto sorted = static_cast<std::ptrdiff_t>(std::min(options.size(), MaxAdviceWorkers));
    std::partial_sort(options.begin(), options.begin() + sorted, options.end(),
        [](const AdviceCandidate &left, const AdviceCandidate &right) {
            return std::tie(right.wasGranted, right.freeCapacity.millicores)
                < std::tie(left.wasGranted, left.freeCapacity.millicores);
        });
    const Resources reservation = state::reservationOf(spec);
    AdviceSelection selection;
    std::vector<int64_t> tasksByWorker;
    double expectedTasks = 0;
    int64_t allTasks = 0;
    for (const AdviceCandidate &option : options) {
        if (selection.workers.size() >= MaxAdviceWorkers)
            break;
        // Workers that were granted before are named only until they have enough capacity.
        const size_t minWorkers = option.wasGranted ? 1 : MinAdviceWorkers;
        if (expectedTasks >= CapacityRequestFactor * missing
            && selection.workers.size() >= minWorkers)
            break;
        const int64_t tasks = fittingTasks(spec, option.freeCapacity, reservation, missing);
        selection.workers.push_back(option.number);
        tasksByWorker.push_back(tasks);
        allTasks += tasks;
        expectedTasks += static_cast<double>(tasks) * (option.wasGranted ? 1.0 : TypicalGrantShare);
    }
    // The step needs only so many of the tasks that fit on all the workers.
    const double usedShare = std::min(
        1.0, static_cast<double>(missing) / static_cast<double>(std::max<int64_t>(1, allTasks)));
    for (size_t i = 0; i < selection.workers.size(); i++)
        selection.claims.push_back(
            { selection.workers[i], scaled(reservation * tasksByWorker[i], usedShare) });
    return selection;
}

AdviceSelection selectInitialAdviceWorkers(const schema::StepSpec &spec, const std::string &pool,
    const std::vector<StepWorker> &workers, const AdviceClaims &claims)
{
    const Resources reservation = state::reservationOf(spec);
    std::vector<AdviceCandidate> options;
    for (const StepWorker &worker : workers) {
        const Resources unclaimed = worker.freeCapacity() - claims.on(worker.number);
        if (worker.schedulable && !worker.isQuarantined && worker.remainingStarts > 0
            && worker.pool == pool && hasRequiredLabel(worker, spec)
            && hasUnclaimedRoom(reservation, worker.freeCapacity(), unclaimed))
            options.push_back({ worker.number, unclaimed, false });
    }
    return selectAdviceWorkers(spec, std::move(options), spec.count());
}

bool StepPlanner::mayRequestAdvice(const Candidate &candidate) const
{
    const bool isUrgent = candidate.priority < DeferrablePriority && candidate.latenessBand < 2;
    const size_t keptFree = isUrgent ? 0 : input_.advisors / UrgentAdvisorPart;
    return plan_.adviceRequests.size() + keptFree < input_.freeAdvisors
        && !input_.permits.permitsFor(candidate.ref).isRequestPending();
}

// Requests advice for workers that have no reply yet or an expired ticket.
void StepPlanner::requestAdvice(const Candidate &candidate, uint32_t missing)
{
    if (!mayRequestAdvice(candidate))
        return;
    std::vector<AdviceCandidate> options =
        candidate.isPrefetch ? prefetchOptions(candidate) : adviceOptions(candidate);
    if (options.empty())
        return;
    AdviceSelection selection =
        selectAdviceWorkers(candidate.work->specOf(candidate.ref), std::move(options), missing);
    // A prefetching step will use the capacity that its predecessor frees.
    if (candidate.isPrefetch)
        selection.claims.clear();
    addClaims(selection.claims);
    plan_.adviceRequests.push_back(
        { candidate.ref, std::move(selection.workers), std::move(selection.claims) });
}

// All workers that could run the step, since running tasks may have ended by the time it is ready.
// Empty if a ticket can still serve.
std::vector<AdviceCandidate> StepPlanner::prefetchOptions(const Candidate &candidate)
{
    const StepPermits &permits = input_.permits.permitsFor(candidate.ref);
    const Resources reservation = state::reservationOf(candidate.work->specOf(candidate.ref));
    for (const auto &[number, ticket] : permits.tickets()) {
        const StepWorker *worker = ticket.expiresAt > input_.now ? findWorker(number) : nullptr;
        if (worker != nullptr && reservation.fitsIn(worker->capacity) && mayRun(*worker, candidate))
            return {};
    }
    std::vector<AdviceCandidate> options;
    for (const StepWorker &worker : input_.workers) {
        if (reservation.fitsIn(worker.capacity) && mayRun(worker, candidate)
            && !permits.isRefused(worker.number))
            options.push_back(
                { worker.number, worker.freeCapacity(), permits.wasGranted(worker.number) });
    }
    return options;
}

std::vector<AdviceCandidate> StepPlanner::adviceOptions(const Candidate &candidate)
{
    loadUnclaimedRoom();
    const StepPermits &permits = input_.permits.permitsFor(candidate.ref);
    const Resources reservation = state::reservationOf(candidate.work->specOf(candidate.ref));
    std::vector<AdviceCandidate> options;
    for (const UnclaimedRoom &room : *unclaimedRoom_) {
        const StepWorker &worker = *room.worker;
        const Resources unclaimed = room.unclaimed();
        if (!hasUnclaimedRoom(reservation, worker.freeCapacity(), unclaimed)
            || !mayRun(worker, candidate) || permits.isRefused(worker.number)
            || permits.validTicket(worker.number, input_.now) != nullptr)
            continue;
        options.push_back({ worker.number, unclaimed, permits.wasGranted(worker.number) });
    }
    return options;
}

void StepPlanner::loadUnclaimedRoom()
{
    if (unclaimedRoom_)
        return;
    unclaimedRoom_.emplace();
    for (StepWorker &worker : input_.workers) {
        if (!worker.schedulable)
            continue;
        const UnclaimedRoom room{ &worker, input_.adviceClaims.on(worker.number) };
        // A backfill task needs memory only.
        if (room.unclaimed().memoryMb > 0)
            unclaimedRoom_->push_back(room);
    }
}

// The rooms are sorted by worker, as the planner's workers are.
void StepPlanner::addClaims(const std::vector<AdviceClaim> &claims)
{
    for (const AdviceClaim &claim : claims) {
        const auto room = std::lower_bound(unclaimedRoom_->begin(), unclaimedRoom_->end(),
            claim.worker, [](const UnclaimedRoom &left, WorkerNumber number) {
                return left.worker->number < number;
            });
        if (room != unclaimedRoom_->end() && room->worker->number == claim.worker)
            room->claimed += claim.expectedUse;
    }
}

} // namespace basilgap::scheduling
