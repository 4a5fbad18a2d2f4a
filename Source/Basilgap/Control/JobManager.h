#pragma once

#include <functional>
#include <set>

#include "Basilgap/Control/WorkerRegistry.h"
#include "Basilgap/Scheduling/JobScheduler.h"
#include "Basilgap/Scheduling/WorkerHealth.h"

namespace basilgap::control {

// What the next task record should say, and which workers should hear of changed orders.
struct TaskUpdate
{
    schema::TaskBatch batch;
    std::set<WorkerId> workersToNotify;

    bool hasChanges() const
    {
        return batch.workers_size() > 0 || batch.starts().worker_size() > 0
            || batch.ends().end_size() > 0 || batch.failed_jobs_size() > 0;
    }
};

// The leader's side of jobs: turns reports into ends, plans starts, and stops what has to make
// room.
class JobManager
{
public:
    JobManager(const state::CellState &state, Millis now);

    WorkerRegistry &workers() { return workers_; }
    const WorkerRegistry &workers() const { return workers_; }
    const scheduling::WorkerHealth &health() const { return health_; }
    const std::set<TaskId> &stopping() const { return stopping_; }

    // Plans the next record. Call again only once it is applied.
    TaskUpdate planUpdate(Millis now, uint64_t wallMs);

    // Why no worker that is known could hold the job; nothing when one could or none is known.
    std::optional<std::string> neverFitsReason(const schema::JobSpec &spec) const;

    // Why a job's tasks wait; may be empty.
    std::string waitReason(JobId job) const { return scheduler_.waitReason(job); }

private:
    void removeEnded();
    void requestStop(const TaskId &task, TaskUpdate *update);
    void drainZones(const scheduling::WorkerPool &pool, TaskUpdate *update);

    const state::CellState &state_;
    WorkerRegistry workers_;
    scheduling::WorkerHealth health_;
    scheduling::JobScheduler scheduler_;
    // Tasks told to stop or checkpoint whose end has not been recorded.
    std::set<TaskId> stopping_;
};

} // namespace basilgap::control
