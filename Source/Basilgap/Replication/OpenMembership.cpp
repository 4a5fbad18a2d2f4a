#include "Basilgap/Replication/OpenMembership.h"

#include <algorithm>
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

// The contact that a learner and all voters have had without a gap when the learner takes the place
// of a voter in a fuller zone. Shorter than the time between two losses.
constexpr Millis ZoneExchangeContact{ 2000 };

// By how many voters a zone must be fuller than the learner's. One more would be an exchange that
// could be made back.
constexpr size_t ZoneExchangeDifference = 2;

// Silence after which a learner is removed. Longer than a restart takes.
constexpr Millis LearnerSilenceTimeout{ 15000 };

// Voters in the zone of a member that may become one; an unknown zone may be the fullest.
size_t votersBeside(const schema::Membership &membership, const schema::Member &learner)
{
    return learner.zone().empty() ? MaxVoters : votersInZone(membership, ZoneName(learner.zone()));
}

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
    case MembershipChange::Kind::PromoteForZone:
        return "learner-promoted-for-zone";
    case MembershipChange::Kind::DemoteForZone:
        return "voter-demoted-for-zone";
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
    if (auto change = demoteForZone(core, now))
        return change;
    if (auto change = promoteForZone(core, now))
        return change;
    return removeSilentLearner(core, now);
}

// Forgets what was learned while another replica may have led. Requests to join are repeated.
void OpenMembership::beginTerm(Term term)
{
    term_ = term;
    contacts_.clear();
    joinRequests_.clear();
}

void OpenMembership::noteHeardMembers(const RaftCore &core, Millis now)
{
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        const Contact begin{ .lastHeardAt = now, .heardSince = now };
        Contact &contact = contacts_.try_emplace(id, begin).first->second;
        if (id == self_ || core.isRecentlyHeard(id, now))
            contact.lastHeardAt = now;
        else
            contact.heardSince = now;
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
        contacts_[id] = { .lastHeardAt = now, .heardSince = now };
        return MembershipChange{ .kind = MembershipChange::Kind::AddLearner,
            .member = id,
            .zone = ZoneName(learner.zone()),
            .membership = withMember(core.membership(), learner) };
    }
    return std::nullopt;
}

// Of the learners that have caught up and answer, one in a zone with the fewest voters, or null.
const schema::Member *OpenMembership::promotableLearner(
    const RaftCore &core, Millis minContact, Millis now) const
{
    const schema::Member *found = nullptr;
    for (const auto &member : core.membership().members()) {
        const ReplicaId id(member.id());
        const uint64_t match = core.matchIndexOf(id).value();
        if (member.voter() || match == 0 || !core.isRecentlyHeard(id, now)
            || now - contacts_.at(id).heardSince < minContact
            || match + MaxPromotionLagRecords < core.lastIndex().value())
            continue;
        if (found == nullptr
            || votersBeside(core.membership(), member) < votersBeside(core.membership(), *found))
            found = &member;
    }
    return found;
}

std::optional<MembershipChange> OpenMembership::promoteLearner(
    const RaftCore &core, Millis now) const
{
    const schema::Member *learner = promotableLearner(core, Millis(), now);
    if (learner == nullptr || voterCount(core.membership()) >= MaxVoters)
        return std::nullopt;
    schema::Member voter = *learner;
    voter.set_voter(true);
    return MembershipChange{ .kind = MembershipChange::Kind::PromoteLearner,
        .member = ReplicaId(voter.id()),
        .zone = ZoneName(voter.zone()),
        .membership = withMember(core.membership(), voter) };
}

