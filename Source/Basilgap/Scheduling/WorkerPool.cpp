#include "Basilgap/Scheduling/WorkerPool.h"

#include <algorithm>
#include <limits>

namespace basilgap::scheduling {

namespace {

// Fitting workers that are compared before the best one is taken.
constexpr int MaxCompared = 24;

// Weight of leaving accelerators without processor or memory to use them.
constexpr double StrandedPenalty = 2.0;

// Weight of putting a task beside another one of its job, for each that is there.
constexpr double CrowdingPenalty = 4.0;

double part(int64_t left, int64_t all)
{
    return all <= 0 ? 0.0 : static_cast<double>(left) / static_cast<double>(all);
}

} // namespace

void WorkerPool::add(const PoolWorker &worker)
{
    const size_t position = workers_.size();
    positions_[worker.number] = position;
    workers_.push_back(worker);
    byFree_.insert({ worker.room().millicores, position });
    if (worker.capacity.accelerators > 0)
        withAccelerators_.insert({ worker.room().millicores, position });
    capacity_ += worker.capacity;
}

std::string WorkerPool::spreadGroup(const PoolWorker &worker, schema::Spread spread)
{
    if (spread == schema::SPREAD_ZONE)
        return worker.zone.value();
    return spread == schema::SPREAD_RACK ? worker.rack.value() : "";
}

double WorkerPool::score(const PoolWorker &worker, const PlacementWish &wish) const
{
    const Resources left = worker.room() - wish.need;
    const double processor = part(left.millicores, worker.capacity.millicores);
    const double memory = part(left.memoryMb, worker.capacity.memoryMb);
    const double fullness = 1 - (processor + memory) / 2;
    // A worker whose resources run out together keeps less that nobody can use.
    const double imbalance = processor > memory ? processor - memory : memory - processor;
    double value = wish.packing * fullness - (1 - wish.packing) * fullness - imbalance / 2;
    if (wish.need.accelerators == 0 && worker.capacity.accelerators > 0)
        value -= StrandedPenalty;
    if (wish.placedBySpread != nullptr && wish.spread != schema::SPREAD_NONE) {
        const auto found = wish.placedBySpread->find(spreadGroup(worker, wish.spread));
        if (found != wish.placedBySpread->end())
            value -= CrowdingPenalty * found->second;
    }
    return value;
}

std::optional<WorkerNumber> WorkerPool::choose(const PlacementWish &wish) const
{
    const std::set<ByFree> &index = wish.need.accelerators > 0 ? withAccelerators_ : byFree_;
    double bestScore = -std::numeric_limits<double>::infinity();
    std::optional<WorkerNumber> best;
    int compared = 0;
    const auto consider = [&](const ByFree &entry) {
        const PoolWorker &worker = workers_[entry.position];
        if (worker.startsLeft == 0 || !wish.need.fitsIn(worker.room()))
            return;
        if (wish.avoid != nullptr && wish.avoid->contains(worker.number))
            return;
        compared++;
        const double value = score(worker, wish);
        if (value > bestScore) {
            bestScore = value;
            best = worker.number;
        }
    };
    // Spreading needs a look at all groups; otherwise the near end of the order is enough.
    const int bound =
        wish.spread == schema::SPREAD_NONE ? MaxCompared : std::numeric_limits<int>::max();
    const auto first = index.lower_bound({ wish.need.millicores, 0 });
    if (wish.packing >= 0.5) {
        for (auto it = first; it != index.end() && compared < bound; ++it)
            consider(*it);
        return best;
    }
    for (auto it = index.end(); it != first && compared < bound;)
        consider(*--it);
    return best;
}

void WorkerPool::update(size_t position, const Resources &change, bool reserve)
{
    PoolWorker &worker = workers_[position];
    byFree_.erase({ worker.room().millicores, position });
    withAccelerators_.erase({ worker.room().millicores, position });
    if (reserve) {
        worker.reserved += change;
        worker.startsLeft--;
    } else {
        worker.reserved -= change;
        worker.startsLeft++;
    }
    byFree_.insert({ worker.room().millicores, position });
    if (worker.capacity.accelerators > 0)
        withAccelerators_.insert({ worker.room().millicores, position });
}

void WorkerPool::reserve(WorkerNumber worker, const Resources &need)
{
    const auto found = positions_.find(worker);
    if (found != positions_.end())
        update(found->second, need, true);
}

void WorkerPool::release(WorkerNumber worker, const Resources &need)
{
    const auto found = positions_.find(worker);
    if (found != positions_.end())
        update(found->second, need, false);
}

const PoolWorker *WorkerPool::find(WorkerNumber worker) const
{
    const auto found = positions_.find(worker);
    return found == positions_.end() ? nullptr : &workers_[found->second];
}

bool WorkerPool::couldEverFit(const Resources &need) const
{
    return std::any_of(workers_.begin(), workers_.end(),
        [&need](const PoolWorker &worker) { return need.fitsIn(worker.capacity); });
}

} // namespace basilgap::scheduling
