#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/AdviceClaims.h"
#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/Scheduling/PendingRunEnds.h"
#include "Basilgap/Scheduling/PermitCache.h"
#include "Basilgap/Scheduling/PollPacing.h"
#include "Basilgap/Scheduling/QuarantineLimit.h"
#include "Basilgap/Scheduling/StartShares.h"
#include "Basilgap/Scheduling/StepWorker.h"
#include "Basilgap/Scheduling/UrgentDemand.h"
#include "Basilgap/Scheduling/WaitingSteps.h"
#include "Basilgap/Scheduling/WorkerHealth.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

using state::StepRef;
using state::StepTaskRef;

// A running deferrable task that may be preempted for urgent work; it keeps its checkpoint.
struct PreemptibleRun
{
    StepTaskRef task;
    WorkerNumber worker;
    state::AccountName account;
    Resources reservation;
    // Upper bound of the progress that is lost, in milliseconds.
    int64_t lostWorkMs = 0;
    // A stop has been ordered already.
    bool isStopping = false;
};

struct StepPlanInput
{
    const state::WorkTable &table;
    const state::WorkConfigState &config;
    // Of the same state, without the effect of pendingEnds.
    const WaitingSteps &waiting;
    const PermitCache &permits;
    const WorkerHealth &health;
    const DurationEstimator &durations;
    const UrgentDemand &urgent;
    const StartShares &shares;
    // Sorted by number; planned starts are reserved in place.
    std::vector<StepWorker> &workers;
    Millis now;
    uint64_t wallMs = 0;
    // The same on the clock of the state, which never goes backwards: the one of task phases.
    uint64_t stateMs = 0;
    const AdviceClaims &adviceClaims;
    // Processes that can request advice, and how many of them are free.
    size_t advisors = 0;
    size_t freeAdvisors = 0;
    // Steps whose running tasks are expected to end soon: advice for their successors is
    // prefetched.
    std::set<StepRef> endingSteps;
    // Return the preemptible runs on a worker and of an account; called when urgent work finds no
    // capacity there.
    std::function<std::vector<PreemptibleRun>(WorkerNumber)> preemptibleRunsOn;
    std::function<std::vector<PreemptibleRun>(const state::AccountName &)> preemptibleRunsOf;
    // Whether a task has started on the worker so recently that it may still crash it.
    std::function<bool(WorkerNumber)> hasFreshRun = [](WorkerNumber) { return false; };
    // Run ends that go into the same log record as the plan.
    PendingRunEnds pendingEnds;
    // A round that has planned that many starts looks at no further step. The most urgent steps
    // come first, and a step is never split by this bound.
    size_t maxStarts = SIZE_MAX;
};

// Lowest priority number of deferrable work; lower numbers are more urgent.
constexpr uint32_t DeferrablePriority = 2;

struct PlannedRun
{
    StepTaskRef task;
    uint32_t run = 0;
    WorkerNumber worker;
    std::string ticket;
};

struct AdviceRequest
{
    StepRef step;
    std::vector<WorkerNumber> workers;
    std::vector<AdviceClaim> claims;
};

// A worker that advice may be requested for.
struct AdviceCandidate
{
    WorkerNumber number;
    // Free capacity that no other step has claimed.
    Resources freeCapacity;
    // Advice has granted the worker before, but its ticket has expired.
    bool wasGranted = false;
};

bool hasRequiredLabel(const StepWorker &worker, const schema::StepSpec &spec);

// The workers that a request names, and the capacity that it claims on them.
struct AdviceSelection
{
    std::vector<WorkerNumber> workers;
    std::vector<AdviceClaim> claims;
};

// Selects the workers to request advice for, given the number of tasks of the step that need one.
AdviceSelection selectAdviceWorkers(
    const schema::StepSpec &spec, std::vector<AdviceCandidate> options, uint32_t missing);

// Selects the workers for the first request of a step, while its job is still being written to the
// log.
AdviceSelection selectInitialAdviceWorkers(const schema::StepSpec &spec, const std::string &pool,
    const std::vector<StepWorker> &workers, const AdviceClaims &claims);

