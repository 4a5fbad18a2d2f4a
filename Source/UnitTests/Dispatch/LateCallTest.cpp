// Calls for an earlier incarnation of a worker that are carried out after the later one has
// answered its own session, made directly and through a relay.

#include <map>
#include <optional>
#include <ostream>
#include <set>

#include "ModelWorker.h"
#include "RelayFixture.h"

namespace basilgap::dispatch {
namespace {

constexpr uint64_t Term = 5;
const state::WorkerNumber Earlier(7);
const state::WorkerNumber Later(8);
constexpr Millis LeaseDuration{ 3500 };
// On the earlier incarnation's clock, which is far ahead of the later one's.
constexpr Millis EarlierLeaseEnd{ 1000000 };
constexpr int64_t Millicores = 8000;
// After this time the later incarnation's lease has expired, even by a slow clock. The longest
// lease that a worker grants has not.
constexpr Millis LeaseOver{ 4000 };

enum class CallKind { NewRun, PresentRun, StaleRun, RunWithoutRoom, Poll, Stop };

struct LateCall
{
    CallKind kind = CallKind::NewRun;
    bool isRelayed = false;
};

std::ostream &operator<<(std::ostream &out, const LateCall &call)
{
    constexpr const char *Names[] = { "NewRun", "PresentRun", "StaleRun", "RunWithoutRoom", "Poll",
        "Stop" };
    return out << Names[static_cast<size_t>(call.kind)] << (call.isRelayed ? "Relayed" : "Direct");
}

class LateCallTest : public RelayFixture, public testing::WithParamInterface<LateCall>
{
protected:
    LateCallTest()
    {
        addRelay("r1");
        port->setRelaying(GetParam().isRelayed);
    }

    static TaskName task(uint32_t index) { return { "job", 0, 0, index }; }
    // Runs on the later incarnation, and shows its lease.
    static TaskName keptTask() { return task(0); }
    static TaskName lateTask() { return task(1); }

    // Makes the call and takes it off its way before it reaches the worker.
    void sendLateCall(uint64_t token)
    {
        const WorkerEndpoint endpoint = worker(1);
        if (GetParam().kind == CallKind::Poll) {
            const PollRequest order{ .fencingToken = token,
                .ackedEndSequence = 9,
                .leaseEnd = EarlierLeaseEnd,
                .wait = Millis() };
            port->poll(endpoint, order, Timeout, [](const PollAnswer &) {});
        } else if (GetParam().kind == CallKind::Stop) {
            port->stop(
                endpoint, StopOrder{ keptTask(), 1, token }, Timeout, [](const OrderAnswer &) {});
        } else {
            StartOrder order = startOrder();
            order.task = lateTask();
            order.leaseEnd = EarlierLeaseEnd;
            order.fencingToken = token;
            order.ticket.clear();
            port->start(endpoint, order, Timeout, [](const OrderAnswer &) {});
        }
        deliverCalls();
    }

    OrderResult carryOutLateCall()
    {
        FakeWorkerPort &calls = GetParam().isRelayed ? relay("r1").workers : direct;
        if (!calls.starts.empty())
            return target_.start(calls.starts.back().order).result;
        if (!calls.stops.empty())
            return target_.stop(calls.stops.back().order).result;
        return poll(calls.polls.at(0).order).result;
    }

    PollAnswer poll(const PollRequest &order)
    {
        PollAnswer answer;
        target_.poll(order, [&answer](const PollAnswer &given) { answer = given; });
        return answer;
    }

    void restart()
    {
        target_.restart(Millis(600), [] {});
        time_.runUntil(time_.now() + Millis(600));
    }

    // The first call of the later incarnation's session.
    void pollByLaterSession()
    {
        const PollAnswer answer = poll({ .fencingToken = fencingTokenOf(Term, Later) });
        ASSERT_EQ(answer.result, OrderResult::Accepted);
        leaseEnd_ = *answer.workerClock + LeaseDuration;
    }

    OrderResult startByLaterSession(const TaskName &started)
    {
        return target_
            .start({ .task = started,
                .run = 1,
                .leaseEnd = leaseEnd_,
                .fencingToken = fencingTokenOf(Term, Later) })
            .result;
    }

    // What the late call meets on the worker.
    void prepareWorker()
    {
        ASSERT_EQ(startByLaterSession(keptTask()), OrderResult::Accepted);
        const CallKind kind = GetParam().kind;
        if (kind == CallKind::PresentRun || kind == CallKind::RunWithoutRoom) {
            const TaskName second = kind == CallKind::PresentRun ? lateTask() : task(2);
            ASSERT_EQ(startByLaterSession(second), OrderResult::Accepted);
        }
        if (kind == CallKind::StaleRun)
            target_.stop({ lateTask(), 1, fencingTokenOf(Term, Later) });
    }

    static OrderResult usualResult()
    {
        switch (GetParam().kind) {
        case CallKind::StaleRun:
            return OrderResult::StaleRun;
        case CallKind::RunWithoutRoom:
            return OrderResult::NoCapacity;
        default:
            return OrderResult::Accepted;
        }
    }

