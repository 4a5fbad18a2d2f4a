#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Control/Replica.h"
#include "Basilgap/Dispatch/AdvicePool.h"
#include "Basilgap/Dispatch/ForecastAccuracy.h"
#include "Basilgap/Dispatch/ForgottenWorkers.h"
#include "Basilgap/Dispatch/PlanWorkers.h"
#include "Basilgap/Dispatch/StageTimes.h"
#include "Basilgap/Dispatch/WorkerSession.h"
#include "Basilgap/Scheduling/AccountShares.h"
#include "Basilgap/Scheduling/AdmissionForecast.h"
#include "Basilgap/Scheduling/BackfillThrottle.h"
#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/Scheduling/DurationForecast.h"
#include "Basilgap/Scheduling/PermitCache.h"
#include "Basilgap/Scheduling/PollPacing.h"
#include "Basilgap/Scheduling/StallHistory.h"
#include "Basilgap/Scheduling/StepPlanner.h"
#include "Basilgap/Scheduling/StragglerDetection.h"
#include "Basilgap/Scheduling/WorkerHealth.h"

namespace basilgap {
class LogEvent;
}

namespace basilgap::dispatch {

// The leader's part in running jobs with steps: answers calls, plans, logs starts and ends of runs,
// and sends orders to workers. Exists only while the replica leads.
class WorkDispatcher
{
public:
    using ReplyCallback = std::function<void(schema::RpcReply)>;

    struct Options
    {
        control::Replica &replica;
        WorkerPort &workers;
        AdvicePort &advice;
        SessionTimes times;
        scheduling::ForecastUses forecastUses = { .expectedDuration = true };
        // Number of calls to workers that went through relays since this replica leads.
        std::function<uint64_t()> relayedCalls = [] { return 0; };
    };

    WorkDispatcher(network::EventLoop &loop, Options options);
    ~WorkDispatcher();

    // Adds a process of the cell that can call the advisor on the leader's behalf.
    void addProcess(network::PeerStream &stream);
    // Handles a message from a process added before; false if the message is not for the leader.
    bool receive(network::PeerStream &stream, const schema::PeerMessage &message);
    void removeProcess(network::PeerStream &stream);
    void handleApplied(const schema::Command &command, const schema::CommandOutcome &outcome);

    // Handles a request. The reply carries the id of the request.
    void handleRequest(const schema::RpcRequest &request, const ReplyCallback &reply);

private:
    // A step for which advice is requested; its job may not be logged yet.
    struct AdviceTarget
    {
        std::string work;
        uint32_t occurrence = 0;
        uint32_t step = 0;
    };

    struct AdviceResult
    {
        bool answered = false;
        std::vector<state::WorkerNumber> requestedWorkers;
        std::vector<scheduling::PermitCache::GrantedTicket> granted;
        Millis ticketsExpireAt;
    };

    // An announcement that is not answered before a registration of its worker is logged.
    struct PendingAnnouncement
    {
        schema::RpcRequest request;
        ReplyCallback reply;
    };

    // A worker's later incarnation has taken the place of an earlier one.
    struct Restart
    {
        state::WorkerNumber earlier;
        state::WorkerNumber later;
        // Of the earlier incarnation; absent if it is not known.
        std::optional<Millis> lifetime;
    };

