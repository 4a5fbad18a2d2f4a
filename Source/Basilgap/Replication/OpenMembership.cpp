#include "Basilgap/Replication/OpenMembership.h"

#include <utility>

#include "Basilgap/Replication/Membership.h"

namespace basilgap::replication {

namespace {

// Number of records that a learner may be behind when it is promoted to voter.
constexpr uint64_t MaxPromotionLagRecords = 100;

// With five voters an open cell survives the loss of two, and a commit needs three syncs.
constexpr size_t MaxVoters = 5;

// Silence after which a learner takes the place of a voter, which stays a learner itself. Hosts may
// be lost again 4 s after the successor of the last one has started; until then no lost host may
// count as a voter any more.
constexpr Millis VoterSilenceTimeout{ 2000 };

// Silence after which a learner is removed. Longer than a restart takes.
constexpr Millis LearnerSilenceTimeout{ 15000 };

} // namespace

const char *toText(MembershipChange::Kind kind)
{
    switch (kind) {
    case MembershipChange::Kind::AddLearner:
        return "learner-added";
    case MembershipChange::Kind::PromoteLearner:
        return "learner-promoted";
    case MembershipChange::Kind::DemoteVoter:
        return "voter-demoted";
    case MembershipChange::Kind::RemoveLearner:
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
    if (term_ != core.term())
        beginTerm(core.term());
    noteHeardMembers(core, now);
    if (auto change = addJoiningLearner(core, now))
        return change;
    if (auto change = promoteLearner(core, now))
        return change;
    if (auto change = demoteSilentVoter(core, now))
        return change;
    return removeSilentLearner(core, now);
}

// Forgets what was learned while another replica may have led. Requests to join are repeated.
void OpenMembership::beginTerm(Term term)
{
    term_ = term;
    lastHeardAt_.clear();
    joinRequests_.clear();
}

void OpenMembership::noteHeardMembers(const RaftCore &core, Millis now)
{
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        Millis &heard = lastHeardAt_.try_emplace(id, now).first->second;
        if (id == self_ || core.isRecentlyHeard(id, now))
            heard = now;
    }
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
        // Requests have no order: this one may come from a disk that was lost before. They are
        // repeated, and a member whose disk is lost soon falls silent.
        if (member != nullptr && core.isRecentlyHeard(id, now))
            continue;
        lastHeardAt_[id] = now;
        return MembershipChange{ .kind = MembershipChange::Kind::AddLearner,
            .member = id,
            .membership = withMember(core.membership(), learner) };
    }
    return std::nullopt;
}

// A learner that has caught up and answers, or null.
const schema::Member *OpenMembership::promotableLearner(const RaftCore &core, Millis now)
{
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        const uint64_t match = core.matchIndexOf(id).value();
        if (!member.voter() && match > 0 && core.isRecentlyHeard(id, now)
            && match + MaxPromotionLagRecords >= core.lastIndex().value())
            return &member;
    }
    return nullptr;
}

std::optional<MembershipChange> OpenMembership::promoteLearner(const RaftCore &core, Millis now)
{
    const schema::Member *learner = promotableLearner(core, now);
    if (learner == nullptr || voterCount(core.membership()) >= MaxVoters)
        return std::nullopt;
    schema::Member voter = *learner;
    voter.set_voter(true);
    return MembershipChange{ .kind = MembershipChange::Kind::PromoteLearner,
        .member = ReplicaId(voter.id()),
        .membership = withMember(core.membership(), voter) };
}

// The next change then promotes the learner that is ready.
std::optional<MembershipChange> OpenMembership::demoteSilentVoter(
    const RaftCore &core, Millis now) const
{
    const schema::Member *silent = longestSilent(core, true, VoterSilenceTimeout, now);
    if (silent == nullptr || promotableLearner(core, now) == nullptr)
        return std::nullopt;
    schema::Member learner = *silent;
    learner.set_voter(false);
    const ReplicaId id(learner.id());
    return MembershipChange{ .kind = MembershipChange::Kind::DemoteVoter,
        .member = id,
        .silence = now - lastHeardAt_.at(id),
        .membership = withMember(core.membership(), learner) };
}

std::optional<MembershipChange> OpenMembership::removeSilentLearner(
    const RaftCore &core, Millis now) const
{
    const schema::Member *silent = longestSilent(core, false, LearnerSilenceTimeout, now);
    if (silent == nullptr)
        return std::nullopt;
    const ReplicaId id(silent->id());
    return MembershipChange{ .kind = MembershipChange::Kind::RemoveLearner,
        .member = id,
        .silence = now - lastHeardAt_.at(id),
        .membership = withoutMember(core.membership(), id) };
}

const schema::Member *OpenMembership::longestSilent(
    const RaftCore &core, bool voter, Millis minSilence, Millis now) const
{
    const schema::Member *found = nullptr;
    Millis silence = minSilence;
    for (const auto &member : core.membership().members()) {
        const Millis ofMember = now - lastHeardAt_.at(ReplicaId(member.id()));
        if (member.voter() != voter || ofMember <= silence)
            continue;
        found = &member;
        silence = ofMember;
    }
    return found;
}

} // namespace basilgap::replication
