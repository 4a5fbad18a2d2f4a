#include "Basilgap/Network/CellLinks.h"

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

constexpr Millis ProbeInterval{ 250 };
constexpr Millis LeaderlessProbeInterval{ 80 };

// Longer than several unanswered probes.
constexpr Millis LeaderTimeout{ 1200 };

} // namespace

CellLinks::CellLinks(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , leaderSeenAt_(steadyNow())
    , probeTimer_(loop, [this] { sendProbes(); })
{
    addSeeds(options_.seeds);
    probeTimer_.startOnce(LeaderlessProbeInterval);
}

void CellLinks::addSeeds(const std::map<ReplicaId, std::string> &seeds)
{
    for (const auto &[id, address] : seeds)
        addLink(id, address);
}

void CellLinks::addLink(const ReplicaId &id, const std::string &address)
{
    const auto found = links_.find(id);
    if (found != links_.end() && found->second->address() == address)
        return;
    links_[id] = std::make_unique<PeerLink>(loop_,
        PeerLink::Options{
            .address = address,
            .cellKey = options_.cellKey,
            .hello = options_.hello,
            .onMessage = [this](const schema::PeerMessage &message) { receive(message); },
            .onUp = [this, id] { sendProbe(id); },
            .onDown = [] {},
        });
}

void CellLinks::receive(const schema::PeerMessage &message)
{
    if (message.has_probe_reply())
        return handleProbeReply(message.probe_reply());
    options_.onMessage(message);
}

void CellLinks::handleProbeReply(const schema::ProbeReply &reply)
{
    for (const auto &member : reply.members())
        addLink(ReplicaId(member.id()), member.address());
    if (!reply.led() || reply.leader() != reply.id() || reply.term() < leaderTerm_)
        return;
    const bool changed = leader_.value() != reply.leader() || reply.term() != leaderTerm_;
    leader_ = ReplicaId(reply.leader());
    leaderTerm_ = reply.term();
    leaderSeenAt_ = steadyNow();
    if (!changed)
        return;
    LogEvent("leader-known").with("leader", leader_.value()).with("term", leaderTerm_);
    // Makes this process known to the leader, which relies on the processes that it has heard from.
    sendProbe(leader_);
    options_.onLeaderChanged();
}

bool CellLinks::hasLeader() const
{
    return !leader_.value().empty() && steadyNow() - leaderSeenAt_ < LeaderTimeout;
}

Millis CellLinks::leaderlessFor() const
{
    const Millis sinceLeaderSeen = steadyNow() - leaderSeenAt_;
    return hasLeader() ? Millis(0) : sinceLeaderSeen;
}

bool CellLinks::sendToLeader(const schema::PeerMessage &message)
{
    return hasLeader() && send(leader_, message);
}

bool CellLinks::send(const ReplicaId &replica, const schema::PeerMessage &message)
{
    const auto link = links_.find(replica);
    return link != links_.end() && link->second->send(message);
}

void CellLinks::sendProbes()
{
    for (const auto &[id, link] : links_)
        sendProbe(id);
    probeTimer_.startOnce(hasLeader() ? ProbeInterval : LeaderlessProbeInterval);
}

void CellLinks::sendProbe(const ReplicaId &id)
{
    schema::PeerMessage message;
    message.mutable_probe()->set_zone(options_.zone);
    send(id, message);
}

} // namespace basilgap::network
