#pragma once

#include "Basilgap/Common/Ids.h"
#include "Replication.pb.h"

namespace basilgap::replication {

// The member with the id, or null.
const schema::Member *findMember(const schema::Membership &membership, const ReplicaId &id);

size_t voterCount(const schema::Membership &membership);

// True when any quorum of one membership shares a voter with any quorum of the other: at most one
// voter was added, removed or given a new incarnation as a learner.
bool isSingleVoterChange(const schema::Membership &from, const schema::Membership &to);

// Replaces the member of the same id, or adds it.
schema::Membership withMember(schema::Membership membership, const schema::Member &member);
schema::Membership withoutMember(const schema::Membership &membership, const ReplicaId &id);

} // namespace basilgap::replication
