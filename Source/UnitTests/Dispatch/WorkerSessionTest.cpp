#include <gtest/gtest.h>

#include <utility>

#include "WorkerSessionFixture.h"

namespace basilgap::dispatch {
namespace {

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
