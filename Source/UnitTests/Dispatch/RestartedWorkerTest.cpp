// Sessions with workers that restart under their ids and receive calls that were meant for their
// earlier incarnations.

#include "WorkerSessionFixture.h"

namespace basilgap::dispatch {
namespace {

class RestartedWorkerTest : public WorkerSessionTest
{
protected:
    // The worker accepts and lists a run, and is not heard any more.
    void startRunAndCutWorkerOff()
    {
        completeFirstPoll();
        logStart(0, 1);
        session->start(taskOf(0), 1, "", now);
        port.starts.back().done({ OrderResult::Accepted, now });
        advanceAndTick(MinPollIntervalMs);
        port.polls.back().done(pollAnswer({ 0 }));
    }

    void tickFor(Millis time)
    {
        constexpr int64_t TickMs = 25;
        for (int64_t passed = 0; passed < time.count(); passed += TickMs)
            advanceAndTick(TickMs);
    }

    void answerAsAnotherIncarnation()
    {
        advanceAndTick(SessionTimes().maxRetryInterval.count());
        PollAnswer answer = pollAnswer({});
        answer.incarnationStartMs = IncarnationStartMs + 1;
        port.polls.back().done(answer);
    }

    // The time from now until all runs of the worker, which is silent, have ended.
    Millis timeToLapse()
    {
        const Millis silentSince = now;
        while (!session->runs().empty() && now < silentSince + Millis(30000))
            advanceAndTick(25);
        return now - silentSince;
    }

    // Starts a run of which it is not known whether the worker has it.
    void startUnlistedRun()
    {
        completeFirstPoll();
        logStart(0, 1);
        session->start(taskOf(0), 1, "", now);
        port.starts.back().done({ OrderResult::Accepted, now });
    }
};

// Guards against TWICE: a renewal for the earlier incarnation, with an end on that one's clock,
// extended the lease of the later one to the longest that a worker grants.
TEST_F(RestartedWorkerTest, runsMayOutliveTheLeasesThatTheirOwnSessionHasSent)
{
    isRestart = true;
    openSession();
    const Millis firstAnswerAt = now;
    startRunAndCutWorkerOff();
    tickFor(firstAnswerAt + SessionTimes().maxLease - now);
    EXPECT_TRUE(ends.empty());
    tickFor(Millis(1000));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LAPSED);
}

TEST_F(RestartedWorkerTest, runsOfAWorkerWithoutAnEarlierIncarnationLapseWithTheirLease)
{
    openSession();
    startRunAndCutWorkerOff();
    tickFor(SessionTimes().leaseDuration + SessionTimes().pollWait + Millis(500));
    EXPECT_EQ(ends.size(), 1U);
}

// Guards against LOST, as the wait for the longest lease has to end, and against TWICE, as it must
// not end before the lease does. The worker's clock may run slow, so it decides.
TEST_F(RestartedWorkerTest, theLeasesOfEarlierCallsAreOverOnceTheWorkersClockHasPassedThem)
{
    isRestart = true;
    openSession();
    const Millis firstClock = now;
    completeFirstPoll();
    const auto answerAt = [this](Millis workerClock) {
        advanceAndTick(SessionTimes().maxPollDelay.count());
        PollAnswer answer = pollAnswer({});
        answer.workerClock = workerClock;
        port.polls.back().done(answer);
    };
    now += SessionTimes().maxLease * 2;
    answerAt(firstClock + SessionTimes().maxLease);
    EXPECT_EQ(earlierLeasesOver, 0);
    answerAt(firstClock + SessionTimes().maxLease + Millis(1));
    EXPECT_EQ(earlierLeasesOver, 1);
    answerAt(firstClock + SessionTimes().maxLease + Millis(1000));
    EXPECT_EQ(earlierLeasesOver, 1);
}

TEST_F(RestartedWorkerTest, theLeasesOfEarlierCallsAreNotOverWhileNothingIsHeard)
{
    isRestart = true;
    openSession();
    completeFirstPoll();
    tickFor(SessionTimes().maxLease * 3);
    EXPECT_EQ(earlierLeasesOver, 0);
    answerAsAnotherIncarnation();
    EXPECT_EQ(earlierLeasesOver, 0);
}

// Guards against TWICE: a new leader that never hears the worker took its lease for one of the
// earlier leader's own renewals.
TEST_F(RestartedWorkerTest, aNewLeaderAllowsForTheLongestLeaseOfARestartedWorker)
{
    schema::WorkerLife life;
    EXPECT_EQ(WorkerSession::longestEarlierLease({}, life), Millis(3571));
    life.set_restarted(true);
    EXPECT_EQ(WorkerSession::longestEarlierLease({}, life), Millis(10204));
    EXPECT_EQ(WorkerSession::longestEarlierLease({ .maxLease = Millis(2000) }, life), Millis(3571));
}

// Guards against LOST: a restarted worker may have held the longest lease, so that the start which
// had crashed it was logged longer ago than an ordinary lease lasts. It counted as a run that had
// outlived its start, which clears what is known of the task's crashes.
TEST_F(RestartedWorkerTest, aNewLeaderBlamesTheRunsThatWereLoggedWithinTheLongestLease)
{
    const Millis lease = SessionTimes().maxLease;
    isRestart = true;
    logStart(0, 1, now - lease * 2);
    logStart(1, 1, now - lease);
    openSession();
    tickFor(SessionTimes().pollWait + Millis(500));
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_LATER);
    EXPECT_EQ(ends[1].workerLoss, schema::WORKER_LOST_BEFORE_ANSWER);
}

