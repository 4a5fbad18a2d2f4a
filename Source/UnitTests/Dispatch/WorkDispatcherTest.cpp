#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include <gtest/gtest.h>

#include "Basilgap/Dispatch/WorkDispatcher.h"
#include "FakeWorkerPort.h"
#include "StandIns/QuotaDisk.h"
#include "UnitTests/Control/SingleReplicaFixture.h"

namespace basilgap::dispatch {
namespace {

constexpr const char *WorkId = "5c0e7a21d94b36f8";
constexpr uint64_t IncarnationStartMs = 1000;
constexpr uint32_t UnknownWorker = 99;
// How long a worker has the member of a gang wait for the others.
constexpr Millis GangTimeout{ 4000 };

class NoAdvice : public AdvicePort
{
public:
    void requestAdvice(const std::string &, const std::vector<std::string> &, Millis,
        std::function<void(AdviceAnswer)> done) override
    {
        done({});
    }
    std::string stepName(const std::string &, uint32_t, uint32_t) const override { return {}; }
};

// A worker that accepts every order and answers every poll at once. Its runs stay at 10 percent. It
// lists their ends until they are acknowledged.
class AnsweringWorker
{
public:
    explicit AnsweringWorker(FakeWorkerPort &port)
        : port_(port)
    {}

    void answerCalls()
    {
        for (auto &stop : std::exchange(port_.stops, {})) {
            stopCount_++;
            stops_.insert({ stop.order.task.index, stop.order.run });
            if (lostStops_.contains(stop.order.task.index)) {
                stop.done({});
                continue;
            }
            endRun({ stop.order.task, stop.order.run }, schema::RUN_STOPPED);
            stop.done({ OrderResult::Accepted, steadyNow() });
        }
        for (auto &start : std::exchange(port_.starts, {})) {
            startCounts_[{ start.order.task.index, start.order.run }]++;
            if (heldStarts_.contains(start.order.task.index)) {
                heldStarts_[start.order.task.index] = std::move(start);
                continue;
            }
            if (refusedTask_ == start.order.task.index) {
                refusedTask_.reset();
                start.done({ OrderResult::NoTicket, steadyNow() });
                continue;
            }
            for (const auto &[run, startedAt] : running_)
                EXPECT_NE(run.first, start.order.task) << "TWICE";
            running_[{ start.order.task, start.order.run }] = steadyNow();
            start.done({ OrderResult::Accepted, steadyNow() });
        }
        if (leavesPolls_)
            return;
        for (auto &poll : std::exchange(port_.polls, {})) {
            ackedEndSequence_ = std::max(ackedEndSequence_, poll.order.ackedEndSequence);
            poll.done(pollAnswer());
        }
    }

    void endAllRuns() { endRunsOfAge(Millis()); }

    // Ends the runs that have taken at least that long as done.
    void endRunsOfAge(Millis age)
    {
        for (const auto &[run, startedAt] : std::map(running_)) {
            if (steadyNow() - startedAt >= age)
                endRun(run, schema::RUN_DONE);
        }
    }

    // Ends the run of the job as failed.
    void failRunOf(const std::string &work)
    {
        for (const auto &[run, startedAt] : std::map(running_)) {
            if (run.first.work == work)
                endRun(run, schema::RUN_FAILED);
        }
    }
    bool runs(const std::string &work) const
    {
        return std::any_of(running_.begin(), running_.end(),
            [&work](const auto &entry) { return entry.first.first.work == work; });
    }

    // The worker restarts and holds nothing.
    void restart(uint64_t incarnationStartMs)
    {
        if (incarnationStartMs_ == incarnationStartMs)
            return;
        incarnationStartMs_ = incarnationStartMs;
        running_.clear();
        ends_.clear();
        ackedEndSequence_ = 0;
    }

    // Refuses the next start of the task with this index.
    void refuseStartOf(uint32_t index) { refusedTask_ = index; }

    // Answers no poll, as while it waits for the end of a run.
    void leavePolls(bool leaves) { leavesPolls_ = leaves; }

    // Neither carries out nor answers the starts of the task with this index.
    void holdStartOf(uint32_t index) { heldStarts_[index]; }
    bool holdsStartOf(uint32_t index) const
    {
        const auto held = heldStarts_.find(index);
        return held != heldStarts_.end() && held->second.done != nullptr;
    }
    bool isHeldStartStillWanted(uint32_t index) const
    {
        return heldStarts_.at(index).order.isStillWanted();
    }
    // Answers the last start of the task, and holds no further ones.
    void answerHeldStart(uint32_t index, OrderResult result)
    {
        const auto held = heldStarts_.extract(index);
        held.mapped().done({ result, steadyNow() });
    }
    // Loses the stops of the task with this index.
    void loseStopsOf(uint32_t index) { lostStops_.insert(index); }
    void loseNoStops() { lostStops_.clear(); }

    // The task's index and the run.
    using TaskRun = std::pair<uint32_t, uint32_t>;
    // The runs that were told to stop.
    const std::set<TaskRun> &stops() const { return stops_; }
    size_t startCount(uint32_t index, uint32_t run) const
    {
        const auto count = startCounts_.find({ index, run });
        return count == startCounts_.end() ? 0 : count->second;
    }
    size_t runningCount(uint32_t run) const
    {
        return static_cast<size_t>(std::count_if(running_.begin(), running_.end(),
            [run](const auto &entry) { return entry.first.second == run; }));
    }
    size_t stopCount() const { return stopCount_; }
    size_t runningCount() const { return running_.size(); }
    size_t endCount() const { return ends_.size(); }
    uint64_t ackedEndSequence() const { return ackedEndSequence_; }

private:
    using Run = std::pair<TaskName, uint32_t>;

    void endRun(const Run &run, schema::RunOutcome outcome)
    {
        if (running_.erase(run) > 0)
            ends_.push_back({ ends_.size() + 1, run.first, run.second, outcome, "" });
    }

    PollAnswer pollAnswer() const
    {
        PollAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.workerClock = steadyNow();
        answer.incarnationStartMs = incarnationStartMs_;
        for (const auto &[run, startedAt] : running_)
            answer.running.push_back({ run.first, run.second, "", 10, 0 });
        for (const EndReport &end : ends_) {
            if (end.sequence > ackedEndSequence_)
                answer.ended.push_back(end);
        }
        return answer;
    }

    FakeWorkerPort &port_;
    uint64_t incarnationStartMs_ = IncarnationStartMs;
    std::map<Run, Millis> running_;
    std::vector<EndReport> ends_;
    std::optional<uint32_t> refusedTask_;
    bool leavesPolls_ = false;
    // The last held start of each task whose starts are held.
    std::map<uint32_t, FakeWorkerPort::Start> heldStarts_;
    std::set<uint32_t> lostStops_;
    std::set<TaskRun> stops_;
    std::map<TaskRun, size_t> startCounts_;
    size_t stopCount_ = 0;
    uint64_t ackedEndSequence_ = 0;
};

// A dispatcher on a cell of one replica, with one worker and one queue.
class WorkDispatcherTest : public control::SingleReplicaFixture
{
protected:
    void SetUp() override
    {
        SingleReplicaFixture::SetUp();
        lead();
        onApplied_ = [this](const auto &command, const auto &outcome) {
            dispatcher_->handleApplied(command, outcome);
        };
        putConfig();
        announceWorker();
    }

