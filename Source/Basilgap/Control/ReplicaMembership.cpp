// How a replica without state finds its cell, and how the leader brings the members in line with
// the configuration.

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Control/ReplicaTask.h"
#include "Basilgap/Replication/Membership.h"

namespace basilgap::control {

namespace {

// Records that a learner may lack when it becomes a voter.
constexpr uint64_t CaughtUpRecords = 100;

} // namespace

schema::Member ReplicaTask::selfMember() const
{
    schema::Member member;
    member.set_id(self_.value());
    member.set_incarnation(storage_->incarnation().value());
    member.set_voter(true);
    for (const auto &peer : options_.settings.peers()) {
        if (peer.id() == self_.value())
            member.set_address(peer.address());
    }
    return member;
}

void ReplicaTask::probe()
{
    if (!core_->isBlank())
        return;
    const schema::Member self = selfMember();
    for (const auto &[id, link] : links_) {
        schema::PeerMessage message;
        message.mutable_probe()->set_id(self_.value());
        message.mutable_probe()->set_incarnation(self.incarnation());
        message.mutable_probe()->set_address(self.address());
        link->send(message);
    }
    formWhenAllBlank();
}

void ReplicaTask::handleProbe(network::PeerStream &stream, const schema::Probe &probe)
{
    schema::PeerMessage message;
    schema::ProbeReply *reply = message.mutable_probe_reply();
    reply->set_id(self_.value());
    reply->set_incarnation(storage_->incarnation().value());
    reply->set_blank(core_->isBlank());
    stream.send(message);
    if (core_->isBlank())
        return;
    // It never acknowledged anything under this incarnation, so the first record is all it lacks
    // to take part in the first election.
    const schema::Member *member =
        replication::findMember(core_->membership(), ReplicaId(probe.id()));
    const bool known =
        member != nullptr && member->voter() && member->incarnation() == probe.incarnation();
    const auto forming = core_->formingMembership();
    if (known && forming) {
        schema::PeerMessage form;
        *form.mutable_form()->mutable_membership() = *forming;
        sendTo(ReplicaId(probe.id()), form);
    }
    if (!known)
        joining_[ReplicaId(probe.id())] = probe;
}

void ReplicaTask::handleProbeReply(const schema::ProbeReply &reply)
{
    probeReplies_[ReplicaId(reply.id())] = reply;
}

// Only the first replica of the list forms a cell, and only once all others have just said that
// they are blank too.
void ReplicaTask::formWhenAllBlank()
{
    const auto replies = std::move(probeReplies_);
    probeReplies_.clear();
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
        member->set_voter(true);
    }
    if (first != self_)
        return;
    LogEvent("cell-formed").with("replicas", membership.members_size());
    core_->form(membership, steadyNow());
    scheduleFlush();
    schema::PeerMessage form;
    *form.mutable_form()->mutable_membership() = membership;
    for (const auto &[id, link] : links_)
        link->send(form);
}

void ReplicaTask::tendMembership()
{
    if (!leading_ || !core_->isMembershipCommitted())
        return;
    const auto &wanted = state_.config().config().replicas();
    if (wanted.empty()) {
        // Before the first file the members are those that formed the cell.
        for (const auto &peer : options_.settings.peers()) {
            schema::ReplicaConfig replica;
            replica.set_id(peer.id());
            replica.set_address(peer.address());
            if (tendMember(replica))
                return;
        }
        return;
    }
    for (const auto &replica : wanted) {
        if (tendMember(replica))
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

// Takes the next step for one wanted replica; true when a change was proposed.
bool ReplicaTask::tendMember(const schema::ReplicaConfig &wanted)
{
    const ReplicaId id(wanted.id());
    const schema::Member *member = replication::findMember(core_->membership(), id);
    const auto joining = joining_.find(id);
    if (joining != joining_.end()
        && (member == nullptr || member->incarnation() != joining->second.incarnation())) {
        schema::Member learner;
        learner.set_id(id.value());
        learner.set_address(wanted.address());
        learner.set_incarnation(joining->second.incarnation());
        joining_.erase(joining);
        LogEvent("learner-added").with("peer", id.value());
        return core_->proposeMembership(replication::withMember(core_->membership(), learner))
            .has_value();
    }
    if (member == nullptr || member->voter())
        return false;
    const bool caughtUp =
        core_->matchOf(id).value() + CaughtUpRecords >= core_->lastIndex().value();
    if (!caughtUp || core_->matchOf(id).value() == 0 || !core_->isRecentlyHeard(id, steadyNow()))
        return false;
    schema::Member voter = *member;
    voter.set_voter(true);
    LogEvent("learner-promoted").with("peer", id.value());
    return core_->proposeMembership(replication::withMember(core_->membership(), voter))
        .has_value();
}

} // namespace basilgap::control