struct StepPlan
{
    std::vector<PlannedRun> starts;
    // Further steps are left to the next round, because this one has planned enough starts.
    bool isCutShort = false;
    std::vector<AdviceRequest> adviceRequests;
    // Runs to stop for urgent work.
    std::vector<StepTaskRef> preemptions;
    // Most urgent class of work that found no capacity.
    CapacityDemand capacityDemand = CapacityDemand::None;
};

// Decides which waiting tasks of steps start on which workers, and which advice to request. Works
// on its input alone. Load pattern: overload by urgent and deferrable jobs with deadlines; jobs
// that can still meet theirs go first.
class StepPlanner
{
public:
    explicit StepPlanner(StepPlanInput input);

    StepPlan run();

private:
    struct Candidate : WaitingStep
    {
        // Its predecessors still run: advice is only prefetched.
        bool isPrefetch = false;
    };

    // What an account has running in this round, and may have.
    struct AccountRoom
    {
        // Null for calls without an account.
        const schema::AccountConfig *config = nullptr;
        Resources used;
        // What its deferrable work leaves to its urgent work.
        Resources headroom;
    };

    // Runs that may be preempted, those that lose the least progress first.
    struct PreemptibleRuns
    {
        std::vector<PreemptibleRun> runs;
        // Capacity that stopping runs will free, less what is already planned for other tasks.
        Resources stopping;
    };

    void loadCapacity();
    // Steps whose place among the candidates depends on runs that end in this round.
    void collectChangedSteps();
    void addChangedSteps(const state::Work &work, uint32_t occurrence);
    void insert(Candidate candidate);
    // Whether the step goes after those of accounts that have started less.
    bool isOverShare(const WaitingStep &step) const;
    void addPrefetchSteps();
    // Whether a step is among those that collectChangedSteps() adds.
    bool isChanged(const WaitingStep &step) const;
    bool mayPlanMore();
    bool placeInserted(const WaitingStep *before);
    void place(const Candidate &candidate);
    // Whether nothing can be done for the step in this round.
    bool isHopeless(const Candidate &candidate);
    bool mayPreempt(const Candidate &candidate, const Resources &reservation) const;
    // Whether a task might fit on some worker of the pool.
    bool mayFit(const std::string &pool, const Resources &reservation);
    // Whether a task fits on a quarantined worker and may start there.
    bool mayFitQuarantined(const Candidate &candidate, const Resources &reservation) const;
    bool leavesHeadroom(const Candidate &candidate, const Resources &reservation) const;
    bool mayPrefetchAdvice(const Candidate &candidate) const;
    uint32_t waitingOf(const Candidate &candidate) const;
    void placeStep(const Candidate &candidate);
    void placeGang(const Candidate &candidate);
    bool isHeldBack(const state::WorkTask &task) const;
    // The workers on which tasks of the job have failed, or null.
    const std::set<WorkerNumber> *failedWorkers(const Candidate &candidate) const;
    // Whether tasks have lately failed on the worker, or one of the job ever has.
    bool hasFailures(const StepWorker &worker, const std::set<WorkerNumber> *failedWorkers) const;
    // Chooses among workers that candidateWorkers() returned for the step.
    StepWorker *chooseWorkerForSuspect(const Candidate &candidate, const Resources &reservation,
        const std::vector<StepWorker *> &options) const;
    StepWorker *chooseWorker(const Candidate &candidate, const Resources &reservation,
        const std::vector<StepWorker *> &options);
    StepWorker *findWorker(WorkerNumber number);
    // Workers on which tasks of the step may start.
    std::vector<StepWorker *> candidateWorkers(
        const Candidate &candidate, const Resources &reservation);
    bool mayRun(const StepWorker &worker, const Candidate &candidate) const;
    // The part of mayRun() that quarantines and the number of starts have no effect on.
    bool isEligible(const StepWorker &worker, const Candidate &candidate) const;
    QuarantineLimit &quarantineLimit() const;
    bool mayUseQuarantined(const Candidate &candidate) const;
    bool hasOnlyQuarantined(const Candidate &candidate) const;
    // The part of mayRun() that the starts of this round change.
    bool mayRunAnother(const StepWorker &worker, const Candidate &candidate) const;
    uint32_t heldBackTasks(const Candidate &candidate) const;
    AccountRoom &roomOf(const state::AccountName &account);
    bool fitsAccountCap(const Candidate &candidate);
    bool couldAnyWorkerHold(const Candidate &candidate) const;
    void preemptWithinAccount(const Candidate &candidate, uint32_t missing);
    void preemptForCapacity(const Candidate &candidate, uint32_t missing);
    bool preemptOnWorker(
        const Candidate &candidate, const Resources &reservation, const StepWorker &worker);
    PreemptibleRuns &preemptibleOn(WorkerNumber worker);
    PreemptibleRuns &preemptibleOf(const state::AccountName &account);
    PreemptibleRuns toPreemptibleRuns(std::vector<PreemptibleRun> runs) const;
    bool isStopping(const PreemptibleRun &run) const;
    void preemptRun(const PreemptibleRun &run);
    void planStart(const Candidate &candidate, uint32_t index, uint32_t run, StepWorker *worker);
    // Undoes the changes of planStart() to the worker.
    void undoStart(const Candidate &candidate, StepWorker *worker);
    void requestAdvice(const Candidate &candidate, uint32_t missing);
    bool mayRequestAdvice(const Candidate &candidate) const;
    std::vector<AdviceCandidate> prefetchOptions(const Candidate &candidate);
    std::vector<AdviceCandidate> adviceOptions(const Candidate &candidate);
    void loadUnclaimedRoom();
    void addClaims(const std::vector<AdviceClaim> &claims);
    void recordCapacityDemand(const Candidate &candidate);
    static CapacityDemand demandOf(const Candidate &candidate);
    uint32_t tasksOn(const StepRef &step, WorkerNumber worker) const;

