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

} // namespace

bool hasRequiredLabel(const StepWorker &worker, const schema::StepSpec &spec)
{
    return spec.required_label().empty()
        || std::find(worker.labels.begin(), worker.labels.end(), spec.required_label())
        != worker.labels.end();
}

std::vector<WorkerNumber> selectAdviceWorkers(
    const schema::StepSpec &spec, std::vector<AdviceCandidate> options, uint32_t missing)
{
    std::sort(options.begin(), options.end(),
        [](const AdviceCandidate &left, const AdviceCandidate &right) {
            return std::tie(right.wasGranted, right.freeCapacity.millicores)
                < std::tie(left.wasGranted, left.freeCapacity.millicores);
        });
    const Resources reservation = state::reservationOf(spec);
    std::vector<WorkerNumber> workers;
    double expectedTasks = 0;
    for (const AdviceCandidate &option : options) {
        if (workers.size() >= MaxAdviceWorkers)
            break;
        // Workers that were granted before are named only until they have enough capacity.
        const size_t minWorkers = option.wasGranted ? 1 : MinAdviceWorkers;
        if (expectedTasks >= CapacityRequestFactor * missing && workers.size() >= minWorkers)
            break;
        workers.push_back(option.number);
        const int64_t byProcessor = reservation.millicores == 0
            ? missing
            : option.freeCapacity.millicores / reservation.millicores;
        const int64_t byMemory = reservation.memoryMb == 0
            ? missing
            : option.freeCapacity.memoryMb / reservation.memoryMb;
        int64_t tasks = std::max<int64_t>(1, std::min(byProcessor, byMemory));
        if (spec.max_per_worker() > 0)
            tasks = std::min<int64_t>(tasks, spec.max_per_worker());
        expectedTasks += static_cast<double>(tasks) * (option.wasGranted ? 1.0 : TypicalGrantShare);
    }
    return workers;
}

std::vector<WorkerNumber> selectInitialAdviceWorkers(
    const schema::StepSpec &spec, const std::string &pool, const std::vector<StepWorker> &workers)
{
    const Resources reservation = state::reservationOf(spec);
    std::vector<AdviceCandidate> options;
    for (const StepWorker &worker : workers) {
        if (worker.schedulable && worker.remainingStarts > 0 && worker.pool == pool
            && hasRequiredLabel(worker, spec) && reservation.fitsIn(worker.freeCapacity()))
            options.push_back({ worker.number, worker.freeCapacity(), false });
    }
    return selectAdviceWorkers(spec, std::move(options), spec.count());
}

// Requests advice for workers with free capacity that have no reply yet or an expired ticket.
void StepPlanner::requestAdvice(const Candidate &candidate, uint32_t missing)
{
    const StepPermits &permits = input_.permits.permitsFor(candidate.ref);
    if (plan_.adviceRequests.size() >= input_.freeAdvisors || permits.isRequestPending())
        return;
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const Resources reservation = state::reservationOf(spec);
    std::vector<AdviceCandidate> options;
    for (const StepWorker &worker : input_.workers) {
        const Resources freeCapacity = worker.freeCapacity();
        // For prefetched advice the whole capacity of the worker counts, since running tasks may
        // have ended by then.
        const bool fits = candidate.isPrefetch ? reservation.fitsIn(worker.capacity)
                                               : reservation.fitsIn(freeCapacity);
        if (!fits || !mayRun(worker, candidate) || permits.isRefused(worker.number))
            continue;
        if (permits.validTicket(worker.number, input_.now) != nullptr) {
            if (candidate.isPrefetch)
                return;
            continue;
        }
        options.push_back({ worker.number, freeCapacity, permits.wasGranted(worker.number) });
    }
    if (!options.empty())
        plan_.adviceRequests.push_back(
            { candidate.ref, selectAdviceWorkers(spec, std::move(options), missing) });
}

} // namespace basilgap::scheduling
