#pragma once

#include <filesystem>
#include <functional>
#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "Basilgap/Control/Replica.h"
#include "StandIns/BlockingDisk.h"
#include "StandIns/LocalCell.h"

namespace basilgap::control {

// Runs a cell of one replica.
class SingleReplicaFixture : public testing::Test
{
protected:
    static constexpr Millis RunTimeout{ 10000 };

    void SetUp() override
    {
        settings_.set_id("r1");
        settings_.set_zone("z1");
        settings_.set_peer_address("127.0.0.1:1");
        settings_.set_data_folder(folder_);
        schema::PeerSettings *peer = settings_.add_peers();
        peer->set_id("r1");
        peer->set_address("127.0.0.1:1");
        startReplica();
    }

    // Starts the replica on the data that its folder holds, and waits until it leads.
    void startReplica()
    {
        ASSERT_NO_FATAL_FAILURE(openReplica());
        ASSERT_TRUE(runUntil([this] { return replica_->isLeading(); }));
    }

    // Starts the replica on the data that its folder holds.
    void openReplica()
    {
        auto started = Replica::start(loop_,
            {
                .settings = settings_,
                .cellKey = "key",
                .disk = disk(),
                .onLeadershipGained = [] {},
                .onLeadershipLost = [] {},
                .onApplied =
                    [this](const schema::Command &command, const schema::CommandOutcome &outcome) {
                        onApplied_(command, outcome);
                    },
                .onLinkMessage = [](const ReplicaId &, const schema::PeerMessage &) {},
                .onFatal = [this](const Error &error) { onFatal_(error); },
            });
        ASSERT_TRUE(started.has_value()) << started.error().text();
        replica_ = std::move(*started);
    }

    virtual replication::DiskCalls &disk() { return disk_; }

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

    void runFor(Millis time)
    {
        const Millis end = steadyNow() + time;
        ASSERT_TRUE(runUntil([end] { return steadyNow() >= end; }));
    }

    // Proposes a command that must be accepted in the end.
    void propose(schema::Command command)
    {
        replica_->propose(std::move(command), [this](const schema::CommandOutcome &outcome) {
            EXPECT_EQ(outcome.code(), schema::ACCEPTED);
            accepted_++;
        });
    }

    // Proposes a command that changes nothing.
    void propose()
    {
        schema::Command command;
        command.mutable_expire();
        propose(std::move(command));
    }

    network::EventLoop loop_;
    standins::BlockingDisk disk_;
    std::string folder_ = standins::makeFolder("basilgap-replica");
    schema::ControlSettings settings_;
    std::function<void(const schema::Command &, const schema::CommandOutcome &)> onApplied_ =
        [](const schema::Command &, const schema::CommandOutcome &) {};
    std::function<void(const Error &)> onFatal_ = [](const Error &error) {
        ADD_FAILURE() << error.text();
    };
    std::unique_ptr<Replica> replica_;
    int accepted_ = 0;
};

} // namespace basilgap::control
