#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Network/PeerLink.h"

namespace basilgap::network {

// Links from a process that is not a replica to all replicas of an open cell. It starts with some
// addresses, learns the others from probe replies, and tracks the leader.
class CellLinks
{
public:
    struct Options
    {
        schema::Hello hello;
        std::string zone;
        std::string cellKey;
        // Peer addresses from the settings, by replica id.
        std::map<ReplicaId, std::string> seeds;
        std::function<void(const schema::PeerMessage &)> onMessage;
        std::function<void()> onLeaderChanged;
    };

    CellLinks(EventLoop &loop, Options options);

    // Returns false if no leader is known or its link is down.
    bool sendToLeader(const schema::PeerMessage &message);
    bool send(const ReplicaId &replica, const schema::PeerMessage &message);

    // Whether a replica has recently reported that a quorum confirmed it as leader.
    bool hasLeader() const;
    const ReplicaId &leader() const { return leader_; }
    // Time since a leader was last known; 0 while one is.
    Millis leaderlessFor() const;

    // Adds the replicas that changed settings name.
    void addSeeds(const std::map<ReplicaId, std::string> &seeds);

private:
    void addLink(const ReplicaId &id, const std::string &address);
    void receive(const schema::PeerMessage &message);
    void handleProbeReply(const schema::ProbeReply &reply);
    void sendProbes();
    void sendProbe(const ReplicaId &id);

    EventLoop &loop_;
    Options options_;
    std::map<ReplicaId, std::unique_ptr<PeerLink>> links_;
    ReplicaId leader_;
    uint64_t leaderTerm_ = 0;
    Millis leaderSeenAt_;
    Timer probeTimer_;
};

} // namespace basilgap::network
