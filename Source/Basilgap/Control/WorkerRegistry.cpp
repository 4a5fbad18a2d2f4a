#include "Basilgap/Control/WorkerRegistry.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Scheduling/QuarantineLimit.h"

namespace basilgap::control {

namespace {

// A worker polls again only after it has processed the previous answer or that answer has timed
// out, so a task that is still missing after this many polls was never started there.
constexpr int MissingPollsBeforeLost = 4;

constexpr int OverMemoryReportsBeforeStop = 2;

// A task is throttled when it exceeds its processor reservation by more than this.
constexpr int64_t ProcessorSlackPercent = 10;

} // namespace

void TaskEndWriter::add(
    const TaskId &task, schema::TaskEnd end, const std::string &reason, int64_t peakMemoryMb)
{
    const auto job = static_cast<int64_t>(task.job.value());
    ends_->add_job(job - previousJob_);
    ends_->add_task(static_cast<int32_t>(static_cast<int64_t>(task.index) - previousTask_));
    ends_->add_end(end);
    ends_->add_reason(reason);
    ends_->add_peak_memory_mb(static_cast<uint64_t>(peakMemoryMb));
    previousJob_ = job;
    previousTask_ = task.index;
    tasks_.insert(task);
}

WorkerRegistry::WorkerRegistry(const state::CellState &state, Millis now)
    : state_(state)
    , leadershipStart_(now)
{}

Result<Worker *> WorkerRegistry::recordReport(
    const schema::WorkerReport &report, network::PeerStream *stream, Millis now)
{
    const WorkerId id(report.id());
    const auto found = workers_.find(id);
    if (found == workers_.end() && report.unchanged())
        return fail({ ErrorCode::NotFound, "worker-report", report.id(), "not known" });
    const Incarnation incarnation(report.incarnation());
    if (wasLaterIncarnationRegistered(id, incarnation))
        return fail({ ErrorCode::Conflict, "worker-report", report.id(),
            "a later incarnation has registered" });
    if (found == workers_.end() && mayOtherIncarnationHoldLease(id, incarnation, now))
        return fail({ ErrorCode::Conflict, "worker-report", report.id(),
            "another incarnation may still hold its lease" });
    if (found != workers_.end() && found->second.incarnation != incarnation) {
        const Worker &known = found->second;
        if (incarnation < known.incarnation)
            return fail({ ErrorCode::Conflict, "worker-report", report.id(),
                "a later incarnation has reported" });
        if (hasLease(known, now))
            return fail({ ErrorCode::Conflict, "worker-report", report.id(),
                "the incarnation before still holds its lease" });
        if (report.unchanged())
            return fail({ ErrorCode::NotFound, "worker-report", report.id(), "not known" });
        workers_.erase(found);
    }
    const bool isNew = !workers_.contains(id);
    Worker &worker = workers_[id];
    if (isNew) {
        worker.id = id;
        worker.incarnation = incarnation;
        // An earlier leader may have extended a lease of this worker.
        worker.leaseEnd = leadershipStart_ + WorkerLease + WorkerLeaseMargin;
    } else if (report.sequence() <= worker.sequence) {
        return fail(
            { ErrorCode::Conflict, "worker-report", report.id(), "a later report arrived" });
    }
    // The entry compares a report with the last one that it has sent itself.
    if (report.unchanged() && worker.stream != stream)
        return fail({ ErrorCode::NotFound, "worker-report", report.id(), "reported elsewhere" });
    worker.sequence = report.sequence();
    worker.lastHeardAt = now;
    worker.stream = stream;
    if (!report.unchanged()) {
        worker.zone = ZoneName(report.zone());
        worker.rack = RackName(report.rack());
        worker.capacity = state::fromSchema(report.capacity());
        updateTasks(report, &worker);
    }
    countOverMemoryReports(&worker);
    countMissingPolls(&worker);
    return &worker;
}

bool WorkerRegistry::mayOtherIncarnationHoldLease(
    const WorkerId &id, Incarnation incarnation, Millis now) const
{
    const auto registered = state_.jobs().incarnationOf(state_.jobs().numberOf(id));
    return registered && *registered != incarnation
        && now < leadershipStart_ + WorkerLease + WorkerLeaseMargin;
}

bool WorkerRegistry::wasLaterIncarnationRegistered(
    const WorkerId &id, Incarnation incarnation) const
{
    const auto registered = state_.jobs().incarnationOf(state_.jobs().numberOf(id));
    return registered && incarnation < *registered;
}

bool WorkerRegistry::isRegistered(const Worker &worker) const
{
    const WorkerNumber number = state_.jobs().numberOf(worker.id);
    return number.value() != 0 && state_.jobs().incarnationOf(number) == worker.incarnation;
}

void WorkerRegistry::updateTasks(const schema::WorkerReport &report, Worker *worker)
{
    std::map<TaskId, ReportedTask> tasks;
    for (const auto &reported : report.tasks()) {
        const TaskId id{ JobId(reported.job()), reported.task() };
        ReportedTask &task = tasks[id];
        const auto before = worker->tasks.find(id);
        if (before != worker->tasks.end() && before->second.epoch == reported.epoch())
            task = before->second;
        task.epoch = reported.epoch();
        task.state = reported.state();
        task.reason = reported.reason();
        task.usage = state::fromSchema(reported.usage());
        task.peakMemoryMb = std::max(task.peakMemoryMb, task.usage.memoryMb);
    }
    worker->tasks = std::move(tasks);
}

// Counts every report, including unchanged ones.
void WorkerRegistry::countOverMemoryReports(Worker *worker)
{
    for (auto &[id, task] : worker->tasks) {
        const state::Job *job = state_.jobs().find(id.job);
        const state::Task *known = state_.jobs().find(id);
        const bool isOverReservation =
            known != nullptr && task.usage.memoryMb > job->reservation(*known).memoryMb;
        task.overMemoryReports = isOverReservation ? task.overMemoryReports + 1 : 0;
    }
}

void WorkerRegistry::countMissingPolls(Worker *worker)
{
    // No answer orders a start before the worker is registered.
    if (!isRegistered(*worker))
        return worker->missingRuns.clear();
    std::map<TaskId, MissingRun> missingRuns;
    for (const TaskId &id : state_.jobs().runningOn(state_.jobs().numberOf(worker->id))) {
        const auto reported = worker->tasks.find(id);
        const uint32_t epoch = state_.jobs().find(id)->epoch;
        if (reported != worker->tasks.end() && reported->second.epoch >= epoch)
            continue;
        const auto before = worker->missingRuns.find(id);
        const bool isSameRun = before != worker->missingRuns.end() && before->second.epoch == epoch;
        missingRuns[id] = { .epoch = epoch, .polls = isSameRun ? before->second.polls + 1 : 1 };
    }
    worker->missingRuns = std::move(missingRuns);
}

bool WorkerRegistry::isMissing(const Worker &worker, const TaskId &task) const
{
    const auto missing = worker.missingRuns.find(task);
    return missing != worker.missingRuns.end()
        && missing->second.epoch == state_.jobs().find(task)->epoch
        && missing->second.polls >= MissingPollsBeforeLost;
}

const Worker *WorkerRegistry::extendLease(const ReportId &report, Millis received)
{
    const auto found = workers_.find(report.worker);
    if (found == workers_.end())
        return nullptr;
    Worker &worker = found->second;
    if (worker.incarnation != report.incarnation || worker.sequence != report.sequence)
        return nullptr;
    worker.leaseEnd = std::max(worker.leaseEnd, received + WorkerLease + WorkerLeaseMargin);
    return &worker;
}

void WorkerRegistry::streamClosed(const network::PeerStream *stream)
{
    for (auto &[id, worker] : workers_) {
        if (worker.stream == stream)
            worker.stream = nullptr;
    }
}

schema::WorkerOrders WorkerRegistry::ordersFor(
    const Worker &worker, const std::set<TaskId> &stopping) const
{
    schema::WorkerOrders orders;
    orders.set_worker(worker.id.value());
    orders.set_incarnation(worker.incarnation.value());
    orders.set_sequence(worker.sequence);
    orders.set_lease_ms(static_cast<uint32_t>(WorkerLease.count()));
    const WorkerNumber number = state_.jobs().numberOf(worker.id);
    const auto addOrder = [](auto *list, const TaskId &id, uint32_t epoch) {
        schema::TaskOrder *order = list->Add();
        order->set_job(id.job.value());
        order->set_task(id.index);
        order->set_epoch(epoch);
        return order;
    };
    for (const TaskId &id : state_.jobs().runningOn(number)) {
        const state::Job &job = *state_.jobs().find(id.job);
        const state::Task &task = *state_.jobs().find(id);
        const auto reported = worker.tasks.find(id);
        const bool started = reported != worker.tasks.end() && reported->second.epoch >= task.epoch;
        if (started || !isRegistered(worker) || job.isFinished() || stopping.contains(id)
            || ending_.contains(id) || isMissing(worker, id)
            || state_.config().isZoneOut(worker.zone))
            continue;
        schema::TaskStart *start = orders.add_start();
        start->set_job(id.job.value());
        start->set_task(id.index);
        start->set_epoch(task.epoch);
        start->set_team(job.team.value());
        *start->mutable_per_task() = state::toSchema(job.reservation(task));
        *start->mutable_command() = job.spec.command();
    }
    for (const auto &[id, reported] : worker.tasks) {
        const state::Job *job = state_.jobs().find(id.job);
        const state::Task *task = state_.jobs().find(id);
        const bool shouldRun = task != nullptr && task->phase == schema::TaskState::RUNNING
            && task->worker == number && task->epoch == reported.epoch && !job->isFinished();
        if (!shouldRun) {
            addOrder(orders.mutable_stop(), id, reported.epoch);
            continue;
        }
        if (reported.state != schema::TaskReport::RUNNING)
            continue;
        if (stopping.contains(id)) {
            const bool canCheckpoint = job->spec.checkpointable();
            addOrder(canCheckpoint ? orders.mutable_checkpoint() : orders.mutable_stop(), id,
                reported.epoch);
            continue;
        }
        const int64_t reserved = job->reservation(*task).millicores;
        if (reported.usage.millicores * 100 > reserved * (100 + ProcessorSlackPercent))
            addOrder(orders.mutable_throttle(), id, reported.epoch)
                ->set_millicores(static_cast<uint64_t>(reserved));
    }
    return orders;
}

schema::TaskEnds WorkerRegistry::collectEnds(
    const std::set<TaskId> &stopping, scheduling::WorkerHealth *health, Millis now)
{
    schema::TaskEnds ends;
    TaskEndWriter writer(&ends);
    for (const auto &[number, tasks] : state_.jobs().runningByWorker()) {
        for (const TaskId &id : tasks)
            addTaskEnd(id, number, stopping, health, now, &writer);
    }
    ending_ = writer.tasks();
    return ends;
}

void WorkerRegistry::addTaskEnd(const TaskId &id, WorkerNumber number,
    const std::set<TaskId> &stopping, scheduling::WorkerHealth *health, Millis now,
    TaskEndWriter *ends)
{
    const WorkerId *workerId = state_.jobs().workerOf(number);
    const auto found = workerId == nullptr ? workers_.end() : workers_.find(*workerId);
    if (found == workers_.end()) {
        if (now >= leadershipStart_ + WorkerLease + WorkerLeaseMargin)
            ends->add(id, schema::TASK_LOST, "the worker did not return", 0);
        return;
    }
    const Worker &worker = found->second;
    if (!hasLease(worker, now))
        return ends->add(id, schema::TASK_LOST, "the worker's lease ran out", 0);
    const uint32_t epoch = state_.jobs().find(id)->epoch;
    const auto reported = worker.tasks.find(id);
    if (reported == worker.tasks.end() || reported->second.epoch < epoch) {
        if (isMissing(worker, id))
            ends->add(id, schema::TASK_LOST, "the worker does not run the task", 0);
        return;
    }
    if (reported->second.epoch == epoch && reported->second.state != schema::TaskReport::RUNNING)
        addReportedEnd(id, reported->second, number, stopping, health, now, ends);
}

void WorkerRegistry::addReportedEnd(const TaskId &id, const ReportedTask &reported,
    WorkerNumber number, const std::set<TaskId> &stopping, scheduling::WorkerHealth *health,
    Millis now, TaskEndWriter *ends)
{
    using FailureCause = scheduling::WorkerHealth::FailureCause;
    switch (reported.state) {
    case schema::TaskReport::DONE:
        health->recordSuccess(number);
        return ends->add(id, schema::TASK_DONE, "", 0);
    case schema::TaskReport::FAILED: {
        const bool blameJob =
            health->recordFailure(number, { .job = id.job }, now) == FailureCause::Job;
        return ends->add(id, blameJob ? schema::TASK_FAILED : schema::TASK_LOST, reported.reason,
            reported.peakMemoryMb);
    }
    case schema::TaskReport::CHECKPOINTED:
        return ends->add(id, schema::TASK_CHECKPOINTED, "", reported.peakMemoryMb);
    default:
        // The worker stopped a task without an order, so the task counts as lost.
        return ends->add(id, stopping.contains(id) ? schema::TASK_STOPPED : schema::TASK_LOST,
            reported.reason, reported.peakMemoryMb);
    }
}

std::vector<TaskId> WorkerRegistry::tasksOverMemory() const
{
    std::vector<TaskId> tasks;
    for (const auto &[id, worker] : workers_) {
        for (const auto &[task, reported] : worker.tasks) {
            const state::Task *known = state_.jobs().find(task);
            if (reported.overMemoryReports >= OverMemoryReportsBeforeStop && known != nullptr
                && known->epoch == reported.epoch && reported.state == schema::TaskReport::RUNNING)
                tasks.push_back(task);
        }
    }
    return tasks;
}

scheduling::WorkerPool WorkerRegistry::usablePool(
    const scheduling::WorkerHealth &health, Millis now) const
{
    std::vector<scheduling::PoolWorker> usable;
    scheduling::QuarantineLimit limit;
    for (const auto &[id, worker] : workers_) {
        const WorkerNumber number = state_.jobs().numberOf(id);
        // After half a lease of silence the worker is probably gone, so nothing is started there.
        const bool isSilent = now - worker.lastHeardAt > WorkerLease / 2;
        if (!isRegistered(worker) || isSilent || state_.config().isZoneOut(worker.zone))
            continue;
        limit.add({ .millicores = worker.capacity.millicores,
            .isQuarantined = health.isQuarantined(number, now) });
        usable.push_back({ .number = number,
            .zone = worker.zone,
            .rack = worker.rack,
            .capacity = worker.capacity,
            .reserved = state_.jobs().reservedOn(number),
            .remainingStarts = health.remainingStarts(number, now) });
    }
    const bool quarantinesHold = limit.holds({}, {});
    scheduling::WorkerPool pool;
    for (const scheduling::PoolWorker &worker : usable) {
        if (!quarantinesHold || !health.isQuarantined(worker.number, now))
            pool.add(worker);
    }
    return pool;
}

state::Resources WorkerRegistry::maxCapacity() const
{
    state::Resources maxima;
    for (const auto &[id, worker] : workers_) {
        maxima.millicores = std::max(maxima.millicores, worker.capacity.millicores);
        maxima.memoryMb = std::max(maxima.memoryMb, worker.capacity.memoryMb);
        maxima.accelerators = std::max(maxima.accelerators, worker.capacity.accelerators);
    }
    return maxima;
}

std::vector<schema::WorkerRegistration> WorkerRegistry::newRegistrations() const
{
    std::vector<schema::WorkerRegistration> registrations;
    uint32_t next = state_.jobs().nextWorker();
    for (const auto &[id, worker] : workers_) {
        if (isRegistered(worker))
            continue;
        const WorkerNumber number = state_.jobs().numberOf(id);
        schema::WorkerRegistration registration;
        registration.set_number(number.value() != 0 ? number.value() : next++);
        registration.set_worker(id.value());
        registration.set_incarnation(worker.incarnation.value());
        registrations.push_back(std::move(registration));
    }
    return registrations;
}

const Worker *WorkerRegistry::find(const WorkerId &worker) const
{
    const auto found = workers_.find(worker);
    return found == workers_.end() ? nullptr : &found->second;
}

} // namespace basilgap::control
