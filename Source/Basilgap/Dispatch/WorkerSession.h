#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Dispatch/Ports.h"
#include "Basilgap/Scheduling/RunProgress.h"

namespace basilgap::dispatch {

using state::StepTaskRef;
using state::WorkerNumber;
using state::WorkTable;

// Timeouts and intervals of the calls to a worker.
struct SessionTimes
{
    // How long a worker's tasks may run after the last call that renewed the lease.
    Millis leaseDuration{ 3500 };
    // The longest lease that a worker grants. It shortens longer ones.
    Millis maxLease{ 10000 };
    // Maximum fraction by which a worker's steady clock may run slow.
    double maxClockDrift = 0.02;
    Millis orderTimeout{ 400 };
    // An unanswered start is sent again, up to maxStartSends times in all, which is safe because
    // a worker starts a run only once. After that the run is stopped.
    Millis startTimeout{ 150 };
    uint32_t maxStartSends = 3;
    // How long after it was sent an unanswered call may still be carried out. The workers' protocol
    // says "seconds"; the users' failure tests delay calls by up to this.
    Millis maxCallDelay{ 12000 };
    // How long after its restart a worker that can reach the cell is registered: it announces
    // itself each second.
    Millis maxRegistrationDelay{ 2000 };
    Millis pollWait{ 1400 };
    // The wait while answers get lost, so that ends are not reported late.
    Millis lossyPollWait{ 200 };
    // Added to the wait.
    Millis pollTimeoutMargin{ 250 };
    // The wait while a run shows no progress, so that the next report soon shows whether it has
    // stalled.
    Millis stalledPollWait{ 300 };
    // Maximum delay before a poll; the poll then waits that much less.
    Millis maxPollDelay{ 1000 };
    // How long a poll is put off for the acknowledgement of ends that were listed before it. A
    // worker answers a poll at once while it has ends that are not acknowledged.
    Millis maxAckWait{ 100 };
    // Minimum time between two polls of one worker, so that ends close together are reported in one
    // answer.
    Millis minPollInterval{ 80 };
    // Bounds of the back-off between polls of a silent worker. It is an eighth of the silence so
    // far, as a worker that was silent for long is unlikely to return soon.
    Millis minRetryInterval{ 150 };
    Millis maxRetryInterval{ 800 };
    Millis stopRetryInterval{ 300 };
    // A worker that is not heard for longer than this after the start of a run may have been
    // crashed by it.
    Millis startLossWindow{ 500 };
    // A run ends at most this long after its stop was acknowledged.
    Millis maxStopTime{ 500 };
};

// Tells whether calls to workers have recently gone unanswered; shared by all sessions. Load
// pattern: answers get lost in a large fleet, where short polls of all workers would use up the
// leader's processor.
class CallLossTracker
{
public:
    void recordLoss(Millis now) { lossyUntil_ = now + LossyPeriod; }
    bool isLossy(Millis now) const { return now < lossyUntil_; }

    void setSessionCount(size_t count) { sessionCount_ = count; }
    // The wait of a poll while answers get lost: no shorter than the sessions can afford together.
    Millis lossyWait(Millis minimum) const
    {
        return std::max(
            minimum, Millis(static_cast<int64_t>(sessionCount_ * 1000 / MaxPollsPerSecond)));
    }

private:
    // Answers get lost in periods of several seconds.
    static constexpr Millis LossyPeriod{ 3000 };
    // Of all sessions together; bounds the processor time of the leader.
    static constexpr size_t MaxPollsPerSecond = 1500;

