#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/Scheduling/PendingRunEnds.h"
#include "Basilgap/Scheduling/PermitCache.h"
#include "Basilgap/Scheduling/PollPacing.h"
#include "Basilgap/Scheduling/UrgentDemand.h"
#include "Basilgap/Scheduling/WorkerHealth.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

using state::Resources;
using state::StepRef;
using state::StepTask;
using state::WorkerNumber;

// A worker as the planner sees it.
struct StepWorker
{
    WorkerNumber number;
    std::string pool;
    std::string rack;
    std::vector<std::string> labels;
    Resources capacity;
    // By everything that has not surely ended.
    Resources reserved;
    // Millicores that tasks there would use which fill what others leave.
    int64_t backfillMillicores = 0;
    // May be given new tasks.
    bool schedulable = true;
    // Time that it takes for work that takes a usual worker 1.
    double slowdown = 1;
    // Tasks that may still be started; bounded while the worker is on probation.
    uint32_t remainingStarts = UINT32_MAX;

    Resources freeCapacity() const { return capacity - reserved; }
};

// A running task of patient work that may be stopped for urgent work: its progress is kept.
struct PreemptibleRun
{
    StepTask task;
    WorkerNumber worker;
    state::AccountName account;
    Resources reservation;
    // Work that is lost at most, in milliseconds.
    int64_t lostWorkMs = 0;
    // Already on its way out.
    bool isStopping = false;
};

struct StepPlanInput
{
    const state::WorkTable &table;
    const state::WorkConfigState &config;
    const PermitCache &permits;
    const WorkerHealth &health;
    const DurationEstimator &durations;
    const UrgentDemand &urgent;
    // In the order of their numbers; what the plan takes is reserved in place.
    std::vector<StepWorker> &workers;
    Millis now;
    uint64_t wallMs = 0;
    // Advice calls that may begin now.
    size_t freeAdvisors = 0;
    // Steps whose running tasks are expected to be done soon: advice for what comes after them is
    // asked ahead.
    std::set<StepRef> endingSteps;
    // Patient runs that may make way; asked for when urgent work finds no room.
    std::function<std::vector<PreemptibleRun>()> preemptibleRuns;
    // Ends that go into the record of the plan.
    PendingRunEnds pendingEnds;
};

// Priority of work that may wait; lower numbers are more urgent.
constexpr uint32_t DeferrablePriority = 2;

struct PlannedRun
{
    StepTask task;
    uint32_t run = 0;
    WorkerNumber worker;
    std::string ticket;
};

struct AdviceRequest
{
    StepRef step;
    std::vector<WorkerNumber> workers;
};

// A worker that advice may be asked about.
struct AdviceCandidate
{
    WorkerNumber number;
    Resources freeCapacity;
    // It was granted before; only its ticket has run out.
    bool wasGranted = false;
};

bool hasRequiredLabel(const StepWorker &worker, const schema::StepSpec &spec);

// Which of the workers advice is asked about, for so many tasks of a step.
std::vector<WorkerNumber> selectAdviceWorkers(
    const schema::StepSpec &spec, std::vector<AdviceCandidate> options, uint32_t missing);

// The same for a step of which nothing is known yet, as while its job is being logged.
std::vector<WorkerNumber> selectInitialAdviceWorkers(
    const schema::StepSpec &spec, const std::string &pool, const std::vector<StepWorker> &workers);

struct StepPlan
{
    std::vector<PlannedRun> starts;
    std::vector<AdviceRequest> adviceRequests;
    // Runs to stop so that urgent work can start.
    std::vector<StepTask> preemptions;
    // The most urgent work that found no room.
    CapacityDemand capacityDemand = CapacityDemand::None;
};

// Decides which waiting tasks start where, and for which steps advice is asked. Works on the input
// alone.
class StepPlanner
{
public:
    explicit StepPlanner(StepPlanInput input);

    StepPlan run();

private:
    // A step whose turn has come, and what decides its place in the order.
    struct Candidate
    {
        StepRef ref;
        const state::Work *work = nullptr;
        const schema::QueueConfig *queue = nullptr;
        uint32_t priority = 0;
        // 0: can meet its objective, 1: late, 2: so late that it earns nothing more.
        int latenessBand = 0;
        int64_t slackMs = 0;
        // The steps before it are still running: only advice is asked.
        bool isPrefetch = false;

        bool operator<(const Candidate &other) const;
    };

    void collectCandidates();
    void addCandidates(const state::Work &work);
    void loadCapacity();
    bool leavesHeadroom(const Candidate &candidate, const Resources &reservation) const;
    bool mayPrefetchAdvice(const Candidate &candidate) const;
    uint32_t waitingOf(const Candidate &candidate) const;
    void placeStep(const Candidate &candidate);
    void placeGang(const Candidate &candidate);
    StepWorker *chooseWorker(
        const Candidate &candidate, const Resources &reservation, bool needsTicket);
    StepWorker *findWorker(WorkerNumber number);
    // The workers that a task of the step might start on.
    std::vector<StepWorker *> candidateWorkers(const Candidate &candidate, bool needsTicket);
    bool mayRun(const StepWorker &worker, const Candidate &candidate) const;
    bool fitsAccountCap(const Candidate &candidate) const;
    void preemptWithinAccount(const Candidate &candidate, uint32_t missing);
    void preemptForCapacity(const Candidate &candidate, uint32_t missing);
    bool preemptOnWorker(
        const Candidate &candidate, const Resources &reservation, const StepWorker &worker);
    void loadPreemptibleRuns();
    void preemptRun(PreemptibleRun *run);
    void planStart(const Candidate &candidate, uint32_t index, uint32_t run, StepWorker *worker);
    // Undoes what take() changed of the worker.
    void undoStart(const Candidate &candidate, StepWorker *worker);
    void requestAdvice(const Candidate &candidate, uint32_t missing);
    void recordCapacityDemand(const Candidate &candidate);
    uint32_t tasksOn(const StepRef &step, WorkerNumber worker) const;

    StepPlanInput input_;
    StepPlan plan_;
    Resources capacity_;
    Resources freeCapacity_;
    // Loaded when urgent work finds no room; what loses least comes first.
    std::optional<std::vector<PreemptibleRun>> preemptibleRuns_;
    std::map<WorkerNumber, std::vector<PreemptibleRun *>> preemptibleByWorker_;
    std::map<state::AccountName, std::vector<PreemptibleRun *>> preemptibleByAccount_;
    // Room that runs on their way out will leave, as far as it is not promised yet.
    std::map<state::AccountName, Resources> stoppingByAccount_;
    std::map<WorkerNumber, Resources> stoppingByWorker_;
    std::vector<Candidate> candidates_;
    std::map<state::AccountName, Resources> plannedUsage_;
    std::map<std::pair<StepRef, WorkerNumber>, uint32_t> plannedTasks_;
};

// Longest chain of the estimates of a work's steps, from the given occurrence's steps that are not
// done yet, or of all of them.
uint64_t criticalPathMs(const state::Work &work, std::optional<uint32_t> remainingOf);

} // namespace basilgap::scheduling
