#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Network/PeerLink.h"

namespace basilgap::network {

// Links of a process that is no replica to all replicas of an open cell. It knows some addresses
// at its start, learns the others, and finds out who leads.
class CellLinks
{
public:
    struct Options
    {
        schema::Hello hello;
        std::string zone;
        std::string cellKey;
        // Peer addresses by replica id that are known from the settings.
        std::map<ReplicaId, std::string> seeds;
        std::function<void(const schema::PeerMessage &)> onMessage;
        std::function<void()> onLeaderChanged;
    };

    CellLinks(EventLoop &loop, Options options);

    // False when no leader is known or its link is down.
    bool sendToLeader(const schema::PeerMessage &message);
    bool send(const ReplicaId &replica, const schema::PeerMessage &message);

    // Whether a replica has lately said, confirmed by a quorum, that it leads.
    bool hasLeader() const;
    const ReplicaId &leader() const { return leader_; }
    // How long no leader has been known.
    Millis leaderlessFor() const;

    // The settings name other replicas now.
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
