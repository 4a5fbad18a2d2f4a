#include <condition_variable>
#include <filesystem>
#include <mutex>

#include <gtest/gtest.h>

#include "Basilgap/Control/Replica.h"
#include "StandIns/LocalCell.h"

namespace basilgap::control {
namespace {

constexpr Millis RunTimeout{ 10000 };

// A disk whose syncs block while setBlocked(true) is in effect.
class BlockingDisk : public replication::DiskCalls
{
public:
    int sync(int file) override
    {
        std::unique_lock lock(mutex_);
        blockedSyncs_++;
        changed_.wait(lock, [this] { return !blocked_; });
        blockedSyncs_--;
        return DiskCalls::sync(file);
    }

    void setBlocked(bool blocked)
    {
        {
            const std::lock_guard lock(mutex_);
            blocked_ = blocked;
        }
        changed_.notify_all();
    }

    int blockedSyncs()
    {
        const std::lock_guard lock(mutex_);
        return blockedSyncs_;
    }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    bool blocked_ = false;
    int blockedSyncs_ = 0;
};

// Runs a cell of one replica.
class ReplicaTest : public testing::Test
{
protected:
    void SetUp() override
    {
        settings_.set_id("r1");
        settings_.set_zone("z1");
        settings_.set_peer_address("127.0.0.1:1");
        settings_.set_data_folder(folder_);
        schema::PeerSettings *peer = settings_.add_peers();
        peer->set_id("r1");
        peer->set_address("127.0.0.1:1");
        auto started = Replica::start(loop_,
            {
                .settings = settings_,
                .cellKey = "key",
                .disk = disk_,
                .onLeadershipGained = [] {},
                .onLeadershipLost = [] {},
                .onApplied = [](const schema::Command &, const schema::CommandOutcome &) {},
                .onLinkMessage = [](const schema::PeerMessage &) {},
                .onFatal = [](const Error &error) { ADD_FAILURE() << error.text(); },
            });
        ASSERT_TRUE(started.has_value());
        replica_ = std::move(*started);
        ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }));
    }

    void TearDown() override
    {
        disk_.setBlocked(false);
        replica_.reset();
        std::filesystem::remove_all(folder_);
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const Millis end = steadyNow() + RunTimeout;
        network::Timer checker(loop_, [&] {
            if (condition() || steadyNow() >= end)
                loop_.stop();
        });
        checker.startRepeating(Millis(5));
        loop_.run();
        return condition();
    }

    void propose()
    {
        schema::Command command;
        command.mutable_expire();
        replica_->propose(std::move(command), [this](const schema::CommandOutcome &outcome) {
            EXPECT_EQ(outcome.code(), schema::ACCEPTED);
            accepted_++;
        });
    }

    network::EventLoop loop_;
    BlockingDisk disk_;
    std::string folder_ = standins::makeFolder("basilgap-replica");
    schema::ControlSettings settings_;
    std::unique_ptr<Replica> replica_;
    int accepted_ = 0;
};

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
