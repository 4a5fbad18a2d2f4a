#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/EndsAhead.h"
#include "Basilgap/Scheduling/LookPacing.h"
#include "Basilgap/Scheduling/PermitBook.h"
#include "Basilgap/Scheduling/SpeedBook.h"
#include "Basilgap/Scheduling/UrgentDemand.h"
#include "Basilgap/Scheduling/WorkerHealth.h"
#include "Basilgap/State/WorkConfigState.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

using state::Resources;
using state::StepRef;
using state::StepTaskRef;
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
    int64_t filling = 0;
    // May be given new tasks.
    bool usable = true;
    // Time that it takes for work that takes a usual worker 1.
    double slowness = 1;
    // Tasks that may still be started; bounded while the worker is on probation.
    uint32_t startsLeft = UINT32_MAX;

    Resources room() const { return capacity - reserved; }
};

// A running task of patient work that may be stopped for urgent work: its progress is kept.
struct StoppableRun
{
    StepTaskRef task;
    WorkerNumber worker;
    state::AccountName account;
    Resources need;
    // Work that is lost at most, in milliseconds.
    int64_t lostMs = 0;
    // Already on its way out.
    bool isStopping = false;
};

struct StepPlanInput
{
    const state::WorkTable &table;
    const state::WorkConfigState &config;
    const PermitBook &permits;
    const WorkerHealth &health;
    const SpeedBook &speeds;
    const UrgentDemand &urgent;
    // In the order of their numbers; what the plan takes is reserved in place.
    std::vector<StepWorker> &workers;
    Millis now;
    uint64_t wallMs = 0;
    // Advice calls that may begin now.
    size_t freeAdvisers = 0;
    // Steps whose running tasks are expected to be done soon: advice for what comes after them is
    // asked ahead.
    std::set<StepRef> endingSteps;
    // Patient runs that may make way; asked for when urgent work finds no room.
    std::function<std::vector<StoppableRun>()> stoppable;
    // Ends that go into the record of the plan.
    EndsAhead ahead;
};

// Priority of work that may wait; lower numbers are more urgent.
constexpr uint32_t PatientPriority = 2;

struct PlannedStart
{
    StepTaskRef task;
    uint32_t run = 0;
    WorkerNumber worker;
    std::string ticket;
};

struct AdviceWish
{
    StepRef step;
    std::vector<WorkerNumber> workers;
};

// A worker that advice may be asked about.
struct AskableWorker
{
    WorkerNumber number;
    Resources room;
    // It was granted before; only its ticket has run out.
    bool isKnown = false;
};

bool fitsLabel(const StepWorker &worker, const schema::StepSpec &spec);

// Which of the workers advice is asked about, for so many tasks of a step.
std::vector<WorkerNumber> workersToAsk(
    const schema::StepSpec &spec, std::vector<AskableWorker> options, uint32_t missing);

// The same for a step of which nothing is known yet, as while its job is being logged.
std::vector<WorkerNumber> workersToAskFirst(
    const schema::StepSpec &spec, const std::string &pool, const std::vector<StepWorker> &workers);

struct StepPlan
{
    std::vector<PlannedStart> starts;
    std::vector<AdviceWish> wishes;
    // Runs to stop so that urgent work can start.
    std::vector<StepTaskRef> stops;
    // The most urgent work that found no room.
    RoomDemand roomDemand = RoomDemand::None;
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
        int band = 0;
        int64_t slackMs = 0;
        // The steps before it are still running: only advice is asked.
        bool isAhead = false;

        bool operator<(const Candidate &other) const;
    };

    void collect();
    void addSteps(const state::Work &work);
    void loadCell();
    bool mayTakeRoom(const Candidate &candidate, const Resources &need) const;
    bool isAhead(const Candidate &candidate) const;
    uint32_t waitingOf(const Candidate &candidate) const;
    void place(const Candidate &candidate);
    void placeGang(const Candidate &candidate);
    StepWorker *choose(const Candidate &candidate, const Resources &need, bool needsTicket);
    StepWorker *findWorker(WorkerNumber number);
    // The workers that a task of the step might start on.
    std::vector<StepWorker *> optionsOf(const Candidate &candidate, bool needsTicket);
    bool mayRun(const StepWorker &worker, const Candidate &candidate) const;
    bool isUnderCap(const Candidate &candidate) const;
    void preemptUnderCap(const Candidate &candidate, uint32_t missing);
    void preemptForRoom(const Candidate &candidate, uint32_t missing);
    bool preemptOn(const Candidate &candidate, const Resources &need, const StepWorker &worker);
    void loadStoppable();
    void stopRun(StoppableRun *run);
    void take(const Candidate &candidate, uint32_t index, uint32_t run, StepWorker *worker);
    // Undoes what take() changed of the worker.
    void giveBack(const Candidate &candidate, StepWorker *worker);
    void wishAdvice(const Candidate &candidate, uint32_t missing);
    void noteNoRoom(const Candidate &candidate);
    uint32_t placedOn(const StepRef &step, WorkerNumber worker) const;

    StepPlanInput input_;
    StepPlan plan_;
    Resources capacity_;
    Resources free_;
    // Loaded when urgent work finds no room; what loses least comes first.
    std::optional<std::vector<StoppableRun>> stoppable_;
    std::map<WorkerNumber, std::vector<StoppableRun *>> stoppableOn_;
    std::map<state::AccountName, std::vector<StoppableRun *>> stoppableOf_;
    // Room that runs on their way out will leave, as far as it is not promised yet.
    std::map<state::AccountName, Resources> leavingOfAccount_;
    std::map<WorkerNumber, Resources> leavingOnWorker_;
    std::vector<Candidate> candidates_;
    std::map<state::AccountName, Resources> added_;
    std::map<std::pair<StepRef, WorkerNumber>, uint32_t> placed_;
};

// Longest chain of the estimates of a work's steps, from the given occurrence's steps that are not
// done yet, or of all of them.
uint64_t chainEstimateMs(const state::Work &work, std::optional<uint32_t> remainingOf);

} // namespace basilgap::scheduling
