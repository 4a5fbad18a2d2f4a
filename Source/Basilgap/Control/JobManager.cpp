#include "Basilgap/Control/JobManager.h"

#include <algorithm>
#include <map>

#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::control {

namespace {

// Tasks of one job that may be moved out of a zone at the same time.
constexpr int MaxMovingTasksPerJob = 1;

} // namespace

JobManager::JobManager(const state::CellState &state, Millis now)
    : state_(state)
    , workers_(state, now)
{}

void JobManager::removeEnded()
{
    std::erase_if(stopping_, [this](const TaskId &id) {
        const state::Task *task = state_.jobs().find(id);
        return task == nullptr || task->phase != schema::TaskState::RUNNING;
    });
    health_.retainJobs([this](JobId id) {
        const state::Job *job = state_.jobs().find(id);
        return job != nullptr && !job->isFinished();
    });
}

// Runs that go on for long enough show that their worker is sound.
void JobManager::recordSurvivals(Millis now, uint64_t wallMs)
{
    for (const state::WorkerNumber number : health_.workersWithFailures()) {
        const WorkerId *id = state_.jobs().workerOf(number);
        const Worker *worker = id == nullptr ? nullptr : workers_.find(*id);
        if (worker == nullptr || now - worker->lastHeardAt > WorkerLease / 2)
            continue;
        for (const auto &[taskId, reported] : worker->tasks) {
            const state::Task *task = state_.jobs().find(taskId);
            if (task == nullptr || task->epoch != reported.epoch
                || reported.state != schema::TaskReport::RUNNING)
                continue;
            const Millis age(static_cast<int64_t>(wallMs - std::min(wallMs, task->phaseSinceMs)));
            if (health_.recordSurvival(number, age, now))
                break;
        }
    }
}

void JobManager::requestStop(const TaskId &task, TaskUpdate *update)
{
    if (!stopping_.insert(task).second)
        return;
    const WorkerId *worker = state_.jobs().workerOf(state_.jobs().find(task)->worker);
    if (worker != nullptr)
        update->workersToNotify.insert(*worker);
}

TaskUpdate JobManager::planUpdate(Millis now, uint64_t wallMs)
{
    TaskUpdate update;
    removeEnded();
    recordSurvivals(now, wallMs);
    for (const auto &registration : workers_.newRegistrations())
        *update.batch.add_workers() = registration;
    *update.batch.mutable_ends() = workers_.collectEnds(stopping_, &health_, now);
    for (const TaskId &task : workers_.tasksOverMemory())
        requestStop(task, &update);

    scheduling::WorkerPool pool = workers_.usablePool(health_, now);
    drainZones(pool, &update);
    const scheduling::SchedulePlan plan = scheduler_.plan({
        .jobs = state_.jobs(),
        .config = state_.config(),
        .pool = pool,
        .largestWorker = workers_.maxCapacity(),
        .failedOn = health_.failedOn(),
        .stopping = stopping_,
        .nowMs = wallMs,
    });
    for (const TaskId &task : plan.preemptions)
        requestStop(task, &update);
    schema::TaskStarts *starts = update.batch.mutable_starts();
    TaskId last;
    for (const scheduling::PlannedStart &start : plan.starts) {
        starts->add_job(static_cast<int64_t>(start.task.job.value() - last.job.value()));
        starts->add_task(static_cast<int32_t>(start.task.index - last.index));
        starts->add_worker(start.worker.value());
        last = start.task;
        health_.recordStart(start.worker, now);
        update.workersToNotify.insert(*state_.jobs().workerOf(start.worker));
    }
    for (const scheduling::PlannedFailure &failure : plan.failures) {
        update.batch.add_failed_jobs(failure.job.value());
        update.batch.add_failed_reasons(failure.reason);
    }
    return update;
}

// Moves services and checkpointable batch jobs out of zones that are taken out of service. Only one
// task of a job moves at a time, and only while another zone has capacity for it. A task is stopped
// before it starts elsewhere, so it never runs twice.
void JobManager::drainZones(const scheduling::WorkerPool &pool, TaskUpdate *update)
{
    if (state_.config().zonesOut().empty())
        return;
    std::map<JobId, int> movingTasks;
    for (const TaskId &task : stopping_)
        movingTasks[task.job]++;
    for (const auto &[id, worker] : workers_.all()) {
        if (!state_.config().isZoneOut(worker.zone))
            continue;
        for (const TaskId &task : state_.jobs().runningOn(state_.jobs().numberOf(id))) {
            const state::Job &job = *state_.jobs().find(task.job);
            const bool isMovable = job.isService()
                || (job.spec.checkpointable() && job.spec.job_class() == schema::BATCH);
            if (!isMovable || job.isFinished() || movingTasks[task.job] >= MaxMovingTasksPerJob)
                continue;
            const state::Resources need = job.reservation(*state_.jobs().find(task));
            if (!pool.choose({ .reservation = need }))
                continue;
            movingTasks[task.job]++;
            requestStop(task, update);
        }
    }
}

std::optional<std::string> JobManager::neverFitsReason(const schema::JobSpec &spec) const
{
    if (workers_.all().empty())
        return std::nullopt;
    const state::Resources need = state::fromSchema(spec.per_task());
    for (const auto &[id, worker] : workers_.all()) {
        if (need.fitsIn(worker.capacity))
            return std::nullopt;
    }
    return "more than any worker could hold";
}

} // namespace basilgap::control
