#include <gtest/gtest.h>

#include <utility>

#include "WorkerSessionFixture.h"

namespace basilgap::dispatch {
namespace {

TEST_F(WorkerSessionTest, anUnansweredStartIsStoppedBeforeItsTaskIsReleased)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    dropAllStartAnswers();
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.run, 1U);
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({}));
    EXPECT_TRUE(ends.empty());
    now += Millis(10);
    port.stops[0].done({ OrderResult::Accepted, now });
    now += Millis(10);
    port.polls.back().done(pollAnswer({}));
    EXPECT_TRUE(ends.empty())
        << "this poll was sent in the same millisecond as the stop was acknowledged";
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({}));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// When answers get lost for seconds, stopping the run and starting it on another worker would cost
// a second each time.
TEST_F(WorkerSessionTest, anUnansweredStartIsResentWithTheSameRun)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "ticket", now);
    port.starts[0].done({});
    ASSERT_EQ(port.starts.size(), 2U);
    EXPECT_EQ(port.starts[1].order.run, 1U);
    EXPECT_EQ(port.starts[1].order.ticket, "ticket");
    port.starts[1].done({ OrderResult::Accepted, now });
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
    EXPECT_TRUE(port.stops.empty());
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.back().order.wait, SessionTimes().lossyPollWait);
}

// During a one-way network partition the first send was carried out and the second could not be
// sent.
TEST_F(WorkerSessionTest, aRefusedResendLeavesTheFirstSendIndeterminate)
{
    for (const OrderResult result : { OrderResult::NotSent, OrderResult::NoCapacity,
             OrderResult::NoTicket, OrderResult::LeaseExpired, OrderResult::StaleRun }) {
        openSession();
        completeFirstPoll();
        logStart(0, 1);
        session->start(taskOf(0), 1, "", now);
        port.starts.back().done({});
        port.starts.back().done({ result, now });
        EXPECT_TRUE(ends.empty()) << toText(result);
        dropAllStartAnswers();
        EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Indeterminate);
        ends.clear();
    }
}

// A leader that continues after a freeze still handles earlier timeouts and commits. It must not
// renew a lease that its successor treats as expired.
TEST_F(WorkerSessionTest, anUnconfirmedLeaderSendsNoStartAndNoPoll)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    logStart(1, 1);
    session->start(taskOf(0), 1, "", now);
    isLeaderConfirmed = false;
    now += Millis(1000);
    port.starts.back().done({});
    session->start(taskOf(1), 1, "", now);
    EXPECT_EQ(port.starts.size(), 1U);
    const size_t polls = port.polls.size();
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.size(), polls);
    EXPECT_EQ(port.starts.size(), 1U);
    isLeaderConfirmed = true;
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.starts.size(), 3U);
    EXPECT_TRUE(ends.empty());
}

TEST_F(WorkerSessionTest, anUnansweredStopIsRepeated)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    dropAllStartAnswers();
    port.stops[0].done({});
    advanceAndTick(10);
    EXPECT_EQ(port.stops.size(), 1U);
    advanceAndTick(300);
    EXPECT_EQ(port.stops.size(), 2U);
}

TEST_F(WorkerSessionTest, theLeaseOfASilentWorkerIsNotRenewedAndItsRunsLapse)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    const Millis leaseEnd = port.starts.back().order.leaseEnd;
    advanceAndTick(MinPollIntervalMs);
    Millis latestLeaseEnd = std::max(leaseEnd, *port.polls.back().order.leaseEnd);
    port.polls.back().done({});
    EXPECT_TRUE(session->isSuspect());
    for (int i = 0; i < 100 && ends.empty(); i++) {
        const size_t before = port.polls.size();
        advanceAndTick(50);
        if (port.polls.size() > before) {
            EXPECT_FALSE(port.polls.back().order.leaseEnd.has_value());
            port.polls.back().done({});
        }
    }
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LAPSED);
    // The worker's clock may run 2 % slow.
    EXPECT_GE((now - Millis(100000)).count() * 98, (latestLeaseEnd - Millis(100000)).count() * 100);
}

// Guards against BUDGET: the runs of a crashed worker all look alike, although only the one that
// had just started is a likely cause.
TEST_F(WorkerSessionTest, aLostWorkerIsBlamedOnTheRunsThatHadJustStarted)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    logStart(1, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    now += SessionTimes().startLossWindow;
    session->start(taskOf(1), 1, "", now);
    now += Millis(5);
    port.starts.back().done({ OrderResult::Accepted, now });
    now += Millis(5);
    session->supersede(LaterFencingToken, now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(0));
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_LATER);
    port.stops.back().done({ OrderResult::Accepted, std::nullopt });
    advanceAndTick(SessionTimes().maxStopTime.count() + 1);
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[1].workerLoss, schema::WORKER_LOST_AT_START);
}

