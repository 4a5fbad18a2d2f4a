#include <gtest/gtest.h>

#include <utility>

#include "WorkerSessionFixture.h"

namespace basilgap::dispatch {
namespace {

using WorkerSessionReportsTest = WorkerSessionTest;

TEST_F(WorkerSessionReportsTest, aMissingRunIsLostOnlyIfThePollWasSentAfterItsStart)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    advanceAndTick(MinPollIntervalMs);
    const auto earlierPoll = port.polls.back().done;
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    earlierPoll(pollAnswer({}));
    EXPECT_TRUE(ends.empty());
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({}));
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// Guards against TWICE: runs whose ends did not fit into the worker's list were taken for lost and
// started again.
TEST_F(WorkerSessionReportsTest, aRunWhoseEndIsNotListedYetIsNotLost)
{
    openSession();
    completeFirstPoll();
    for (uint32_t index = 0; index < 3; index++) {
        logStart(index, 1);
        session->start(taskOf(index), 1, "", now);
        port.starts.back().done({ OrderResult::Accepted, now });
    }
    advanceAndTick(MinPollIntervalMs);
    PollAnswer first = pollAnswer({});
    first.ended = { endOf(0, 1) };
    first.mayHaveMoreEnds = true;
    port.polls.back().done(first);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_DONE);
    EXPECT_TRUE(session->isUsable());
    session->ackEnds(1);
    advanceAndTick(MinPollIntervalMs);
    PollAnswer second = pollAnswer({});
    second.ended = { endOf(1, 2) };
    port.polls.back().done(second);
    ASSERT_EQ(ends.size(), 3U);
    EXPECT_EQ(ends[1].outcome, schema::RUN_DONE);
    EXPECT_EQ(ends[2].outcome, schema::RUN_LOST) << "all ends are listed now";
}

// The same after a change of leader: the new one does not know whether the run has started.
TEST_F(WorkerSessionReportsTest, anAdoptedRunIsLostOnlyOnceAllEndsAreListed)
{
    logStart(0, 1);
    logStart(1, 1);
    logStart(2, 1);
    openSession();
    advanceAndTick(0);
    PollAnswer first = pollAnswer({});
    first.ended = { endOf(0, 1) };
    first.mayHaveMoreEnds = true;
    port.polls.back().done(first);
    EXPECT_EQ(ends.size(), 1U);
    EXPECT_FALSE(session->isUsable()) << "it is not known what else runs there";
    session->ackEnds(1);
    advanceAndTick(MinPollIntervalMs);
    PollAnswer second = pollAnswer({});
    second.ended = { endOf(1, 2) };
    port.polls.back().done(second);
    ASSERT_EQ(ends.size(), 3U);
    EXPECT_EQ(ends[1].outcome, schema::RUN_DONE);
    EXPECT_EQ(ends[2].outcome, schema::RUN_LOST);
    EXPECT_TRUE(session->isUsable());
}

TEST_F(WorkerSessionReportsTest, theDurationOfARunIsMeasured)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(700);
    PollAnswer answer = pollAnswer({});
    answer.ended = { endOf(0, 1) };
    port.polls.back().done(answer);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].duration, Millis(700));
}

// Guards against bounds that include the time since the worker was lost.
TEST_F(WorkerSessionReportsTest, aRunThatIsLostHasRunUntilItsLastProgress)
{
    openSession();
    completeFirstPoll();
    for (const uint32_t index : { 0, 1 }) {
        logStart(index, 1);
        session->start(taskOf(index), 1, "", now);
        port.starts.back().done({ OrderResult::Accepted, now });
    }
    advanceAndTick(300);
    port.polls.back().done(pollAnswer({ 0 }));
    advanceAndTick(2000);
    port.polls.back().done(pollAnswer({}));
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[0].task, taskOf(1));
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
    EXPECT_EQ(ends[0].duration, Millis(0)) << "it never made progress";
    EXPECT_EQ(ends[1].task, taskOf(0));
    EXPECT_EQ(ends[1].outcome, schema::RUN_LOST);
    EXPECT_EQ(ends[1].duration, Millis(300));
}

// Guards against durations that include the time without a leader.
TEST_F(WorkerSessionReportsTest, anAdoptedRunIsMeasuredOnlyIfItWasSeenRunning)
{
    now = Millis(10000);
    logStart(0, 1, Millis(9000));
    logStart(1, 1, Millis(9000));
    openSession();
    advanceAndTick(0);
    PollAnswer first = pollAnswer({ 1 });
    first.ended = { endOf(0, 1) };
    port.polls.back().done(first);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].duration, Millis(0));
    session->ackEnds(1);
    advanceAndTick(500);
    PollAnswer second = pollAnswer({});
    second.ended = { endOf(1, 2) };
    port.polls.back().done(second);
    ASSERT_EQ(ends.size(), 2U);
    EXPECT_EQ(ends[1].duration, Millis(1500));
}

