#include <gtest/gtest.h>

#include "Basilgap/Dispatch/WorkerSession.h"
#include "FakeWorkerPort.h"

namespace basilgap::dispatch {
namespace {

constexpr uint64_t Fence = 7;
constexpr uint64_t Born = 1000;
const int64_t Gap = SessionTimes().holdGap.count();
constexpr const char *WorkId = "5c0e7a21d94b36f8";

struct SeenEnd
{
    StepTask task;
    uint32_t run = 0;
    schema::RunOutcome outcome = schema::RUN_DONE;
    std::string checkpoint;
};

// A session of one worker over a table with one job of four tasks, with time set by hand.
class WorkerSessionTest : public testing::Test
{
protected:
    void SetUp() override
    {
        schema::SubmitWork submit;
        submit.set_id(WorkId);
        submit.set_max_attempts(3);
        submit.mutable_spec()->set_payload("payload");
        schema::StepSpec *step = submit.mutable_spec()->add_steps();
        step->set_count(4);
        step->set_millicores(1000);
        table.submit(submit, 1);
        schema::RunBatch batch;
        schema::WorkerLife *life = batch.add_workers();
        life->set_number(1);
        life->set_id("w1");
        life->set_born_ms(Born);
        life->set_millicores(8000);
        table.apply(batch, 1);
    }

    void open(Millis graceEnd = Millis())
    {
        session = std::make_unique<WorkerSession>(
            WorkerSession::Options{
                .number = WorkerNumber(1),
                .endpoint = { "w1", "127.0.0.1:1" },
                .bornMs = Born,
                .fence = Fence,
                .graceEnd = graceEnd,
                .times = {},
                .trouble = trouble,
                .port = port,
                .table = table,
                .events = {
                    .onEnd =
                        [this](const StepTask &task, uint32_t run, schema::RunOutcome outcome,
                            const std::string &checkpoint) {
                            ends.push_back({ task, run, outcome, checkpoint });
                        },
                    .onChanged = [] {},
                    .onFenced = [this] { fenced = true; },
                    .mayOrder = [this] { return isConfirmed; },
                    .onTicketRefused = [](const StepTask &) {},
                    .restBeforeHold = [this] { return rest; },
                },
                .clock = [this] { return now; },
            },
            now);
    }

    StepTask taskOf(uint32_t index) const { return { { state::WorkSerial(1), 0, 0 }, index }; }

    // Logs a start, as the leader does before it is sent.
    void log(uint32_t index, uint32_t run)
    {
        schema::RunBatch batch;
        schema::RunStart *start = batch.add_starts();
        start->set_work(1);
        start->set_index(index);
        start->set_run(run);
        start->set_worker(1);
        table.apply(batch, 2);
    }

    HoldAnswer listing(const std::vector<uint32_t> &indexes, uint32_t run = 1) const
    {
        HoldAnswer answer;
        answer.result = OrderResult::Accepted;
        answer.workerClock = now;
        answer.bornMs = Born;
        for (const uint32_t index : indexes)
            answer.running.push_back({ { WorkId, 0, 0, index }, run, "", 10, 0 });
        return answer;
    }

    void tickAfter(int64_t ms)
    {
        now += Millis(ms);
        session->tick(now);
    }

    // Lets all sendings of the newest start go without an answer.
    void leaveUnanswered()
    {
        for (size_t sent = 0; sent != port.starts.size();) {
            sent = port.starts.size();
            port.starts.back().done({});
        }
    }

    void sync()
    {
        tickAfter(0);
        port.holds.back().done(listing({}));
    }