TEST_F(WorkerSessionTest, aRunThatALiveWorkerNoLongerListsIsNoLossOfTheWorker)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    now += Millis(10);
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({}));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_NOT_LOST);
}

// Guards against BUDGET: the restarted worker answered the stop of the run that had crashed it,
// which looked like an answer of the incarnation that was gone.
TEST_F(WorkerSessionTest, answersOfTheNextIncarnationDoNotClearTheRunsOfTheCrashedOne)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    now += Millis(5);
    port.starts.back().done({ OrderResult::Accepted, now });
    now += Millis(3000);
    session->supersede(LaterFencingToken, now);
    ASSERT_EQ(port.stops.size(), 1U);
    port.stops[0].done({ OrderResult::Accepted, Millis(20) });
    advanceAndTick(SessionTimes().maxStopTime.count() + 1);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_AT_START);
}

// Guards against LOST: a run waited for ever for the answer to a stop that the worker's next
// incarnation, at another address, never got.
TEST_F(WorkerSessionTest, runsOfAWorkerThatRestartsAtAnotherAddressAreReleasedAtOnce)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->supersede(LaterFencingToken, now);
    EXPECT_TRUE(ends.empty()) << "the next incarnation may have accepted the start";
    session->releaseMovedRuns();
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// The next incarnation has ended in its turn, and another worker has come to its address.
TEST_F(WorkerSessionTest, runsOfARestartedWorkerAreReleasedOnceAnotherWorkerHasItsAddress)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->supersede(LaterFencingToken, now);
    ASSERT_EQ(port.stops.size(), 1U);
    port.stops[0].done({ OrderResult::WrongWorker, std::nullopt });
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// The leader changes between the crash of a worker and the end of its lease.
TEST_F(WorkerSessionTest, aNewLeaderBlamesTheRunsThatWereLoggedWithinTheLastLease)
{
    logStart(0, 1, now - Millis(20000));
    logStart(1, 1, now - Millis(1500));
    openSession(now + Millis(100));
    for (int i = 0; i < 100 && ends.size() < 2; i++) {
        const size_t before = port.polls.size();
        advanceAndTick(50);
        if (port.polls.size() > before)
            port.polls.back().done({});
    }
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_LATER);
    EXPECT_EQ(ends[1].workerLoss, schema::WORKER_LOST_BEFORE_ANSWER)
        << "this leader does not know whether the run had begun";
}

// Guards against LOST: an order to a worker that had crashed before it arrived counted as a start
// that had crashed the worker.
TEST_F(WorkerSessionTest, aRunThatTheWorkerHasNeitherAcceptedNorListedMayNotHaveBegun)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    logStart(1, 1);
    session->start(taskOf(0), 1, "", now);
    dropAllStartAnswers();
    session->start(taskOf(1), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    for (int i = 0; i < 200 && ends.size() < 2; i++) {
        const size_t polls = port.polls.size();
        const size_t stops = port.stops.size();
        advanceAndTick(50);
        if (port.polls.size() > polls)
            port.polls.back().done({});
        if (port.stops.size() > stops)
            port.stops.back().done({});
    }
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_BEFORE_ANSWER);
    EXPECT_EQ(ends[1].workerLoss, schema::WORKER_LOST_AT_START);
}

// Guards against LOST: a crash long after the start was put down to it, since the worker had not
// been asked in between.
TEST_F(WorkerSessionTest, aSuspectIsLookedForOnceItHasOutlivedItsStart)
{
    openSession();
    completeFirstPoll();
    markAsSuspect(0);
    logStart(0, 2);
    advanceAndTick(MinPollIntervalMs);
    const size_t polls = port.polls.size();
    session->start(taskOf(0), 2, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(SessionTimes().startLossWindow.count() - 1);
    EXPECT_EQ(port.polls.size(), polls) << "a poll is pending";
    advanceAndTick(1);
    ASSERT_EQ(port.polls.size(), polls + 1);
    EXPECT_EQ(port.polls.back().order.wait, Millis());
    now += Millis(5);
    port.polls.back().done(pollAnswer({ 0 }, 2));
    now += Millis(500);
    session->supersede(LaterFencingToken, now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_LATER);
}

// Guards against LOST: the successor at a worker's address refused a stop, and its answer set the
// clock by which the lease of the dead worker ends, so that its runs never lapsed.
TEST_F(WorkerSessionTest, theClockOfAnotherWorkerAtTheAddressDelaysNoLapse)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done({});
    session->stop(taskOf(0), now);
    ASSERT_EQ(port.stops.size(), 1U);
    port.stops[0].done({ OrderResult::WrongWorker, Millis(20) });
    for (int i = 0; i < 200 && ends.empty(); i++) {
        const size_t before = port.polls.size();
        advanceAndTick(50);
        if (port.polls.size() > before)
            port.polls.back().done({});
    }
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LAPSED);
}

