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

// A worker that may be given tasks, with its free capacity.
struct PoolWorker
{
    WorkerNumber number;
    ZoneName zone;
    RackName rack;
    Resources capacity;
    Resources reserved;
    // Number of tasks that may still be started; limited while the worker is on probation.
    uint32_t remainingStarts = UINT32_MAX;

    Resources freeCapacity() const { return capacity - reserved; }
};

struct PlacementRequest
{
    Resources reservation;
    schema::Spread spread = schema::SPREAD_NONE;
    // 0 prefers the emptiest worker, 1 the fullest one that fits.
    double packing = 0.5;
    // Workers that are excluded; may be null.
    const std::set<WorkerNumber> *excludedWorkers = nullptr;
    // Number of tasks of the same job by zone or rack, for spreading; may be null.
    const std::map<std::string, uint32_t> *tasksBySpreadGroup = nullptr;
};

// Workers that may be given tasks, indexed by free processor, so that a fitting one is found
// without a scan of all. Load pattern: many placements on large cells.
class WorkerPool
{
public:
    void add(const PoolWorker &worker);

    // Returns the best worker for the request, or nothing if none fits.
    std::optional<WorkerNumber> choose(const PlacementRequest &request) const;

    void reserve(WorkerNumber worker, const Resources &reservation);
    void release(WorkerNumber worker, const Resources &reservation);

    const PoolWorker *find(WorkerNumber worker) const;
    const Resources &capacity() const { return capacity_; }
    size_t size() const { return workers_.size(); }

    // Whether any worker of the pool could hold the task if it were empty.
    bool couldEverFit(const Resources &reservation) const;

    // Zone or rack by which tasks are spread; empty without spreading.
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