    StepPlanInput input_;
    StepPlan plan_;
    // Capacity of the schedulable workers of a pool.
    struct PoolCapacity
    {
        Resources total;
        Resources free;
        // Upper bounds of what a worker has free, each resource by itself; absent after a start.
        std::optional<Resources> largestFree;
    };
    std::map<std::string, PoolCapacity> pools_;
    // Workers with free capacity at the start of the round, by number.
    std::vector<StepWorker *> workersWithRoom_;
    // Schedulable workers that are left to tasks which find no other room.
    std::vector<StepWorker *> quarantined_;
    // Absent until the first quarantined worker is considered.
    mutable std::optional<QuarantineLimit> quarantineLimit_;
    // The last answer of hasOnlyQuarantined().
    struct OnlyQuarantined
    {
        StepRef step;
        bool answer = false;
    };
    mutable std::optional<OnlyQuarantined> onlyQuarantined_;
    // Workers with free capacity when the first step asks for advice, and what steps claim there.
    struct UnclaimedRoom
    {
        StepWorker *worker = nullptr;
        Resources claimed;

        Resources unclaimed() const { return worker->freeCapacity() - claimed; }
    };
    std::optional<std::vector<UnclaimedRoom>> unclaimedRoom_;
    std::map<WorkerNumber, PreemptibleRuns> preemptibleByWorker_;
    std::map<state::AccountName, PreemptibleRuns> preemptibleByAccount_;
    std::set<StepTaskRef> preempted_;
    // Reservation of a step for which preemption found no worker in this round.
    std::optional<Resources> unattainable_;
    // Steps whose place differs from that among the waiting steps, and those that are not there.
    std::set<Candidate> insertedSteps_;
    std::set<StepRef> changedSteps_;
    // Jobs with pending ends.
    std::set<state::WorkSerial> changedWorks_;
    // Workers on which preemption was considered in this round.
    size_t preemptionProbes_ = 0;
    std::unordered_map<state::AccountName, AccountRoom> accounts_;
    std::map<std::pair<StepRef, WorkerNumber>, uint32_t> plannedTasks_;
};

} // namespace basilgap::scheduling
