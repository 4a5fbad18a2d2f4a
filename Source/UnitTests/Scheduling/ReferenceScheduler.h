#pragma once

#include <vector>

#include "Basilgap/Scheduling/JobScheduler.h"

namespace basilgap::scheduling {

// Reference for JobScheduler with plain loops: no index, all usage is recounted for every
// placement.
class ReferenceScheduler
{
public:
    explicit ReferenceScheduler(std::vector<PoolWorker> workers)
        : workers_(std::move(workers))
    {}

    // Starts tasks one by one: of the team furthest below its share, the oldest job that fits, on
    // the fullest worker with capacity.
    std::vector<PlannedStart> plan(
        const state::JobTable &jobs, const state::ConfigState &config, size_t maxStarts);

private:
    Resources freeOn(const PoolWorker &worker, const state::JobTable &jobs) const;
    Resources usageOf(const TeamName &team, const state::JobTable &jobs) const;
    bool startNext(const state::JobTable &jobs, const state::ConfigState &config);
    bool startTaskOf(const state::Job &job, const state::JobTable &jobs);
    bool isStarted(const TaskId &task) const;

    std::vector<PoolWorker> workers_;
    std::vector<PlannedStart> starts_;
};

} // namespace basilgap::scheduling
