#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/State/DurationModel.h"
#include "Basilgap/State/EarlyCancellations.h"
#include "Basilgap/State/JobTable.h"
#include "Basilgap/State/LostWorkers.h"
#include "Basilgap/State/Resources.h"
#include "Basilgap/State/WorkChanges.h"
#include "Basilgap/State/WorkRefs.h"
#include "State.pb.h"

namespace basilgap::state {

// What callers see of a queue: its host and path prefix. The name of its route may change.
using QueueId = StrongType<struct QueueIdTag, std::string>;
enum class WorkPhase { Active, Completed, Failed, Canceled };

enum class RunPhase { Waiting, Running, Done };

// State of a task and of its newest run.
struct WorkTask
{
    RunPhase phase = RunPhase::Waiting;
    // Worker of the newest run.
    WorkerNumber worker;
    // Number of the newest run; 0 before the first.
    uint32_t run = 0;
    uint32_t failures = 0;
    // Checkpoint from which the next run resumes; empty: it starts from the beginning.
    std::string checkpoint;
    // Time of the last change of phase, in Unix milliseconds.
    uint64_t phaseSinceMs = 0;
    // Crashes just after the start of its runs, since a run has last outlived its start.
    StartCrashes startCrashes;
    // Those that count once the worker is known to have crashed.
    StartCrashes unconfirmedStartCrashes;

    // Whether the task may have crashed a worker, so that it should start alone.
    bool isCrashSuspect() const { return startCrashes.total + unconfirmedStartCrashes.total > 0; }
    // Whether the job fails if the workers whose fate is not known have crashed.
    bool awaitsCrashVerdict() const
    {
        return unconfirmedStartCrashes.total > 0
            && (startCrashes + unconfirmedStartCrashes).areConclusive();
    }
};

struct WorkStep
{
    std::vector<WorkTask> tasks;
    uint32_t waiting = 0;
    uint32_t running = 0;
    uint32_t done = 0;
    // Number of the last run of a gang whose failure was counted: each run counts once, however
    // many of its members fail.
    uint32_t lastFailedRun = 0;

    bool isDone() const { return done == tasks.size(); }
};

// A job with steps (the schema's WorkSpec and WorkState).
struct Work
{
    WorkSerial serial;
    std::string id;
    QueueId queue;
    AccountName account;
    // Without the payload once the job is finished.
    schema::WorkSpec spec;
    uint32_t maxAttempts = 1;
    WorkPhase phase = WorkPhase::Active;
    // Whether any task has ever been started.
    bool started = false;
    uint64_t submittedMs = 0;
    uint64_t finishedMs = 0;
    uint32_t waitingTasks = 0;
    uint32_t runningTasks = 0;
    // Indexed by occurrence, then step.
    std::vector<std::vector<WorkStep>> occurrences;

    bool isActive() const { return phase == WorkPhase::Active; }
    // Whether it is finished and none of its runs is left. The state of its tasks has no effect
    // then.
    bool isSettled() const { return !isActive() && runningTasks == 0; }
    const schema::StepSpec &specOf(const StepRef &ref) const
    {
        return spec.steps(static_cast<int>(ref.step));
    }
    const WorkStep &stepAt(const StepRef &ref) const
    {
        return occurrences[ref.occurrence][ref.step];
    }
    // Unix milliseconds; 0 for a job that is due at once.
    uint64_t dueMs(uint32_t occurrence) const;
    // Whether all tasks of the steps that this one depends on are done.
    bool isReady(const StepRef &ref) const;
    // Whether the step is a gang of which some members run and others don't. Their run can't be
    // completed, since a gang starts as a whole.
    bool hasBrokenGang(const StepRef &ref) const;
};

// What the duration of a task of the step may depend on. Refers to the job.
DurationSubject durationSubjectOf(const Work &work, const StepRef &step);

QueueId queueIdOf(const schema::QueueConfig &queue);

// Resources that a task of the step reserves on its worker. A backfill task reserves no processor.
Resources reservationOf(const schema::StepSpec &step);

// How long a finished job can be queried, and a cancellation that came before its job is kept.
// Callers stop asking for a job, and resending it, before that.
constexpr uint64_t WorkRetentionMs = 180000;

// Jobs with steps, the incarnations of workers and the runs on them. Applying the same records
// gives the same table on every replica.
class WorkTable
{
public:
    WorkTable() = default;
    WorkTable(const WorkTable &) = delete;
    WorkTable &operator=(const WorkTable &) = delete;
    WorkTable(WorkTable &&) = default;
    WorkTable &operator=(WorkTable &&) = default;

    schema::CommandOutcome submit(const schema::SubmitWork &command, uint64_t stampMs);
    schema::CommandOutcome cancel(const schema::CancelWork &command, uint64_t stampMs);
    void apply(const schema::RunBatch &batch, uint64_t stampMs);
    // Removes the jobs that finished, and the early cancellations that came, longer ago than the
    // retention.
    void expire(uint64_t nowMs, uint64_t retentionMs);
    // Whether that would remove any.
    bool hasExpired(uint64_t nowMs, uint64_t retentionMs) const;

