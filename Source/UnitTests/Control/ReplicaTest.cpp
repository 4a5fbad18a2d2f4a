#include <gtest/gtest.h>

#include "SingleReplicaFixture.h"

namespace basilgap::control {
namespace {

using ReplicaTest = SingleReplicaFixture;

TEST_F(ReplicaTest, membersHaveTheZoneOfTheirSettings)
{
    ASSERT_EQ(replica_->core().membership().members_size(), 1);
    EXPECT_EQ(replica_->core().membership().members(0).zone(), "z1");
    EXPECT_EQ(replica_->makeProbeReply().probe_reply().zone(), "z1");
}

// Guards against syncing records on the event loop: on the larger test site this blocked the leader
// for 6 ms for each of 50 records a second.
TEST_F(ReplicaTest, eventLoopRunsWhileARecordIsSynced)
{
    disk_.setBlocked(true);
    propose();
    ASSERT_TRUE(runUntil([this] { return disk_.blockedSyncs() > 0; }));
    int turns = 0;
    EXPECT_TRUE(runUntil([&turns] { return ++turns > 20; }));
    EXPECT_EQ(accepted_, 0) << "nothing is acknowledged before it is synced";
    disk_.setBlocked(false);
    EXPECT_TRUE(runUntil([this] { return accepted_ == 1; }));
}

TEST_F(ReplicaTest, recordsProposedDuringASyncShareTheNextWrite)
{
    disk_.setBlocked(true);
    propose();
    ASSERT_TRUE(runUntil([this] { return disk_.blockedSyncs() > 0; }));
    for (int i = 0; i < 30; i++)
        propose();
    disk_.setBlocked(false);
    EXPECT_TRUE(runUntil([this] { return accepted_ == 31; }));
}

TEST_F(ReplicaTest, acknowledgedRecordSurvivesARestart)
{
    propose();
    ASSERT_TRUE(runUntil([this] { return accepted_ == 1; }));
    const LogIndex last = replica_->core().lastIndex();
    replica_.reset();
    auto reopened = replication::LogStorage::open(
        { .folder = folder_, .replica = ReplicaId("r1"), .calls = &disk_ });
    ASSERT_TRUE(reopened.has_value());
    EXPECT_EQ((*reopened)->takePersistentState().log.lastIndex(), last);
}

} // namespace
} // namespace basilgap::control
