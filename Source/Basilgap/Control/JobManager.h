#pragma once

#include <functional>
#include <set>

#include "Basilgap/Control/WorkerRegistry.h"
#include "Basilgap/Scheduling/JobScheduler.h"
#include "Basilgap/Scheduling/WorkerHealth.h"

namespace basilgap::control {

// Contents of the next task record, and the workers whose orders change.
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

// Runs jobs on the leader: records task ends from worker reports, plans task starts, and stops
// tasks that are preempted or have to move.
class JobManager
{
public:
    JobManager(const state::CellState &state, Millis now);

    WorkerRegistry &workers() { return workers_; }
    const WorkerRegistry &workers() const { return workers_; }
    const scheduling::WorkerHealth &health() const { return health_; }
    const std::set<TaskId> &stopping() const { return stopping_; }

    // Plans the next task record. Call again only after that record is applied.
    TaskUpdate planUpdate(Millis now, uint64_t wallMs);

    // Why the job fits on no known worker. Empty if it fits on one, or if no worker is known.
    std::optional<std::string> neverFitsReason(const schema::JobSpec &spec) const;

    // Why tasks of the job are waiting; may be empty.
    std::string waitReason(JobId job) const { return scheduler_.waitReason(job); }

private:
    void removeEnded();
    void recordSurvivals(Millis now, uint64_t wallMs);
    void requestStop(const TaskId &task, TaskUpdate *update);
    void drainZones(const scheduling::WorkerPool &pool, TaskUpdate *update);

    const state::CellState &state_;
    WorkerRegistry workers_;
    scheduling::WorkerHealth health_;
    scheduling::JobScheduler scheduler_;
    // Tasks that were ordered to stop or checkpoint and whose end is not recorded yet.
    std::set<TaskId> stopping_;
};

} // namespace basilgap::control