    Millis lossyUntil_;
    size_t sessionCount_ = 0;
};

// A run that has ended, as the session reports it.
struct EndedRun
{
    StepTaskRef task;
    uint32_t run = 0;
    schema::RunOutcome outcome = schema::RUN_DONE;
    std::string checkpoint;
    schema::WorkerLoss workerLoss = schema::WORKER_NOT_LOST;
    // From the order to start until the end was reported; of a run that was ended early, until it
    // last made progress. 0: unknown.
    Millis duration;
};

// Callbacks of a session to the leader.
struct SessionEvents
{
    // A run in the table has ended.
    std::function<void(const EndedRun &)> onRunEnd;
    // The worker has listed an end that is none of this session's runs. It may be a run that was
    // ordered on an earlier incarnation.
    std::function<void(const StepTaskRef &, const EndReport &)> onOtherEnd =
        [](const StepTaskRef &, const EndReport &) {};
    // The worker has listed ends that were not listed before.
    std::function<void()> onEndsListed = [] {};
    // The worker has become usable or suspect.
    std::function<void()> onAvailabilityChanged;
    // The worker has seen orders of a newer leader.
    std::function<void()> onFenced;
    // Whether a quorum has confirmed this leader recently enough to send orders. A process that was
    // frozen continues where it stopped, while another replica may already lead.
    std::function<bool()> maySendOrders = [] { return true; };
    // A start was refused because it had no valid ticket.
    std::function<void(const StepTaskRef &)> onTicketRefused;
    // The start of a run has been given up, and the run is being stopped before its end is known.
    std::function<void(const StepTaskRef &, uint32_t run)> onStartGivenUp = [](const StepTaskRef &,
                                                                                uint32_t) {};
    // The worker has accepted a start, this long after it was ordered.
    std::function<void(const StepTaskRef &, Millis)> onStartAccepted = [](const StepTaskRef &,
                                                                           Millis) {};
    // Asked by a superseded session: whether the newest incarnation of the worker has listed all of
    // its ends in answer to a poll that was sent after this time, or has been dropped. Requests
    // such a list.
    std::function<bool(Millis)> hasNewestListedEndsSince = [](Millis) { return true; };
    // Asked by a superseded session: whether the newest incarnation of the worker has listed its
    // runs and all of its ends in answer to a poll that was sent after this time, and this run was
    // not among them. Requests such a list.
    std::function<bool(const state::RunRef &, Millis)> isMissingOnNewestSince =
        [](const state::RunRef &, Millis) { return false; };
    // The leases that calls for an earlier incarnation can have granted are over.
    std::function<void()> onEarlierLeasesOver = [] {};
    // Delay of the next poll after an answer.
    std::function<Millis()> pollDelay = [] { return Millis(0); };
};

// State of a run as far as the leader knows it.
enum class KnownRunState {
    // The start was committed by an earlier leader, or sent and not answered yet.
    Sent,
    // The worker has accepted the start or listed the run.
    Confirmed,
    // The start was not answered: the run must be stopped before its task is released.
    Indeterminate,
    // The worker has acknowledged the stop: the run can no longer start.
    Stopped,
};

const char *toText(KnownRunState state);

struct SessionRun
{
    uint32_t run = 0;
    KnownRunState knownState = KnownRunState::Sent;
    // When knownState last changed.
    Millis knownStateSince;
    // When the start was ordered, or logged by an earlier leader.
    Millis startedAt;
    // How often the start was sent, and how many of these sends left this process without an
    // answer.
    uint32_t sendCount = 0;
    uint32_t unansweredSends = 0;
    // The worker has accepted the start or listed the run.
    bool hasBegun = false;
    // This incarnation of the worker has listed the run. The answer to a start does not name the
    // incarnation that has accepted it.
    bool isListed = false;
    // Until when a send of the start may be carried out by a later incarnation of the worker.
    // Absent if none can be: there was no send, or all have been carried out.
    std::optional<Millis> latestStartAt;
    // When latestStartAt last became absent.
    Millis startsSettledAt;
    // The start is to be sent once orders may be sent again.
    bool isStartPending = false;
    std::string ticket;
    Millis lastStopAt;
    bool isStopPending = false;
    // The run must be stopped, because the start of another member of its gang was given up.
    bool isGivenUp = false;
    std::string checkpoint;
    // When the checkpoint was first reported.
    Millis checkpointAt;
    int progressPercent = 0;
    // The first known progress; absent until then.
    std::optional<int> firstPercent;
    Millis firstPercentAt;
    double latencyMsOrMillicores = 0;
    uint32_t speedPercent = 100;
    // Millicores that a backfill task would use of the capacity that other tasks leave idle; 0 for
    // a task with a reservation.
    int64_t backfillMillicores = 0;
    // When progressPercent last increased.
    Millis lastProgressAt;
    // Reports without progress since then, counted only if far enough apart, and when the last one
    // was counted.
    int stalledReports = 0;
    Millis lastStalledReportAt;