    void TearDown() override
    {
        onApplied_ = [](const auto &, const auto &) {};
        dispatcher_.reset();
        SingleReplicaFixture::TearDown();
    }

    // Begins to lead, in the place of an earlier leader.
    void lead()
    {
        dispatcher_.reset();
        dispatcher_ = std::make_unique<WorkDispatcher>(loop_,
            WorkDispatcher::Options{ .replica = *replica_,
                .workers = port_,
                .advice = advice_,
                .times = times_,
                .forecastUses = forecastUses_ });
    }

    void putConfig()
    {
        schema::Command command;
        command.mutable_put_work_config()->set_version(1);
        schema::WorkConfig *config = command.mutable_put_work_config()->mutable_config();
        config->add_pools()->set_name("pool");
        config->add_accounts()->set_name("team");
        schema::QueueConfig *queue = config->add_queues();
        queue->set_name("queue");
        queue->set_pool("pool");
        queue->set_slack_factor(2);
        queue->set_target_latency_ms(500);
        propose(std::move(command));
        ASSERT_TRUE(runUntil([this] { return accepted_ == 1; }));
    }

    static schema::RpcRequest makeAnnouncement(
        uint64_t incarnationStartMs, const std::string &id, uint64_t sequence = 1)
    {
        schema::RpcRequest request;
        schema::WorkerLife *life = request.mutable_announcement()->mutable_life();
        life->set_id(id);
        life->set_born_ms(incarnationStartMs);
        life->set_address("127.0.0.1:1");
        life->set_zone("z1");
        life->set_pool("pool");
        life->set_millicores(8000);
        life->set_memory_mb(8000);
        request.mutable_announcement()->set_sequence(sequence);
        return request;
    }

    void announceWorker(
        uint64_t incarnationStartMs = IncarnationStartMs, const std::string &id = "w1")
    {
        dispatcher_->handleRequest(
            makeAnnouncement(incarnationStartMs, id), [](const schema::RpcReply &) {});
    }

    // Proposes the record that is logged after a long silence of the worker.
    void proposeDrop()
    {
        schema::Command command;
        schema::WorkerLife *dropped = command.mutable_runs()->add_workers();
        *dropped = *workers().newestIncarnation("w1");
        dropped->set_gone(true);
        propose(std::move(command));
    }

    void dropWorker()
    {
        ASSERT_TRUE(runUntil([this] { return workers().newestIncarnation("w1") != nullptr; }));
        proposeDrop();
        ASSERT_TRUE(runUntil([this] { return workers().newestIncarnation("w1") == nullptr; }));
    }

    // Announces an incarnation and waits until it is registered.
    const schema::WorkerLife &registerWorker(uint64_t incarnationStartMs, const std::string &id)
    {
        announceWorker(incarnationStartMs, id);
        EXPECT_TRUE(runUntil([&] {
            const schema::WorkerLife *newest = workers().newestIncarnation(id);
            return newest != nullptr && newest->born_ms() == incarnationStartMs;
        }));
        return *workers().newestIncarnation(id);
    }

    const state::WorkTable &workers() const { return replica_->state().works(); }

    void submit(uint32_t tasks, bool isGang = false)
    {
        schema::Command command;
        schema::SubmitWork *submit = command.mutable_submit_work();
        submit->set_id(WorkId);
        submit->set_queue("queue");
        submit->set_account("team");
        submit->set_max_attempts(3);
        schema::StepSpec *step = submit->mutable_spec()->add_steps();
        step->set_count(tasks);
        step->set_gang(isGang);
        step->set_millicores(1000);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        propose(std::move(command));
    }

    // Submits a job of one task that lasts until the job is canceled.
    void submitService(const std::string &id)
    {
        schema::Command command;
        schema::SubmitWork *submit = command.mutable_submit_work();
        submit->set_id(id);
        submit->set_queue("queue");
        submit->set_account("team");
        submit->set_max_attempts(3);
        schema::StepSpec *step = submit->mutable_spec()->add_steps();
        step->set_count(1);
        step->set_service(true);
        step->set_millicores(1000);
        step->set_memory_mb(10);
        step->set_estimate_ms(100);
        propose(std::move(command));
    }

    bool runWorkerUntil(const std::function<bool()> &condition)
    {
        return runUntil([&] {
            worker_.answerCalls();
            return condition();
        });
    }

    void runWorkerFor(Millis time)
    {
        const Millis end = steadyNow() + time;
        runWorkerUntil([end] { return steadyNow() >= end; });
    }

    // Proposes records that can't be committed until the log takes no more.
    void fillLog()
    {
        disk_.setBlocked(true);
        bool isFull = false;
        while (!isFull) {
            schema::Command command;
            command.mutable_expire();
            replica_->propose(std::move(command), [&isFull](const schema::CommandOutcome &outcome) {
                isFull = isFull || outcome.code() == schema::UNAVAILABLE;
            });
        }
    }

    void cancel()
    {
        schema::Command command;
        command.mutable_cancel_work()->set_id(WorkId);
        propose(std::move(command));
    }

    // Less than a member of a gang waits for the others.
    bool runWorkerUntilBeforeGangTimeout(const std::function<bool()> &condition)
    {
        const Millis end = steadyNow() + GangTimeout;
        runWorkerUntil([&] { return condition() || steadyNow() >= end; });
        return condition();
    }

    // Long enough for stops and new starts.
    void runWorkerForAWhile() { runWorkerFor(Millis(1000)); }

    // 0 until the job is logged.
    uint32_t phaseCount(state::RunPhase phase) const
    {
        if (replica_->state().works().find(WorkId) == nullptr)
            return 0;
        const auto &tasks = work().occurrences[0][0].tasks;
        return static_cast<uint32_t>(std::count_if(tasks.begin(), tasks.end(),
            [phase](const state::WorkTask &task) { return task.phase == phase; }));
    }

    // Expects that the gang's second run soon runs as a whole, and nothing else.
    void expectSecondRunOfGang(uint32_t members)
    {
        EXPECT_TRUE(runWorkerUntilBeforeGangTimeout(
            [this, members] { return worker_.runningCount(2) == members; }));
        EXPECT_EQ(worker_.runningCount(2), members);
        EXPECT_EQ(worker_.runningCount(), members);
        for (const auto &[index, run] : worker_.stops())
            EXPECT_EQ(run, 1U) << "task " << index;
        for (const state::WorkTask &task : work().occurrences[0][0].tasks) {
            EXPECT_EQ(task.phase, state::RunPhase::Running);
            EXPECT_EQ(task.run, 2U);
            EXPECT_EQ(task.failures, 0U);
        }
    }

    schema::CallReply call(const schema::RpcRequest &request)
    {
        std::optional<schema::CallReply> answer;
        dispatcher_->handleRequest(
            request, [&answer](const schema::RpcReply &reply) { answer = reply.call(); });
        // A worker that is silent for long, as while the disk is slow, loses its leases.
        EXPECT_TRUE(runWorkerUntil([&answer] { return answer.has_value(); }));
        return answer.value_or(schema::CallReply());
    }

    const state::Work &work() const { return *replica_->state().works().find(WorkId); }

