#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Control/ReplicaTask.h"
#include "Basilgap/Dispatch/AdvicePool.h"
#include "Basilgap/Dispatch/WorkerSession.h"
#include "Basilgap/Scheduling/BackfillThrottle.h"
#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/Scheduling/PermitCache.h"
#include "Basilgap/Scheduling/PollPacing.h"
#include "Basilgap/Scheduling/StepPlanner.h"
#include "Basilgap/Scheduling/WorkerHealth.h"

namespace basilgap::dispatch {

// What a replica does for jobs with steps while it leads: answers calls, plans, logs starts and
// ends, and gives orders to workers. Exists while the replica leads.
class WorkLeader
{
public:
    using ReplyCallback = std::function<void(schema::RpcReply)>;

    struct Options
    {
        control::ReplicaTask &replica;
        WorkerPort &workers;
        AdvicePort &advice;
        // Where this process takes announcements.
        std::string controlAddress;
        SessionTimes times;
    };

    WorkLeader(network::EventLoop &loop, Options options);
    ~WorkLeader();

    // Another process of the cell is there and may ask for advice on the leader's behalf.
    void noteProcess(network::PeerStream &stream);
    // Handles a message of a process that was noted; false when it is not for the leader.
    bool receive(network::PeerStream &stream, const schema::PeerMessage &message);
    void streamClosed(network::PeerStream &stream);
    void applied(const schema::Command &command, const schema::CommandOutcome &outcome);

    // Handles a request; the reply's id is the request's.
    void handleRequest(const schema::RpcRequest &request, const ReplyCallback &reply);

private:
    // A step that advice is asked for; its job may not be logged yet.
    struct AdviceTarget
    {
        std::string work;
        uint32_t occurrence = 0;
        uint32_t step = 0;
    };

    struct AdviceResult
    {
        bool answered = false;
        std::vector<state::WorkerNumber> asked;
        std::vector<scheduling::PermitCache::GrantedTicket> granted;
        Millis expires;
    };

    template<typename Callback>
    auto guarded(Callback callback)
    {
        return [alive = std::weak_ptr<bool>(alive_), callback](auto &&...arguments) {
            if (!alive.expired())
                callback(std::forward<decltype(arguments)>(arguments)...);
        };
    }

    // WorkLeader.cpp
    void tick();
    bool mayOrder() const;
    void tendWorkers(Millis now);
    // Drops lives of which nothing was heard for long and on which nothing runs.
    void dropSilentWorkers(Millis now);
    void schedulePump();
    void pump();
    void plan(schema::RunBatch *batch);
    void listWorkers();
    // The workers as a plan needs them now.
    std::vector<scheduling::StepWorker> &refreshWorkers(Millis now);
    void tidy(Millis now);
    void learn(state::WorkerNumber worker, const StepTask &task, schema::RunOutcome outcome);
    const std::set<state::StepRef> &endingSteps(Millis now);
    Millis restBeforeLook(state::WorkerNumber worker);
    std::optional<Millis> stepEndsAt(const state::Work &work, const state::StepRef &step);
    void watchRuns();
    void paceFilling();
    std::vector<scheduling::PreemptibleRun> stoppableRuns(Millis now) const;
    void preempt(const StepTask &task, Millis now);
    bool askAdvice(const AdviceTarget &target, const schema::AdvicePolicy &policy,
        const std::vector<state::WorkerNumber> &workers,
        std::function<void(const AdviceResult &)> done);
    void askAdvice(const scheduling::AdviceRequest &wish);
    void takeAdvice(const state::StepRef &step, const AdviceResult &result);
    void askEarlyAdvice(
        const std::string &id, const schema::QueueConfig &queue, const schema::WorkSpec &spec);
    void takeEarlyAdvice(const std::string &id);
    void sendStarts(const schema::RunBatch &batch);
    void ackEnds(const std::map<state::WorkerNumber, uint64_t> &ends);
    void reconcileSessions();
    void openSession(const schema::WorkerLife &life, Millis now);
    void forgetEnded(const schema::RunBatch &batch);
    void noteEnd(state::WorkerNumber worker, const StepTask &task, uint32_t run,
        schema::RunOutcome outcome, const std::string &checkpoint);
    void logCell();
    void expireOld();

