#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/State/JobTable.h"

namespace basilgap::scheduling {

using state::Resources;
using state::WorkerNumber;

// A worker that may be given tasks.
struct PoolWorker
{
    WorkerNumber number;
    ZoneName zone;
    RackName rack;
    Resources capacity;
    Resources reserved;
    // Tasks that may still be started; bounded while the worker is on probation.
    uint32_t remainingStarts = UINT32_MAX;

    Resources freeCapacity() const { return capacity - reserved; }
};

struct PlacementRequest
{
    Resources reservation;
    schema::Spread spread = schema::SPREAD_NONE;
    // 0 places on the emptiest worker, 1 on the fullest one that fits.
    double packing = 0.5;
    // Workers that must not be chosen.
    const std::set<WorkerNumber> *excludedWorkers = nullptr;
    // Tasks of the same job by zone or rack, for spreading.
    const std::map<std::string, uint32_t> *tasksBySpreadGroup = nullptr;
};

// The usable workers ordered by free processor, so that a fitting one is found without looking at
// all.
class WorkerPool
{
public:
    void add(const PoolWorker &worker);

    // The worker that suits the wish best, or nothing when none fits.
    std::optional<WorkerNumber> choose(const PlacementRequest &request) const;

    void reserve(WorkerNumber worker, const Resources &reservation);
    void release(WorkerNumber worker, const Resources &reservation);

    const PoolWorker *find(WorkerNumber worker) const;
    const Resources &capacity() const { return capacity_; }
    size_t size() const { return workers_.size(); }

    // Whether the empty pool could hold the task.
    bool couldEverFit(const Resources &reservation) const;

    // Zone or rack of the worker by which tasks are spread; empty when they are not.
    static std::string spreadGroup(const PoolWorker &worker, schema::Spread spread);

private:
    struct FreeCpuKey
    {
        int64_t freeMillicores;
        size_t position;
        auto operator<=>(const FreeCpuKey &) const = default;
    };

    double score(const PoolWorker &worker, const PlacementRequest &request) const;
    void update(size_t position, const Resources &change, bool reserve);

    std::vector<PoolWorker> workers_;
    std::map<WorkerNumber, size_t> positions_;
    std::set<FreeCpuKey> byFreeCpu_;
    std::set<FreeCpuKey> acceleratorWorkersByFreeCpu_;
    Resources capacity_;
};

} // namespace basilgap::scheduling
