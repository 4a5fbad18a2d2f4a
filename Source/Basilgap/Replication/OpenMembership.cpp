#include "Basilgap/Replication/OpenMembership.h"

#include <utility>

#include "Basilgap/Replication/Membership.h"

namespace basilgap::replication {

namespace {

// Number of records that a learner may be behind when it is promoted to voter.
constexpr uint64_t MaxPromotionLagRecords = 100;

// With five voters an open cell survives the loss of two, and a commit needs three syncs.
constexpr size_t MaxVoters = 5;

// Silence after which a member is removed: a voter only while a learner can replace it. Longer
// than a restart takes.
constexpr Millis MemberSilenceTimeout{ 15000 };

} // namespace

const char *toText(MembershipChange::Kind kind)
{
    switch (kind) {
    case MembershipChange::Kind::AddLearner:
        return "learner-added";
    case MembershipChange::Kind::PromoteLearner:
        return "learner-promoted";
    case MembershipChange::Kind::RemoveMember:
        return "member-removed";
    }
    return "?";
}

OpenMembership::OpenMembership(ReplicaId self)
    : self_(std::move(self))
{}

void OpenMembership::requestJoin(const schema::Member &replica)
{
    joinRequests_[ReplicaId(replica.id())] = replica;
}

std::optional<MembershipChange> OpenMembership::nextChange(const RaftCore &core, Millis now)
{
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        Millis &heard = lastHeardAt_.try_emplace(id, now).first->second;
        if (id == self_ || core.isRecentlyHeard(id, now))
            heard = now;
    }
    if (auto change = addJoiningLearner(core, now))
        return change;
    if (auto change = promoteLearner(core, now))
        return change;
    return removeSilentMember(core, now);
}

std::optional<MembershipChange> OpenMembership::addJoiningLearner(const RaftCore &core, Millis now)
{
    while (!joinRequests_.empty()) {
        schema::Member learner = joinRequests_.extract(joinRequests_.begin()).mapped();
        learner.set_voter(false);
        const ReplicaId id(learner.id());
        const schema::Member *member = findMember(core.membership(), id);
        if (id == self_ || (member != nullptr && member->incarnation() == learner.incarnation()))
            continue;
        lastHeardAt_[id] = now;
        return MembershipChange{ .kind = MembershipChange::Kind::AddLearner,
            .member = id,
            .membership = withMember(core.membership(), learner) };
    }
    return std::nullopt;
}

std::optional<MembershipChange> OpenMembership::promoteLearner(const RaftCore &core, Millis now)
{
    if (voterCount(core.membership()) >= MaxVoters)
        return std::nullopt;
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        const uint64_t match = core.matchIndexOf(id).value();
        if (member.voter() || match == 0 || !core.isRecentlyHeard(id, now)
            || match + MaxPromotionLagRecords < core.lastIndex().value())
            continue;
        schema::Member voter = member;
        voter.set_voter(true);
        return MembershipChange{ .kind = MembershipChange::Kind::PromoteLearner,
            .member = id,
            .membership = withMember(core.membership(), voter) };
    }
    return std::nullopt;
}

std::optional<MembershipChange> OpenMembership::removeSilentMember(const RaftCore &core, Millis now)
{
    const schema::Member *silent = nullptr;
    bool spare = false;
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        spare = spare || (!member.voter() && core.isRecentlyHeard(id, now));
        if (now - lastHeardAt_[id] > MemberSilenceTimeout)
            silent = &member;
    }
    if (silent == nullptr || (silent->voter() && !spare))
        return std::nullopt;
    const ReplicaId id(silent->id());
    const Millis silence = now - lastHeardAt_[id];
    lastHeardAt_.erase(id);
    return MembershipChange{ .kind = MembershipChange::Kind::RemoveMember,
        .member = id,
        .silence = silence,
        .membership = withoutMember(core.membership(), id) };
}

} // namespace basilgap::replication
