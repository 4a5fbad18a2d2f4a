#include "Basilgap/Replication/Membership.h"

#include <algorithm>
#include <set>
#include <utility>

namespace basilgap::replication {

namespace {

using Voter = std::pair<std::string, uint64_t>;

std::set<Voter> votersOf(const schema::Membership &membership)
{
    std::set<Voter> voters;
    for (const auto &member : membership.members()) {
        if (member.voter())
            voters.emplace(member.id(), member.incarnation());
    }
    return voters;
}

} // namespace

const schema::Member *findMember(const schema::Membership &membership, const ReplicaId &id)
{
    for (const auto &member : membership.members()) {
        if (member.id() == id.value())
            return &member;
    }
    return nullptr;
}

size_t voterCount(const schema::Membership &membership)
{
    return static_cast<size_t>(std::count_if(membership.members().begin(),
        membership.members().end(), [](const auto &member) { return member.voter(); }));
}

size_t votersInZone(const schema::Membership &membership, const ZoneName &zone)
{
    if (zone.value().empty())
        return 0;
    return static_cast<size_t>(
        std::count_if(membership.members().begin(), membership.members().end(),
            [&](const auto &member) { return member.voter() && member.zone() == zone.value(); }));
}

bool isSingleVoterChange(const schema::Membership &from, const schema::Membership &to)
{
    const std::set<Voter> before = votersOf(from);
    const std::set<Voter> after = votersOf(to);
    std::vector<Voter> changed;
    std::set_symmetric_difference(
        before.begin(), before.end(), after.begin(), after.end(), std::back_inserter(changed));
    return changed.size() <= 1 && !after.empty();
}

schema::Membership withMember(schema::Membership membership, const schema::Member &member)
{
    for (auto &existing : *membership.mutable_members()) {
        if (existing.id() == member.id()) {
            existing = member;
            return membership;
        }
    }
    *membership.add_members() = member;
    return membership;
}

schema::Membership withoutMember(const schema::Membership &membership, const ReplicaId &id)
{
    schema::Membership result;
    result.set_cell_id(membership.cell_id());
    for (const auto &member : membership.members()) {
        if (member.id() != id.value())
            *result.add_members() = member;
    }
    return result;
}

} // namespace basilgap::replication