TEST_F(RestartedWorkerTest, aNewLeaderBlamesNoOlderRunsOfAWorkerThatHasNotRestarted)
{
    logStart(0, 1, now - SessionTimes().maxLease);
    openSession();
    tickFor(SessionTimes().pollWait + Millis(500));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].workerLoss, schema::WORKER_LOST_LATER);
}

// Guards against TWICE: an earlier incarnation's late poll, or a stale start, was not refused by
// the later one.
TEST_F(RestartedWorkerTest, ordersToALaterIncarnationCarryAHigherToken)
{
    EXPECT_LT(fencingTokenOf(3, WorkerNumber(7)), fencingTokenOf(3, WorkerNumber(8)));
    EXPECT_LT(fencingTokenOf(3, WorkerNumber(UINT32_MAX)), fencingTokenOf(4, WorkerNumber(1)));
}

// Guards against a leader that takes itself for deposed: a restarted worker refuses the calls that
// were under way to its earlier incarnation.
TEST_F(RestartedWorkerTest, refusedCallsOfASupersededSessionDeposeNoLeader)
{
    openSession();
    startUnlistedRun();
    logStart(1, 1);
    session->start(taskOf(1), 1, "", now);
    advanceAndTick(MinPollIntervalMs);
    session->supersede(LaterFencingToken, now);
    const size_t stops = port.stops.size();
    port.polls.back().done({ .result = OrderResult::Fenced });
    port.starts.back().done({ OrderResult::Fenced, now });
    port.stops.back().done({ OrderResult::Fenced, now });
    EXPECT_FALSE(fenced);
    EXPECT_TRUE(ends.empty()) << "the earlier sends may have been carried out";
    advanceAndTick(SessionTimes().stopRetryInterval.count());
    EXPECT_GT(port.stops.size(), stops) << "the runs must still be stopped";
    EXPECT_EQ(port.stops.back().order.fencingToken, LaterFencingToken);
}

// Guards against TWICE: a run was released because the incarnation before the present one had taken
// its stop, and started on the present one.
TEST_F(RestartedWorkerTest, aStopCountsOnlyOnTheNewestIncarnation)
{
    openSession();
    startUnlistedRun();
    session->supersede(LaterFencingToken, now);
    port.stops.back().done({ OrderResult::Accepted, std::nullopt });
    session->supersede(LaterFencingToken + 1, now);
    advanceAndTick(SessionTimes().maxStopTime.count() + 1);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(port.stops.back().order.fencingToken, LaterFencingToken + 1);
    port.stops.back().done({ OrderResult::Accepted, std::nullopt });
    advanceAndTick(SessionTimes().maxStopTime.count() + 1);
    EXPECT_EQ(ends.size(), 1U);
}