    // Each send of the start has been carried out or answered.
    void settleStarts(Millis now)
    {
        if (latestStartAt)
            startsSettledAt = now;
        latestStartAt.reset();
    }
    // No incarnation that is born after this time carries out a start of the run.
    Millis startsOverAt() const { return latestStartAt.value_or(startsSettledAt); }

    scheduling::RunProgress progress() const
    {
        return { firstPercent.value_or(0), progressPercent, firstPercentAt, lastProgressAt };
    }
    // Empty while there are too few reports for an estimate.
    std::optional<Millis> expectedEnd() const
    {
        return firstPercent ? progress().projectedEnd() : std::nullopt;
    }
};

// The call that last extended a worker's lease, as far as the leader knows.
enum class LeaseSource {
    None,
    Start,
    Poll,
    // Any call that was meant for an earlier incarnation of the worker.
    EarlierCall,
};

const char *toText(LeaseSource source);

// The leader's side of one incarnation of a worker: renews its lease, polls its runs, sends orders,
// and determines when a run has certainly ended.
class WorkerSession
{
public:
    struct Options
    {
        WorkerNumber number;
        WorkerEndpoint endpoint;
        uint64_t incarnationStartMs = 0;
        // Calls that were meant for an earlier incarnation may reach this one.
        bool isRestart = false;
        uint64_t fencingToken = 0;
        // All leases that an earlier leader may have granted have expired by this time.
        Millis graceEnd;
        SessionTimes times;
        CallLossTracker &callLoss;
        WorkerPort &port;
        const WorkTable &table;
        SessionEvents events;
        std::function<Millis()> clock = steadyNow;
        std::function<Millis()> wallClock = wallNow;
    };

    WorkerSession(Options options, Millis now);

    // How long a lease that an earlier leader has granted to the incarnation may last, by this
    // leader's clock.
    static Millis longestEarlierLease(const SessionTimes &times, const schema::WorkerLife &life);
    static Millis longestEarlierLease(const SessionTimes &times, bool isRestart);

    // Whether the worker answers and all of its runs are known. A run that is not in the table uses
    // capacity that the table counts as free.
    bool isUsable() const { return synced_ && !suspect_ && !hasStrayRun_; }
    bool isSynced() const { return synced_; }
    bool isSuspect() const { return suspect_; }

    // Sends a start whose log record is committed.
    void start(const StepTaskRef &task, uint32_t run, const std::string &ticket, Millis now);
    // Sets the speed limit of a run.
    void throttle(const StepTaskRef &task, uint32_t percent);
    // Sends a stop for a run in the table.
    void stop(const StepTaskRef &task, Millis now);

    // Polls the worker, which renews the lease, repeats stops, and ends all runs once the lease has
    // expired.
    void tick(Millis now);

    // Stops the run if the worker still has it.
    void giveUp(const StepTaskRef &task, uint32_t run);

    // Called when a run of the table may have to be stopped, because its job is no longer active or
    // its gang has lost a member.
    void checkStops() { nextStopCheck_ = Millis(); }

    // Called once ends up to this number are committed.
    void ackEnds(uint64_t number);
    // Called when a run is no longer in the table.
    void removeRun(const StepTaskRef &task, uint32_t run);

    // Uses a delayed sample of the worker's clock if no better one is known.
    void seedClock(Millis workerClock, Millis now);
    // The present time on the worker's clock, if that is known.
    std::optional<Millis> workerTime(Millis now) const;
    void setAddress(const std::string &address);
    // Called when a later incarnation of the worker has registered: the runs of this one have
    // ended. Takes the fencing token of the newest incarnation, which carries out the stops of runs
    // that may have started there.
    void supersede(uint64_t fencingToken, Millis now);
    // Called when no later incarnation of the worker is at its address, so that no start can reach
    // one, or when the later one has been dropped. Ends the runs of a superseded session.
    void releaseMovedRuns();

    // Called when a later incarnation has reported the end of a run of this session, whose start
    // has reached that incarnation.
    void applyEnd(const StepTaskRef &task, const EndReport &report);

