#pragma once

#include <map>
#include <optional>

#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

// A change of the membership for the leader to propose.
struct MembershipChange
{
    enum class Kind { AddLearner, PromoteLearner, DemoteVoter, RemoveLearner };

    Kind kind = Kind::AddLearner;
    ReplicaId member;
    // Availability zone of the member; empty if unknown.
    std::string zone;
    // How long the member has been silent.
    Millis silence;
    schema::Membership membership;
};

const char *toText(MembershipChange::Kind kind);

// Decides on the leader which replicas are members of an open cell, in which every replica that
// asks becomes a learner. Learners become voters up to a fixed number; one that is ready takes the
// place of a voter that has fallen silent. Without clock or sockets.
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
    void beginTerm(Term term);
    void noteHeardMembers(const RaftCore &core, Millis now);
    std::optional<MembershipChange> addJoiningLearner(const RaftCore &core, Millis now);
    static const schema::Member *promotableLearner(const RaftCore &core, Millis now);
    static std::optional<MembershipChange> promoteLearner(const RaftCore &core, Millis now);
    std::optional<MembershipChange> demoteSilentVoter(const RaftCore &core, Millis now) const;
    std::optional<MembershipChange> removeSilentLearner(const RaftCore &core, Millis now) const;
    const schema::Member *longestSilent(
        const RaftCore &core, bool voter, Millis minSilence, Millis now) const;

    ReplicaId self_;
    std::map<ReplicaId, schema::Member> joinRequests_;
    // When each member was last heard from in the term in which this replica leads.
    std::map<ReplicaId, Millis> lastHeardAt_;
    Term term_;
};

} // namespace basilgap::replication
