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

// Appends task ends to the delta-encoded arrays of TaskEnds.
class TaskEndWriter
{
public:
    explicit TaskEndWriter(schema::TaskEnds *ends)
        : ends_(ends)
    {}
    void add(
        const TaskId &task, schema::TaskEnd end, const std::string &reason, int64_t peakMemoryMb);

    const std::set<TaskId> &tasks() const { return tasks_; }

private:
    schema::TaskEnds *ends_;
    std::set<TaskId> tasks_;
    int64_t previousJob_ = 0;
    int64_t previousTask_ = 0;
};

// A task as its worker last reported it.
struct ReportedTask
{
    uint32_t epoch = 0;
    schema::TaskReport::State state = schema::TaskReport::RUNNING;
    std::string reason;
    state::Resources usage;
    // Consecutive reports with more memory in use than reserved.
    int overMemoryReports = 0;
    int64_t peakMemoryMb = 0;
};

// A run that its worker has not reported yet.
struct MissingRun
{
    uint32_t epoch = 0;
    // Consecutive polls without it.
    int polls = 0;
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
    std::map<TaskId, MissingRun> missingRuns;
    Millis lastHeardAt;
    Millis leaseEnd;
    network::PeerStream *stream = nullptr;
};

// Names one report: each incarnation of a worker counts its reports from the start.
struct ReportId
{
    WorkerId worker;
    Incarnation incarnation;
    uint64_t sequence = 0;
};

// Tracks the workers by their reports and leases, and compares the tasks that they run with the
// tasks that they should run.
class WorkerRegistry
{
public:
    // An earlier leader may have extended leases until now, so each worker is assumed to hold a
    // lease that was renewed at `now`.
    WorkerRegistry(const state::CellState &state, Millis now);

    // Records a report. The error says why it was refused. An `unchanged` report yields NotFound if
    // the leader does not know the worker, or its last report came on another stream: the entry has
    // to send the full report.
    Result<Worker *> recordReport(
        const schema::WorkerReport &report, network::PeerStream *stream, Millis now);

    // Extends the lease of the worker whose poll is answered. `received` is the arrival time of the
    // poll. Returns null, and extends nothing, if the worker has reported again since, whichever
    // its incarnation: it counts the lease from its last poll, so that one has to be confirmed.
    const Worker *extendLease(const ReportId &report, Millis received);

    void streamClosed(const network::PeerStream *stream);

    // Orders that make the worker run what the cell state says.
    schema::WorkerOrders ordersFor(const Worker &worker, const std::set<TaskId> &stopping) const;

    // Task ends that are known but not recorded in the cell state yet. Until the next call these
    // runs are not started any more.
    schema::TaskEnds collectEnds(
        const std::set<TaskId> &stopping, scheduling::WorkerHealth *health, Millis now);

    // Running tasks that exceeded their memory reservation in several consecutive reports.
    std::vector<TaskId> tasksOverMemory() const;

    // The workers on which tasks may be started now.
    scheduling::WorkerPool usablePool(const scheduling::WorkerHealth &health, Millis now) const;
    state::Resources maxCapacity() const;

    // Registrations of workers that have no number yet, or whose incarnation is another one.
    std::vector<schema::WorkerRegistration> newRegistrations() const;

    bool hasLease(const Worker &worker, Millis now) const { return now < worker.leaseEnd; }
    const Worker *find(const WorkerId &worker) const;
    const std::map<WorkerId, Worker> &all() const { return workers_; }

private:
    bool wasLaterIncarnationRegistered(const WorkerId &id, Incarnation incarnation) const;
    // Whether another incarnation may hold a lease from an earlier leader.
    bool mayOtherIncarnationHoldLease(
        const WorkerId &id, Incarnation incarnation, Millis now) const;
    // Whether the log names this incarnation, so that a next leader knows that it may run tasks.
    bool isRegistered(const Worker &worker) const;
    void updateTasks(const schema::WorkerReport &report, Worker *worker);
    void countOverMemoryReports(Worker *worker);
    void countMissingPolls(Worker *worker);
    // Whether the worker has had the chance to report the task's present run for too long.
    bool isMissing(const Worker &worker, const TaskId &task) const;
    void addTaskEnd(const TaskId &id, WorkerNumber number, const std::set<TaskId> &stopping,
        scheduling::WorkerHealth *health, Millis now, TaskEndWriter *ends);
    void addReportedEnd(const TaskId &id, const ReportedTask &reported, WorkerNumber number,
        const std::set<TaskId> &stopping, scheduling::WorkerHealth *health, Millis now,
        TaskEndWriter *ends);

    const state::CellState &state_;
    Millis leadershipStart_;
    std::map<WorkerId, Worker> workers_;
    // Tasks of the ends that were collected last.
    std::set<TaskId> ending_;
};

} // namespace basilgap::control
