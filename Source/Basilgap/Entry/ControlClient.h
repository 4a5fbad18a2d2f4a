#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/RpcClient.h"
#include "Cell.pb.h"
#include "Settings.pb.h"

namespace basilgap::entry {

// The entry's side of its session with the leader: finds the leader, renews the view lease and
// sends requests to the leader.
class ControlClient
{
public:
    struct Options
    {
        // Bytes of the requests that wait for the leader; 0 means no limit.
        size_t maxPendingBytes = 0;
        const schema::EntrySettings &settings;
        Incarnation incarnation;
        std::string cellKey;
        // Adds the changes since the last renewal, or the complete state if the renewal is full.
        std::function<void(schema::Renew *)> fillRenewal;
        // Receives the leader's replies. sentAt is the send time of the renewal that the reply
        // confirms, and absent if it confirms none.
        std::function<void(const schema::RenewReply &, std::optional<Millis> sentAt)> onReply;
        std::function<void(const schema::WorkerOrdersBatch &)> onOrders;
    };

    ControlClient(network::EventLoop &loop, Options options);

    // Connects to the replicas that the configuration lists and disconnects from all others.
    void setReplicas(const schema::CellConfig &config);

    // Schedules a renewal, at least minInterval after the previous one, because something changed.
    void scheduleRenewal(Millis minInterval);

    void sendDigest(const schema::WorkerDigest &digest);

    network::RpcClient &rpc() { return rpc_; }
    ReplicaId leader() const { return selectedReplica_; }
    // Increases whenever the entry selects another leader or reconnects to it.
    uint64_t connectionGeneration() const { return connectionGeneration_; }
    const std::map<ReplicaId, std::unique_ptr<network::PeerLink>> &links() const { return links_; }

private:
    struct SentRenewal
    {
        uint64_t sequence;
        Millis sentAt;
    };

    void addLink(const ReplicaId &replica, const std::string &address);
    void renew();
    void tick();
    void handleMessage(const ReplicaId &from, const schema::PeerMessage &message);
    void handleRenewReply(const ReplicaId &from, const schema::RenewReply &reply);
    void selectReplica(const ReplicaId &replica);
    void selectNextReplica();
    bool send(const schema::PeerMessage &message);

    network::EventLoop &loop_;
    Options options_;
    std::map<ReplicaId, std::unique_ptr<network::PeerLink>> links_;
    network::RpcClient rpc_;
    ReplicaId selectedReplica_;
    uint64_t connectionGeneration_ = 1;
    uint64_t fullRenewalGeneration_ = 0;
    uint64_t sequence_ = 0;
    std::deque<SentRenewal> sentRenewals_;
    Millis lastReplyAt_;
    Millis lastRenewalAt_;
    network::Timer renewalTimer_;
    network::Timer tickTimer_;
};

} // namespace basilgap::entry