TEST_F(WorkerSessionReportsTest, pollDelayShortensTheWait)
{
    pollDelay = Millis(200);
    openSession();
    completeFirstPoll();
    advanceAndTick(150);
    EXPECT_EQ(port.polls.size(), 1U);
    advanceAndTick(60);
    ASSERT_EQ(port.polls.size(), 2U);
    EXPECT_EQ(port.polls.back().order.wait, SessionTimes().pollWait - pollDelay);
}

TEST_F(WorkerSessionReportsTest, aStoppedRunIsPolledWithoutDelay)
{
    pollDelay = Millis(200);
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->stop(taskOf(0), now);
    port.stops.back().done({ OrderResult::Accepted, now });
    now += Millis(1);
    port.polls.back().done(pollAnswer({ 0 }));
    const size_t before = port.polls.size();
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.size(), before + 1);
}

// Without a back-off, a hundred workers that are gone for good cost the leader hundreds of calls a
// second.
TEST_F(WorkerSessionReportsTest, pollsOfASilentWorkerBackOff)
{
    openSession();
    completeFirstPoll();
    const auto countPollsWithin = [this](int64_t ms) {
        const size_t before = port.polls.size();
        for (int64_t passed = 0; passed < ms; passed += 25) {
            advanceAndTick(25);
            for (size_t i = before; i < port.polls.size(); i++) {
                if (port.polls[i].done)
                    std::exchange(port.polls[i].done, nullptr)({});
            }
        }
        return port.polls.size() - before;
    };
    advanceAndTick(MinPollIntervalMs);
    std::exchange(port.polls.back().done, nullptr)({});
    const size_t first = countPollsWithin(1000);
    countPollsWithin(8000);
    const size_t later = countPollsWithin(4000);
    EXPECT_GE(first, 4U);
    EXPECT_GE(later, 4U);
    EXPECT_LE(later, 6U);
}

// A long poll was overtaken by an immediate poll that listed the run; its older answer then ended
// the run. It happened without any injected fault.
TEST_F(WorkerSessionReportsTest, anOvertakenPollAnswerEndsNoRun)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    logStart(1, 1);
    session->start(taskOf(1), 1, "", now);
    session->start(taskOf(0), 1, "", now);
    port.starts[0].done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    const auto waitingPoll = port.polls.back().done;
    now += Millis(5);
    session->stop(taskOf(1), now);
    port.stops.back().done({ OrderResult::Accepted, now });
    now += Millis(5);
    const auto immediatePoll = port.polls.back().done;
    immediatePoll(pollAnswer({ 0, 1 }));
    waitingPoll(pollAnswer({ 1 }));
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(session->runs().at(taskOf(0)).knownState, KnownRunState::Confirmed);
}

TEST_F(WorkerSessionReportsTest, anUnloggedRunIsStopped)
{
    openSession();
    advanceAndTick(0);
    port.polls.back().done(pollAnswer({ 2 }, 4));
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.run, 4U);
    EXPECT_EQ(port.stops[0].order.task.index, 2U);
}

TEST_F(WorkerSessionReportsTest, endsAreReportedOnceAndAcknowledgedAfterLogging)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    PollAnswer answer = pollAnswer({});
    answer.ended.push_back({ 12, { WorkId, 0, 0, 0 }, 1, schema::RUN_FAILED, "c1" });
    port.polls.back().done(answer);
    advanceAndTick(SessionTimes().maxAckWait.count());
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 0U);
    port.polls.back().done(answer);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_FAILED);
    EXPECT_EQ(ends[0].checkpoint, "c1");
    session->ackEnds(session->highestEndSequence());
    advanceAndTick(MinPollIntervalMs);
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 12U);
}

TEST_F(WorkerSessionReportsTest, theAnswerOfAnotherIncarnationIsIgnored)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    PollAnswer restarted = pollAnswer({});
    restarted.incarnationStartMs = IncarnationStartMs + 5;
    port.polls.back().done(restarted);
    EXPECT_TRUE(ends.empty());
    EXPECT_FALSE(session->isUsable());
}