TEST_F(WorkerSessionTest, leasesOfAnEarlierLeaderDelayLapsingOfRuns)
{
    logStart(0, 1);
    openSession(now + Millis(2500));
    for (int i = 0; i < 48; i++) {
        const size_t before = port.polls.size();
        advanceAndTick(50);
        if (port.polls.size() > before)
            port.polls.back().done({});
    }
    EXPECT_TRUE(ends.empty());
    for (int i = 0; i < 10; i++) {
        const size_t before = port.polls.size();
        advanceAndTick(50);
        if (port.polls.size() > before)
            port.polls.back().done({});
    }
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LAPSED);
}

TEST_F(WorkerSessionTest, aNewLeaderKeepsListedRunsAndReleasesFencedStarts)
{
    logStart(0, 1);
    logStart(1, 1);
    openSession(now + Millis(2500));
    advanceAndTick(10);
    EXPECT_EQ(port.polls.back().order.fencingToken, FencingToken);
    port.polls.back().done(pollAnswer({ 0 }));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(1));
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
}

TEST_F(WorkerSessionTest, aRestartedWorkerReleasesListedRunsAndStopsSentStarts)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    logStart(1, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    session->start(taskOf(1), 1, "", now);
    session->supersede(LaterFencingToken, now);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(0));
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.task.index, 1U);
    port.stops[0].done({ OrderResult::Accepted, std::nullopt });
    advanceAndTick(SessionTimes().maxStopTime.count());
    ASSERT_EQ(ends.size(), 1U) << "the stopped run may not have ended yet";
    advanceAndTick(1);
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[1].outcome, schema::RUN_LOST);
}

// The answer to a start does not name the incarnation, so the new one may have accepted it.
TEST_F(WorkerSessionTest, aRestartedWorkerStopsARunThatWasAcceptedButNotListed)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->supersede(LaterFencingToken, now);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(port.stops.size(), 1U);
}

// The unanswered send may still reach the new incarnation.
TEST_F(WorkerSessionTest, aRestartedWorkerStopsAListedRunWithAnUnansweredSend)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({});
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    session->supersede(LaterFencingToken, now);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(port.stops.size(), 1U);
}

TEST_F(WorkerSessionTest, aFencedSessionSendsNoMoreOrders)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Fenced, std::nullopt });
    EXPECT_TRUE(fenced);
    EXPECT_TRUE(ends.empty());
    const size_t polls = port.polls.size();
    const size_t stops = port.stops.size();
    for (int i = 0; i < 20; i++)
        advanceAndTick(100);
    EXPECT_EQ(port.polls.size(), polls);
    EXPECT_EQ(port.stops.size(), stops);
}

// A change that nobody reports to the session is found too, a little later.
TEST_F(WorkerSessionTest, runsOfACanceledJobAreStoppedWithoutAReport)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    schema::CancelWork cancel;
    cancel.set_id(WorkId);
    table.cancel(cancel, 3);
    advanceAndTick(1000);
    EXPECT_EQ(port.stops.size(), 1U);
}

TEST_F(WorkerSessionTest, runsOfACanceledJobAreStopped)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    schema::CancelWork cancel;
    cancel.set_id(WorkId);
    table.cancel(cancel, 3);
    session->checkStops();
    advanceAndTick(20);
    ASSERT_EQ(port.stops.size(), 1U);
    port.stops[0].done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    PollAnswer answer = pollAnswer({});
    answer.ended.push_back({ 1, { WorkId, 0, 0, 0 }, 1, schema::RUN_STOPPED, "" });
    port.polls.back().done(answer);
    ASSERT_EQ(ends.size(), 1U);
}

// The worker may still carry out the first send, so its capacity must not be released.
TEST_F(WorkerSessionTest, anUnansweredStartOfACanceledJobIsStoppedWhileItsResendWaits)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    isLeaderConfirmed = false;
    port.starts[0].done({});
    ASSERT_EQ(port.starts.size(), 1U) << "the resend waits until the leader is confirmed";
    cancelJob();
    isLeaderConfirmed = true;
    advanceAndTick(25);
    EXPECT_TRUE(ends.empty());
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Indeterminate);
}

// The worker has listed the run while a resend of its start waited for a connection.
TEST_F(WorkerSessionTest, aDroppedResendDoesNotReleaseAConfirmedRun)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts[0].done({});
    ASSERT_EQ(port.starts.size(), 2U);
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    ASSERT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
    cancelJob();
    session->checkStops();
    EXPECT_FALSE(port.starts[1].order.isStillWanted());
    port.starts[1].done({ OrderResult::Dropped, std::nullopt });
    advanceAndTick(25);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(port.stops.size(), 1U);
}

