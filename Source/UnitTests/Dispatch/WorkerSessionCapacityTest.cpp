// The capacity of the worker shrinks and grows while orders to it are on their way. Each task of
// the fixture's job takes 1000 millicores.

#include <gtest/gtest.h>

#include "WorkerSessionFixture.h"

namespace basilgap::dispatch {
namespace {

class WorkerSessionCapacityTest : public WorkerSessionTest
{
protected:
    void logAndStart(uint32_t index)
    {
        logStart(index, 1);
        session->start(taskOf(index), 1, "", now);
    }

    void startAndConfirm(uint32_t index)
    {
        logAndStart(index);
        port.starts.back().done({ OrderResult::Accepted, now });
    }
};

// The record of the start was logged with the old capacity and committed late.
TEST_F(WorkerSessionCapacityTest, aStartThatNoLongerFitsIsNotSent)
{
    openSession();
    completeFirstPoll();
    startAndConfirm(0);
    logStart(1, 1);
    logStart(2, 1);
    logCapacity(2000);
    session->start(taskOf(1), 1, "", now);
    session->start(taskOf(2), 1, "", now);
    ASSERT_EQ(port.starts.size(), 2U) << "one more task fits, the other does not";
    EXPECT_EQ(port.starts[1].order.task.index, 1U);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(2));
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
    EXPECT_TRUE(port.stops.empty());
    EXPECT_FALSE(session->isSuspect());
}

// A leader that no quorum confirms keeps its starts for later.
TEST_F(WorkerSessionCapacityTest, aPendingStartThatNoLongerFitsIsNotSent)
{
    openSession();
    completeFirstPoll();
    startAndConfirm(0);
    isLeaderConfirmed = false;
    logAndStart(1);
    logAndStart(2);
    logCapacity(2000);
    isLeaderConfirmed = true;
    advanceAndTick(25);
    EXPECT_EQ(port.starts.size(), 2U);
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// Both starts wait for a connection while the capacity shrinks by one of them.
TEST_F(WorkerSessionCapacityTest, aStartThatWaitedForAConnectionIsNotSentIfItNoLongerFits)
{
    openSession();
    completeFirstPoll();
    startAndConfirm(0);
    logAndStart(1);
    logAndStart(2);
    ASSERT_EQ(port.starts.size(), 3U);
    EXPECT_TRUE(port.starts[1].order.isStillWanted());
    logCapacity(2000);
    EXPECT_FALSE(port.starts[1].order.isStillWanted());
    EXPECT_FALSE(port.starts[2].order.isStillWanted());
    port.starts[1].done({ OrderResult::Dropped, std::nullopt });
    port.starts[2].done({ OrderResult::Dropped, std::nullopt });
    advanceAndTick(25);
    ASSERT_EQ(port.starts.size(), 4U) << "one of them still fits";
    EXPECT_TRUE(port.starts[3].order.isStillWanted());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].outcome, schema::RUN_LOST);
}

// The first send may have been carried out, so the run is stopped before its task is released.
TEST_F(WorkerSessionCapacityTest, anUnansweredStartThatNoLongerFitsIsStoppedInsteadOfResent)
{
    openSession();
    completeFirstPoll();
    startAndConfirm(0);
    logAndStart(1);
    logCapacity(1000);
    port.starts.back().done({});
    EXPECT_EQ(port.starts.size(), 2U);
    EXPECT_TRUE(ends.empty());
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.task.index, 1U);
    EXPECT_EQ(session->runs().at(taskOf(1)).knownState, KnownRunState::Indeterminate);
}

// What is being stopped still counts, as do runs of an earlier leader that are not listed yet.
TEST_F(WorkerSessionCapacityTest, runsThatMayStillBeOnTheWorkerCount)
{
    logStart(0, 1);
    openSession();
    advanceAndTick(0);
    port.polls.back().done(pollAnswer({ 0 }));
    session->stop(taskOf(0), now);
    port.stops.back().done({ OrderResult::Accepted, now });
    logCapacity(1000);
    logAndStart(1);
    EXPECT_TRUE(port.starts.empty());
    ASSERT_EQ(ends.size(), 1U);
    EXPECT_EQ(ends[0].task, taskOf(1));
}

// Nobody asks for that: a smaller capacity only holds back further starts.
TEST_F(WorkerSessionCapacityTest, runsAreNotStoppedWhenTheCapacityShrinksToNothing)
{
    openSession();
    completeFirstPoll();
    startAndConfirm(0);
    startAndConfirm(1);
    logCapacity(0);
    for (int i = 0; i < 40; i++) {
        const size_t polls = port.polls.size();
        advanceAndTick(50);
        if (port.polls.size() == polls)
            continue;
        EXPECT_TRUE(port.polls.back().order.leaseEnd.has_value());
        port.polls.back().done(pollAnswer({ 0, 1 }));
    }
    EXPECT_TRUE(port.stops.empty());
    EXPECT_TRUE(ends.empty());
    EXPECT_TRUE(session->isUsable());
    EXPECT_EQ(session->runs().size(), 2U);
    logCapacity(8000);
    startAndConfirm(2);
    EXPECT_EQ(session->runs().at(taskOf(2)).knownState, KnownRunState::Confirmed);
}

} // namespace
} // namespace basilgap::dispatch
