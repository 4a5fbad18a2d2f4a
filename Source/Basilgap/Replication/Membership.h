#pragma once

#include "Basilgap/Common/Ids.h"
#include "Replication.pb.h"

namespace basilgap::replication {

// Returns the member with the id, or null.
const schema::Member *findMember(const schema::Membership &membership, const ReplicaId &id);

size_t voterCount(const schema::Membership &membership);

// Number of voters known to be in the zone; 0 for the unknown zone, whose name is empty.
size_t votersInZone(const schema::Membership &membership, const ZoneName &zone);

// Whether at most one voter was added, removed, or demoted to a learner with a new incarnation.
// Then every quorum of one membership shares a voter with every quorum of the other.
bool isSingleVoterChange(const schema::Membership &from, const schema::Membership &to);

// Adds the member, or replaces the one with the same id.
schema::Membership withMember(schema::Membership membership, const schema::Member &member);
schema::Membership withoutMember(const schema::Membership &membership, const ReplicaId &id);

} // namespace basilgap::replication
