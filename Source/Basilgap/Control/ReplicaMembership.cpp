// Replica methods for membership: how an uninitialized replica joins or bootstraps a cell, and how
// the leader reconciles the members with the configuration.

#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Control/Replica.h"
#include "Basilgap/Replication/Membership.h"

namespace basilgap::control {

namespace {

// Number of records that a learner may be behind when it is promoted to voter.
constexpr uint64_t MaxPromotionLagRecords = 100;

// A replica that has known no leader for this time probes the others, in case it is no longer a
// member. Longer than an election takes.
constexpr Millis NoLeaderTimeout{ 3000 };
constexpr Millis NoLeaderReportInterval{ 5000 };

// A replica reports itself as leader only if a quorum confirmed its leadership within this time.
constexpr Millis MaxLeaderConfirmationAge{ 800 };

} // namespace

schema::Member Replica::selfMember() const
{
    schema::Member member;
    member.set_id(self_.value());
    member.set_incarnation(incarnation_.value());
    member.set_voter(true);
    member.set_zone(options_.settings.zone());
    if (options_.membership == MembershipMode::Open)
        member.set_address(options_.settings.peer_address());
    for (const auto &peer : options_.settings.peers()) {
        if (peer.id() == self_.value())
            member.set_address(peer.address());
    }
    return member;
}

// A replica may have records and be no member under its present incarnation: it was replaced while
// it was away, or the record that added it was never committed. Then no leader addresses it.
bool Replica::shouldJoin() const
{
    return core_->isUninitialized() || steadyNow() - leaderLastKnownAt_ > NoLeaderTimeout;
}

// Tells whether a quorum is missing, or is there and elects no leader.
void Replica::reportMissingLeader()
{
    const Millis now = steadyNow();
    const Millis silence = now - leaderLastKnownAt_;
    if (silence < NoLeaderTimeout || now < nextNoLeaderReport_)
        return;
    nextNoLeaderReport_ = now + NoLeaderReportInterval;
    size_t reachable = 0;
    std::string missing;
    for (const auto &member : core_->membership().members()) {
        if (member.voter() && canReachVoter(member))
            reachable++;
        else if (member.voter())
            missing += (missing.empty() ? "" : ",") + member.id();
    }
    LogEvent("no-leader", LogLevel::Warning)
        .with("silentMs", silence)
        .with("term", core_->term().value())
        .with("role", replication::toText(core_->role()))
        .with("voters", replication::voterCount(core_->membership()))
        .with("reachable", reachable)
        .with("missing", missing);
}

// A host that came back without its disk answers, but has lost its vote.
bool Replica::canReachVoter(const schema::Member &voter) const
{
    const ReplicaId id(voter.id());
    if (id == self_)
        return voter.incarnation() == incarnation_.value();
    const auto probed = probedIncarnations_.find(id);
    if (probed != probedIncarnations_.end() && probed->second != voter.incarnation())
        return false;
    const auto link = links_.find(id);
    return link != links_.end() && link->second->isUp();
}

void Replica::sendProbes()
{
    // A replica that can store nothing must not become a member.
    if (!shouldJoin() || !diskError_.empty())
        return;
    const schema::Member self = selfMember();
    for (const auto &[id, link] : links_) {
        schema::PeerMessage message;
        message.mutable_probe()->set_id(self_.value());
        message.mutable_probe()->set_incarnation(self.incarnation());
        message.mutable_probe()->set_address(self.address());
        message.mutable_probe()->set_zone(self.zone());
        link->send(message);
    }
    if (core_->isUninitialized())
        bootstrapIfAllUninitialized();
}

schema::PeerMessage Replica::makeProbeReply() const
{
    schema::PeerMessage message;
    schema::ProbeReply *reply = message.mutable_probe_reply();
    reply->set_id(self_.value());
    reply->set_incarnation(incarnation_.value());
    reply->set_blank(core_->isUninitialized() && diskError_.empty());
    reply->set_leader(core_->leader().value());
    reply->set_term(core_->term().value());
    reply->set_led(isLeading_ ? isConfirmedLeader(MaxLeaderConfirmationAge)
                              : !core_->leader().value().empty());
    *reply->mutable_members() = core_->membership().members();
    reply->set_zone(options_.settings.zone());
    return message;
}

void Replica::handleProbe(network::PeerStream &stream, const schema::Probe &probe)
{
    stream.send(makeProbeReply());
    if (core_->isUninitialized() || probe.id().empty())
        return;
    probedIncarnations_[ReplicaId(probe.id())] = probe.incarnation();
    // The replica has acknowledged nothing under this incarnation, so the membership record is all
    // that it needs to take part in the first election.
    const schema::Member *member =
        replication::findMember(core_->membership(), ReplicaId(probe.id()));
    const bool known =
        member != nullptr && member->voter() && member->incarnation() == probe.incarnation();
    const auto forming = core_->bootstrapMembership();
    if (known && forming) {
        schema::PeerMessage form;
        *form.mutable_form()->mutable_membership() = *forming;
        sendTo(ReplicaId(probe.id()), form);
    }
    if (known)
        return;
    if (options_.membership == MembershipMode::Listed) {
        joinRequests_[ReplicaId(probe.id())] = probe;
        return;
    }
    schema::Member learner;
    learner.set_id(probe.id());
    learner.set_address(probe.address());
    learner.set_incarnation(probe.incarnation());
    learner.set_zone(probe.zone());
    openMembership_.requestJoin(learner);
}

void Replica::handleProbeReply(const schema::ProbeReply &reply)
{
    probeReplies_[ReplicaId(reply.id())] = reply;
    recordMemberAddresses(reply);
}

void Replica::recordMemberAddresses(const schema::ProbeReply &reply)
{
    if (options_.membership != MembershipMode::Open)
        return;
    bool changed = false;
    for (const auto &member : reply.members())
        changed = learnAddress(ReplicaId(member.id()), member.address()) || changed;
    if (changed)
        updateLinks();
}

// Replies go by a link. A replica that was away may know neither a new leader nor a new candidate
// as a member.
void Replica::linkToSender(const schema::RaftMessage &message)
{
    const ReplicaId sender(message.from());
    if (replication::findMember(core_->membership(), sender) == nullptr
        && learnAddress(sender, message.from_address()))
        updateLinks();
}

// Returns whether the address is new.
bool Replica::learnAddress(const ReplicaId &replica, const std::string &address)
{
    if (address.empty())
        return false;
    std::string &known = learnedAddresses_[replica];
    return std::exchange(known, address) != address;
}

void Replica::addSeeds(const std::map<ReplicaId, std::string> &addresses)
{
    for (const auto &[id, address] : addresses)
        learnedAddresses_[id] = address;
    updateLinks();
}

// Bootstraps the cell, but only on the replica with the lowest id, and only if all others have
// reported since the last probe that they are uninitialized too.
void Replica::bootstrapIfAllUninitialized()
{
    const auto replies = std::move(probeReplies_);
    probeReplies_.clear();
    if (!options_.canBootstrap)
        return;
    schema::Membership membership;
    membership.set_cell_id(randomNumber());
    ReplicaId first = self_;
    for (const auto &peer : options_.settings.peers()) {
        const ReplicaId id(peer.id());
        first = std::min(first, id);
        if (id == self_) {
            *membership.add_members() = selfMember();
            continue;
        }
        const auto reply = replies.find(id);
        if (reply == replies.end() || !reply->second.blank())
            return;
        schema::Member *member = membership.add_members();
        member->set_id(peer.id());
        member->set_address(peer.address());
        member->set_incarnation(reply->second.incarnation());
        member->set_zone(reply->second.zone());
        member->set_voter(true);
    }
    if (first != self_)
        return;
    LogEvent("cell-formed").with("replicas", membership.members_size());
    core_->bootstrap(membership, steadyNow());
    scheduleFlush();
    schema::PeerMessage form;
    *form.mutable_form()->mutable_membership() = membership;
    for (const auto &[id, link] : links_)
        link->send(form);
}

void Replica::reconcileMembership()
{
    if (!isLeading_ || !core_->isMembershipCommitted())
        return;
    if (options_.membership == MembershipMode::Open)
        return reconcileOpenMembership();
    const auto &wanted = state_.config().config().replicas();
    if (wanted.empty()) {
        // Until the first configuration is applied, the members are the replicas that bootstrapped
        // the cell.
        for (const auto &peer : options_.settings.peers()) {
            schema::ReplicaConfig replica;
            replica.set_id(peer.id());
            replica.set_address(peer.address());
            if (reconcileMember(replica))
                return;
        }
        return;
    }
    for (const auto &replica : wanted) {
        if (reconcileMember(replica))
            return;
    }
    for (const auto &member : core_->membership().members()) {
        bool listed = false;
        for (const auto &replica : wanted)
            listed = listed || replica.id() == member.id();
        if (listed)
            continue;
        if (member.id() == self_.value()) {
            transferLeadership();
            return;
        }
        LogEvent("member-removed").with("peer", member.id());
        core_->proposeMembership(
            replication::withoutMember(core_->membership(), ReplicaId(member.id())));
        return;
    }
}

// Proposes at most one change: the next one follows only after this one is committed.
void Replica::reconcileOpenMembership()
{
    const auto change = openMembership_.nextChange(*core_, steadyNow());
    if (!change || !core_->proposeMembership(change->membership))
        return;
    LogEvent line(replication::toText(change->kind));
    line.with("peer", change->member.value()).with("zone", change->zone.value());
    if (change->silence > Millis())
        line.with("silentMs", change->silence);
}

// Proposes the next change that a configured replica needs. Returns true if one was proposed.
bool Replica::reconcileMember(const schema::ReplicaConfig &wanted)
{
    const ReplicaId id(wanted.id());
    const schema::Member *member = replication::findMember(core_->membership(), id);
    // A request for a member that answers may come from a disk that was lost before. A member whose
    // disk is lost soon falls silent, and its requests are repeated.
    if (member != nullptr && core_->isRecentlyHeard(id, steadyNow()))
        joinRequests_.erase(id);
    const auto joining = joinRequests_.find(id);
    if (joining != joinRequests_.end()
        && (member == nullptr || member->incarnation() != joining->second.incarnation())) {
        schema::Member learner;
        learner.set_id(id.value());
        learner.set_address(wanted.address());
        learner.set_incarnation(joining->second.incarnation());
        learner.set_zone(joining->second.zone());
        joinRequests_.erase(joining);
        LogEvent("learner-added").with("peer", id.value());
        return core_->proposeMembership(replication::withMember(core_->membership(), learner))
            .has_value();
    }
    if (member == nullptr || member->voter())
        return false;
    const bool caughtUp =
        core_->matchIndexOf(id).value() + MaxPromotionLagRecords >= core_->lastIndex().value();
    if (!caughtUp || core_->matchIndexOf(id).value() == 0
        || !core_->isRecentlyHeard(id, steadyNow()))
        return false;
    schema::Member voter = *member;
    voter.set_voter(true);
    LogEvent("learner-promoted").with("peer", id.value());
    return core_->proposeMembership(replication::withMember(core_->membership(), voter))
        .has_value();
}

} // namespace basilgap::control
