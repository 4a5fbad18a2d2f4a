#pragma once

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/WorkerHealth.h"
#include "Basilgap/Scheduling/WorkerPool.h"
#include "Basilgap/State/CellState.h"
#include "Peer.pb.h"

namespace basilgap::network {
class PeerStream;
}

namespace basilgap::control {

using state::WorkerNumber;

// Adds one end to the difference-coded arrays.
class TaskEndWriter
{
public:
    explicit TaskEndWriter(schema::TaskEnds *ends)
        : ends_(ends)
    {}
    void add(
        const TaskId &task, schema::TaskEnd end, const std::string &reason, int64_t peakMemoryMb);

private:
    schema::TaskEnds *ends_;
    int64_t previousJob_ = 0;
    int64_t previousTask_ = 0;
};

// A task that a worker has reported.
struct ReportedTask
{
    uint32_t epoch = 0;
    schema::TaskReport::State state = schema::TaskReport::RUNNING;
    std::string reason;
    state::Resources usage;
    // Reports in a row above the reserved memory.
    int overMemoryReports = 0;
    int64_t peakMemoryMb = 0;
};

struct Worker
{
    WorkerId id;
    Incarnation incarnation;
    uint64_t sequence = 0;
    ZoneName zone;
    RackName rack;
    state::Resources capacity;
    std::map<TaskId, ReportedTask> tasks;
    // Polls in a row in which a task that should run was missing.
    std::map<TaskId, int> missingPolls;
    Millis lastHeardAt;
    Millis leaseEnd;
    network::PeerStream *stream = nullptr;
};

// The workers as they reported, their leases, and what differs between what they run and what they
// should run.
class WorkerRegistry
{
public:
    // Every lease that an earlier leader may have given counts as renewed now.
    WorkerRegistry(const state::CellState &state, Millis now);

    // Takes in a report. The error says why it was refused; a report that left out what the leader
    // does not know gets NotFound.
    Result<Worker *> recordReport(
        const schema::WorkerReport &report, network::PeerStream *stream, Millis now);

    // The worker was told that its lease goes on; its poll had arrived at `received`.
    void extendLease(const WorkerId &worker, Millis received);

    void streamClosed(const network::PeerStream *stream);

    // Orders that bring the worker in line with the cell state.
    schema::WorkerOrders ordersFor(const Worker &worker, const std::set<TaskId> &stopping) const;

    // Ends of tasks that are known but not in the cell state yet.
    schema::TaskEnds collectEnds(
        const std::set<TaskId> &stopping, scheduling::WorkerHealth *health, Millis now);

    // Running tasks that use more memory than they may, for longer than a moment.
    std::vector<TaskId> tasksOverMemory() const;

    // The workers that may be given tasks now.
    scheduling::WorkerPool usablePool(const scheduling::WorkerHealth &health, Millis now) const;
    state::Resources maxCapacity() const;

    // Registrations of workers that have no number yet.
    std::vector<schema::WorkerRegistration> newRegistrations() const;

    bool hasLease(const Worker &worker, Millis now) const { return now < worker.leaseEnd; }
    const Worker *find(const WorkerId &worker) const;
    const std::map<WorkerId, Worker> &all() const { return workers_; }

private:
    void updateTasks(const schema::WorkerReport &report, Worker *worker);
    void countOverMemoryReports(Worker *worker);
    void countMissingPolls(Worker *worker);
    void addTaskEnd(const TaskId &id, WorkerNumber number, const std::set<TaskId> &stopping,
        scheduling::WorkerHealth *health, Millis now, TaskEndWriter *ends);
    void addReportedEnd(const TaskId &id, const ReportedTask &reported, WorkerNumber number,
        const std::set<TaskId> &stopping, scheduling::WorkerHealth *health, Millis now,
        TaskEndWriter *ends);

    const state::CellState &state_;
    Millis leadershipStart_;
    std::map<WorkerId, Worker> workers_;
};

} // namespace basilgap::control