    scheduling::ForecastUses forecastUses_;
    SessionTimes times_;
    FakeWorkerPort port_;
    NoAdvice advice_;
    AnsweringWorker worker_{ port_ };
    std::unique_ptr<WorkDispatcher> dispatcher_;
};

// A dispatcher that uses the forecast of durations wherever it can.
class ForecastDispatcherTest : public WorkDispatcherTest
{
protected:
    ForecastDispatcherTest()
    {
        forecastUses_ = { .expectedDuration = true,
            .stragglers = true,
            .advicePrefetch = true,
            .preemption = true,
            .workerKinds = true };
    }
};

// Guards against a duration that is measured, but does not get into the replicated state.
TEST_F(ForecastDispatcherTest, learnsFromTheEndsOfRuns)
{
    submit(4);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.runningCount() == 4; }));
    runWorkerFor(Millis(300));
    worker_.endAllRuns();
    ASSERT_TRUE(runWorkerUntil([this] { return phaseCount(state::RunPhase::Done) == 4; }));
    const state::DurationModel &durations = replica_->state().works().durations();
    EXPECT_EQ(durations.runs(), 4U);
    const auto forecast =
        durations.forecast(state::durationSubjectOf(work(), { state::WorkSerial(1), 0, 0 }));
    ASSERT_TRUE(forecast);
    EXPECT_GE(forecast->median, 250U);
}

// Guards against TWICE: ends were acknowledged, but not logged, while the log took no records, as
// during a transfer of leadership; the next leader started the tasks again.
TEST_F(WorkDispatcherTest, endsThatTheLogDoesNotTakeAreLoggedLaterAndNotAcknowledgedBefore)
{
    submit(4);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.runningCount() == 4; }));
    fillLog();
    worker_.endAllRuns();
    runWorkerFor(Millis(600));
    EXPECT_EQ(worker_.ackedEndSequence(), 0U);
    EXPECT_EQ(work().runningTasks, 4U);
    disk_.setBlocked(false);
    EXPECT_TRUE(runWorkerUntil([this] { return work().phase == state::WorkPhase::Completed; }));
    EXPECT_TRUE(
        runWorkerUntil([this] { return worker_.ackedEndSequence() == worker_.endCount(); }));
    EXPECT_EQ(worker_.endCount(), 4U);
}

// Guards against TWICE: a restarted worker carried out calls for its earlier incarnation, because
// the orders to both had the same token.
TEST_F(WorkDispatcherTest, ordersToARestartedWorkerCarryAHigherToken)
{
    ASSERT_TRUE(runUntil([this] { return !port_.polls.empty(); }));
    const uint64_t token = port_.polls.back().order.fencingToken;
    announceWorker(IncarnationStartMs + 1);
    const state::WorkTable &table = replica_->state().works();
    ASSERT_TRUE(runUntil([&table] { return table.newestIncarnation("w1")->restarted(); }));
    ASSERT_TRUE(runUntil([this, token] { return port_.polls.back().order.fencingToken > token; }));
    EXPECT_EQ(port_.polls.back().order.fencingToken,
        fencingTokenOf(replica_->core().term().value(),
            state::WorkerNumber(table.newestIncarnation("w1")->number())));
}

// Guards against LOST: a run that may have started on a restarted worker waited for ever for that
// worker to take its stop, also once the worker was dropped for its silence.
TEST_F(WorkDispatcherTest, aRunIsReleasedOnceTheRestartedWorkerThatMayHaveItIsDropped)
{
    worker_.holdStartOf(0);
    worker_.loseStopsOf(0);
    submit(1);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.holdsStartOf(0); }));
    announceWorker(IncarnationStartMs + 1);
    ASSERT_TRUE(runWorkerUntil([this] {
        return workers().newestIncarnation("w1")->born_ms() > IncarnationStartMs
            && worker_.stopCount() > 0;
    }));
    EXPECT_EQ(phaseCount(state::RunPhase::Running), 1U);
    proposeDrop();
    EXPECT_TRUE(runWorkerUntil([this] { return phaseCount(state::RunPhase::Waiting) == 1; }));
}

// Guards against LOST: a start was planned while the restart of its worker was being logged. Its
// record came after that of the restart, so that no session had the run, and it never ended.
TEST_F(WorkDispatcherTest, aTaskWhoseStartIsLoggedAfterTheRestartOfItsWorkerStartsAgain)
{
    runWorkerFor(Millis(300));
    onApplied_ = [this](const schema::Command &command, const schema::CommandOutcome &outcome) {
        dispatcher_->handleApplied(command, outcome);
        if (command.has_submit_work())
            announceWorker(IncarnationStartMs + 1);
        if (command.has_runs() && command.runs().workers_size() > 0)
            worker_.restart(IncarnationStartMs + 1);
    };
    submit(1);
    EXPECT_TRUE(runWorkerUntil([this] { return worker_.runningCount() == 1; }));
}

// The same for a start of an earlier leader.
TEST_F(WorkDispatcherTest, aNewLeaderRepeatsAStartThatWasLoggedAfterTheRestartOfItsWorker)
{
    runWorkerFor(Millis(300));
    dispatcher_.reset();
    onApplied_ = [](const auto &, const auto &) {};
    submit(1);
    schema::Command command;
    schema::RunStart *start = command.mutable_runs()->add_starts();
    start->set_work(1);
    start->set_run(1);
    start->set_worker(UnknownWorker);
    propose(std::move(command));
    ASSERT_TRUE(runUntil([this] { return accepted_ == 3; }));
    ASSERT_EQ(phaseCount(state::RunPhase::Running), 1U);
    onApplied_ = [this](const auto &applied, const auto &outcome) {
        dispatcher_->handleApplied(applied, outcome);
    };
    lead();
    EXPECT_TRUE(runWorkerUntil([this] { return worker_.runningCount(2) == 1; }));
}

// Guards against TWICE: a call for the earlier incarnation may still reach a worker that comes back
// after the state has forgotten it. The next leader took its lease for an ordinary one.
TEST_F(WorkDispatcherTest, aWorkerThatComesBackAfterItWasDroppedIsMarkedAsRestarted)
{
    ASSERT_NO_FATAL_FAILURE(dropWorker());
    EXPECT_TRUE(registerWorker(IncarnationStartMs + 1, "w1").restarted());
    EXPECT_FALSE(registerWorker(IncarnationStartMs, "w2").restarted());
}

// The same if it registers while its drop is being logged.
TEST_F(WorkDispatcherTest, aWorkerThatComesBackWhileItIsDroppedIsMarkedAsRestarted)
{
    ASSERT_TRUE(runUntil([this] { return workers().newestIncarnation("w1") != nullptr; }));
    proposeDrop();
    EXPECT_TRUE(registerWorker(IncarnationStartMs + 1, "w1").restarted());
}

// The same if the state forgets it once the last of its runs has ended.
TEST_F(WorkDispatcherTest, aWorkerThatComesBackAfterItsLastRunHasEndedIsMarkedAsRestarted)
{
    submit(1);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.runningCount() == 1; }));
    proposeDrop();
    ASSERT_TRUE(runUntil([this] { return workers().newestIncarnation("w1") == nullptr; }));
    EXPECT_TRUE(registerWorker(IncarnationStartMs + 1, "w1").restarted());
}

