#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Dispatch/Ports.h"
#include "Basilgap/Scheduling/RunForecast.h"

namespace basilgap::dispatch {

using state::StepTask;
using state::WorkerNumber;
using state::WorkTable;

// Times by which the leader deals with workers.
struct SessionTimes
{
    // How long a worker's tasks may run after the newest call that renewed the lease.
    Millis leaseDuration{ 3500 };
    // A worker's steady clock may run this much slow.
    double maxClockDrift = 0.02;
    Millis orderTimeout{ 400 };
    // A start without an answer is sent again, since a worker begins a run once only; then it is
    // stopped.
    Millis startTimeout{ 150 };
    uint32_t maxStartSends = 3;
    Millis pollWait{ 1400 };
    // The wait while answers get lost, so that ends are not told of late.
    Millis lossyPollWait{ 200 };
    // Beyond the wait itself.
    Millis pollTimeoutMargin{ 250 };
    // The wait while a run shows no progress, so that the next report tells whether it stands
    // still.
    Millis stalledPollWait{ 300 };
    // Most of the wait that a rest before the hold may take the place of.
    Millis maxPollDelay{ 1000 };
    // Least time between two holds of one worker, so that ends close together come as one.
    Millis minPollInterval{ 80 };
    // Between two tries to reach a silent worker: an eighth of its silence within these bounds, as
    // one that was silent for long hardly returns within the next moment.
    Millis minRetryInterval{ 150 };
    Millis maxRetryInterval{ 800 };
    Millis stopRetryInterval{ 300 };
};

// Remembers whether calls to workers have lately gone without an answer; shared by all sessions.
class CallLossTracker
{
public:
    void recordLoss(Millis now) { lossyUntil_ = now + LossyPeriod; }
    bool isLossy(Millis now) const { return now < lossyUntil_; }

private:
    // Lost answers come in spells of several seconds.
    static constexpr Millis LossyPeriod{ 3000 };

    Millis lossyUntil_;
};

// What a session finds out, for the leader's next record.
struct SessionEvents
{
    // A run of the table has ended.
    std::function<void(const StepTask &, uint32_t run, schema::RunOutcome, const std::string &)>
        onRunEnd;
    // What may be placed there has changed.
    std::function<void()> onAvailabilityChanged;
    // The worker has seen the orders of a newer leader.
    std::function<void()> onFenced;
    // Whether a quorum has confirmed the lead recently enough to give orders. A process that was
    // frozen goes on where it stood, while another leads already.
    std::function<bool()> maySendOrders = [] { return true; };
    // An order was refused for want of a valid ticket.
    std::function<void(const StepTask &)> onTicketRefused;
    // How long the worker may be left alone after an answer.
    std::function<Millis()> pollDelay = [] { return Millis(0); };
};

// How far a run of the table is known to have got.
enum class KnownRunState {
    // Committed by an earlier leader, or sent without an answer yet.
    Sent,
    // Accepted, or listed by the worker.
    Confirmed,
    // Got no answer: it is stopped before it is given up.
    Indeterminate,
    // The stop was acknowledged: it can never begin any more.
    Stopped,
};

struct SessionRun
{
    uint32_t run = 0;
    KnownRunState knownState = KnownRunState::Sent;
    // Of the newest change of what is known.
    Millis knownStateSince;
    // How often the start was sent, and the ticket that goes with it.
    uint32_t sendCount = 0;
    // To be sent once orders may be given again.
    bool isStartPending = false;
    std::string ticket;
    Millis lastStopAt;
    bool isStopPending = false;
    std::string checkpoint;
    // When the checkpoint was first seen.
    Millis checkpointAt;
    int progressPercent = 0;
    // How far it was when that was first known, and when; absent until then.
    std::optional<int> firstPercent;
    Millis firstPercentAt;
    double latencyMsOrMillicores = 0;
    uint32_t speedPercent = 100;
    // What it would use of what other tasks leave; 0 for a task that has room of its own.
    int64_t backfillMillicores = 0;
    // When the percent last rose.
    Millis lastProgressAt;
    // Reports since then that were far enough apart to show more; when the last one came.
    int stalledReports = 0;
    Millis lastStalledReportAt;