    std::optional<schema::RunOutcome> outcomeOf(const TaskName &ended) const
    {
        const auto found = outcomes_.find(ended);
        return found == outcomes_.end() ? std::nullopt : std::optional(found->second);
    }

    SimulatedTime time_{ 1 };
    std::map<TaskName, schema::RunOutcome> outcomes_;
    std::set<TaskName> started_;
    Millis leaseEnd_;
    ModelWorker target_{ {
        .time = time_,
        .id = "i-1",
        .millicores = Millicores,
        .guardsCapacity = true,
        .model =
            [](const TaskName &) { return ModelWorker::TaskModel{ .millicores = Millicores / 2 }; },
        .onStart = [this](const TaskName &name, uint32_t) { started_.insert(name); },
        .onEnd = [this](const TaskName &name, uint32_t,
                     schema::RunOutcome outcome) { outcomes_[name] = outcome; },
        .onViolation = [](const std::string &text) { ADD_FAILURE() << text; },
    } };
};

class LatePollTest : public LateCallTest
{};

// Guards against TWICE: a call for the earlier incarnation that was carried out after the later one
// had answered renewed its lease, or stopped a run there.
TEST_P(LateCallTest, doesNothingOnceTheLaterIncarnationHasAnswered)
{
    sendLateCall(fencingTokenOf(Term, Earlier));
    restart();
    pollByLaterSession();
    prepareWorker();
    const std::set<TaskName> startedBefore = started_;
    EXPECT_EQ(carryOutLateCall(), OrderResult::Fenced);
    EXPECT_EQ(started_, startedBefore);
    time_.runUntil(time_.now() + LeaseDuration);
    EXPECT_EQ(outcomeOf(keptTask()), std::nullopt);
    time_.runUntil(time_.now() + LeaseOver - LeaseDuration);
    EXPECT_EQ(outcomeOf(keptTask()), schema::RUN_LAPSED);
}

// The same where a stop of the later session, and no poll, is the first call that the worker takes.
TEST_P(LateCallTest, doesNothingOnceTheLaterIncarnationHasTakenAStop)
{
    sendLateCall(fencingTokenOf(Term, Earlier));
    restart();
    target_.stop({ task(3), 1, fencingTokenOf(Term, Later) });
    EXPECT_EQ(carryOutLateCall(), OrderResult::Fenced);
    EXPECT_TRUE(started_.empty());
}

// Shows that the worker would carry out these calls, and which of them renew its lease.
TEST_P(LateCallTest, isCarriedOutIfMeantForTheLaterIncarnation)
{
    sendLateCall(fencingTokenOf(Term, Later));
    restart();
    pollByLaterSession();
    prepareWorker();
    EXPECT_EQ(carryOutLateCall(), usualResult());
    time_.runUntil(time_.now() + LeaseOver);
    const bool isStop = GetParam().kind == CallKind::Stop;
    EXPECT_EQ(outcomeOf(keptTask()), isStop ? std::optional(schema::RUN_STOPPED) : std::nullopt);
}

// The window that the leader allows for with the longest lease.
TEST_P(LateCallTest, isCarriedOutBeforeTheFirstCallOfTheLaterIncarnation)
{
    sendLateCall(fencingTokenOf(Term, Earlier));
    restart();
    EXPECT_EQ(carryOutLateCall(), OrderResult::Accepted);
    pollByLaterSession();
    EXPECT_EQ(carryOutLateCall(), OrderResult::Fenced);
    if (GetParam().kind == CallKind::Stop)
        return;
    ASSERT_EQ(startByLaterSession(keptTask()), OrderResult::Accepted);
    time_.runUntil(time_.now() + LeaseOver);
    EXPECT_EQ(outcomeOf(keptTask()), std::nullopt);
}

// Guards against LOST: an acknowledgement for the earlier incarnation made the later one forget
// ends of its own.
TEST_P(LatePollTest, acknowledgesNoEndsOfTheLaterIncarnation)
{
    sendLateCall(fencingTokenOf(Term, Earlier));
    restart();
    pollByLaterSession();
    prepareWorker();
    target_.endRun(keptTask(), 1, schema::RUN_DONE);
    EXPECT_EQ(carryOutLateCall(), OrderResult::Fenced);
    EXPECT_EQ(poll({ .fencingToken = fencingTokenOf(Term, Later) }).ended.size(), 1U);
}

INSTANTIATE_TEST_SUITE_P(BothWays, LatePollTest,
    testing::Values(LateCall{ CallKind::Poll, false }, LateCall{ CallKind::Poll, true }),
    testing::PrintToStringParamName());

std::vector<LateCall> allCalls()
{
    std::vector<LateCall> calls;
    for (const CallKind kind : { CallKind::NewRun, CallKind::PresentRun, CallKind::StaleRun,
             CallKind::RunWithoutRoom, CallKind::Poll, CallKind::Stop }) {
        calls.push_back({ kind, false });
        calls.push_back({ kind, true });
    }
    return calls;
}

INSTANTIATE_TEST_SUITE_P(
    AllKinds, LateCallTest, testing::ValuesIn(allCalls()), testing::PrintToStringParamName());

} // namespace
} // namespace basilgap::dispatch
