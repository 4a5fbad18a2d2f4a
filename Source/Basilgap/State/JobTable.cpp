#include "Basilgap/State/JobTable.h"

#include <algorithm>

namespace basilgap::state {

namespace {

// Limit of the reasons that are kept: they are meant for people, and a worker may send longer ones.
constexpr size_t MaxReasonBytes = 200;

} // namespace

Resources Job::reservation(const Task &task) const
{
    Resources need = fromSchema(spec.per_task());
    need.memoryMb = std::max(need.memoryMb, static_cast<int64_t>(task.memoryFloorMb));
    return need;
}

JobId JobTable::submit(const schema::SubmitJob &command, uint64_t stampMs)
{
    Job job;
    job.id = JobId(nextJob_++);
    job.team = TeamName(command.team());
    job.spec = command.spec();
    job.submittedMs = stampMs;
    job.tasks.resize(job.spec.tasks());
    for (Task &task : job.tasks)
        task.phaseSinceMs = stampMs;
    job.waitingTasks = job.spec.tasks();
    const JobId id = job.id;
    updateIndexes(jobs_.emplace(id, std::move(job)).first->second);
    return id;
}

void JobTable::cancel(const schema::CancelJobs &command, uint64_t stampMs)
{
    for (const uint64_t number : command.jobs()) {
        const auto found = jobs_.find(JobId(number));
        if (found == jobs_.end() || found->second.isFinished())
            continue;
        Job &job = found->second;
        finish(&job, schema::JobState::CANCELLED, stampMs);
        endWaitingTasks(&job, schema::TaskState::CANCELLED);
        updateIndexes(job);
    }
}

schema::CommandOutcome JobTable::apply(const schema::TaskBatch &command, uint64_t stampMs)
{
    for (const auto &worker : command.workers())
        registerWorker(worker);

    // Ends are applied before starts: a start may use resources that an end in the same record
    // frees.
    const schema::TaskEnds &ends = command.ends();
    int64_t job = 0;
    int64_t index = 0;
    for (int i = 0; i < ends.end_size(); i++) {
        job += ends.job(i);
        index += ends.task(i);
        const std::string reason = i < ends.reason_size() ? ends.reason(i) : "";
        const uint64_t peakMemoryMb = i < ends.peak_memory_mb_size() ? ends.peak_memory_mb(i) : 0;
        endTask({ JobId(static_cast<uint64_t>(job)), static_cast<uint32_t>(index) }, ends.end(i),
            reason, peakMemoryMb, stampMs);
    }
    for (int i = 0; i < command.failed_jobs_size(); i++) {
        const auto found = jobs_.find(JobId(command.failed_jobs(i)));
        if (found != jobs_.end() && !found->second.isFinished())
            failJob(&found->second, command.failed_reasons(i), stampMs);
    }
    const schema::TaskStarts &starts = command.starts();
    job = 0;
    index = 0;
    for (int i = 0; i < starts.worker_size(); i++) {
        job += starts.job(i);
        index += starts.task(i);
        startTask({ JobId(static_cast<uint64_t>(job)), static_cast<uint32_t>(index) },
            WorkerNumber(starts.worker(i)), stampMs);
    }
    return {};
}

void JobTable::startTask(const TaskId &id, WorkerNumber worker, uint64_t stampMs)
{
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end() || found->second.isFinished()
        || id.index >= found->second.tasks.size())
        return;
    Job &job = found->second;
    Task &task = job.tasks[id.index];
    if (task.phase != schema::TaskState::WAITING)
        return;
    task.phase = schema::TaskState::RUNNING;
    task.worker = worker;
    task.epoch++;
    task.phaseSinceMs = stampMs;
    job.waitingTasks--;
    job.runningTasks++;
    job.phase = schema::JobState::RUNNING;
    addRunning(job, id, task);
    updateIndexes(job);
}

void JobTable::endTask(const TaskId &id, schema::TaskEnd end, const std::string &reason,
    uint64_t peakMemoryMb, uint64_t stampMs)
{
    const auto found = jobs_.find(id.job);
    if (found == jobs_.end() || id.index >= found->second.tasks.size())
        return;
    Job &job = found->second;
    Task &task = job.tasks[id.index];
    if (task.phase != schema::TaskState::RUNNING)
        return;
    removeRunning(job, id, task);
    job.runningTasks--;
    task.phaseSinceMs = stampMs;
    task.reason = reason.substr(0, MaxReasonBytes);
    if (peakMemoryMb > job.spec.per_task().memory_mb())
        task.memoryFloorMb = std::max(task.memoryFloorMb, peakMemoryMb);
    applyTaskEnd(&job, &task, end);
    if (!job.isFinished() && task.phase == schema::TaskState::FAILED)
        failJob(&job,
            "task " + std::to_string(id.index) + " failed " + std::to_string(task.tries)
                + " times: " + task.reason,
            stampMs);
    updatePhase(&job, stampMs);
    updateIndexes(job);
}

void JobTable::applyTaskEnd(Job *job, Task *task, schema::TaskEnd end)
{
    const bool isDone = end == schema::TASK_DONE && !job->isService();
    if (isDone) {
        task->phase = schema::TaskState::DONE;
        return;
    }
    if (job->isFinished()) {
        task->phase = job->phase == schema::JobState::FAILED ? schema::TaskState::FAILED
                                                             : schema::TaskState::CANCELLED;
        return;
    }
    if (end == schema::TASK_FAILED)
        task->tries++;
    if (task->tries > job->spec.retry_limit() && !job->isService()) {
        task->phase = schema::TaskState::FAILED;
        return;
    }
    task->phase = schema::TaskState::WAITING;
    job->waitingTasks++;
}