// Nobody listens at the worker's address, but no poll is due yet. Until it answers again, a task
// would be planned on it over and over.
TEST_F(WorkerSessionTest, aWorkerThatRefusesConnectionsIsNotUsableUntilItAnswers)
{
    openSession();
    pollDelay = Millis(1000);
    completeFirstPoll();
    now += Millis(300);
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::ConnectionRefused, std::nullopt });
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST) << "it never left, so it needs no stop";
    EXPECT_TRUE(port.stops.empty());
    EXPECT_EQ(port.starts.size(), 1U);
    EXPECT_FALSE(session->isUsable());
    EXPECT_FALSE(callLoss.isLossy(now)) << "no answer was lost";
    const size_t polls = port.polls.size();
    advanceAndTick(0);
    ASSERT_EQ(port.polls.size(), polls + 1) << "a wrong suspicion must not wait for the next poll";
    EXPECT_EQ(port.polls.back().order.wait, Millis(0));
    port.polls.back().done(pollAnswer({}));
    EXPECT_TRUE(session->isUsable());
    advanceAndTick(1000);
    EXPECT_TRUE(port.polls.back().order.leaseEnd.has_value());
}

// A long poll is pending at the time; it may never be answered.
TEST_F(WorkerSessionTest, aWorkerThatRefusesConnectionsIsPolledBesideThePendingPoll)
{
    openSession();
    completeFirstPoll();
    advanceAndTick(MinPollIntervalMs);
    const size_t polls = port.polls.size();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::ConnectionRefused, std::nullopt });
    EXPECT_FALSE(session->isUsable());
    advanceAndTick(SessionTimes().minRetryInterval.count());
    ASSERT_EQ(port.polls.size(), polls + 1);
    port.polls.back().done({});
    EXPECT_FALSE(session->isUsable());
}

TEST_F(WorkerSessionTest, aRefusedConnectionAfterAnUnansweredStartLeavesTheRunIndeterminate)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts[0].done({});
    ASSERT_EQ(port.starts.size(), 2U);
    port.starts[1].done({ OrderResult::ConnectionRefused, std::nullopt });
    EXPECT_EQ(port.starts.size(), 2U);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Indeterminate);
    EXPECT_FALSE(session->isUsable());
}

// A leader that is busy or short of connections must not take sound workers out of use.
TEST_F(WorkerSessionTest, aStartThatDidNotLeaveThisProcessSaysNothingAboutTheWorker)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::NotSent, std::nullopt });
    EXPECT_EQ(ends.size(), 1U);
    EXPECT_TRUE(session->isUsable());
    EXPECT_FALSE(callLoss.isLossy(now));
}

// A start that waits for a connection is not given up: it is sent once there is one.
TEST_F(WorkerSessionTest, droppedStartIsSentAgainOnceOrdersAreAllowed)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    ASSERT_EQ(port.starts.size(), 1U);
    EXPECT_TRUE(port.starts[0].order.isStillWanted());
    // The process was frozen meanwhile, and no quorum has confirmed it since.
    isLeaderConfirmed = false;
    EXPECT_FALSE(port.starts[0].order.isStillWanted());
    port.starts[0].done({ OrderResult::Dropped, std::nullopt });
    advanceAndTick(25);
    EXPECT_EQ(port.starts.size(), 1U);
    EXPECT_TRUE(ends.empty());
    isLeaderConfirmed = true;
    advanceAndTick(25);
    ASSERT_EQ(port.starts.size(), 2U);
    port.starts[1].done({ OrderResult::Accepted, now });
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
}

TEST_F(WorkerSessionTest, pollThatWaitedTooLongIsNotCountedAsSilence)
{
    openSession();
    completeFirstPoll();
    advanceAndTick(MinPollIntervalMs);
    ASSERT_EQ(port.polls.size(), 2U);
    isLeaderConfirmed = false;
    EXPECT_FALSE(port.polls[1].order.isStillWanted());
    PollAnswer dropped;
    dropped.result = OrderResult::Dropped;
    port.polls[1].done(dropped);
    EXPECT_FALSE(session->isSuspect());
    isLeaderConfirmed = true;
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.size(), 3U);
}

// Guards against jobs that fail for crashes they have no part in: while the leader is not confirmed
// its starts wait, and their worker may be lost meanwhile.
TEST_F(WorkerSessionTest, aStartThatWasNeverSentIsNoCauseOfTheLossOfItsWorker)
{
    openSession();
    completeFirstPoll();
    isLeaderConfirmed = false;
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    ASSERT_TRUE(port.starts.empty());
    for (int i = 0; i < 200 && ends.empty(); i++)
        advanceAndTick(50);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_NOT_LOST);
}

} // namespace
} // namespace basilgap::dispatch
