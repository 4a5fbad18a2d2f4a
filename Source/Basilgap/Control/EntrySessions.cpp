#include "Basilgap/Control/EntrySessions.h"

#include <algorithm>

#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::control {

namespace {

constexpr Millis SessionSilenceTimeout{ 5000 };
constexpr Millis MaxRenewalAge{ 1500 };

} // namespace

EntrySessions::EntrySessions(const state::SessionTable &sessions, Millis now)
    : sessions_(sessions)
    , leadershipStart_(now)
{}

EntryLink &EntrySessions::recordRenewal(
    EntryNumber number, network::PeerStream *stream, const schema::Renew &renew, Millis now)
{
    EntryLink &link = links_[number];
    if (link.stream != stream || renew.full()) {
        link = EntryLink();
        link.number = number;
        link.stream = stream;
    }
    link.lastHeardAt = now;
    link.sequence = renew.sequence();
    link.reportedRevision = Revision(renew.revision());
    link.isStopping = renew.stopping();
    if (!renew.demand_unchanged())
        link.demand.assign(renew.demand().begin(), renew.demand().end());
    for (const auto &holding : renew.holdings())
        link.holdings[holding.key()] = holding;
    link.doubtfulKeys.assign(renew.doubtful().begin(), renew.doubtful().end());
    return link;
}

void EntrySessions::recordConfirmation(EntryNumber number, Revision revision, Millis received)
{
    const Millis end = received + ViewLease + ViewLeaseMargin;
    std::vector<Lease> &leases = leases_[number];
    std::erase_if(leases,
        [&](const Lease &lease) { return lease.end <= received || lease.revision == revision; });
    leases.push_back({ revision, end });
}

bool EntrySessions::isRecentlyRenewed(EntryNumber number, Millis now) const
{
    const auto link = links_.find(number);
    return link != links_.end() && link->second.stream != nullptr
        && now - link->second.lastHeardAt < MaxRenewalAge;
}

void EntrySessions::streamClosed(const network::PeerStream *stream)
{
    for (auto &[number, link] : links_) {
        if (link.stream == stream)
            link.stream = nullptr;
    }
}

bool EntrySessions::isInForce(Revision revision, Millis now) const
{
    // This wait also covers leases of entries whose sessions are now closed or unknown.
    const bool earlierLeaseMayBeValid = now < leadershipStart_ + ViewLease + ViewLeaseMargin;
    for (const auto &[number, session] : sessions_.all()) {
        const auto link = links_.find(number);
        if (link != links_.end() && link->second.reportedRevision >= revision)
            continue;
        if (earlierLeaseMayBeValid)
            return false;
        const auto leases = leases_.find(number);
        if (leases == leases_.end())
            continue;
        for (const Lease &lease : leases->second) {
            if (lease.revision < revision && now < lease.end)
                return false;
        }
    }
    return true;
}

Millis EntrySessions::leaseEnd(EntryNumber number) const
{
    Millis end = leadershipStart_ + ViewLease + ViewLeaseMargin;
    const auto leases = leases_.find(number);
    if (leases == leases_.end())
        return end;
    for (const Lease &lease : leases->second)
        end = std::max(end, lease.end);
    return end;
}

std::vector<schema::SessionState> EntrySessions::silentSessions(Millis now) const
{
    std::vector<schema::SessionState> result;
    for (const auto &[number, session] : sessions_.all()) {
        const auto link = links_.find(number);
        const Millis lastHeardAt =
            link == links_.end() ? leadershipStart_ : link->second.lastHeardAt;
        if (!session.closed() && now - lastHeardAt > SessionSilenceTimeout
            && now >= leaseEnd(number))
            result.push_back(session);
    }
    return result;
}

bool EntrySessions::isOutdated(EntryNumber number, const schema::Renew &renew) const
{
    const auto link = links_.find(number);
    return link != links_.end() && renew.sequence() < link->second.sequence;
}

EntryLink *EntrySessions::find(EntryNumber number)
{
    const auto found = links_.find(number);
    return found == links_.end() ? nullptr : &found->second;
}

} // namespace basilgap::control
