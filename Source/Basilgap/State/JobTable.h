#pragma once

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/State/Resources.h"
#include "State.pb.h"

namespace basilgap::state {

// Number of a worker, which keeps log records of tasks small.
using WorkerNumber = StrongType<struct WorkerNumberTag, uint32_t>;

struct Task
{
    schema::TaskState::Phase phase = schema::TaskState::WAITING;
    WorkerNumber worker;
    // Incremented by every start of the task.
    uint32_t epoch = 0;
    uint32_t tries = 0;
    uint64_t phaseSinceMs = 0;
    // Peak memory of an earlier try if it exceeded the declared memory; 0 if none did.
    uint64_t memoryFloorMb = 0;
    std::string reason;
};

struct Job
{
    JobId id;
    TeamName team;
    schema::JobSpec spec;
    schema::JobState::Phase phase = schema::JobState::WAITING;
    std::string reason;
    uint64_t submittedMs = 0;
    uint64_t finishedMs = 0;
    std::vector<Task> tasks;
    uint32_t waitingTasks = 0;
    uint32_t runningTasks = 0;

    bool isFinished() const { return phase >= schema::JobState::DONE; }
    bool isGang() const { return spec.job_class() == schema::GANG; }
    bool isService() const { return spec.job_class() == schema::SERVICE; }
    // Resources reserved for the task: the declared ones, raised to the memory that earlier tries
    // used.
    Resources reservation(const Task &task) const;
};

// Jobs, their tasks and the workers that run them, with the indexes that the scheduler reads.
class JobTable
{
public:
    // Adds a job with the next job number.
    JobId submit(const schema::SubmitJob &command, uint64_t stampMs);
    void cancel(const schema::CancelJobs &command, uint64_t stampMs);
    schema::CommandOutcome apply(const schema::TaskBatch &command, uint64_t stampMs);
    void expire(uint64_t nowMs, uint64_t retentionMs);

    JobId nextJob() const { return JobId(nextJob_); }
    const Job *find(JobId job) const;
    const Task *find(const TaskId &task) const;
    const std::map<JobId, Job> &jobs() const { return jobs_; }

    // Unfinished jobs with waiting tasks by team, oldest first.
    const std::map<TeamName, std::set<JobId>> &waiting() const { return waiting_; }
    // The urgent jobs among them, over all teams.
    const std::set<JobId> &waitingUrgent() const { return waitingUrgent_; }
    size_t waitingTasks() const { return waitingTasks_; }

    // Tasks that run on the worker.
    const std::set<TaskId> &runningOn(WorkerNumber worker) const;
    Resources reservedOn(WorkerNumber worker) const;
    Resources usageOf(const TeamName &team) const;
    const std::map<WorkerNumber, std::set<TaskId>> &runningByWorker() const
    {
        return runningByWorker_;
    }
    size_t runningTasks() const { return running_; }

    WorkerNumber numberOf(const WorkerId &worker) const;
    const WorkerId *workerOf(WorkerNumber number) const;
    // The incarnation that was registered last; none if an earlier version logged the worker.
    std::optional<Incarnation> incarnationOf(WorkerNumber number) const;
    const std::map<WorkerNumber, WorkerId> &workers() const { return workerIds_; }
    uint32_t nextWorker() const { return static_cast<uint32_t>(workerIds_.size()) + 1; }

    // Time at which the first of the finished jobs finished; 0 if there is none.
    uint64_t oldestFinishMs() const;

    schema::JobSnapshot save() const;
    void restore(const schema::JobSnapshot &snapshot);

private:
    void startTask(const TaskId &id, WorkerNumber worker, uint64_t stampMs);
    void endTask(const TaskId &id, schema::TaskEnd end, const std::string &reason,
        uint64_t peakMemoryMb, uint64_t stampMs);
    void applyTaskEnd(Job *job, Task *task, schema::TaskEnd end);
    void failJob(Job *job, const std::string &reason, uint64_t stampMs);
    void updatePhase(Job *job, uint64_t stampMs);
    void finish(Job *job, schema::JobState::Phase phase, uint64_t stampMs);
    void endWaitingTasks(Job *job, schema::TaskState::Phase phase);
    void updateIndexes(const Job &job);
    void addRunning(const Job &job, const TaskId &id, const Task &task);
    void removeRunning(const Job &job, const TaskId &id, const Task &task);
    void registerWorker(const schema::WorkerRegistration &registration);

    std::map<JobId, Job> jobs_;
    uint64_t nextJob_ = 1;
    std::map<WorkerNumber, WorkerId> workerIds_;
    std::unordered_map<WorkerId, WorkerNumber> workerNumbers_;
    std::map<WorkerNumber, Incarnation> workerIncarnations_;
    std::map<TeamName, std::set<JobId>> waiting_;
    std::set<JobId> waitingUrgent_;
    std::map<JobId, uint32_t> waitingTasksOfJob_;
    size_t waitingTasks_ = 0;
    std::map<WorkerNumber, std::set<TaskId>> runningByWorker_;
    std::map<WorkerNumber, Resources> reserved_;
    std::map<TeamName, Resources> usage_;
    std::multimap<uint64_t, JobId> finished_;
    size_t running_ = 0;
};

// Converts a job for snapshots and for answers.
schema::JobState toSchema(const Job &job);

} // namespace basilgap::state