    // WorkCalls.cpp
    void answerQueueCall(const schema::RpcRequest &request, const ReplyCallback &reply);
    void submit(const schema::RpcRequest &request, const schema::QueueConfig &queue,
        const std::string &id, const std::string &account, const ReplyCallback &reply);
    void cancel(
        const schema::RpcRequest &request, const std::string &id, const ReplyCallback &reply);
    void showState(
        const schema::RpcRequest &request, const std::string &id, const ReplyCallback &reply);
    void answerOperator(const schema::RpcRequest &request, const ReplyCallback &reply);
    void announce(const schema::RpcRequest &request, const ReplyCallback &reply);
    void registerLife(const schema::RpcRequest &request, const ReplyCallback &reply);
    void propose(const schema::RpcRequest &request, schema::Command command,
        const ReplyCallback &reply,
        std::function<schema::CallReply(const schema::CommandOutcome &)>);
    // Answers once a quorum has confirmed the lead recently enough.
    void whenConfirmed(const schema::RpcRequest &request, const ReplyCallback &reply,
        std::function<schema::CallReply()> answer);

    Options options_;
    const state::CellState &state_;
    AdvicePool advisers_;
    CallTrouble trouble_;
    scheduling::PermitCache permits_;
    scheduling::DurationEstimator speeds_;
    scheduling::WorkerHealth health_;
    scheduling::BackfillThrottle paces_;
    scheduling::UrgentDemand urgent_{ scheduling::DeferrablePriority };
    std::map<state::WorkerNumber, std::unique_ptr<WorkerSession>> sessions_;
    std::map<uint64_t, network::PeerStream *> streams_;
    std::vector<schema::RunEnd> pendingEnds_;
    // Tickets of the starts that are being logged.
    std::map<StepTask, std::string> tickets_;
    // Advice for jobs that are being logged, by their id and step; nothing until it is answered.
    std::map<std::string, std::map<uint32_t, std::optional<AdviceResult>>> earlyAdvice_;
    // In the order of their numbers; listed anew when lives or zones have changed.
    std::vector<scheduling::StepWorker> planWorkers_;
    bool workersChanged_ = true;
    // As found lately.
    std::set<state::StepRef> ending_;
    Millis nextEnding_;
    Millis nextTidy_;
    Millis nextDrop_;
    // Lives whose end is being logged.
    std::set<state::WorkerNumber> dropping_;
    // Since the last line about the cell.
    uint32_t plans_ = 0;
    std::chrono::nanoseconds planTime_{};
    // Workers that have turned slow, and by how much.
    std::map<state::WorkerNumber, double> slow_;
    // Tasks that were moved away from a slow worker.
    std::set<StepTask> givenUp_;
    // Expected ends of steps, as computed since the runs were last watched.
    std::map<state::StepRef, std::optional<Millis>> stepEnds_;
    scheduling::CapacityDemand roomDemand_ = scheduling::CapacityDemand::None;
    // When this leader sent the start of each running task.
    std::map<StepTask, Millis> begun_;
    std::map<state::WorkerNumber, uint64_t> lastSequence_;
    std::map<std::string, std::vector<std::function<void(bool)>>> registering_;
    uint32_t nextWorker_ = 0;
    bool proposing_ = false;
    bool planDue_ = true;
    bool fenced_ = false;
    Millis leadSince_;
    Millis nextPlan_;
    Millis nextExpire_;
    Millis nextWatch_;
    Millis nextCellLine_;
    network::Timer ticker_;
    network::Timer pumper_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
