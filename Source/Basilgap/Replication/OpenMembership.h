#pragma once

#include <map>
#include <optional>

#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

// A change of the membership for the leader to propose.
struct MembershipChange
{
    enum class Kind {
        AddLearner,
        PromoteLearner,
        DemoteVoter,
        RemoveLearner,
        PromoteForZone,
        DemoteForZone
    };

    Kind kind = Kind::AddLearner;
    ReplicaId member;
    // Availability zone of the member; empty if unknown.
    ZoneName zone;
    // How long the member has been silent.
    Millis silence;
    schema::Membership membership;
};

const char *toText(MembershipChange::Kind kind);

// Decides on the leader which replicas are members of an open cell, in which every replica that
// asks becomes a learner. Learners become voters up to a fixed number; one that is ready takes the
// place of a voter that has fallen silent, or of one in a zone with two voters more than its own. A
// member whose zone is unknown is promoted last and never exchanged for its zone. Without clock or
// sockets.
class OpenMembership
{
public:
    explicit OpenMembership(ReplicaId self);

    // A replica asks to become a member: its id, incarnation, address and zone.
    void requestJoin(const schema::Member &replica);

    // The next change to propose, if any. Only called on an established leader while all earlier
    // changes are committed, and often, because each call notes which members were heard.
    std::optional<MembershipChange> nextChange(const RaftCore &core, Millis now);

private:
    struct Contact
    {
        Millis lastHeardAt;
        // Since when the member has been heard without a gap.
        Millis heardSince;
    };

    void beginTerm(Term term);
    void noteHeardMembers(const RaftCore &core, Millis now);
    std::optional<MembershipChange> addJoiningLearner(const RaftCore &core, Millis now);
    const schema::Member *promotableLearner(
        const RaftCore &core, Millis minContact, Millis now) const;
    std::optional<MembershipChange> promoteLearner(const RaftCore &core, Millis now) const;
    std::optional<MembershipChange> demoteSilentVoter(const RaftCore &core, Millis now) const;
    std::optional<MembershipChange> promoteForZone(const RaftCore &core, Millis now) const;
    std::optional<MembershipChange> demoteForZone(const RaftCore &core, Millis now) const;
    bool areVotersHeard(const RaftCore &core, Millis minContact, Millis now) const;
    std::optional<MembershipChange> removeSilentLearner(const RaftCore &core, Millis now) const;
    const schema::Member *longestSilent(
        const RaftCore &core, bool voter, Millis minSilence, Millis now) const;

    ReplicaId self_;
    std::map<ReplicaId, schema::Member> joinRequests_;
    // The contact to each member in the term in which this replica leads.
    std::map<ReplicaId, Contact> contacts_;
    Term term_;
};

} // namespace basilgap::replication