void JobTable::failJob(Job *job, const std::string &reason, uint64_t stampMs)
{
    finish(job, schema::JobState::FAILED, stampMs);
    job->reason = reason.substr(0, MaxReasonBytes);
    endWaitingTasks(job, schema::TaskState::FAILED);
    updateIndexes(*job);
}

void JobTable::updatePhase(Job *job, uint64_t stampMs)
{
    if (job->isFinished())
        return;
    if (job->waitingTasks == 0 && job->runningTasks == 0)
        finish(job, schema::JobState::DONE, stampMs);
    else
        job->phase = job->runningTasks > 0 ? schema::JobState::RUNNING : schema::JobState::WAITING;
}

void JobTable::finish(Job *job, schema::JobState::Phase phase, uint64_t stampMs)
{
    job->phase = phase;
    job->finishedMs = stampMs;
    finished_.emplace(stampMs, job->id);
}

void JobTable::endWaitingTasks(Job *job, schema::TaskState::Phase phase)
{
    for (Task &task : job->tasks) {
        if (task.phase == schema::TaskState::WAITING)
            task.phase = phase;
    }
    job->waitingTasks = 0;
}

void JobTable::expire(uint64_t nowMs, uint64_t retentionMs)
{
    std::vector<std::pair<uint64_t, JobId>> withRunningTasks;
    while (!finished_.empty() && finished_.begin()->first + retentionMs < nowMs) {
        const auto [stamp, id] = *finished_.begin();
        finished_.erase(finished_.begin());
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
            continue;
        // The tasks of a cancelled or failed job may not have stopped yet; the job is kept until
        // then.
        if (found->second.runningTasks > 0) {
            found->second.finishedMs = nowMs;
            withRunningTasks.emplace_back(nowMs, id);
        } else {
            jobs_.erase(found);
        }
    }
    finished_.insert(withRunningTasks.begin(), withRunningTasks.end());
}

const Job *JobTable::find(JobId job) const
{
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

const Task *JobTable::find(const TaskId &task) const
{
    const Job *job = find(task.job);
    if (job == nullptr || task.index >= job->tasks.size())
        return nullptr;
    return &job->tasks[task.index];
}

const std::set<TaskId> &JobTable::runningOn(WorkerNumber worker) const
{
    static const std::set<TaskId> none;
    const auto found = runningByWorker_.find(worker);
    return found == runningByWorker_.end() ? none : found->second;
}

Resources JobTable::reservedOn(WorkerNumber worker) const
{
    const auto found = reserved_.find(worker);
    return found == reserved_.end() ? Resources{} : found->second;
}

Resources JobTable::usageOf(const TeamName &team) const
{
    const auto found = usage_.find(team);
    return found == usage_.end() ? Resources{} : found->second;
}

WorkerNumber JobTable::numberOf(const WorkerId &worker) const
{
    const auto found = workerNumbers_.find(worker);
    return found == workerNumbers_.end() ? WorkerNumber() : found->second;
}

const WorkerId *JobTable::workerOf(WorkerNumber number) const
{
    const auto found = workerIds_.find(number);
    return found == workerIds_.end() ? nullptr : &found->second;
}

std::optional<Incarnation> JobTable::incarnationOf(WorkerNumber number) const
{
    const auto found = workerIncarnations_.find(number);
    return found == workerIncarnations_.end() ? std::nullopt : std::optional(found->second);
}

uint64_t JobTable::oldestFinishMs() const
{
    return finished_.empty() ? 0 : finished_.begin()->first;
}

void JobTable::updateIndexes(const Job &job)
{
    const bool isWaiting = job.waitingTasks > 0 && !job.isFinished();
    waitingTasks_ -= waitingTasksOfJob_[job.id];
    if (isWaiting) {
        waitingTasks_ += job.waitingTasks;
        waitingTasksOfJob_[job.id] = job.waitingTasks;
        waiting_[job.team].insert(job.id);
        if (job.spec.urgent())
            waitingUrgent_.insert(job.id);
        return;
    }
    waitingTasksOfJob_.erase(job.id);
    waitingUrgent_.erase(job.id);
    const auto found = waiting_.find(job.team);
    if (found == waiting_.end())
        return;
    found->second.erase(job.id);
    if (found->second.empty())
        waiting_.erase(found);
}

void JobTable::addRunning(const Job &job, const TaskId &id, const Task &task)
{
    runningByWorker_[task.worker].insert(id);
    reserved_[task.worker] += job.reservation(task);
    usage_[job.team] += job.reservation(task);
    running_++;
}

void JobTable::removeRunning(const Job &job, const TaskId &id, const Task &task)
{
    std::set<TaskId> &onWorker = runningByWorker_[task.worker];
    onWorker.erase(id);
    reserved_[task.worker] -= job.reservation(task);
    usage_[job.team] -= job.reservation(task);
    running_--;
    if (!onWorker.empty())
        return;
    runningByWorker_.erase(task.worker);
    reserved_.erase(task.worker);
}

void JobTable::registerWorker(const schema::WorkerRegistration &registration)
{
    const WorkerNumber number(registration.number());
    const WorkerId worker(registration.worker());
    workerIds_[number] = worker;
    workerNumbers_[worker] = number;
    if (registration.has_incarnation())
        workerIncarnations_[number] = Incarnation(registration.incarnation());
}

} // namespace basilgap::state
