#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "Basilgap/Dispatch/Ports.h"
#include "SimulatedTime.h"

namespace basilgap::dispatch {

// A worker as the protocol describes it, over all of its incarnations. Unless it guards its
// capacity, it reports when a start exceeds it.
class ModelWorker
{
public:
    struct TaskModel
    {
        int64_t millicores = 0;
        // Absent if the run is ended from outside.
        std::optional<Millis> duration;
        schema::RunOutcome outcome = schema::RUN_DONE;
    };

    struct Options
    {
        SimulatedTime &time;
        std::string id;
        int64_t millicores = 0;
        // Whether it refuses what exceeds its capacity.
        bool guardsCapacity = false;
        // Called for each run that starts.
        std::function<TaskModel(const TaskName &)> model;
        // Called before a run starts, and after one has ended.
        std::function<void(const TaskName &, uint32_t run)> onStart;
        std::function<void(const TaskName &, uint32_t run, schema::RunOutcome)> onEnd;
        // Called when an end that was listed is acknowledged, unless the lease has expired since
        // the end.
        std::function<void(const TaskName &, uint32_t run)> onEndAcknowledged = [](const TaskName &,
                                                                                    uint32_t) {};
        std::function<void(const std::string &)> onViolation;
    };

    explicit ModelWorker(Options options);

    OrderAnswer start(const StartOrder &order);
    OrderAnswer stop(const StopOrder &order);
    // Calls `done` once a run ends or the wait is over; never if the worker restarts meanwhile.
    void poll(const PollRequest &order, std::function<void(PollAnswer)> done);
    // Ends the run if it is still there.
    void endRun(const TaskName &task, uint32_t run, schema::RunOutcome outcome);

    // Loses all state and is down for some time.
    void restart(Millis downtime, std::function<void()> onUp);

    bool isUp() const { return isUp_; }
    // While its link is cut, calls and answers are lost.
    void setLinkUp(bool isLinkUp) { isLinkUp_ = isLinkUp; }
    bool isLinkUp() const { return isLinkUp_; }
    bool isRunning(const TaskName &task) const { return running_.contains(task); }
    size_t runningCount() const { return running_.size(); }
    std::vector<std::pair<TaskName, uint32_t>> runs() const;
    const std::string &id() const { return options_.id; }
    int64_t millicores() const { return options_.millicores; }
    uint64_t incarnationStartMs() const { return incarnationStartMs_; }

private:
    struct Run
    {
        uint32_t run = 0;
        int64_t millicores = 0;
        bool isStopping = false;
    };
    struct WaitingPoll
    {
        uint64_t number = 0;
        std::function<void(PollAnswer)> done;
    };

    Millis clock() const;
    // False if the order's token is lower than one seen before.
    bool seeToken(uint64_t token);
    void extendLease(Millis end);
    // Millicores in use with a further run.
    int64_t usedWith(const TaskModel &more) const;
    void recordLeaseExpiry();
    void checkLease();
    void answerPolls();
    PollAnswer currentAnswer() const;
    void after(Millis delay, std::function<void()> event);

    Options options_;
    bool isUp_ = true;
    bool isLinkUp_ = true;
    uint64_t incarnationStartMs_ = 0;
    Millis startedAt_;
    // The clock at that time.
    Millis clockStart_;
    int64_t slownessPerMille_ = 0;
    uint64_t highestToken_ = 0;
    Millis leaseEnd_;
    std::map<TaskName, Run> running_;
    // The highest run of each task that has ended or was stopped here.
    std::map<TaskName, uint32_t> closedRuns_;
    std::vector<EndReport> ended_;
    uint64_t lastEndSequence_ = 0;
    // The lease has expired since the end with this number.
    uint64_t lastEndBeforeExpiry_ = 0;
    uint64_t lastPollNumber_ = 0;
    std::vector<WaitingPoll> waitingPolls_;
};

} // namespace basilgap::dispatch