// Guards against TWICE: a run was released a fixed time after its stop, while its end as done was
// not listed yet because answers of the later incarnation were lost.
TEST_F(RestartedWorkerTest, aStoppedRunIsReleasedOnceTheLaterIncarnationHasListedItsEnds)
{
    openSession();
    startUnlistedRun();
    session->supersede(LaterFencingToken, now);
    newestListedEndsAt = now;
    port.stops.back().done({ OrderResult::Accepted, std::nullopt });
    const Millis stoppedAt = now + SessionTimes().maxStopTime;
    tickFor(Millis(5000));
    EXPECT_TRUE(ends.empty()) << "no list was requested since the run has stopped";
    newestListedEndsAt = stoppedAt;
    advanceAndTick(1);
    EXPECT_TRUE(ends.empty()) << "the run may have ended after this list";
    newestListedEndsAt = now;
    advanceAndTick(1);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// Guards against LOST: each restart began the wait for a run anew, so that a worker which restarts
// again and again held it for good.
TEST_F(RestartedWorkerTest, aRunWhoseStartsAreAnsweredIsOverOnceANewerIncarnationDoesNotListIt)
{
    openSession();
    startUnlistedRun();
    const Millis answeredAt = now;
    advanceAndTick(250);
    for (uint64_t life = 0; life < 5; life++) {
        session->supersede(LaterFencingToken + life, now);
        port.stops.back().done({ OrderResult::Accepted, std::nullopt });
        advanceAndTick(250);
        EXPECT_TRUE(ends.empty()) << "it may run on this incarnation";
    }
    newestLacksRunSince = answeredAt;
    advanceAndTick(25);
    EXPECT_TRUE(ends.empty()) << "it may have begun after this list";
    newestLacksRunSince = answeredAt + Millis(1);
    advanceAndTick(25);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// Guards against TWICE and LOST: a later incarnation may still carry out a start that has gone
// unanswered, but not for longer than calls take.
TEST_F(RestartedWorkerTest, aRunWithAnUnansweredStartIsHeldForAsLongAsCallsMayTake)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    dropAllStartAnswers();
    const Millis answersLostAt = now;
    for (uint64_t life = 0; now <= answersLostAt + SessionTimes().maxCallDelay; life++) {
        session->supersede(LaterFencingToken + life, now);
        if (!port.stops.empty())
            port.stops.back().done({ OrderResult::Accepted, std::nullopt });
        newestLacksRunSince = now;
        EXPECT_TRUE(ends.empty());
        advanceAndTick(250);
    }
    newestLacksRunSince = now;
    advanceAndTick(25);
    EXPECT_EQ(ends.size(), 1U);
}

// The same for a stop that was under way when the worker restarted.
TEST_F(RestartedWorkerTest, theAnswerToAStopOfAnEarlierIncarnationDoesNotCount)
{
    openSession();
    startUnlistedRun();
    session->stop(taskOf(0), now);
    session->supersede(LaterFencingToken, now);
    ASSERT_EQ(port.stops.size(), 1U);
    port.stops[0].done({ OrderResult::Accepted, std::nullopt });
    advanceAndTick(SessionTimes().maxStopTime.count() + 1);
    EXPECT_TRUE(ends.empty());
    ASSERT_EQ(port.stops.size(), 2U);
    EXPECT_EQ(port.stops[1].order.fencingToken, LaterFencingToken);
}

// Guards against TWICE: an earlier leader may have sent the start more than once, and an unanswered
// send may still reach the restarted worker.
TEST_F(RestartedWorkerTest, runsOfAnEarlierLeaderAreStoppedOnTheLaterIncarnation)
{
    logStart(0, 1);
    openSession();
    advanceAndTick(0);
    port.polls.back().done(pollAnswer({ 0 }));
    session->supersede(LaterFencingToken, now);
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(port.stops.size(), 1U);
}

// Guards against TWICE: only an answer that names its incarnation shows which one has seen the
// session's token.
TEST_F(RestartedWorkerTest, anAnswerWithoutAStartTimeMakesNoWorkerUsable)
{
    openSession();
    advanceAndTick(0);
    PollAnswer answer = pollAnswer({});
    answer.incarnationStartMs.reset();
    port.polls.back().done(answer);
    EXPECT_FALSE(session->isUsable());
}

// Guards against TWICE: the end of a run that had reached the later incarnation was acknowledged,
// and the run was taken for lost.
TEST_F(RestartedWorkerTest, aRunMayEndOnTheLaterIncarnation)
{
    openSession();
    startUnlistedRun();
    session->supersede(LaterFencingToken, now);
    session->applyEnd(taskOf(0), endOf(0, 1));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_DONE);
}