// The same if an earlier leader has dropped it, which the state doesn't tell.
TEST_F(WorkDispatcherTest, aWorkerThatAnEarlierLeaderHasDroppedIsMarkedAsRestarted)
{
    ASSERT_NO_FATAL_FAILURE(dropWorker());
    lead();
    EXPECT_TRUE(registerWorker(IncarnationStartMs + 1, "w1").restarted());
}

TEST_F(WorkDispatcherTest, aNewLeaderMarksNoNewWorkerIfNoneWasForgotten)
{
    ASSERT_TRUE(runUntil([this] { return workers().newestIncarnation("w1") != nullptr; }));
    lead();
    EXPECT_FALSE(registerWorker(IncarnationStartMs, "w2").restarted());
}

// Guards against LOST: the mark of a restart stayed for good. Each later leader that did not hear
// the worker waited for the longest lease before the worker's tasks started elsewhere.
TEST_F(WorkDispatcherTest, theMarkOfARestartIsRemovedOnceTheLongestLeaseIsOver)
{
    ASSERT_TRUE(runUntil([this] { return workers().newestIncarnation("w1") != nullptr; }));
    times_.maxLease = Millis(500);
    lead();
    ASSERT_TRUE(registerWorker(IncarnationStartMs + 1, "w1").restarted());
    worker_.restart(IncarnationStartMs + 1);
    EXPECT_TRUE(runWorkerUntil([this] { return !workers().newestIncarnation("w1")->restarted(); }));
}

// The same for a worker that was marked because a new leader did not know whom its predecessors had
// dropped.
TEST_F(WorkDispatcherTest, theMarkOfAWorkerThatNobodyHasDroppedIsRemoved)
{
    ASSERT_NO_FATAL_FAILURE(dropWorker());
    times_.maxLease = Millis(500);
    lead();
    ASSERT_TRUE(registerWorker(IncarnationStartMs, "w2").restarted());
    EXPECT_TRUE(runWorkerUntil([this] { return !workers().newestIncarnation("w2")->restarted(); }));
}

// Announcements of a worker that arrive while its registration is being logged.
class PendingRegistrationTest : public WorkDispatcherTest
{
protected:
    // Each is acknowledged in the end.
    void announceAll(const std::vector<schema::RpcRequest> &announcements)
    {
        size_t acknowledged = 0;
        for (const schema::RpcRequest &announcement : announcements) {
            dispatcher_->handleRequest(
                announcement, [&acknowledged](const schema::RpcReply &reply) {
                    acknowledged += reply.call().status() == 200U ? 1 : 0;
                });
        }
        EXPECT_TRUE(runUntil([&] { return acknowledged == announcements.size(); }));
    }

    size_t incarnationCount(const std::string &id) const
    {
        return static_cast<size_t>(
            std::count_if(workers().workers().begin(), workers().workers().end(),
                [&id](const auto &entry) { return entry.second.id() == id; }));
    }
};

// Guards against DRAIN: the announcement that a worker leaves was acknowledged and forgotten.
TEST_F(PendingRegistrationTest, aWorkerThatLeavesIsKnownToLeave)
{
    schema::RpcRequest leaving = makeAnnouncement(IncarnationStartMs, "w2", 2);
    leaving.mutable_announcement()->mutable_life()->set_leaving(true);
    announceAll({ makeAnnouncement(IncarnationStartMs, "w2"), leaving });
    EXPECT_TRUE(workers().newestIncarnation("w2")->leaving());
}

// The same for the announcement of its end, which names no incarnation.
TEST_F(PendingRegistrationTest, aWorkerThatEndsIsKnownToLeave)
{
    schema::RpcRequest ended;
    ended.mutable_announcement()->mutable_life()->set_id("w2");
    ended.mutable_announcement()->set_ended(true);
    announceAll({ makeAnnouncement(IncarnationStartMs, "w2"), ended });
    EXPECT_TRUE(workers().newestIncarnation("w2")->leaving());
}

// Guards against an earlier incarnation that stays in the state, because the later one was
// registered before it was known.
TEST_F(PendingRegistrationTest, aLaterIncarnationReplacesTheEarlierOne)
{
    announceAll({ makeAnnouncement(IncarnationStartMs, "w2"),
        makeAnnouncement(IncarnationStartMs + 1, "w2") });
    EXPECT_EQ(workers().newestIncarnation("w2")->born_ms(), IncarnationStartMs + 1);
    EXPECT_TRUE(workers().newestIncarnation("w2")->restarted());
    EXPECT_EQ(incarnationCount("w2"), 1U);
}

TEST_F(PendingRegistrationTest, aLateAnnouncementOfAnEarlierIncarnationReplacesNothing)
{
    announceAll({ makeAnnouncement(IncarnationStartMs + 1, "w2"),
        makeAnnouncement(IncarnationStartMs, "w2") });
    EXPECT_EQ(workers().newestIncarnation("w2")->born_ms(), IncarnationStartMs + 1);
    EXPECT_EQ(incarnationCount("w2"), 1U);
}

// Guards against LOST: a task whose percentage rises slowly was stopped as hanging after three
// seconds each time, and never done.
TEST_F(WorkDispatcherTest, aTaskWhosePercentageRisesSlowlyIsDone)
{
    submit(1);
    const auto isDone = [this] {
        worker_.endRunsOfAge(Millis(4000));
        return work().phase == state::WorkPhase::Completed;
    };
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.runningCount() == 1; }));
    bool done = false;
    for (int i = 0; i < 3 && !done; i++)
        done = runWorkerUntil(isDone);
    EXPECT_TRUE(done);
}

// Guards against GANG: the start of one member was refused, and the others waited for it in vain. A
// worker ends a member that has waited for 4 s.
TEST_F(WorkDispatcherTest, membersOfAGangAreStoppedOnceTheStartOfOneIsRefused)
{
    worker_.refuseStartOf(1);
    submit(3, true);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.runningCount() == 2; }));
    runWorkerUntilBeforeGangTimeout([this] { return worker_.stopCount() == 2; });
    EXPECT_EQ(worker_.stopCount(), 2U);
}

TEST_F(WorkDispatcherTest, aGangIsPlacedAnewOnceTheStartOfAMemberIsRefusedWhileTheOthersRun)
{
    worker_.holdStartOf(1);
    submit(3, true);
    ASSERT_TRUE(
        runWorkerUntil([this] { return worker_.runningCount() == 2 && worker_.holdsStartOf(1); }));
    runWorkerFor(Millis(300));
    ASSERT_EQ(worker_.stopCount(), 0U);
    worker_.answerHeldStart(1, OrderResult::NoTicket);
    expectSecondRunOfGang(3);
    const std::set<AnsweringWorker::TaskRun> others{ { 0, 1 }, { 2, 1 } };
    EXPECT_EQ(worker_.stops(), others);
    runWorkerForAWhile();
    expectSecondRunOfGang(3);
    worker_.endAllRuns();
    EXPECT_TRUE(runWorkerUntil([this] { return work().phase == state::WorkPhase::Completed; }));
}

// A member counts as running until its end is listed.
TEST_F(WorkDispatcherTest, aGangIsNotPlacedAnewWhileAMemberHasNotStopped)
{
    worker_.loseStopsOf(2);
    worker_.refuseStartOf(1);
    submit(3, true);
    ASSERT_TRUE(runWorkerUntil([this] {
        return worker_.stops().contains({ 2, 1 }) && phaseCount(state::RunPhase::Waiting) == 2;
    }));
    runWorkerForAWhile();
    EXPECT_EQ(worker_.runningCount(), 1U);
    EXPECT_EQ(phaseCount(state::RunPhase::Waiting), 2U);
    worker_.loseNoStops();
    expectSecondRunOfGang(3);
}