    scheduling::RunProgress progress() const
    {
        return { firstPercent.value_or(0), progressPercent, firstPercentAt, lastProgressAt };
    }
    // When it should be done; nothing while too little is known.
    std::optional<Millis> expectedEnd() const
    {
        return firstPercent ? progress().endsAt() : std::nullopt;
    }
};

// The leader's side of one life of a worker: renews its lease, learns what runs there, sends
// orders, and finds out when a run has surely ended.
class WorkerSession
{
public:
    struct Options
    {
        WorkerNumber number;
        WorkerEndpoint endpoint;
        uint64_t incarnationStartMs = 0;
        uint64_t fencingToken = 0;
        // Leases that an earlier leader may have given are over at this time.
        Millis graceEnd;
        SessionTimes times;
        CallLossTracker &callLoss;
        WorkerPort &port;
        const WorkTable &table;
        SessionEvents events;
        std::function<Millis()> clock = steadyNow;
    };

    WorkerSession(Options options, Millis now);

    // Whether it answers, and everything that runs there is known.
    bool isUsable() const { return synced_ && !suspect_; }
    bool isSynced() const { return synced_; }
    bool isSuspect() const { return suspect_; }

    // Sends a start whose record is committed.
    void start(const StepTask &task, uint32_t run, const std::string &ticket, Millis now);
    // Slows a run down, or lets it go on.
    void throttle(const StepTask &task, uint32_t percent);
    // Asks for a stop of a run that is in the table.
    void stop(const StepTask &task, Millis now);

    // Renews the lease, repeats stops, and ends what the end of the lease has ended.
    void tick(Millis now);

    // Ends up to this number are in the log.
    void ackEnds(uint64_t number);
    // The record of a run's end is applied.
    void removeRun(const StepTask &task, uint32_t run);

    // Takes a sample of the worker's clock that was some time on its way.
    void seedClock(Millis workerClock, Millis now);
    void setAddress(const std::string &address);
    // A later life of the same worker has announced itself: what ran here is over.
    void supersede(Millis now);

    const std::map<StepTask, SessionRun> &runs() const { return runs_; }
    // What its tasks that fill would use.
    int64_t backfillMillicores() const;
    const WorkerEndpoint &endpoint() const { return options_.endpoint; }
    uint64_t incarnationStartMs() const { return options_.incarnationStartMs; }
    uint64_t highestEndSequence() const { return highestEndSequence_; }
    Millis lastAnswerAt() const { return lastAnswerAt_; }

private:
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback](auto &&...arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void setClock(Millis workerClock, Millis now);
    void setBackfillMillicores(const StepTask &task, SessionRun *known) const;
    void sendStart(const StepTask &task, SessionRun *known, Millis now);
    Millis retryAfter(Millis now) const;
    void poll(Millis now);
    bool hasStoppedRun() const;
    bool hasStalledRun() const;
    void handlePollAnswer(PollAnswer answer, Millis sentAt, uint64_t number);
    void applyRunning(const PollAnswer &answer, Millis sentAt, Millis now);
    static void recordProgress(SessionRun *known, int percent, Millis now);
    void applyEnds(const PollAnswer &answer);
    void handleStartAnswer(const StepTask &task, uint32_t run, const OrderAnswer &answer);
    void sendStop(const StepTask &task, uint32_t run, const TaskName &name);
    void stopStrayRun(const TaskName &name, uint32_t run, Millis now);
    void endRun(const StepTask &task, schema::RunOutcome outcome);
    void adoptRuns(Millis now);
    bool hasLeaseExpired(Millis now) const;
    std::optional<Millis> nextLeaseEnd(Millis now) const;
    void recordLeaseEnd(Millis leaseEnd);
    std::optional<TaskName> nameOf(const StepTask &task) const;
    std::optional<StepTask> taskOf(const TaskName &name) const;
    void setSuspect(bool suspect);

    Options options_;
    bool synced_ = false;
    bool suspect_ = false;
    bool superseded_ = false;
    // A hurried one may be under way beside the one that waits for ends.
    int pendingPolls_ = 0;
    bool fenced_ = false;
    // Holds are numbered: an answer that was overtaken tells nothing of what runs.
    uint64_t lastPollNumber_ = 0;
    uint64_t newestAnsweredPoll_ = 0;
    Millis nextPollAt_;
    // By how much the next hold waits less, as the worker was left alone before it.
    Millis pollDelay_;
    Millis lastPollAt_;
    Millis lastAnswerAt_;
    // The worker's clock at a time of ours.
    std::optional<Millis> workerClock_;
    Millis workerClockAt_;
    // Latest end of a lease that was sent, on the worker's clock.
    Millis latestLeaseEnd_;
    uint64_t ackedEndSequence_ = 0;
    uint64_t highestEndSequence_ = 0;
    std::map<StepTask, SessionRun> runs_;
    // Runs that an end was told for, whose record is not applied yet.
    std::set<state::RunRef> unappliedEnds_;
    std::map<TaskName, Millis> strayStops_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
