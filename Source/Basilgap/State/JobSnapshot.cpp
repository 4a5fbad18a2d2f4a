#include "Basilgap/State/JobTable.h"

namespace basilgap::state {

namespace {

schema::TaskState saveTask(const Task &task)
{
    schema::TaskState saved;
    saved.set_phase(task.phase);
    saved.set_worker(task.worker.value());
    saved.set_epoch(task.epoch);
    saved.set_tries(task.tries);
    saved.set_reason(task.reason);
    saved.set_since_ms(task.phaseSinceMs);
    saved.set_memory_floor_mb(task.memoryFloorMb);
    return saved;
}

Task restoreTask(const schema::TaskState &saved)
{
    return Task{ .phase = saved.phase(),
        .worker = WorkerNumber(saved.worker()),
        .epoch = saved.epoch(),
        .tries = saved.tries(),
        .phaseSinceMs = saved.since_ms(),
        .memoryFloorMb = saved.memory_floor_mb(),
        .reason = saved.reason() };
}

Job restoreJob(const schema::JobState &saved)
{
    Job job;
    job.id = JobId(saved.id());
    job.team = TeamName(saved.team());
    job.spec = saved.spec();
    job.phase = saved.phase();
    job.reason = saved.reason();
    job.submittedMs = saved.submitted_ms();
    job.finishedMs = saved.finished_ms();
    for (const auto &task : saved.tasks()) {
        job.tasks.push_back(restoreTask(task));
        job.waitingTasks += task.phase() == schema::TaskState::WAITING ? 1 : 0;
        job.runningTasks += task.phase() == schema::TaskState::RUNNING ? 1 : 0;
    }
    return job;
}

} // namespace

schema::JobState toSchema(const Job &job)
{
    schema::JobState saved;
    saved.set_id(job.id.value());
    saved.set_team(job.team.value());
    *saved.mutable_spec() = job.spec;
    saved.set_phase(job.phase);
    saved.set_reason(job.reason);
    saved.set_submitted_ms(job.submittedMs);
    saved.set_finished_ms(job.finishedMs);
    for (const Task &task : job.tasks)
        *saved.add_tasks() = saveTask(task);
    return saved;
}

schema::JobSnapshot JobTable::save() const
{
    schema::JobSnapshot snapshot;
    for (const auto &[id, job] : jobs_)
        *snapshot.add_jobs() = toSchema(job);
    for (const auto &[number, worker] : workerIds_) {
        auto *saved = snapshot.add_workers();
        saved->set_number(number.value());
        saved->set_worker(worker.value());
        if (const auto incarnation = incarnationOf(number))
            saved->set_incarnation(incarnation->value());
    }
    snapshot.set_next_job(nextJob_);
    return snapshot;
}

void JobTable::restore(const schema::JobSnapshot &snapshot)
{
    *this = JobTable();
    nextJob_ = snapshot.next_job();
    for (const auto &worker : snapshot.workers())
        registerWorker(worker);
    for (const auto &saved : snapshot.jobs()) {
        const Job &job = jobs_.emplace(JobId(saved.id()), restoreJob(saved)).first->second;
        for (uint32_t i = 0; i < job.tasks.size(); i++) {
            if (job.tasks[i].phase == schema::TaskState::RUNNING)
                addRunning(job, { job.id, i }, job.tasks[i]);
        }
        if (job.isFinished())
            finished_.emplace(job.finishedMs, job.id);
        updateIndexes(job);
    }
}

} // namespace basilgap::state
