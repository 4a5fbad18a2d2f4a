#include <gtest/gtest.h>

#include "Basilgap/Dispatch/ForgottenWorkers.h"

namespace basilgap::dispatch {
namespace {

constexpr Millis Retention{ 22000 };
constexpr Millis LeaderSince{ 100000 };

ForgottenWorkers makeWorkers(bool hasUnknown)
{
    return ForgottenWorkers(
        { .retention = Retention, .leaderSince = LeaderSince, .hasUnknown = hasUnknown });
}

TEST(ForgottenWorkers, remembersRemovedWorkersForAWhile)
{
    ForgottenWorkers workers = makeWorkers(false);
    const Millis removedAt = LeaderSince + Millis(5000);
    EXPECT_FALSE(workers.mayContain("w1", removedAt));
    workers.add("w1", removedAt);
    EXPECT_TRUE(workers.mayContain("w1", removedAt + Retention));
    EXPECT_FALSE(workers.mayContain("w1", removedAt + Retention + Millis(1)));
    EXPECT_FALSE(workers.mayContain("w2", removedAt));
}

TEST(ForgottenWorkers, countsTheLastRemoval)
{
    ForgottenWorkers workers = makeWorkers(false);
    workers.add("w1", LeaderSince);
    workers.add("w1", LeaderSince + Retention);
    EXPECT_TRUE(workers.mayContain("w1", LeaderSince + Retention * 2));
}

TEST(ForgottenWorkers, anEarlierLeaderMayHaveRemovedAnyWorker)
{
    const ForgottenWorkers workers = makeWorkers(true);
    EXPECT_TRUE(workers.mayContain("w1", LeaderSince + Retention));
    EXPECT_FALSE(workers.mayContain("w1", LeaderSince + Retention + Millis(1)));
}

// Guards against a list that grows with each worker that has ever been removed.
TEST(ForgottenWorkers, freesOldEntries)
{
    ForgottenWorkers workers = makeWorkers(false);
    workers.add("w1", LeaderSince);
    workers.add("w2", LeaderSince + Millis(1));
    workers.prune(LeaderSince + Retention + Millis(1));
    EXPECT_EQ(workers.size(), 1U);
    EXPECT_TRUE(workers.mayContain("w2", LeaderSince + Retention + Millis(1)));
}

} // namespace
} // namespace basilgap::dispatch