// The other side of the same: the session with the later incarnation passes on the end.
TEST_F(RestartedWorkerTest, endsOfOtherSessionsRunsArePassedOn)
{
    openSession();
    advanceAndTick(0);
    PollAnswer answer = pollAnswer({});
    answer.ended = { endOf(2, 1) };
    port.polls.back().done(answer);
    EXPECT_TRUE(ends.empty());
    ASSERT_EQ(otherEnds.size(), 1U);
    EXPECT_EQ(otherEnds[0], taskOf(2));
}

// Guards against TWICE: an acknowledgement that was repeated after the worker had received it made
// the later incarnation forget ends of its own.
TEST_F(RestartedWorkerTest, acknowledgementsAreNotRepeatedOnceTheWorkerHasAnswered)
{
    openSession();
    advanceAndTick(0);
    PollAnswer answer = pollAnswer({});
    answer.ended = { endOf(2, 3) };
    port.polls.back().done(answer);
    session->ackEnds(3);
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 3U);
    port.polls.back().done({});
    advanceAndTick(SessionTimes().maxRetryInterval.count());
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 0U) << "the worker may have restarted";
    port.polls.back().done(pollAnswer({}));
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 3U);
    port.polls.back().done(pollAnswer({}));
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 0U);
}

// Guards against TWICE and LOST: the answer to a start set the session's clock to that of another
// incarnation. Far ahead of it, all leases seemed to have expired; far behind, none ever did.
TEST_F(RestartedWorkerTest, answersToOrdersDoNotSetTheClock)
{
    for (const Millis offset : { Millis(100000), Millis(-50000) }) {
        openSession();
        startUnlistedRun();
        const auto before = session->workerTime(now);
        logStart(1, 1);
        session->start(taskOf(1), 1, "", now);
        port.starts.back().done({ OrderResult::Accepted, now + offset });
        EXPECT_EQ(session->workerTime(now), before);
    }
}

// Guards against TWICE: a start that an incarnation which is not registered yet had accepted
// counted as a run of the earlier one, which is not stopped when it is no longer listed.
TEST_F(RestartedWorkerTest, aStartThatAnotherIncarnationHasAcceptedIsNotConfirmed)
{
    for (const Millis offset : { Millis(100000), Millis(-50000) }) {
        openSession();
        completeFirstPoll();
        logStart(0, 1);
        ends.clear();
        session->start(taskOf(0), 1, "ticket of the later incarnation", now);
        const size_t starts = port.starts.size();
        port.starts.back().done({ OrderResult::Accepted, now + offset });
        EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Sent);
        EXPECT_TRUE(session->isSuspect());
        EXPECT_EQ(port.starts.size(), starts);
        EXPECT_GE(timeToLapse(), SessionTimes().maxLease) << "as long as it may run there";
    }
}

// The other side of the same: the answer may be handled late, and the clock may be slow.
TEST_F(RestartedWorkerTest, aStartWhoseAcceptanceIsHandledLateIsConfirmed)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "ticket", now);
    const Millis acceptedAt = now;
    now += Millis(5000);
    port.starts.back().done({ OrderResult::Accepted, acceptedAt });
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
    EXPECT_FALSE(session->isSuspect());
}

// Guards against TWICE: the task of a start that nobody had answered was released with the lease,
// while the worker had restarted, was not registered yet and carried out the start.
TEST_F(RestartedWorkerTest, anUnansweredStartOutlivesTheLeaseOnceAnotherIncarnationHasAnswered)
{
    for (const bool hasRestarted : { false, true }) {
        openSession();
        completeFirstPoll();
        logStart(0, 1);
        session->start(taskOf(0), 1, "", now);
        dropAllStartAnswers();
        if (hasRestarted)
            answerAsAnotherIncarnation();
        if (hasRestarted)
            EXPECT_GE(timeToLapse(), SessionTimes().maxCallDelay);
        else
            EXPECT_LT(timeToLapse(), Millis(6000)) << "nothing shows that the worker has restarted";
    }
}

