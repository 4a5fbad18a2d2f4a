#include <gtest/gtest.h>

#include <utility>

#include "WorkerSessionFixture.h"

namespace basilgap::dispatch {
namespace {

using WorkerReportsTest = WorkerSessionTest;

TEST_F(WorkerReportsTest, aRunThatTheListLacksIsLostOnlyIfTheListWasAskedForAfterIt)
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

TEST_F(WorkerReportsTest, aRestTakesThePlaceOfAPartOfTheWait)
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

TEST_F(WorkerReportsTest, aStoppedRunIsAskedAboutWithoutRest)
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
TEST_F(WorkerReportsTest, aSilentWorkerIsTriedLessAndLessOften)
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
TEST_F(WorkerReportsTest, aListThatWasOvertakenEndsNothing)
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

TEST_F(WorkerReportsTest, aRunThatNobodyLoggedIsStopped)
{
    open();
    tickAfter(0);
    port.holds.back().done(listing({ 2 }, 4));
    ASSERT_EQ(port.stops.size(), 1U);
    EXPECT_EQ(port.stops[0].order.run, 4U);
    EXPECT_EQ(port.stops[0].order.task.index, 2U);
}

TEST_F(WorkerReportsTest, endsAreToldOnceAndAcknowledgedOnlyWhenLogged)
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

TEST_F(WorkerReportsTest, theAnswerOfAnotherLifeTellsNothing)
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

} // namespace
} // namespace basilgap::dispatch