// The next change then promotes the learner that is ready. A voter too many needs no learner.
std::optional<MembershipChange> OpenMembership::demoteSilentVoter(
    const RaftCore &core, Millis now) const
{
    const schema::Member *silent = longestSilent(core, true, VoterSilenceTimeout, now);
    const bool isSurplus = voterCount(core.membership()) > MaxVoters;
    if (silent == nullptr || (!isSurplus && promotableLearner(core, Millis(), now) == nullptr))
        return std::nullopt;
    schema::Member learner = *silent;
    learner.set_voter(false);
    const ReplicaId id(learner.id());
    return MembershipChange{ .kind = MembershipChange::Kind::DemoteVoter,
        .member = id,
        .zone = ZoneName(learner.zone()),
        .silence = now - contacts_.at(id).lastHeardAt,
        .membership = withMember(core.membership(), learner) };
}

// An exchange for a zone promotes first: of six voters, two and any zone of two may be lost as of
// five, while of four only one may be lost.
std::optional<MembershipChange> OpenMembership::promoteForZone(
    const RaftCore &core, Millis now) const
{
    const schema::Membership &membership = core.membership();
    const schema::Member *learner = promotableLearner(core, ZoneExchangeContact, now);
    if (learner == nullptr || voterCount(membership) != MaxVoters
        || !areVotersHeard(core, ZoneExchangeContact, now))
        return std::nullopt;
    size_t fullest = 0;
    for (const auto &member : membership.members())
        fullest = std::max(fullest, votersInZone(membership, ZoneName(member.zone())));
    if (fullest < votersBeside(membership, *learner) + ZoneExchangeDifference)
        return std::nullopt;
    schema::Member voter = *learner;
    voter.set_voter(true);
    return MembershipChange{ .kind = MembershipChange::Kind::PromoteForZone,
        .member = ReplicaId(voter.id()),
        .zone = ZoneName(voter.zone()),
        .membership = withMember(membership, voter) };
}

// Of more voters than wanted, the one that is furthest behind in the fullest zone gives way, but
// not the leader, and none while another one is silent: that one then gives way.
std::optional<MembershipChange> OpenMembership::demoteForZone(
    const RaftCore &core, Millis now) const
{
    const schema::Membership &membership = core.membership();
    if (voterCount(membership) <= MaxVoters || !areVotersHeard(core, Millis(), now))
        return std::nullopt;
    const schema::Member *found = nullptr;
    std::pair<size_t, LogIndex> best;
    for (const auto &member : membership.members()) {
        const ReplicaId id(member.id());
        if (!member.voter() || id == self_)
            continue;
        const size_t inZone = votersInZone(membership, ZoneName(member.zone()));
        const LogIndex match = core.matchIndexOf(id);
        if (found != nullptr
            && (inZone < best.first || (inZone == best.first && match >= best.second)))
            continue;
        found = &member;
        best = { inZone, match };
    }
    schema::Member learner = *found;
    learner.set_voter(false);
    return MembershipChange{ .kind = MembershipChange::Kind::DemoteForZone,
        .member = ReplicaId(learner.id()),
        .zone = ZoneName(learner.zone()),
        .membership = withMember(membership, learner) };
}

// A new leader has heard a voter only once that has acknowledged a record.
bool OpenMembership::areVotersHeard(const RaftCore &core, Millis minContact, Millis now) const
{
    return std::all_of(core.membership().members().begin(), core.membership().members().end(),
        [&](const schema::Member &member) {
            const ReplicaId id(member.id());
            if (!member.voter() || id == self_)
                return true;
            return core.matchIndexOf(id).value() > 0 && core.isRecentlyHeard(id, now)
                && now - contacts_.at(id).heardSince >= minContact;
        });
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
        .zone = ZoneName(silent->zone()),
        .silence = now - contacts_.at(id).lastHeardAt,
        .membership = withoutMember(core.membership(), id) };
}

const schema::Member *OpenMembership::longestSilent(
    const RaftCore &core, bool voter, Millis minSilence, Millis now) const
{
    const schema::Member *found = nullptr;
    Millis silence = minSilence;
    for (const auto &member : core.membership().members()) {
        const Millis ofMember = now - contacts_.at(ReplicaId(member.id())).lastHeardAt;
        if (member.voter() != voter || ofMember <= silence)
            continue;
        found = &member;
        silence = ofMember;
    }
    return found;
}

} // namespace basilgap::replication