TEST_F(WorkDispatcherTest, anUnansweredStartIsStoppedAndNotRepeatedOnceThatOfAnotherIsRefused)
{
    worker_.holdStartOf(2);
    worker_.refuseStartOf(1);
    submit(3, true);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.stops().contains({ 0, 1 }); }));
    ASSERT_TRUE(worker_.holdsStartOf(2));
    EXPECT_TRUE(worker_.stops().contains({ 2, 1 }));
    EXPECT_FALSE(worker_.isHeldStartStillWanted(2));
    worker_.answerHeldStart(2, OrderResult::Unanswered);
    expectSecondRunOfGang(3);
    EXPECT_EQ(worker_.startCount(2, 1), 1U);
}

// The run of a start that nobody answers ends only with the worker's lease.
TEST_F(WorkDispatcherTest, membersOfAGangAreStoppedOnceTheStartOfOneIsGivenUp)
{
    worker_.holdStartOf(1);
    worker_.loseStopsOf(1);
    submit(3, true);
    for (size_t sent = 1; sent <= SessionTimes().maxStartSends; sent++) {
        ASSERT_TRUE(runWorkerUntil(
            [this, sent] { return worker_.startCount(1, 1) == sent && worker_.holdsStartOf(1); }));
        worker_.answerHeldStart(1, OrderResult::Unanswered);
        worker_.holdStartOf(1);
    }
    EXPECT_TRUE(runWorkerUntilBeforeGangTimeout(
        [this] { return phaseCount(state::RunPhase::Running) == 1; }));
    const std::set<AnsweringWorker::TaskRun> all{ { 0, 1 }, { 1, 1 }, { 2, 1 } };
    EXPECT_EQ(worker_.stops(), all);
    EXPECT_EQ(worker_.runningCount(), 0U);
}

TEST_F(WorkDispatcherTest, aNewLeaderStopsAGangOfWhichAMemberWaits)
{
    for (const uint32_t index : { 0, 2 })
        worker_.loseStopsOf(index);
    worker_.refuseStartOf(1);
    submit(3, true);
    ASSERT_TRUE(runWorkerUntil([this] { return phaseCount(state::RunPhase::Waiting) == 1; }));
    lead();
    worker_.loseNoStops();
    expectSecondRunOfGang(3);
    const std::set<AnsweringWorker::TaskRun> others{ { 0, 1 }, { 2, 1 } };
    EXPECT_EQ(worker_.stops(), others);
}

TEST_F(WorkDispatcherTest, aNewLeaderStopsAGangWhoseRefusedStartIsNotLogged)
{
    worker_.holdStartOf(1);
    submit(3, true);
    ASSERT_TRUE(
        runWorkerUntil([this] { return worker_.runningCount() == 2 && worker_.holdsStartOf(1); }));
    worker_.answerHeldStart(1, OrderResult::NoTicket);
    lead();
    ASSERT_EQ(phaseCount(state::RunPhase::Running), 3U);
    expectSecondRunOfGang(3);
}

TEST_F(WorkDispatcherTest, aGangIsNotPlacedAnewOnceItsJobIsCanceled)
{
    for (const uint32_t index : { 0, 2 })
        worker_.loseStopsOf(index);
    worker_.refuseStartOf(1);
    submit(3, true);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.stops().size() == 2; }));
    cancel();
    ASSERT_TRUE(runWorkerUntil([this] { return work().phase == state::WorkPhase::Canceled; }));
    worker_.loseNoStops();
    EXPECT_TRUE(runWorkerUntil([this] { return work().runningTasks == 0; }));
    runWorkerForAWhile();
    EXPECT_EQ(worker_.runningCount(), 0U);
    for (uint32_t index = 0; index < 3; index++)
        EXPECT_EQ(worker_.startCount(index, 2), 0U);
}

// Each wait of a test includes several syncs, which take seconds while others use the disk.
class UnsyncedQuotaDisk : public standins::QuotaDisk
{
public:
    using QuotaDisk::QuotaDisk;

    int sync(int) override { return 0; }
    int syncFolder(int) override { return 0; }
};

class WorkDispatcherDiskTest : public WorkDispatcherTest
{
protected:
    replication::DiskCalls &disk() override { return quota_; }

    schema::CallReply submitAs(const std::string &id)
    {
        schema::RpcRequest request;
        schema::QueueCall *submit = request.mutable_queue_call();
        submit->set_kind(schema::QueueCall::SUBMIT);
        submit->set_host("host");
        submit->set_path("/queue/" + id);
        submit->mutable_spec()->add_steps()->set_count(1);
        return call(request);
    }

    schema::CallReply cancel(const std::string &id)
    {
        schema::RpcRequest request;
        schema::QueueCall *cancel = request.mutable_queue_call();
        cancel->set_kind(schema::QueueCall::CANCEL);
        cancel->set_host("host");
        cancel->set_path("/queue/" + id);
        return call(request);
    }

    schema::CallReply configure(uint64_t version)
    {
        schema::RpcRequest request;
        schema::PutWorkConfig *put = request.mutable_operator_call()->mutable_put_config();
        put->set_version(version);
        schema::QueueConfig *queue = put->mutable_config()->add_queues();
        queue->set_name("queue");
        queue->set_host("host");
        queue->set_prefix("/queue/");
        queue->set_open(true);
        return call(request);
    }

    UnsyncedQuotaDisk quota_{ folder_ };
};

// Guards against LOST: with little disk space left, jobs and configurations were accepted until
// nothing could be written any more, not even what would have ended jobs and freed their space.
TEST_F(WorkDispatcherDiskTest, whatMakesTheStateGrowIsRefusedWhileDiskSpaceIsLow)
{
    ASSERT_EQ(configure(101).status(), 200U);
    ASSERT_EQ(submitAs("00000000000000a1").status(), 200U);
    quota_.setFreeBytes(0);
    schema::Command command;
    command.mutable_expire();
    replica_->propose(std::move(command), [](const schema::CommandOutcome &) {});
    ASSERT_TRUE(
        runUntil([this] { return !replica_->spaceError().empty() && replica_->isLeading(); }));
    const schema::CallReply refused = submitAs("00000000000000a2");
    EXPECT_EQ(refused.status(), 503U);
    EXPECT_GT(refused.retry_after_s(), 0U);
    EXPECT_EQ(configure(102).status(), 503U);
    EXPECT_EQ(cancel("00000000000000a2").status(), 503U) << "it would be kept for the job";
    EXPECT_EQ(cancel("00000000000000a1").status(), 200U);
    EXPECT_EQ(submitAs("00000000000000a1").status(), 200U) << "it was accepted before";
    EXPECT_EQ(configure(101).status(), 200U) << "it was accepted before";
    quota_.setFreeBytes(64 * 1024 * 1024);
    ASSERT_TRUE(runUntil([this] { return replica_->spaceError().empty(); }));
    EXPECT_EQ(submitAs("00000000000000a2").status(), 200U);
    EXPECT_EQ(configure(102).status(), 200U);
}

