#include "Basilgap/Scheduling/WorkerPool.h"

#include <algorithm>
#include <limits>

namespace basilgap::scheduling {

namespace {

// Number of fitting workers that are scored before the best one is taken.
constexpr int MaxCandidates = 24;

// Score penalty for a task without accelerators on a worker that has them, as it may strand them
// without processor or memory.
constexpr double StrandedPenalty = 2.0;

// Score penalty for each task of the same job in the same zone or rack.
constexpr double ColocationPenalty = 4.0;

double fraction(int64_t left, int64_t all)
{
    return all <= 0 ? 0.0 : static_cast<double>(left) / static_cast<double>(all);
}

} // namespace

void WorkerPool::add(const PoolWorker &worker)
{
    const size_t position = workers_.size();
    positions_[worker.number] = position;
    workers_.push_back(worker);
    byFreeCpu_.insert({ worker.freeCapacity().millicores, position });
    if (worker.capacity.accelerators > 0)
        acceleratorWorkersByFreeCpu_.insert({ worker.freeCapacity().millicores, position });
    capacity_ += worker.capacity;
}

std::string WorkerPool::spreadGroup(const PoolWorker &worker, schema::Spread spread)
{
    if (spread == schema::SPREAD_ZONE)
        return worker.zone.value();
    return spread == schema::SPREAD_RACK ? worker.rack.value() : "";
}

double WorkerPool::score(const PoolWorker &worker, const PlacementRequest &request) const
{
    const Resources left = worker.freeCapacity() - request.reservation;
    const double processor = fraction(left.millicores, worker.capacity.millicores);
    const double memory = fraction(left.memoryMb, worker.capacity.memoryMb);
    const double fullness = 1 - (processor + memory) / 2;
    // Balanced use of processor and memory leaves less of either stranded.
    const double imbalance = processor > memory ? processor - memory : memory - processor;
    double value = request.packing * fullness - (1 - request.packing) * fullness - imbalance / 2;
    if (request.reservation.accelerators == 0 && worker.capacity.accelerators > 0)
        value -= StrandedPenalty;
    if (request.tasksBySpreadGroup != nullptr && request.spread != schema::SPREAD_NONE) {
        const auto found = request.tasksBySpreadGroup->find(spreadGroup(worker, request.spread));
        if (found != request.tasksBySpreadGroup->end())
            value -= ColocationPenalty * found->second;
    }
    return value;
}

std::optional<WorkerNumber> WorkerPool::choose(const PlacementRequest &request) const
{
    const std::set<FreeCpuKey> &index =
        request.reservation.accelerators > 0 ? acceleratorWorkersByFreeCpu_ : byFreeCpu_;
    double bestScore = -std::numeric_limits<double>::infinity();
    std::optional<WorkerNumber> best;
    int candidateCount = 0;
    const auto consider = [&](const FreeCpuKey &entry) {
        const PoolWorker &worker = workers_[entry.position];
        if (worker.remainingStarts == 0 || !request.reservation.fitsIn(worker.freeCapacity()))
            return;
        if (request.excludedWorkers != nullptr && request.excludedWorkers->contains(worker.number))
            return;
        candidateCount++;
        const double value = score(worker, request);
        if (value > bestScore) {
            bestScore = value;
            best = worker.number;
        }
    };
    // Spreading must compare all groups; otherwise the near end of the index suffices.
    const int bound =
        request.spread == schema::SPREAD_NONE ? MaxCandidates : std::numeric_limits<int>::max();
    const auto first = index.lower_bound({ request.reservation.millicores, 0 });
    if (request.packing >= 0.5) {
        for (auto it = first; it != index.end() && candidateCount < bound; ++it)
            consider(*it);
        return best;
    }
    for (auto it = index.end(); it != first && candidateCount < bound;)
        consider(*--it);
    return best;
}

void WorkerPool::update(size_t position, const Resources &change, bool reserve)
{
    PoolWorker &worker = workers_[position];
    byFreeCpu_.erase({ worker.freeCapacity().millicores, position });
    acceleratorWorkersByFreeCpu_.erase({ worker.freeCapacity().millicores, position });
    if (reserve) {
        worker.reserved += change;
        worker.remainingStarts--;
    } else {
        worker.reserved -= change;
        worker.remainingStarts++;
    }
    byFreeCpu_.insert({ worker.freeCapacity().millicores, position });
    if (worker.capacity.accelerators > 0)
        acceleratorWorkersByFreeCpu_.insert({ worker.freeCapacity().millicores, position });
}

void WorkerPool::reserve(WorkerNumber worker, const Resources &reservation)
{
    const auto found = positions_.find(worker);
    if (found != positions_.end())
        update(found->second, reservation, true);
}

void WorkerPool::release(WorkerNumber worker, const Resources &reservation)
{
    const auto found = positions_.find(worker);
    if (found != positions_.end())
        update(found->second, reservation, false);
}

const PoolWorker *WorkerPool::find(WorkerNumber worker) const
{
    const auto found = positions_.find(worker);
    return found == positions_.end() ? nullptr : &workers_[found->second];
}

bool WorkerPool::couldEverFit(const Resources &reservation) const
{
    return std::any_of(workers_.begin(), workers_.end(),
        [&reservation](const PoolWorker &worker) { return reservation.fitsIn(worker.capacity); });
}

} // namespace basilgap::scheduling
