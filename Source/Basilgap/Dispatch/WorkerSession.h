#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Dispatch/Ports.h"
#include "Basilgap/Scheduling/RunProgress.h"

namespace basilgap::dispatch {

using state::StepTask;
using state::WorkerNumber;
using state::WorkTable;

// Times by which the leader deals with workers.
struct SessionTimes
{
    // How long a worker's tasks may run after the newest call that renewed the lease.
    Millis lease{ 3500 };
    // A worker's steady clock may run this much slow.
    double clockDrift = 0.02;
    Millis orderTimeout{ 400 };
    // A start without an answer is sent again, since a worker begins a run once only; then it is
    // stopped.
    Millis startTimeout{ 150 };
    uint32_t startSends = 3;
    Millis holdWait{ 1400 };
    // The wait while answers get lost, so that ends are not told of late.
    Millis troubledHoldWait{ 200 };
    // Beyond the wait itself.
    Millis holdTimeout{ 250 };
    // The wait while a run shows no progress, so that the next report tells whether it stands
    // still.
    Millis stalledHoldWait{ 300 };
    // Most of the wait that a rest before the hold may take the place of.
    Millis longestRest{ 1000 };
    // Least time between two holds of one worker, so that ends close together come as one.
    Millis holdGap{ 80 };
    // Between two tries to reach a silent worker: an eighth of its silence within these bounds, as
    // one that was silent for long hardly returns within the next moment.
    Millis retryInterval{ 150 };
    Millis longestRetry{ 800 };
    Millis stopRepeat{ 300 };
};

// Remembers whether calls to workers have lately gone without an answer; shared by all sessions.
class CallTrouble
{
public:
    void note(Millis now) { until_ = now + Memory; }
    bool isOn(Millis now) const { return now < until_; }

private:
    // Lost answers come in spells of several seconds.
    static constexpr Millis Memory{ 3000 };

    Millis until_;
};

// What a session finds out, for the leader's next record.
struct SessionEvents
{
    // A run of the table has ended.
    std::function<void(const StepTask &, uint32_t run, schema::RunOutcome, const std::string &)>
        onEnd;
    // What may be placed there has changed.
    std::function<void()> onChanged;
    // The worker has seen the orders of a newer leader.
    std::function<void()> onFenced;
    // Whether a quorum has confirmed the lead recently enough to give orders. A process that was
    // frozen goes on where it stood, while another leads already.
    std::function<bool()> mayOrder = [] { return true; };
    // An order was refused for want of a valid ticket.
    std::function<void(const StepTask &)> onTicketRefused;
    // How long the worker may be left alone after an answer.
    std::function<Millis()> restBeforeHold = [] { return Millis(0); };
};

// How far a run of the table is known to have got.
enum class RunKnowledge {
    // Committed by an earlier leader, or sent without an answer yet.
    Sent,
    // Accepted, or listed by the worker.
    Confirmed,
    // Got no answer: it is stopped before it is given up.
    Doubtful,
    // The stop was acknowledged: it can never begin any more.
    Stopped,
};

struct SessionRun
{
    uint32_t run = 0;
    RunKnowledge knowledge = RunKnowledge::Sent;
    // Of the newest change of what is known.
    Millis since;
    // How often the start was sent, and the ticket that goes with it.
    uint32_t sends = 0;
    // To be sent once orders may be given again.
    bool isDue = false;
    std::string ticket;
    Millis lastStop;
    bool stopInFlight = false;
    std::string checkpoint;
    // When the checkpoint was first seen.
    Millis checkpointAt;
    int percent = 0;
    // How far it was when that was first known, and when; absent until then.
    std::optional<int> firstPercent;
    Millis firstAt;
    double figure = 0;
    uint32_t pace = 100;
    // What it would use of what other tasks leave; 0 for a task that has room of its own.
    int64_t fillingMillicores = 0;
    // When the percent last rose.
    Millis progressAt;
    // Reports since then that were far enough apart to show more; when the last one came.
    int stalledReports = 0;
    Millis stalledAt;