// Two accounts and one queue, on a worker of eight cores.
class WorkDispatcherAdmissionTest : public WorkDispatcherTest
{
protected:
    // Longer than the time in which a new leader refuses nothing.
    static constexpr Millis SettlingTime{ 2300 };

    void SetUp() override
    {
        WorkDispatcherTest::SetUp();
        schema::RpcRequest request;
        schema::PutWorkConfig *put = request.mutable_operator_call()->mutable_put_config();
        put->set_version(101);
        schema::WorkConfig *config = put->mutable_config();
        config->add_pools()->set_name("pool");
        schema::QueueConfig *queue = config->add_queues();
        queue->set_name("queue");
        queue->set_pool("pool");
        queue->set_host("host");
        queue->set_prefix("/queue/");
        queue->set_slack_factor(2);
        // Jobs of the backlog are not too late before the end of a test.
        queue->set_target_latency_ms(10000);
        for (const char *name : { "team", "other" }) {
            schema::AccountConfig *account = config->add_accounts();
            account->set_name(name);
            account->add_keys(name);
            account->set_weight(1);
        }
        ASSERT_EQ(call(request).status(), 200U);
    }

    static schema::RpcRequest makeRequest(
        const std::string &account, const std::string &id, uint32_t tasks)
    {
        schema::RpcRequest request;
        schema::QueueCall *submit = request.mutable_queue_call();
        submit->set_kind(schema::QueueCall::SUBMIT);
        submit->set_host("host");
        submit->set_path("/queue/" + id);
        submit->set_key(account);
        schema::StepSpec *step = submit->mutable_spec()->add_steps();
        step->set_count(tasks);
        step->set_millicores(1000);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        return request;
    }

    schema::CallReply submitAs(const std::string &account, const std::string &id, uint32_t tasks)
    {
        return call(makeRequest(account, id, tasks));
    }

    bool isKnown(const std::string &id) const
    {
        return replica_->state().works().find(id) != nullptr;
    }
};

// Guards against accepting jobs that can't be of use any more, against refusing those of another
// account, and against a refusal of a job that was accepted.
TEST_F(WorkDispatcherAdmissionTest, onlyTheAccountWithTheBacklogIsRefused)
{
    EXPECT_EQ(submitAs("team", "00000000000000a1", 2000).status(), 200U);
    EXPECT_EQ(submitAs("team", "00000000000000a2", 10).status(), 200U) << "the leader is new";
    runWorkerFor(SettlingTime);
    const schema::CallReply refused = submitAs("team", "00000000000000a3", 10);
    EXPECT_EQ(refused.status(), 503U);
    EXPECT_GE(refused.retry_after_s(), 1U);
    EXPECT_LE(refused.retry_after_s(), 30U);
    EXPECT_EQ(refused.error().find("not run"), 0U) << refused.error();
    runWorkerFor(Millis(100));
    EXPECT_FALSE(isKnown("00000000000000a3"));
    EXPECT_EQ(submitAs("team", "00000000000000a2", 10).status(), 200U) << "it was accepted before";
    EXPECT_EQ(submitAs("other", "00000000000000b1", 10).status(), 200U);
    schema::RpcRequest service = makeRequest("team", "00000000000000a4", 1);
    service.mutable_queue_call()->mutable_spec()->mutable_steps(0)->set_service(true);
    EXPECT_EQ(call(service).status(), 200U);
    schema::RpcRequest scheduled = makeRequest("team", "00000000000000a5", 1);
    scheduled.mutable_queue_call()->mutable_spec()->set_occurrences(1);
    EXPECT_EQ(call(scheduled).status(), 200U);
    schema::RpcRequest cancelation;
    cancelation.mutable_queue_call()->set_kind(schema::QueueCall::CANCEL);
    cancelation.mutable_queue_call()->set_host("host");
    cancelation.mutable_queue_call()->set_path("/queue/00000000000000a1");
    cancelation.mutable_queue_call()->set_key("team");
    EXPECT_EQ(call(cancelation).status(), 200U);
    EXPECT_EQ(submitAs("team", "00000000000000a3", 10).status(), 200U) << "the backlog is gone";
}

// Guards against a refusal that says "not run" while an earlier call for the same job is being
// logged.
TEST_F(WorkDispatcherAdmissionTest, aJobThatIsBeingLoggedIsNotRefused)
{
    ASSERT_EQ(submitAs("team", "00000000000000a1", 2000).status(), 200U);
    std::vector<uint32_t> statuses;
    const auto send = [&](const std::string &id) {
        dispatcher_->handleRequest(
            makeRequest("team", id, 1), [&statuses](const schema::RpcReply &reply) {
                statuses.push_back(reply.call().status());
            });
    };
    disk_.setBlocked(true);
    send("00000000000000a2");
    runWorkerFor(SettlingTime);
    EXPECT_TRUE(statuses.empty());
    send("00000000000000a2");
    send("00000000000000a3");
    ASSERT_TRUE(runWorkerUntil([&] { return statuses.size() == 1; }));
    EXPECT_EQ(statuses, std::vector<uint32_t>{ 503 }) << "only the third call is refused";
    disk_.setBlocked(false);
    ASSERT_TRUE(runWorkerUntil([&] { return statuses.size() == 3; }));
    EXPECT_EQ(statuses, (std::vector<uint32_t>{ 503, 200, 200 }));
    EXPECT_FALSE(isKnown("00000000000000a3"));
}

// Guards against a new leader that forgets the backlog of its predecessor, or that refuses jobs by
// figures that it doesn't have yet.
TEST_F(WorkDispatcherAdmissionTest, aNewLeaderKeepsTheBacklogAndWaitsForFigures)
{
    EXPECT_EQ(submitAs("team", "00000000000000a1", 2000).status(), 200U);
    runWorkerFor(SettlingTime);
    EXPECT_EQ(submitAs("team", "00000000000000a2", 1).status(), 503U);
    lead();
    EXPECT_EQ(submitAs("team", "00000000000000a3", 1).status(), 200U);
    runWorkerFor(SettlingTime);
    EXPECT_EQ(submitAs("team", "00000000000000a4", 1).status(), 503U);
    EXPECT_EQ(submitAs("team", "00000000000000a3", 1).status(), 200U) << "it was accepted before";
}

class CancellationTest : public WorkDispatcherAdmissionTest
{
protected:
    static constexpr const char *JobId = "00000000000000c1";

    static schema::RpcRequest makeCall(
        schema::QueueCall::Kind kind, const std::string &id, const std::string &account = "team")
    {
        schema::RpcRequest request = makeRequest(account, id, 1);
        request.mutable_queue_call()->set_kind(kind);
        return request;
    }

    schema::CallReply cancelAs(const std::string &account, const std::string &id)
    {
        return call(makeCall(schema::QueueCall::CANCEL, id, account));
    }

    std::string stateOf(const std::string &id)
    {
        return call(makeCall(schema::QueueCall::STATUS, id)).state();
    }

    // Sends the call; its answer is added to statuses_.
    void send(schema::QueueCall::Kind kind, const std::string &id)
    {
        dispatcher_->handleRequest(makeCall(kind, id),
            [this](const schema::RpcReply &reply) { statuses_.push_back(reply.call().status()); });
    }

