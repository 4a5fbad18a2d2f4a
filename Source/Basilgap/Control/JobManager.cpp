#include "Basilgap/Control/JobManager.h"

#include <map>

namespace basilgap::control {

namespace {

// Tasks of one job that are moved out of a zone at the same time.
constexpr int MovedTogether = 1;

} // namespace

JobManager::JobManager(const state::CellState &state, Millis now)
    : state_(state)
    , workers_(state, now)
{}

void JobManager::forgetStopped()
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

void JobManager::stop(const TaskId &task, TaskStep *step)
{
    if (!stopping_.insert(task).second)
        return;
    const WorkerId *worker = state_.jobs().workerOf(state_.jobs().find(task)->worker);
    if (worker != nullptr)
        step->workers.insert(*worker);
}

TaskStep JobManager::step(Millis now, uint64_t wallMs)
{
    TaskStep step;
    forgetStopped();
    for (const auto &registration : workers_.unregistered())
        *step.batch.add_workers() = registration;
    *step.batch.mutable_ends() = workers_.collectEnds(stopping_, &health_, now);
    for (const TaskId &task : workers_.overusers())
        stop(task, &step);

    scheduling::WorkerPool pool = workers_.usablePool(health_, now);
    leaveZones(pool, &step);
    const scheduling::SchedulePlan plan = scheduler_.plan({
        .jobs = state_.jobs(),
        .config = state_.config(),
        .pool = pool,
        .largestWorker = workers_.largest(),
        .failedOn = health_.failedOn(),
        .stopping = stopping_,
        .nowMs = wallMs,
    });
    for (const TaskId &task : plan.preemptions)
        stop(task, &step);
    schema::TaskStarts *starts = step.batch.mutable_starts();
    TaskId last;
    for (const scheduling::PlannedStart &start : plan.starts) {
        starts->add_job(static_cast<int64_t>(start.task.job.value() - last.job.value()));
        starts->add_task(static_cast<int32_t>(start.task.index - last.index));
        starts->add_worker(start.worker.value());
        last = start.task;
        step.workers.insert(*state_.jobs().workerOf(start.worker));
    }
    for (const scheduling::PlannedFailure &failure : plan.failures) {
        step.batch.add_failed_jobs(failure.job.value());
        step.batch.add_failed_reasons(failure.reason);
    }
    return step;
}

// Services leave a zone that was taken out, and batch work that keeps its progress, one task of a
// job at a time and only while another zone has room; a task never runs twice meanwhile.
void JobManager::leaveZones(const scheduling::WorkerPool &pool, TaskStep *step)
{
    if (state_.config().zonesOut().empty())
        return;
    std::map<JobId, int> moving;
    for (const TaskId &task : stopping_)
        moving[task.job]++;
    for (const auto &[id, worker] : workers_.all()) {
        if (!state_.config().isZoneOut(worker.zone))
            continue;
        for (const TaskId &task : state_.jobs().runningOn(state_.jobs().numberOf(id))) {
            const state::Job &job = *state_.jobs().find(task.job);
            const bool moves = job.isService()
                || (job.spec.checkpointable() && job.spec.job_class() == schema::BATCH);
            if (!moves || job.isFinished() || moving[task.job] >= MovedTogether)
                continue;
            const state::Resources need = job.reservation(*state_.jobs().find(task));
            if (!pool.choose({ .reservation = need }))
                continue;
            moving[task.job]++;
            stop(task, step);
        }
    }
}

std::optional<std::string> JobManager::whyNeverFits(const schema::JobSpec &spec) const
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