// Load pattern: many short tasks. A worker answers at once while it has ends that are not
// acknowledged, so that a poll sent before their record is committed says nothing new.
TEST_F(WorkerSessionReportsTest, theNextPollWaitsForTheAcknowledgementOfListedEnds)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    PollAnswer answer = pollAnswer({});
    answer.ended.push_back({ 1, { WorkId, 0, 0, 0 }, 1, schema::RUN_DONE, "" });
    now += Millis(500);
    port.polls.back().done(answer);
    const size_t polls = port.polls.size();
    advanceAndTick(25);
    EXPECT_EQ(port.polls.size(), polls);
    session->ackEnds(1);
    advanceAndTick(25);
    ASSERT_EQ(port.polls.size(), polls + 1);
    EXPECT_EQ(port.polls.back().order.ackedEndSequence, 1U);
}

// The lease is renewed even if the record is not committed for long.
TEST_F(WorkerSessionReportsTest, aLateAcknowledgementDoesNotStopThePolls)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    advanceAndTick(MinPollIntervalMs);
    PollAnswer answer = pollAnswer({});
    answer.ended.push_back({ 1, { WorkId, 0, 0, 0 }, 1, schema::RUN_DONE, "" });
    port.polls.back().done(answer);
    const size_t polls = port.polls.size();
    advanceAndTick(SessionTimes().maxAckWait.count() + 25);
    EXPECT_EQ(port.polls.size(), polls + 1);
}

TEST(CallLossTracker, shortPollsOfALargeFleetAreBounded)
{
    CallLossTracker tracker;
    tracker.setSessionCount(48);
    EXPECT_EQ(tracker.lossyWait(Millis(200)), Millis(200));
    tracker.setSessionCount(3000);
    EXPECT_EQ(tracker.lossyWait(Millis(200)), Millis(2000));
}

// Its capacity is used, although the table does not contain the run.
TEST_F(WorkerSessionTest, aWorkerThatListsAStrayRunIsNotUsableUntilTheRunIsGone)
{
    openSession();
    advanceAndTick(0);
    port.polls.back().done(pollAnswer({ 0 }));
    EXPECT_FALSE(session->isUsable());
    EXPECT_EQ(port.stops.size(), 1U);
    advanceAndTick(MinPollIntervalMs);
    ASSERT_EQ(port.polls.size(), 2U);
    EXPECT_EQ(port.polls.back().order.wait, Millis());
    port.polls.back().done(pollAnswer({}));
    EXPECT_TRUE(session->isUsable());
}

// The end of one member of a gang ends the runs of all members in the table. The others end by
// themselves, at almost the same time.
TEST_F(WorkerSessionTest, aRunThatAnotherMemberOfItsGangHasEndedIsNotStopped)
{
    openSession();
    completeFirstPoll();
    logStart(0, 1);
    session->start(taskOf(0), 1, "", now);
    port.starts.back().done({ OrderResult::Accepted, now });
    session->removeRun(taskOf(0), 1);
    EXPECT_EQ(session->lingeringReservation().millicores, 1000);
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    EXPECT_TRUE(port.stops.empty());
    EXPECT_TRUE(session->isUsable());
    EXPECT_TRUE(ends.empty());
    EXPECT_EQ(session->lingeringReservation().millicores, 1000);
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({}));
    EXPECT_EQ(session->lingeringReservation().millicores, 0);
}

// Guards against TWICE: a run of an earlier incarnation counts as over once this one doesn't list
// it.
TEST_F(WorkerSessionTest, aRunIsMissingOnlyInACompleteListThatWasAskedForLater)
{
    const state::RunRef run{ taskOf(0), 1 };
    openSession();
    EXPECT_FALSE(session->isMissingSince(run, Millis()));
    const Millis askedAt = now;
    advanceAndTick(0);
    PollAnswer incomplete = pollAnswer({});
    incomplete.mayHaveMoreEnds = true;
    port.polls.back().done(incomplete);
    EXPECT_FALSE(session->isMissingSince(run, askedAt - Millis(1))) << "its end may not be listed";
    advanceAndTick(MinPollIntervalMs);
    port.polls.back().done(pollAnswer({ 0 }));
    EXPECT_FALSE(session->isMissingSince(run, askedAt)) << "it runs";
    advanceAndTick(MinPollIntervalMs);
    const Millis listedAt = now;
    port.polls.back().done(pollAnswer({}));
    EXPECT_TRUE(session->isMissingSince(run, listedAt - Millis(1)));
    EXPECT_FALSE(session->isMissingSince(run, listedAt));
}

} // namespace
} // namespace basilgap::dispatch
