#include <algorithm>
#include <chrono>
#include <filesystem>
#include <thread>

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

// Guards against a leader that falls silent after a restart: it applied all records since the last
// snapshot in one turn of the event loop.
TEST_F(ReplicaTest, eventLoopTurnsWhileManyRecordsAreApplied)
{
    constexpr int Records = 200;
    constexpr auto ApplyTime = std::chrono::milliseconds(5);
    // Half the time between two heartbeats.
    constexpr int MaxRecordsInATurn = 10;
    for (int i = 0; i < Records; i++)
        propose();
    ASSERT_TRUE(runUntil([this] { return accepted_ == Records; }));
    replica_.reset();
    int applied = 0;
    int inTurn = 0;
    int mostInTurn = 0;
    onApplied_ = [&](const schema::Command &, const schema::CommandOutcome &) {
        std::this_thread::sleep_for(ApplyTime);
        applied++;
        mostInTurn = std::max(mostInTurn, ++inTurn);
    };
    network::Timer turnTimer(loop_, [&inTurn] { inTurn = 0; });
    turnTimer.startRepeating(Millis(1));
    ASSERT_NO_FATAL_FAILURE(startReplica());
    EXPECT_EQ(applied, Records) << "a new leader has applied all committed records";
    EXPECT_LE(mostInTurn, MaxRecordsInATurn);
    onApplied_ = [](const schema::Command &, const schema::CommandOutcome &) {};
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

class ReplicaSnapshotTest : public SingleReplicaFixture
{
protected:
    static constexpr uint32_t SnapshotBytes = 256 * 1024;

    void SetUp() override
    {
        settings_.set_snapshot_bytes(SnapshotBytes);
        SingleReplicaFixture::SetUp();
    }

    uint64_t logFileBytes() const { return std::filesystem::file_size(folder_ + "/log"); }
};

// Guards against LOST and CONFIG: the log kept a number of records whatever their size, so that
// many large configurations filled the disks of all replicas.
TEST_F(ReplicaSnapshotTest, theLogKeepsNoMoreBytesThanBetweenTwoSnapshots)
{
    constexpr size_t DocumentBytes = 50000;
    uint64_t largest = 0;
    for (int version = 1; version <= 100; version++) {
        schema::Command command;
        command.mutable_put_work_config()->set_version(static_cast<uint64_t>(version));
        command.mutable_put_work_config()->set_document(std::string(DocumentBytes, 'x'));
        propose(std::move(command));
        ASSERT_TRUE(runUntil([&] { return accepted_ == version; }));
        largest = std::max(largest, logFileBytes());
    }
    // Up to twice that, and one record beyond each bound.
    EXPECT_LE(largest, 2 * (SnapshotBytes + DocumentBytes + 1000));
    const LogIndex last = replica_->core().lastIndex();
    replica_.reset();
    auto reopened = replication::LogStorage::open(
        { .folder = folder_, .replica = ReplicaId("r1"), .calls = &disk_ });
    ASSERT_TRUE(reopened.has_value());
    const replication::RaftPersistentState kept = (*reopened)->takePersistentState();
    EXPECT_EQ(kept.log.lastIndex(), last);
    state::CellState restored;
    restored.restore(*kept.snapshotState);
    EXPECT_GE(restored.workConfig().version(), 90U) << "the newest snapshot is recent";
}

} // namespace
} // namespace basilgap::control