    state::WorkTable table;
    FakeWorkerPort port;
    CallTrouble trouble;
    std::unique_ptr<WorkerSession> session;
    std::vector<SeenEnd> ends;
    bool fenced = false;
    bool isConfirmed = true;
    Millis rest;
    Millis now{ 100000 };
};

TEST_F(WorkerSessionTest, aRunThatTheListLacksIsLostOnlyIfTheListWasAskedForAfterIt)
{
    open();
    sync();
    log(0, 1);
    tickAfter(Gap);
    const auto early = port.holds.back().done;
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    early(listing({}));
    EXPECT_TRUE(ends.empty());
    tickAfter(Gap);
    port.holds.back().done(listing({}));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

TEST_F(WorkerSessionTest, aRestTakesThePlaceOfAPartOfTheWait)
{
    rest = Millis(200);
    open();
    sync();
    tickAfter(150);
    EXPECT_EQ(port.holds.size(), 1U);
    tickAfter(60);
    ASSERT_EQ(port.holds.size(), 2U);
    EXPECT_EQ(port.holds.back().order.wait, SessionTimes().holdWait - rest);
}

TEST_F(WorkerSessionTest, aStoppedRunIsAskedAboutWithoutRest)
{
    rest = Millis(200);
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->stop(taskOf(0), now);
    port.stops.back().done({ OrderResult::Accepted, now });
    now += Millis(1);
    port.holds.back().done(listing({ 0 }));
    const size_t before = port.holds.size();
    tickAfter(Gap);
    EXPECT_EQ(port.holds.size(), before + 1);
}

// A hundred workers that are gone for good cost the leader hundreds of calls a second.
TEST_F(WorkerSessionTest, aSilentWorkerIsTriedLessAndLessOften)
{
    open();
    sync();
    const auto triesWithin = [this](int64_t ms) {
        const size_t before = port.holds.size();
        for (int64_t passed = 0; passed < ms; passed += 25) {
            tickAfter(25);
            for (size_t i = before; i < port.holds.size(); i++) {
                if (port.holds[i].done)
                    std::exchange(port.holds[i].done, nullptr)({});
            }
        }
        return port.holds.size() - before;
    };
    tickAfter(Gap);
    std::exchange(port.holds.back().done, nullptr)({});
    const size_t first = triesWithin(1000);
    triesWithin(8000);
    const size_t later = triesWithin(4000);
    EXPECT_GE(first, 4U);
    EXPECT_GE(later, 4U);
    EXPECT_LE(later, 6U);
}

// Seen on a calm day: a hold that waited was overtaken by a hurried one that listed the run.
TEST_F(WorkerSessionTest, aListThatWasOvertakenEndsNothing)
{
    open();
    sync();
    log(0, 1);
    log(1, 1);
    session->start(taskOf(1), 1, "", now);
    session->start(taskOf(0), 1, "", now);
    port.starts[0].done({ OrderResult::Accepted, now });
    tickAfter(Gap);
    const auto waiting = port.holds.back().done;
    now += Millis(5);
    session->stop(taskOf(1), now);
    port.stops.back().done({ OrderResult::Accepted, now });
    now += Millis(5);
    const auto hurried = port.holds.back().done;
    hurried(listing({ 0, 1 }));
    waiting(listing({ 1 }));
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(session->runs().at(taskOf(0)).knowledge, RunKnowledge::Confirmed);
}

TEST_F(WorkerSessionTest, aStartWithoutAnAnswerIsStoppedBeforeItsTaskIsFree)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    leaveUnanswered();
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.run, 1U);
    tickAfter(Gap);
    port.holds.back().done(listing({}));
    EXPECT_TRUE(ends.empty());
    now += Millis(10);
    port.stops[0].done({ OrderResult::Accepted, now });
    now += Millis(10);
    port.holds.back().done(listing({}));
    EXPECT_TRUE(ends.empty()) << "this list was asked for in the same millisecond as the stop";
    tickAfter(Gap);
    port.holds.back().done(listing({}));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// Load pattern: answers get lost for seconds. A stop and a run elsewhere cost a second each time.
TEST_F(WorkerSessionTest, aStartWithoutAnAnswerIsSentAgainUnderTheSameRun)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "ticket", now);
    port.starts[0].done({});
    ASSERT_EQ(port.starts.size(), 2U);
    EXPECT_EQ(port.starts[1].order.run, 1U);
    EXPECT_EQ(port.starts[1].order.ticket, "ticket");
    port.starts[1].done({ OrderResult::Accepted, now });
    EXPECT_EQ(session->runs().at(taskOf(0)).knowledge, RunKnowledge::Confirmed);
    EXPECT_TRUE(port.stops.empty());
    tickAfter(Gap);
    EXPECT_EQ(port.holds.back().order.wait, SessionTimes().troubledHoldWait);
}

// Seen under a cut of one direction: the first sending was carried out, the second found no way.
TEST_F(WorkerSessionTest, aRefusedResendSaysNothingOfTheFirstSending)
{
    for (const OrderResult result : { OrderResult::NotSent, OrderResult::NoRoom,
             OrderResult::NoTicket, OrderResult::Late, OrderResult::Outdated }) {
        open();
        sync();
        log(0, 1);
        session->start(taskOf(0), 1, "", now);
        port.starts.back().done({});
        port.starts.back().done({ result, now });
        EXPECT_TRUE(ends.empty()) << toText(result);
        leaveUnanswered();
        EXPECT_EQ(session->runs().at(taskOf(0)).knowledge, RunKnowledge::Doubtful);
        ends.clear();
    }
}

// A leader that wakes from a freeze finds time-outs and commits of before: it must not renew a
// lease that its successor counts as over.
TEST_F(WorkerSessionTest, anUnconfirmedLeaderSendsNoStartAndNoHold)
{
    open();
    sync();
    log(0, 1);
    log(1, 1);
    session->start(taskOf(0), 1, "", now);
    isConfirmed = false;
    now += Millis(1000);
    port.starts.back().done({});
    session->start(taskOf(1), 1, "", now);
    EXPECT_EQ(port.starts.size(), 1U);
    const size_t holds = port.holds.size();
    tickAfter(Gap);
    EXPECT_EQ(port.holds.size(), holds);
    EXPECT_EQ(port.starts.size(), 1U);
    isConfirmed = true;
    tickAfter(Gap);
    EXPECT_EQ(port.starts.size(), 3U);
    EXPECT_TRUE(ends.empty());
}

TEST_F(WorkerSessionTest, anUnansweredStopIsRepeated)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    leaveUnanswered();
    port.stops[0].done({});
    tickAfter(10);
    EXPECT_EQ(port.stops.size(), 1U);
    tickAfter(300);
    EXPECT_EQ(port.stops.size(), 2U);
}