    const Work *find(const std::string &id) const;
    const Work *find(WorkSerial serial) const;
    const WorkTask *find(const StepTaskRef &task) const;
    const std::map<WorkSerial, Work> &works() const { return works_; }
    // Active jobs with waiting tasks.
    const std::set<WorkSerial> &waiting() const { return waiting_; }
    // Jobs that are not finished.
    const std::set<WorkSerial> &active() const { return active_; }
    const WorkChanges &changes() const { return changes_; }
    std::set<QueueId> activeQueues() const;
    const EarlyCancellations &earlyCancellations() const { return earlyCancellations_; }
    // Number of active jobs of the queue of which no task has ever been started.
    uint64_t unstartedCount(const QueueId &queue) const;

    // Incarnations of workers that are not gone, and gone ones whose runs have not all ended.
    const std::map<WorkerNumber, schema::WorkerLife> &workers() const { return workers_; }
    const schema::WorkerLife *findIncarnation(WorkerNumber number) const;
    // The newest incarnation of the worker, or null.
    const schema::WorkerLife *newestIncarnation(const std::string &id) const;
    WorkerNumber nextWorker() const { return WorkerNumber(nextWorker_); }
    // True if an incarnation was removed since the first one registered; possibly also if none was.
    bool hasRemovedIncarnations() const { return workers_.size() + 1 < nextWorker_; }

    // Runs that ended when this incarnation of a worker was lost, while it is not known whether it
    // has crashed.
    const LostWorkers &lostWorkers() const { return lostWorkers_; }

    // Runs that were started on this incarnation of a worker and have not ended, with their
    // numbers.
    const std::map<StepTaskRef, uint32_t> &runsOn(WorkerNumber worker) const;
    // Runs that were logged after the incarnation they were planned for had been removed. As no
    // leader has a session for it then, they were never ordered.
    std::vector<RunRef> strandedRuns() const;
    Resources reservedOn(WorkerNumber worker) const;
    // Tasks of the account that have a run which has not ended.
    const std::set<StepTaskRef> &runsOf(const AccountName &account) const;
    Resources usageOf(const AccountName &account) const;
    size_t runningTasks() const { return running_; }
    // What ended runs have shown about the durations of tasks.
    const DurationModel &durations() const { return durations_; }

    schema::WorkSnapshot save() const;
    void restore(const schema::WorkSnapshot &snapshot);

private:
    void registerIncarnation(const schema::WorkerLife &incarnation, uint64_t stampMs);
    void storeIncarnation(const schema::WorkerLife &incarnation);
    void removeFromAddress(const schema::WorkerLife &incarnation);
    void removeIncarnation(std::map<WorkerNumber, schema::WorkerLife>::iterator incarnation);
    bool isReplaced(const schema::WorkerLife &life) const;
    void recordWorkerLoss(Work *work, const StepTaskRef &ref, const schema::WorkerLife &life,
        const schema::RunEnd &end, uint64_t stampMs);
    void confirmCrash(const std::vector<LostRun> &runs, uint64_t stampMs);
    void dismissCrash(const std::vector<LostRun> &runs);
    void addStartCrash(Work *work, WorkTask *task, const LostRun &run, uint64_t stampMs);
    void clearStartCrashes(const StepTaskRef &ref, WorkTask *task);
    WorkTask *findMutable(const StepTaskRef &ref);
    void startRun(const schema::RunStart &start, uint64_t stampMs);
    void endRun(const schema::RunEnd &end, uint64_t stampMs);
    void completeGang(Work *work, const StepRef &ref, uint32_t run, uint64_t stampMs);
    void recordDuration(
        const Work &work, const StepTaskRef &ref, const schema::RunEnd &end, uint64_t stampMs);
    void releaseRun(Work *work, const StepTaskRef &ref, WorkTask *task);
    void applyRunOutcome(Work *work, const StepRef &ref, WorkTask *task, const schema::RunEnd &end);
    void finish(Work *work, WorkPhase phase, uint64_t stampMs);
    void finishIfDone(Work *work, uint64_t stampMs);
    void updateIndexes(const Work &work);
    static void buildSteps(Work *work);
    static void releasePayload(Work *work);
    void addToIndex(Work *work);

    std::map<WorkSerial, Work> works_;
    // The entries of works_ by serial number, from firstIndexed_ on; null for removed ones.
    std::deque<Work *> bySerial_;
    uint64_t firstIndexed_ = 1;
    std::unordered_map<std::string, WorkSerial> byId_;
    uint64_t nextSerial_ = 1;
    std::set<WorkSerial> waiting_;
    std::set<WorkSerial> active_;
    EarlyCancellations earlyCancellations_;
    WorkChanges changes_;
    // Those of waiting_ of which no task has ever been started.
    std::map<QueueId, std::set<WorkSerial>> unstarted_;
    std::map<WorkerNumber, schema::WorkerLife> workers_;
    std::unordered_map<std::string, WorkerNumber> newestIncarnations_;
    // All of workers_ by address.
    std::unordered_multimap<std::string, WorkerNumber> byAddress_;
    LostWorkers lostWorkers_;
    DurationModel durations_;
    uint32_t nextWorker_ = 1;
    std::map<WorkerNumber, std::map<StepTaskRef, uint32_t>> runs_;
    std::map<WorkerNumber, Resources> reserved_;
    std::map<AccountName, Resources> usage_;
    std::map<AccountName, std::set<StepTaskRef>> runsByAccount_;
    // Finished jobs by the time at which they finished.
    std::set<std::pair<uint64_t, WorkSerial>> finished_;
    size_t running_ = 0;
};

} // namespace basilgap::state
