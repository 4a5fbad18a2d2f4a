#pragma once

#include <memory>
#include <string>

#include "Basilgap/Admin/AdminServer.h"
#include "Basilgap/Control/Leader.h"
#include "Basilgap/Control/ReplicaTask.h"
#include "Basilgap/Network/PeerServer.h"
#include "Basilgap/Network/RpcClient.h"

namespace basilgap::control {

// A whole control process: the replica, the leader's work while it leads, and its listeners.
class ControlTask
{
public:
    static Result<std::unique_ptr<ControlTask>> start(
        network::EventLoop &loop, const schema::ControlSettings &settings);

    // Hands over the lead, then ends the loop.
    void stop();

    // JSON text of the state.
    std::string dump() const;

    // Whether the process ends because its durable state can't be trusted.
    bool hasFailed() const { return !fatal_.message.empty(); }
    std::string adminAddress() const { return admin_->address(); }

private:
    ControlTask(network::EventLoop &loop, schema::ControlSettings settings);
    Result<void> open();
    Result<void> openReplica(const std::string &cellKey);
    Result<void> openListeners(const std::string &cellKey, const std::string &operatorKey);
    void receive(network::PeerStream &stream, const schema::PeerMessage &message);
    void refuse(network::PeerStream &stream, const schema::PeerMessage &message);
    bool sendToLeader(const schema::PeerMessage &message);
    void stopStep();
    void leaveOutZone();
    schema::StatusBody status() const;
    std::string metrics() const;

    network::EventLoop &loop_;
    schema::ControlSettings settings_;
    replication::DiskCalls disk_;
    std::unique_ptr<ReplicaTask> replica_;
    std::unique_ptr<Leader> leader_;
    std::unique_ptr<network::PeerServer> peers_;
    std::unique_ptr<network::RpcClient> rpc_;
    std::unique_ptr<admin::AdminServer> admin_;
    network::Timer stopper_;
    network::Timer zoneWatch_;
    network::Timer leaderEnd_;
    Millis stopDeadline_;
    Error fatal_;
};

} // namespace basilgap::control