// The other side of the same: no start of such a run is under way.
TEST_F(RestartedWorkerTest, anAnsweredStartLapsesWithTheLeaseAlthoughAnotherIncarnationHasAnswered)
{
    openSession();
    startUnlistedRun();
    answerAsAnotherIncarnation();
    EXPECT_LT(timeToLapse(), Millis(6000));
}

// The run was listed while the second of two sends was pending: the first may still be carried out.
TEST_F(RestartedWorkerTest, aCopyOfAListedStartOutlivesTheLeaseOnceAnotherIncarnationHasAnswered)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({});
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    port.starts.back().done({ OrderResult::Accepted, now });
    answerAsAnotherIncarnation();
    EXPECT_GE(timeToLapse(), SessionTimes().maxCallDelay);
}

// The same for starts that an earlier leader has sent.
TEST_F(RestartedWorkerTest, startsOfAnEarlierLeaderOutliveTheLeaseOnceAnotherIncarnationHasAnswered)
{
    logStart(0, 1, now);
    openSession(now + SessionTimes().leaseDuration);
    answerAsAnotherIncarnation();
    EXPECT_GE(timeToLapse(), SessionTimes().maxCallDelay);
}

// Guards against accepted runs that are taken for another incarnation's: the session's clock was
// late by the time that the answer to a poll had been under way.
TEST_F(RestartedWorkerTest, aStartIsConfirmedAfterThePollThatReadTheClockWasAnsweredLate)
{
    openSession();
    advanceAndTick(0);
    const Millis readAt = now;
    now += SessionTimes().pollWait;
    PollAnswer late = pollAnswer({});
    late.workerClock = readAt;
    port.polls.back().done(late);
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
}

// Guards against a needless wait: the next poll of the later incarnation may be seconds away.
TEST_F(RestartedWorkerTest, aListOfEndsIsRequestedOnceForEachTime)
{
    openSession();
    completeFirstPoll();
    advanceAndTick(MinPollIntervalMs);
    const size_t polls = port.polls.size();
    session->requestEndsSince(now + Millis(5), now);
    EXPECT_EQ(port.polls.size(), polls) << "the time has not come";
    now += Millis(10);
    session->requestEndsSince(now - Millis(5), now);
    session->requestEndsSince(now - Millis(5), now);
    ASSERT_EQ(port.polls.size(), polls + 1);
    EXPECT_EQ(port.polls.back().order.wait, Millis(0));
}

// Guards against TWICE: the longest lease was not counted if the first answer told no clock.
TEST_F(RestartedWorkerTest, anAnswerWithoutAClockMakesNoWorkerUsable)
{
    isRestart = true;
    openSession();
    advanceAndTick(0);
    PollAnswer answer = pollAnswer({});
    answer.workerClock.reset();
    port.polls.back().done(answer);
    EXPECT_FALSE(session->isUsable());
    advanceAndTick(MinPollIntervalMs);
    ASSERT_EQ(port.polls.size(), 2U);
    const Millis firstClockAt = now;
    startRunAndCutWorkerOff();
    EXPECT_EQ(port.polls.size(), 3U);
    tickFor(firstClockAt + SessionTimes().maxLease - now);
    EXPECT_TRUE(ends.empty());
    tickFor(Millis(1000));
    EXPECT_EQ(ends.size(), 1U);
}

// Guards against LOST: the session counted as synced by an answer whose list of runs was not
// applied, so that a run which an earlier leader had logged and never sent stayed for good.
TEST_F(RestartedWorkerTest, anOvertakenAnswerLeavesNoRunBehind)
{
    logStart(0, 1);
    openSession();
    advanceAndTick(0);
    port.polls.back().done({});
    advanceAndTick(SessionTimes().maxRetryInterval.count());
    advanceAndTick(SessionTimes().maxRetryInterval.count());
    ASSERT_EQ(port.polls.size(), 3U);
    PollAnswer cut = pollAnswer({});
    cut.mayHaveMoreEnds = true;
    port.polls[2].done(cut);
    EXPECT_FALSE(session->isSynced());
    port.polls[1].done(pollAnswer({}));
    EXPECT_FALSE(session->isSynced()) << "it was overtaken";
    advanceAndTick(MinPollIntervalMs);
    ASSERT_EQ(port.polls.size(), 4U);
    port.polls[3].done(pollAnswer({}));
    EXPECT_TRUE(session->isSynced());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

} // namespace
} // namespace basilgap::dispatch