    const std::map<StepTaskRef, SessionRun> &runs() const { return runs_; }
    // Sum over the worker's backfill tasks.
    int64_t backfillMillicores() const;
    // What runs still use that are no longer in the table.
    state::Resources lingeringReservation() const;
    WorkerNumber number() const { return options_.number; }
    const WorkerEndpoint &endpoint() const { return options_.endpoint; }
    uint64_t incarnationStartMs() const { return options_.incarnationStartMs; }
    uint64_t highestEndSequence() const { return highestEndSequence_; }
    Millis lastAnswerAt() const { return lastAnswerAt_; }
    // From the opening of the session until the worker was last heard.
    Millis heardFor() const { return lastHeardAt_ ? *lastHeardAt_ - openedAt_ : Millis(); }
    // Whether the worker has listed all of its ends in answer to a poll sent after this time.
    bool hasListedEndsSince(Millis time) const { return allEndsAskedAt_ > time; }
    // Whether the worker, in answer to a poll sent after this time, has listed its runs and all of
    // its ends, and this run, which is none of the session's, was not among them.
    bool isMissingSince(const state::RunRef &run, Millis time) const
    {
        return allRunsAskedAt_ > time && !strayRuns_.contains(run);
    }
    // Requests such a list unless a poll has been sent after this time.
    void requestEndsSince(Millis time, Millis now);
    // Whether a run has started so recently that it may still crash the worker.
    bool hasFreshRun(Millis now) const;

private:
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback](auto &&...arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void setClock(Millis workerClock, Millis sentAt, Millis now);
    void noteHeard(const OrderAnswer &answer, Millis now);
    void setBackfillMillicores(const StepTaskRef &task, SessionRun *known) const;
    void sendStart(const StepTaskRef &task, SessionRun *known, Millis now);
    void abandonStart(const StepTaskRef &task, SessionRun *known, Millis now);
    bool fitsCapacity(const StepTaskRef &task) const;
    void withholdStart(const StepTaskRef &task, SessionRun *known, Millis now);
    void stopIndeterminateRun(const StepTaskRef &task, SessionRun *known, Millis now);
    Millis retryAfter(Millis now) const;
    void poll(Millis now, bool isImmediate = false);
    void checkSurvival(Millis now);
    bool isPollDue(Millis now) const;
    bool hasStoppedRun() const;
    bool hasStalledRun() const;
    struct SentPoll
    {
        uint64_t number = 0;
        Millis sentAt;
        uint64_t ackedEndSequence = 0;
    };
    void handlePollAnswer(PollAnswer answer, const SentPoll &poll);
    // The number up to which the next poll acknowledges ends.
    uint64_t endsToAck() const;
    void checkEarlierLeases(Millis workerClock, Millis now);
    bool isOwnClock(Millis workerClock, Millis earliest, Millis latest) const;
    void applyRunning(const PollAnswer &answer, Millis sentAt, Millis now);
    void endMissingRuns(const std::set<StepTaskRef> &listed, Millis sentAt);
    static void recordProgress(SessionRun *known, int percent, Millis now);
    void applyEnds(const PollAnswer &answer);
    bool isStartWanted(const StepTaskRef &task, uint32_t run) const;
    // Whether a later incarnation of the worker may still carry out the start.
    static bool mayStillStart(const SessionRun &known, Millis now);
    // Whether the run must be stopped, or not be started.
    bool mustStop(const StepTaskRef &task, const SessionRun &known) const;
    void handleStartAnswer(
        const StepTaskRef &task, uint32_t run, const OrderAnswer &answer, Millis sentAt);
    void handleAcceptanceElsewhere(const StepTaskRef &task, SessionRun *known, Millis now);
    void sendPendingStarts(Millis now);
    void sendDueStops(Millis now);
    void releaseSupersededRuns(Millis now);
    bool isStoppedOnNewestIncarnation(const SessionRun &known, Millis now) const;
    bool isOver(const StepTaskRef &task, const SessionRun &known, Millis now) const;
    void logHeldRun(const StepTaskRef &task, const SessionRun &run, Millis now) const;
    void stopSupersededRun(const StepTaskRef &task, Millis now);
    void noteFenced();
    void sendStop(const StepTaskRef &task, uint32_t run, const TaskName &name);
    void removeGoneLingeringRuns(const std::set<state::RunRef> &listed, Millis sentAt);
    void stopStrayRun(const TaskName &name, uint32_t run, Millis now);
    void endRun(const StepTaskRef &task, schema::RunOutcome outcome,
        schema::WorkerLoss workerLoss = schema::WORKER_NOT_LOST);
    // Ends a run because nothing is heard of the worker any more.
    void endLostRun(const StepTaskRef &task, schema::RunOutcome outcome);
    schema::WorkerLoss lossOf(const SessionRun &run) const;
    Millis durationOf(const SessionRun &run, schema::RunOutcome outcome) const;
    void adoptRuns(Millis now);
    bool hasLeaseExpired(Millis now) const;
    std::optional<Millis> nextLeaseEnd(Millis now) const;
    void recordLeaseEnd(Millis leaseEnd, LeaseSource source, Millis now);
    void logLeaseExpiry(Millis now) const;
    void logFirstAnswer(const PollAnswer &answer) const;
    void noteOtherIncarnation(const PollAnswer &answer);
    // Sends of starts that were not answered, over all runs.
    uint32_t unansweredStarts() const;
    std::optional<TaskName> nameOf(const StepTaskRef &task) const;
    std::optional<StepTaskRef> taskOf(const TaskName &name) const;
    void setSuspect(bool suspect);

    Options options_;
    bool synced_ = false;
    bool suspect_ = false;
    bool superseded_ = false;
    // An immediate poll may be pending besides the long poll.
    int pendingPolls_ = 0;
    bool fenced_ = false;
    // Polls are numbered, because an answer that was overtaken by a newer one must not be used for
    // the list of runs.
    uint64_t lastPollNumber_ = 0;
    uint64_t newestAnsweredPoll_ = 0;
    // When the last poll was sent whose answer listed all ends.
    Millis allEndsAskedAt_;
    // When the newest poll was sent whose answer listed all runs and all ends.
    Millis allRunsAskedAt_;
    Millis nextPollAt_;
    // Delay before the next poll; its wait is shortened by the same time.
    Millis pollDelay_;
    Millis lastPollAt_;
    Millis lastAnswerAt_;
    Millis openedAt_;
    // The last answer to any call; absent if there was none.
    std::optional<Millis> lastHeardAt_;
    // The worker's clock, the local time at which it was read, and for how long it may have been
    // under way.
    std::optional<Millis> workerClock_;
    Millis workerClockAt_;
    Millis workerClockDelay_;
    // Latest lease end that was sent, on the worker's clock.
    Millis latestLeaseEnd_;
    // The call that sent it, and the local time of that call.
    LeaseSource leaseSource_ = LeaseSource::None;
    Millis leaseSentAt_;
    // The latest end of a lease that a call for an earlier incarnation can have granted, on the
    // worker's clock; absent until the worker's first answer.
    std::optional<Millis> earlierLeasesEnd_;
    bool areEarlierLeasesOver_ = false;
    // Another incarnation has answered, so that the worker has restarted.
    bool hasSeenOtherIncarnation_ = false;
    uint64_t ackedEndSequence_ = 0;
    // Up to which the worker has certainly received the acknowledgement.
    uint64_t confirmedEndSequence_ = 0;
    uint64_t highestEndSequence_ = 0;
    // Until then no poll is sent while listed ends are not acknowledged.
    Millis ackWaitEnd_;
    std::map<StepTaskRef, SessionRun> runs_;
    bool hasPendingStarts_ = false;
    // When a task that may crash the worker will have outlived its start; absent if there is none.
    std::optional<Millis> survivalCheckAt_;
    // When the runs are next searched for those that must be stopped.
    Millis nextStopCheck_;
    // Runs that have ended and whose end is not applied yet.
    std::set<state::RunRef> unappliedEnds_;
    std::map<TaskName, Millis> strayStops_;
    struct LingeringRun
    {
        state::Resources reservation;
        Millis since;
    };
    // Runs that the end of another member of their gang has ended in the table, until the worker
    // lists their end or no longer lists them.
    std::map<state::RunRef, LingeringRun> lingeringRuns_;
    // Whether the newest list contains a run that is not in the table.
    bool hasStrayRun_ = false;
    // Runs in the newest list that are none of the session's, as far as their jobs are known.
    std::set<state::RunRef> strayRuns_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