    void expectNeverRuns(const std::string &id)
    {
        runWorkerForAWhile();
        EXPECT_FALSE(worker_.runs(id));
        EXPECT_EQ(stateOf(id), "canceled");
    }

    std::vector<uint32_t> statuses_;
};

// Guards against UNASKED: a job ran although its cancellation had been acknowledged, because that
// came while the submission was being logged.
TEST_F(CancellationTest, aJobThatIsBeingLoggedIsCanceled)
{
    disk_.setBlocked(true);
    send(schema::QueueCall::SUBMIT, JobId);
    send(schema::QueueCall::CANCEL, JobId);
    runWorkerFor(Millis(100));
    disk_.setBlocked(false);
    ASSERT_TRUE(runWorkerUntil([this] { return statuses_.size() == 2; }));
    EXPECT_EQ(statuses_, (std::vector<uint32_t>{ 200, 200 }));
    expectNeverRuns(JobId);
}

// Guards against UNASKED: a submission that another entry still held arrived after the cancellation
// had been acknowledged.
TEST_F(CancellationTest, aJobThatArrivesAfterItsCancellationDoesNotRun)
{
    EXPECT_EQ(cancelAs("team", JobId).status(), 410U);
    EXPECT_EQ(call(makeCall(schema::QueueCall::STATUS, JobId)).status(), 410U);
    EXPECT_EQ(submitAs("team", JobId, 1).status(), 200U);
    expectNeverRuns(JobId);
    EXPECT_EQ(submitAs("team", JobId, 1).status(), 200U) << "it remains one job";
    EXPECT_EQ(cancelAs("team", JobId).status(), 200U);
    expectNeverRuns(JobId);
}

TEST_F(CancellationTest, aNewLeaderKnowsTheCancellationsThatCameBeforeTheirJobs)
{
    EXPECT_EQ(cancelAs("team", JobId).status(), 410U);
    lead();
    EXPECT_EQ(submitAs("team", JobId, 1).status(), 200U);
    expectNeverRuns(JobId);
}

// Guards against callers who fill the state by canceling jobs that don't exist, and against an
// answer that says "no such job" to a cancellation which is not kept.
TEST_F(CancellationTest, cancellationsOfUnknownJobsAreLimitedByAccount)
{
    size_t logged = 0;
    for (size_t i = 0; i < state::EarlyCancellations::MaxPerAccount; i++) {
        schema::Command command;
        command.mutable_cancel_work()->set_id("unknown" + std::to_string(i));
        command.mutable_cancel_work()->set_account("team");
        command.mutable_cancel_work()->set_covers_later_submission(true);
        replica_->propose(
            std::move(command), [&logged](const schema::CommandOutcome &) { logged++; });
    }
    ASSERT_TRUE(
        runWorkerUntil([&logged] { return logged == state::EarlyCancellations::MaxPerAccount; }));
    const schema::CallReply refused = cancelAs("team", JobId);
    EXPECT_EQ(refused.status(), 503U);
    EXPECT_GE(refused.retry_after_s(), 1U);
    EXPECT_LE(refused.retry_after_s(), state::WorkRetentionMs / 1000 + 1);
    EXPECT_EQ(refused.error().find("not canceled"), 0U) << refused.error();
    EXPECT_EQ(cancelAs("other", "00000000000000c2").status(), 410U);
    EXPECT_EQ(submitAs("team", JobId, 1).status(), 200U) << "the cancellation was refused";
    EXPECT_EQ(cancelAs("team", JobId).status(), 200U) << "the job is known";
}

// Guards against TWICE: a task was started again while the end of its run, which a later
// incarnation of the worker had carried out, was not listed yet because answers to polls were lost.
TEST_F(WorkDispatcherTest, anEndOnALaterIncarnationCountsAlsoIfPollsAreLostAfterTheStop)
{
    worker_.holdStartOf(0);
    submit(1);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.holdsStartOf(0); }));
    worker_.answerHeldStart(0, OrderResult::Accepted);
    announceWorker(IncarnationStartMs + 1);
    const Millis lossTime = SessionTimes().maxStopTime + Millis(200);
    const Millis end = steadyNow() + Millis(10000);
    std::optional<Millis> stopTakenAt;
    uint64_t laterToken = 0;
    size_t starts = 0;
    const auto answerPoll = [&](const FakeWorkerPort::Poll &poll) {
        const bool isForLaterIncarnation = laterToken != 0 && poll.order.fencingToken >= laterToken;
        if (!isForLaterIncarnation || steadyNow() - *stopTakenAt < lossTime)
            return poll.done({});
        PollAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.workerClock = steadyNow();
        answer.incarnationStartMs = IncarnationStartMs + 1;
        if (poll.order.ackedEndSequence == 0)
            answer.ended = { { 1, { WorkId, 0, 0, 0 }, 1, schema::RUN_DONE, "" } };
        poll.done(answer);
    };
    EXPECT_TRUE(runUntil([&] {
        for (auto &stop : std::exchange(port_.stops, {})) {
            laterToken = stop.order.fencingToken;
            stopTakenAt = stopTakenAt.value_or(steadyNow());
            stop.done({ OrderResult::Accepted, steadyNow() });
        }
        for (auto &start : std::exchange(port_.starts, {})) {
            starts++;
            start.done({ OrderResult::Accepted, steadyNow() });
        }
        for (auto &poll : std::exchange(port_.polls, {}))
            answerPoll(poll);
        return phaseCount(state::RunPhase::Done) == 1 || steadyNow() >= end;
    }));
    EXPECT_EQ(phaseCount(state::RunPhase::Done), 1U);
    EXPECT_EQ(starts, 0U);
}

// Guards against tasks that are never started again: once services had failed on a worker, it took
// no task as long as it ran another service, and that had no end.
TEST_F(WorkDispatcherTest, aWorkerThatRunsServicesTakesTasksAgainAfterFailures)
{
    const std::vector<std::string> services{ "00000000000000aa", "00000000000000bb",
        "00000000000000cc" };
    for (const std::string &service : services)
        submitService(service);
    const auto allRun = [&] {
        return std::all_of(services.begin(), services.end(),
            [this](const std::string &service) { return worker_.runs(service); });
    };
    ASSERT_TRUE(runWorkerUntil(allRun));
    worker_.failRunOf(services[0]);
    worker_.failRunOf(services[1]);
    ASSERT_FALSE(allRun());
    EXPECT_TRUE(runWorkerUntil(allRun));
}

// Routes that change while their jobs wait, on a worker that has room for one task at a time.
class RouteChangeTest : public WorkDispatcherTest
{
protected:
    static constexpr const char *RunningJob = "00000000000000aa";
    static constexpr const char *WaitingJob = "00000000000000bb";

    struct Route
    {
        std::string name;
        std::string prefix;
        uint32_t priority = 0;
    };

    void putRoutes(uint64_t version, const std::vector<Route> &routes)
    {
        schema::RpcRequest request;
        schema::PutWorkConfig *put = request.mutable_operator_call()->mutable_put_config();
        put->set_version(version);
        put->mutable_config()->add_pools()->set_name("pool");
        for (const Route &route : routes) {
            schema::QueueConfig *queue = put->mutable_config()->add_queues();
            queue->set_name(route.name);
            queue->set_host("desk.example");
            queue->set_prefix(route.prefix);
            queue->set_pool("pool");
            queue->set_priority(route.priority);
            queue->set_max_attempts(3);
            queue->set_slack_factor(2);
            queue->set_target_latency_ms(500);
            queue->set_open(true);
        }
        ASSERT_EQ(call(request).status(), 200U);
    }

