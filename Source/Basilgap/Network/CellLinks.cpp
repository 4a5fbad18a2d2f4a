#include "Basilgap/Network/CellLinks.h"

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

constexpr Millis ProbeInterval{ 250 };
constexpr Millis LeaderlessProbeInterval{ 80 };

// Several probes without an answer.
constexpr Millis LeaderFreshness{ 1200 };

} // namespace

CellLinks::CellLinks(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , leaderSeen_(steadyNow())
    , prober_(loop, [this] { probe(); })
{
    addSeeds(options_.seeds);
    prober_.startOnce(LeaderlessProbeInterval);
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
            .onUp = [this, id] { probeOne(id); },
            .onDown = [] {},
        });
}

void CellLinks::receive(const schema::PeerMessage &message)
{
    if (message.has_probe_reply())
        return takeReply(message.probe_reply());
    options_.onMessage(message);
}

void CellLinks::takeReply(const schema::ProbeReply &reply)
{
    for (const auto &member : reply.members())
        addLink(ReplicaId(member.id()), member.address());
    if (!reply.led() || reply.leader() != reply.id() || reply.term() < term_)
        return;
    const bool changed = leader_.value() != reply.leader() || reply.term() != term_;
    leader_ = ReplicaId(reply.leader());
    term_ = reply.term();
    leaderSeen_ = steadyNow();
    if (!changed)
        return;
    LogEvent("leader-known").with("leader", leader_.value()).with("term", term_);
    // The leader counts on the processes that it has heard of.
    probeOne(leader_);
    options_.onLeaderChanged();
}

bool CellLinks::hasLeader() const
{
    return !leader_.value().empty() && steadyNow() - leaderSeen_ < LeaderFreshness;
}

Millis CellLinks::leaderlessFor() const
{
    const Millis unseen = steadyNow() - leaderSeen_;
    return hasLeader() ? Millis(0) : unseen;
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

void CellLinks::probe()
{
    for (const auto &[id, link] : links_)
        probeOne(id);
    prober_.startOnce(hasLeader() ? ProbeInterval : LeaderlessProbeInterval);
}

void CellLinks::probeOne(const ReplicaId &id)
{
    schema::PeerMessage message;
    message.mutable_probe()->set_zone(options_.zone);
    send(id, message);
}

} // namespace basilgap::network