TEST_F(WorkerSessionTest, aSilentWorkerIsGivenNoMoreLeaseSoThatItsRunsEnd)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    const Millis leaseEnd = port.starts.back().order.leaseEnd;
    tickAfter(Gap);
    Millis latest = std::max(leaseEnd, *port.holds.back().order.leaseEnd);
    port.holds.back().done({});
    EXPECT_TRUE(session->isSuspect());
    for (int i = 0; i < 100 && ends.empty(); i++) {
        const size_t before = port.holds.size();
        tickAfter(50);
        if (port.holds.size() > before) {
            EXPECT_FALSE(port.holds.back().order.leaseEnd.has_value());
            port.holds.back().done({});
        }
    }
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LAPSED);
    // The worker's clock may be 2 % slow.
    EXPECT_GE((now - Millis(100000)).count() * 98, (latest - Millis(100000)).count() * 100);
}

TEST_F(WorkerSessionTest, leasesOfAnEarlierLeaderAreWaitedForUnlessTheWorkerAnswers)
{
    log(0, 1);
    open(now + Millis(2500));
    for (int i = 0; i < 48; i++) {
        const size_t before = port.holds.size();
        tickAfter(50);
        if (port.holds.size() > before)
            port.holds.back().done({});
    }
    EXPECT_TRUE(ends.empty());
    for (int i = 0; i < 10; i++) {
        const size_t before = port.holds.size();
        tickAfter(50);
        if (port.holds.size() > before)
            port.holds.back().done({});
    }
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LAPSED);
}

TEST_F(WorkerSessionTest, aNewLeaderKeepsWhatRunsAndGivesUpWhatTheFenceNowBars)
{
    log(0, 1);
    log(1, 1);
    open(now + Millis(2500));
    tickAfter(10);
    EXPECT_EQ(port.holds.back().order.fence, Fence);
    port.holds.back().done(listing({ 0 }));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(1));
    EXPECT_EQ(session->runs().at(taskOf(0)).knowledge, RunKnowledge::Confirmed);
}

TEST_F(WorkerSessionTest, aRunThatNobodyLoggedIsStopped)
{
    open();
    tickAfter(0);
    port.holds.back().done(listing({ 2 }, 4));
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.run, 4U);
    EXPECT_EQ(port.stops[0].order.task.index, 2U);
}

TEST_F(WorkerSessionTest, endsAreToldOnceAndAcknowledgedOnlyWhenLogged)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    tickAfter(Gap);
    HoldAnswer answer = listing({});
    answer.ended.push_back({ 12, { WorkId, 0, 0, 0 }, 1, schema::RUN_FAILED, "c1" });
    port.holds.back().done(answer);
    tickAfter(Gap);
    EXPECT_EQ(port.holds.back().order.ackedEnd, 0U);
    port.holds.back().done(answer);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_FAILED);
    EXPECT_EQ(ends[0].checkpoint, "c1");
    session->ackEnds(session->highestEnd());
    tickAfter(Gap);
    EXPECT_EQ(port.holds.back().order.ackedEnd, 12U);
}

TEST_F(WorkerSessionTest, theAnswerOfAnotherLifeTellsNothing)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    tickAfter(Gap);
    HoldAnswer reborn = listing({});
    reborn.bornMs = Born + 5;
    port.holds.back().done(reborn);
    EXPECT_TRUE(ends.empty());
    EXPECT_FALSE(session->isUsable());
}

TEST_F(WorkerSessionTest, aRebornWorkerFreesWhatRanAndStopsWhatMayStillBegin)
{
    open();
    sync();
    log(0, 1);
    log(1, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->start(taskOf(1), 1, "", now);
    session->supersede(now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(0));
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.task.index, 1U);
    port.stops[0].done({ OrderResult::Accepted, std::nullopt });
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[1].outcome, schema::RUN_LOST);
}

TEST_F(WorkerSessionTest, aFencedSessionGivesNoMoreOrders)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Fenced, std::nullopt });
    EXPECT_TRUE(fenced);
    EXPECT_TRUE(ends.empty());
    const size_t holds = port.holds.size();
    const size_t stops = port.stops.size();
    for (int i = 0; i < 20; i++)
        tickAfter(100);
    EXPECT_EQ(port.holds.size(), holds);
    EXPECT_EQ(port.stops.size(), stops);
}

TEST_F(WorkerSessionTest, runsOfACanceledJobAreStoppedUntilTheyAreGone)
{
    open();
    sync();
    log(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    schema::CancelWork cancel;
    cancel.set_id(WorkId);
    table.cancel(cancel, 3);
    tickAfter(20);
    ASSERT_EQ(port.stops.size(), 1U);
    port.stops[0].done({ OrderResult::Accepted, now });
    tickAfter(Gap);
    HoldAnswer answer = listing({});
    answer.ended.push_back({ 1, { WorkId, 0, 0, 0 }, 1, schema::RUN_STOPPED, "" });
    port.holds.back().done(answer);
    ASSERT_EQ(ends.size(), 1U);
}

} // namespace
} // namespace basilgap::dispatch