    static schema::RpcRequest makeCall(schema::QueueCall::Kind kind, const std::string &path)
    {
        schema::RpcRequest request;
        schema::QueueCall *queueCall = request.mutable_queue_call();
        queueCall->set_kind(kind);
        queueCall->set_host("desk.example");
        queueCall->set_path(path);
        return request;
    }

    void submitTo(const std::string &prefix, const std::string &id)
    {
        schema::RpcRequest request = makeCall(schema::QueueCall::SUBMIT, prefix + id);
        schema::StepSpec *step = request.mutable_queue_call()->mutable_spec()->add_steps();
        step->set_count(1);
        step->set_millicores(8000);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        ASSERT_EQ(call(request).status(), 200U);
    }

    // The first job runs, and the second one waits.
    void submitTwoTo(const std::string &prefix)
    {
        submitTo(prefix, RunningJob);
        ASSERT_TRUE(runWorkerUntil([this] { return worker_.runs(RunningJob); }));
        submitTo(prefix, WaitingJob);
    }

    uint64_t waitingCount(const std::string &prefix)
    {
        return call(makeCall(schema::QueueCall::STATUS, prefix)).waiting_count();
    }

    void expectWaitingJobRuns()
    {
        worker_.endAllRuns();
        EXPECT_TRUE(runWorkerUntil([this] { return worker_.runs(WaitingJob); }));
    }
};

// Guards against accepted jobs that never run: their queue was looked up by the name that its route
// had when they were accepted.
TEST_F(RouteChangeTest, aJobRunsAfterItsRouteHasGotAnotherName)
{
    putRoutes(2, { { "plans", "/plan/" } });
    submitTwoTo("/plan/");
    putRoutes(3, { { "depot", "/plan/" } });
    EXPECT_EQ(waitingCount("/plan/"), 1U);
    expectWaitingJobRuns();
    EXPECT_EQ(waitingCount("/plan/"), 0U);
}

// Guards against accepted jobs that never run, because no queue in force is theirs.
TEST_F(RouteChangeTest, aJobRunsAfterItsRouteWasRemoved)
{
    putRoutes(2, { { "plans", "/plan/" }, { "quotes", "/quote/" } });
    submitTwoTo("/plan/");
    putRoutes(3, { { "quotes", "/quote/" } });
    EXPECT_EQ(call(makeCall(schema::QueueCall::STATUS, "/plan/")).status(), 404U);
    expectWaitingJobRuns();
}

TEST_F(RouteChangeTest, aNewLeaderRunsTheJobsOfARemovedRoute)
{
    putRoutes(2, { { "plans", "/plan/" } });
    submitTwoTo("/plan/");
    putRoutes(3, {});
    lead();
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.runs(RunningJob); }));
    expectWaitingJobRuns();
}

TEST_F(RouteChangeTest, aJobOfARemovedRouteIsCanceledOnAnotherRoute)
{
    putRoutes(2, { { "plans", "/plan/" }, { "quotes", "/quote/" } });
    submitTwoTo("/plan/");
    putRoutes(3, { { "quotes", "/quote/" } });
    const std::string path = std::string("/quote/") + WaitingJob;
    EXPECT_EQ(call(makeCall(schema::QueueCall::CANCEL, path)).status(), 200U);
    EXPECT_EQ(call(makeCall(schema::QueueCall::STATUS, path)).state(), "canceled");
}

TEST_F(RouteChangeTest, aJobRunsAfterItsRouteHasGotAnotherPrefix)
{
    putRoutes(2, { { "plans", "/plan/" } });
    submitTwoTo("/plan/");
    putRoutes(3, { { "plans", "/depot/" } });
    expectWaitingJobRuns();
}

TEST_F(RouteChangeTest, jobsStayWithTheirPathWhenRoutesSwapNames)
{
    putRoutes(2, { { "plans", "/plan/", 1 }, { "quotes", "/quote/", 0 } });
    submitTwoTo("/plan/");
    putRoutes(3, { { "quotes", "/plan/", 1 }, { "plans", "/quote/", 0 } });
    const state::WorkConfigState &config = replica_->state().workConfig();
    const state::Work &waiting = *replica_->state().works().find(WaitingJob);
    ASSERT_NE(config.findQueue(waiting.queue), nullptr);
    EXPECT_EQ(config.findQueue(waiting.queue)->prefix(), "/plan/");
    EXPECT_EQ(waitingCount("/plan/"), 1U);
    EXPECT_EQ(waitingCount("/quote/"), 0U);
    expectWaitingJobRuns();
}

TEST_F(RouteChangeTest, aRouteThatIsAddedAgainUnderAnotherNameHasItsJobs)
{
    putRoutes(2, { { "plans", "/plan/" } });
    submitTwoTo("/plan/");
    putRoutes(3, {});
    putRoutes(4, { { "depot", "/plan/", 1 } });
    EXPECT_EQ(waitingCount("/plan/"), 1U);
    const state::Work &waiting = *replica_->state().works().find(WaitingJob);
    const schema::QueueConfig *queue = replica_->state().workConfig().findQueue(waiting.queue);
    ASSERT_NE(queue, nullptr);
    EXPECT_EQ(queue->priority(), 1U);
    expectWaitingJobRuns();
}

// Guards against LOST: a worker that restarts again and again held a run that it had taken just
// before the first restart, for as long as it went on.
TEST_F(WorkDispatcherTest, aWorkerThatRestartsAgainAndAgainDoesNotHoldATask)
{
    // Shorter than the time for which a stopped run is waited for.
    constexpr Millis Life{ 300 };
    constexpr uint64_t Restarts = 8;
    runWorkerForAWhile();
    // The worker waits for the end of a run before it lists any.
    worker_.leavePolls(true);
    submit(1);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.startCount(0, 1) == 1; }));
    worker_.leavePolls(false);
    for (uint64_t life = 1; life <= Restarts && worker_.startCount(0, 2) == 0; life++) {
        worker_.restart(IncarnationStartMs + life);
        registerWorker(IncarnationStartMs + life, "w1");
        runWorkerFor(Life);
    }
    EXPECT_EQ(worker_.startCount(0, 2), 1U);
}

// Guards against LOST: each life of a worker that crashes soon after its starts was given a task,
// and a task that is lost so four times fails its job.
TEST_F(WorkDispatcherTest, aWorkerThatRestartsAgainAndAgainIsGivenFewTasks)
{
    constexpr Millis Life{ 300 };
    constexpr uint64_t Restarts = 8;
    submit(1);
    ASSERT_TRUE(runWorkerUntil([this] { return worker_.startCount(0, 1) == 1; }));
    for (uint64_t life = 1; life <= Restarts; life++) {
        worker_.restart(IncarnationStartMs + life);
        registerWorker(IncarnationStartMs + life, "w1");
        runWorkerFor(Life);
    }
    EXPECT_EQ(work().phase, state::WorkPhase::Active);
    EXPECT_LE(work().occurrences[0][0].tasks[0].run, 2U);
}

} // namespace
} // namespace basilgap::dispatch
