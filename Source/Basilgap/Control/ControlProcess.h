#pragma once

#include <memory>
#include <string>

#include "Basilgap/Admin/AdminServer.h"
#include "Basilgap/Control/Leader.h"
#include "Basilgap/Control/Replica.h"
#include "Basilgap/Network/PeerServer.h"
#include "Basilgap/Network/RpcClient.h"

namespace basilgap::control {

// A control process: its replica, the leader's work while the replica leads, and the listeners.
class ControlProcess
{
public:
    static Result<std::unique_ptr<ControlProcess>> start(
        network::EventLoop &loop, const schema::ControlSettings &settings);

    // Transfers leadership to another replica, then stops the event loop.
    void stop();

    // State of the process as JSON text.
    std::string dump() const;

    // Whether the process stopped because its durable state can no longer be trusted.
    bool hasFailed() const { return !fatalError_.message.empty(); }
    std::string adminAddress() const { return admin_->address(); }

private:
    ControlProcess(network::EventLoop &loop, schema::ControlSettings settings);
    Result<void> open();
    Result<void> openReplica(const std::string &cellKey);
    Result<void> openListeners(const std::string &cellKey, const std::string &operatorKey);
    void receive(network::PeerStream &stream, const schema::PeerMessage &message);
    void redirectToLeader(network::PeerStream &stream, const schema::PeerMessage &message);
    bool sendToLeader(const schema::PeerMessage &message);
    void continueStop();
    void transferLeadershipIfZoneOut();
    schema::StatusBody status() const;
    std::string metrics() const;

    network::EventLoop &loop_;
    schema::ControlSettings settings_;
    replication::DiskCalls disk_;
    std::unique_ptr<Replica> replica_;
    std::unique_ptr<Leader> leader_;
    std::unique_ptr<network::PeerServer> peers_;
    std::unique_ptr<network::RpcClient> rpc_;
    std::shared_ptr<network::ClientLimits> clientLimits_;
    std::unique_ptr<admin::AdminServer> admin_;
    network::Timer stopTimer_;
    network::Timer zoneCheckTimer_;
    network::Timer leaderDestroyTimer_;
    Millis stopDeadline_;
    Error fatalError_;
};

} // namespace basilgap::control