    scheduling::RunProgress progress() const
    {
        return { firstPercent.value_or(0), percent, firstAt, progressAt };
    }
    // When it should be done; nothing while too little is known.
    std::optional<Millis> endsAt() const
    {
        return firstPercent ? progress().projectedEnd() : std::nullopt;
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
        uint64_t bornMs = 0;
        uint64_t fence = 0;
        // Leases that an earlier leader may have given are over at this time.
        Millis graceEnd;
        SessionTimes times;
        CallTrouble &trouble;
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
    void pace(const StepTask &task, uint32_t percent);
    // Asks for a stop of a run that is in the table.
    void stop(const StepTask &task, Millis now);

    // Renews the lease, repeats stops, and ends what the end of the lease has ended.
    void tick(Millis now);

    // Ends up to this number are in the log.
    void ackEnds(uint64_t number);
    // The record of a run's end is applied.
    void forgetRun(const StepTask &task, uint32_t run);

    // Takes a sample of the worker's clock that was some time on its way.
    void noteOldClock(Millis workerClock, Millis now);
    void setAddress(const std::string &address);
    // A later life of the same worker has announced itself: what ran here is over.
    void supersede(Millis now);

    const std::map<StepTask, SessionRun> &runs() const { return runs_; }
    // What its tasks that fill would use.
    int64_t fillingMillicores() const;
    const WorkerEndpoint &endpoint() const { return options_.endpoint; }
    uint64_t bornMs() const { return options_.bornMs; }
    uint64_t highestEnd() const { return highestEnd_; }
    Millis lastAnswer() const { return lastAnswer_; }

private:
    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback](auto &&...arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    void noteClock(Millis workerClock, Millis now);
    void noteFilling(const StepTask &task, SessionRun *known) const;
    void sendStart(const StepTask &task, SessionRun *known, Millis now);
    Millis retryAfter(Millis now) const;
    void hold(Millis now);
    bool awaitsStops() const;
    bool hasStalledRun() const;
    void held(HoldAnswer answer, Millis sentAt, uint64_t number);
    void takeRunning(const HoldAnswer &answer, Millis sentAt, Millis now);
    static void noteProgress(SessionRun *known, int percent, Millis now);
    void takeEnds(const HoldAnswer &answer);
    void started(const StepTask &task, uint32_t run, const OrderAnswer &answer);
    void sendStop(const StepTask &task, uint32_t run, const TaskName &name);
    void stopStray(const TaskName &name, uint32_t run, Millis now);
    void end(const StepTask &task, schema::RunOutcome outcome);
    void adoptRuns(Millis now);
    bool isLeaseOver(Millis now) const;
    std::optional<Millis> nextLeaseEnd(Millis now) const;
    void noteLease(Millis leaseEnd);
    std::optional<TaskName> nameOf(const StepTask &task) const;
    std::optional<StepTask> taskOf(const TaskName &name) const;
    void setSuspect(bool suspect);

    Options options_;
    bool synced_ = false;
    bool suspect_ = false;
    bool superseded_ = false;
    // A hurried one may be under way beside the one that waits for ends.
    int holding_ = 0;
    bool fenced_ = false;
    // Holds are numbered: an answer that was overtaken tells nothing of what runs.
    uint64_t lastHold_ = 0;
    uint64_t newestAnswered_ = 0;
    Millis nextHold_;
    // By how much the next hold waits less, as the worker was left alone before it.
    Millis rested_;
    Millis lastHoldAt_;
    Millis lastAnswer_;
    // The worker's clock at a time of ours.
    std::optional<Millis> workerClock_;
    Millis workerClockAt_;
    // Latest end of a lease that was sent, on the worker's clock.
    Millis leaseEnd_;
    uint64_t ackedEnd_ = 0;
    uint64_t highestEnd_ = 0;
    std::map<StepTask, SessionRun> runs_;
    // Runs that an end was told for, whose record is not applied yet.
    std::set<state::RunRef> ending_;
    std::map<TaskName, Millis> strayStops_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