    // Processor time that this process has used.
    static std::chrono::nanoseconds processorTime();

    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback](auto &&...arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    // WorkDispatcher.cpp
    void tick();
    bool maySendOrders() const;
    // The present time on the clock of the state. It runs on while this process' clock is behind
    // it.
    Millis stateNow() const;
    void maintainWorkers(Millis now);
    // Drops incarnations that have been silent for long and run nothing.
    void dropSilentWorkers(Millis now);
    void scheduleBatch();
    void proposeBatch();
    void restoreBatch(const schema::RunBatch &batch,
        const std::map<state::WorkerNumber, uint64_t> &ends, const schema::CommandOutcome &outcome);
    void plan(schema::RunBatch *batch);
    void recordStartShare(const StepTaskRef &task);
    void rebuildWorkers();
    // The planner's view of all workers, with current usage.
    std::vector<scheduling::StepWorker> &refreshWorkers(Millis now);
    void refreshWorker(scheduling::StepWorker *worker, Millis now) const;
    void pruneFinishedWorks(Millis now);
    void recordOutcome(
        state::WorkerNumber worker, const StepTaskRef &task, schema::RunOutcome outcome);
    void recordFailure(state::WorkerNumber worker, const scheduling::FailedRun &run, Millis now);
    void recordSurvivals(Millis now);
    Restart restartOf(const schema::WorkerLife &earlier, state::WorkerNumber later) const;
    void recordRestart(const Restart &restart);
    void logQuarantine(state::WorkerNumber worker, const char *reason) const;
    void logProbationEnd(state::WorkerNumber worker, const char *reason) const;
    // The id of the worker that has this incarnation; empty if there is no session with it.
    std::string workerId(state::WorkerNumber worker) const;
    const std::set<state::StepRef> &endingSteps(Millis now);
    bool endsBefore(const state::Work &work, const state::StepRef &step, Millis latestEnd) const;
    // The end of the run by its progress, or else by the expected duration of its step.
    Millis expectedRunEnd(const state::Work &work, const state::StepRef &step,
        state::WorkerNumber worker, const SessionRun &run,
        const scheduling::DurationForecast *forecast) const;
    Millis pollDelay(state::WorkerNumber worker);
    std::optional<Millis> expectedStepEnd(const state::Work &work, const state::StepRef &step);
    void stopStragglers();
    void recordStall(const scheduling::Straggler &straggler, uint32_t run, Millis now);
    void throttleBackfill();
    std::vector<scheduling::PreemptibleRun> preemptibleRunsOn(
        state::WorkerNumber worker, Millis now) const;
    std::vector<scheduling::PreemptibleRun> preemptibleRunsOf(
        const state::AccountName &account, Millis now) const;
    // Absent if the run must not be preempted.
    std::optional<scheduling::PreemptibleRun> toPreemptibleRun(
        const WorkerSession &session, const StepTaskRef &task, Millis now) const;
    void preempt(const StepTaskRef &task, Millis now);
    bool requestAdvice(const AdviceTarget &target, const schema::QueueConfig &queue,
        const scheduling::AdviceSelection &selection,
        std::function<void(const AdviceResult &)> done);
    void requestAdvice(const scheduling::AdviceRequest &request);
    void recordAdvice(const state::StepRef &step, const AdviceResult &result);
    void prefetchAdvice(
        const std::string &id, const schema::QueueConfig &queue, const schema::WorkSpec &spec);
    void usePrefetchedAdvice(const std::string &id);
    void sendStarts(const schema::RunBatch &batch, Millis plannedAt);
    void recordFirstStart(const state::Work &work, const StepTaskRef &task, Millis plannedAt);
    void recordStage(const StepTaskRef &task, Stage stage, Millis time);
    std::map<state::WorkerNumber, uint64_t> takeListedEnds();
    void ackEnds(const std::map<state::WorkerNumber, uint64_t> &ends);
    void handleAppliedRuns(const schema::RunBatch &batch);
    // Has the sessions of the job's runs stop these once the job is no longer active.
    void checkStopsOf(state::WorkSerial serial);
    void checkStopsOf(const state::WorkStep &step);
    // Has the rest of a gang's run stopped, once the start of one member has been given up.
    void giveUpGang(const StepTaskRef &member, uint32_t run);
    void reconcileSessions();
    void settleRestart(state::WorkerNumber worker);
    void openSession(const schema::WorkerLife &incarnation, Millis now);
    uint64_t tokenFor(const schema::WorkerLife &incarnation) const;
    // As SessionEvents::hasNewestListedEndsSince, asked by the session with this incarnation.
    bool hasNewestListedEndsSince(state::WorkerNumber incarnation, Millis time);
    // The session with the newest incarnation of the worker, if that is a later one.
    WorkerSession *newestSessionOf(state::WorkerNumber incarnation);
    // An incarnation has ended a run that may have been ordered on an earlier one.
    void applyOtherEnd(
        state::WorkerNumber worker, const StepTaskRef &task, const EndReport &report);
    void recordEnd(state::WorkerNumber worker, const EndedRun &ended);
    // Ends the runs that no session has.
    void endStrandedRuns();
    void compareWithForecast(const EndedRun &ended);
    // Logs what is known about the task's part in crashes of its workers.
    void logCrashSuspect(const StepTaskRef &task) const;
    void logRetiredQueues() const;
    void logCellStatus();
    void logActivity(LogEvent *line);
    void proposeExpiry();

    // WorkDispatcherAdmission.cpp
    // Takes over the waiting work of all active jobs.
    void rebuildAdmission();
    void refreshAdmission(state::WorkSerial serial);
    void refreshAdmission(const schema::RunBatch &batch);
    // Checks some of the known jobs against the table.
    void auditAdmission();
    void updateAccountShares(const std::vector<scheduling::StepWorker> &workers);
    // Empty: the job is accepted.
    std::optional<scheduling::AdmissionRefusal> decideAdmission(const std::string &id,
        const schema::QueueConfig &queue, const std::string &account,
        const schema::WorkSpec &spec) const;
    void logAccountShares() const;
    void logStartShares() const;

    // WorkDispatcherCalls.cpp
    void answerQueueCall(const schema::RpcRequest &request, const ReplyCallback &reply);
    void submit(const schema::RpcRequest &request, const schema::QueueConfig &queue,
        const std::string &id, const std::string &account, const ReplyCallback &reply);
    void refuseForBacklog(const schema::RpcRequest &request, const std::string &id,
        const std::string &queue, const std::string &account,
        const scheduling::AdmissionRefusal &refusal, const ReplyCallback &reply);
    void cancel(const schema::RpcRequest &request, const std::string &id,
        const std::string &account, const ReplyCallback &reply);
    // The answer to a cancellation of an unknown job that can't be kept for the job's submission;
    // empty if it can, or if the job is known.
    std::optional<schema::CallReply> refuseEarlyCancellation(
        const std::string &id, const std::string &account) const;
    uint32_t cancellationRetryAfterSeconds(const std::string &account) const;
    void logCancellation(const std::string &id, const std::string &account) const;
    void answerState(
        const schema::RpcRequest &request, const std::string &id, const ReplyCallback &reply);
    void answerOperatorCall(const schema::RpcRequest &request, const ReplyCallback &reply);
    void handleAnnouncement(const schema::RpcRequest &request, const ReplyCallback &reply);
    void registerIncarnation(const schema::RpcRequest &request, const ReplyCallback &reply);
    void finishRegistration(const std::string &worker, bool isRegistered);
    void propose(const schema::RpcRequest &request, schema::Command command,
        const ReplyCallback &reply,
        std::function<schema::CallReply(const schema::CommandOutcome &)>);
    // Answers once a quorum has recently confirmed this replica as leader.
    void answerWhenConfirmed(const schema::RpcRequest &request, const ReplyCallback &reply,
        std::function<schema::CallReply()> answer);

    Options options_;
    const state::CellState &state_;
    AdvicePool advicePool_;
    CallLossTracker callLoss_;
    scheduling::PermitCache permits_;
    scheduling::AdviceClaims adviceClaims_;
    scheduling::DurationForecast forecast_;
    ForecastAccuracy forecastAccuracy_;
    scheduling::DurationEstimator speeds_;
    scheduling::WorkerHealth health_;
    scheduling::BackfillThrottle backfillThrottle_;
    // Of the workers in planWorkers_.
    scheduling::EmptyCapacity emptyCapacity_;
    scheduling::WaitingSteps waitingSteps_;
    scheduling::StartShares startShares_;
    scheduling::UrgentDemand urgentDemand_{ scheduling::DeferrablePriority };
    scheduling::AccountShares accountShares_;
    // Of all workers in the last round, also of those out of reach.
    state::Resources registeredCapacity_;
    scheduling::AdmissionForecast admission_;
    bool isAdmissionBuilt_ = false;
    // Submitted jobs whose log record is not applied yet, with the number of calls for each.
    std::map<std::string, uint32_t> pendingSubmissions_;
    std::map<state::WorkerNumber, std::unique_ptr<WorkerSession>> sessions_;
    std::map<uint64_t, network::PeerStream *> streams_;
    std::vector<schema::RunEnd> pendingEnds_;
    // Workers that have listed ends which are not acknowledged yet.
    std::set<state::WorkerNumber> workersWithListedEnds_;
    // Tickets of starts whose log record is not committed yet.
    std::map<StepTaskRef, std::string> pendingTickets_;
    // Advice for jobs that are not logged yet, by job id and step; empty until the answer arrives.
    std::map<std::string, std::map<uint32_t, std::optional<AdviceResult>>> prefetchedAdvice_;
    PlanWorkers planWorkers_;
    // Incarnations or zones have changed, so that the list of workers must be built again.
    bool workersChanged_ = true;
    // Result of the last call of endingSteps().
    std::set<state::StepRef> endingSteps_;
    Millis nextEndingStepsUpdate_;
    Millis nextPrune_;
    Millis nextDrop_;
    ForgottenWorkers forgottenWorkers_;
    // Incarnations whose removal is not committed yet.
    std::set<state::WorkerNumber> workersBeingDropped_;
    StageTimes stageTimes_;
    // When the leader learned of ends that are not applied yet.
    std::map<StepTaskRef, Millis> endsListedAt_;
    // Since the last status line.
    struct Activity
    {
        uint32_t plans = 0;
        uint32_t starts = 0;
        uint32_t ends = 0;
        uint32_t preemptions = 0;
        uint32_t adviceCalls = 0;
        std::chrono::nanoseconds planTime{};
        std::chrono::nanoseconds tickTime{};
        // By which the latest tick was late.
        Millis maxTickDelay;
    };
    Activity activity_;
    // Value of Options::relayedCalls at the last status line.
    uint64_t loggedRelayedCalls_ = 0;
    // Processor time of the process at the last status line.
    std::chrono::nanoseconds processorTime_ = processorTime();
    Millis lastTickAt_;
    // Workers that have become slow, and their slowdown factor.
    std::map<state::WorkerNumber, double> slowWorkers_;
    scheduling::StallHistory stalls_;
    // Tasks whose run was stopped because its worker was slow.
    std::set<StepTaskRef> movedTasks_;
    // Cache of expected step ends; cleared by each check for stragglers.
    std::map<state::StepRef, std::optional<Millis>> expectedStepEnds_;
    // Workers with lost runs that answer again, which is not logged yet.
    std::set<state::WorkerNumber> returnedWorkers_;
    // Incarnations whose mark of a restart is to be removed.
    std::set<state::WorkerNumber> settledRestarts_;
    // Workers on which a task that may crash them has just started; nothing else starts there until
    // then.
    std::map<state::WorkerNumber, Millis> crashProbations_;
    scheduling::CapacityDemand capacityDemand_ = scheduling::CapacityDemand::None;
    // When this leader sent the start of each running task.
    std::map<StepTaskRef, Millis> startSentAt_;
    // Announcements of workers of which an incarnation is being registered, by the worker's id. The
    // first of each is the one that is registered.
    std::map<std::string, std::vector<PendingAnnouncement>> pendingRegistrations_;
    uint32_t nextWorkerNumber_ = 0;
    // Incarnations with lower numbers were registered by earlier leaders.
    state::WorkerNumber firstOwnWorker_;
    bool isBatchPending_ = false;
    bool isPlanDue_ = true;
    bool fenced_ = false;
    Millis leaderSince_;
    uint64_t term_ = 0;
    // The sessions with the incarnations that an earlier leader has registered are open.
    bool hasTakenOver_ = false;
    // The wall clock and the clock of the state when this replica began to lead.
    Millis wallAtStart_;
    uint64_t stateMsAtStart_ = 0;
    Millis nextPlan_;
    // No batch is proposed before then.
    Millis nextBatch_;
    Millis nextExpiry_;
    Millis nextStragglerCheck_;
    Millis nextCellStatus_;
    network::Timer tickTimer_;
    network::Timer batchTimer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
