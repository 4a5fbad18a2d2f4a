#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Cell.pb.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// SHA-256 of a team's key, in hexadecimal.
using KeyHash = StrongType<struct KeyHashTag, std::string>;

// The view that this entry has in force, with the configuration, and the lease on it.
class ViewStore
{
public:
    // Puts a view in force. A view that is not newer than the one in force is ignored.
    Result<void> install(const schema::View &view);

    void setEntries(const schema::EntryList &list);

    // Extends the lease if the leader confirmed the revision in force. The lease runs from the time
    // at which the confirmed renewal was sent.
    void extendLease(Revision revision, Millis sentAt);

    // Whether requests may be accepted and dispatched.
    bool isLeaseValid(Millis now) const { return now < leaseEnd_; }
    Millis leaseLeft(Millis now) const { return leaseEnd_ - now; }

    Revision revision() const { return revision_; }
    const schema::CellConfig &config() const { return config_; }
    const std::string &hash() const { return hash_; }
    const std::set<ZoneName> &zonesOut() const { return zonesOut_; }
    bool isZoneOut(const ZoneName &zone) const { return zonesOut_.contains(zone); }
    const std::map<EntryId, schema::SessionState> &entries() const { return entries_; }

    // An authenticated caller: its team and the hash of its key.
    struct Caller
    {
        TeamName team;
        KeyHash key;
    };
    std::optional<Caller> authenticate(const std::string &authorization) const;
    bool isKeyValid(const Caller &caller) const;

    const schema::TeamConfig *findTeam(const TeamName &team) const;
    // Returns the route with the longest matching prefix, or null.
    const schema::RouteConfig *findRoute(const std::string &path) const;

private:
    void indexConfig();

    Revision revision_;
    schema::CellConfig config_;
    std::string hash_;
    std::set<ZoneName> zonesOut_;
    std::map<EntryId, schema::SessionState> entries_;
    std::unordered_map<KeyHash, TeamName> keys_;
    std::unordered_map<TeamName, int> teams_;
    Millis leaseEnd_;
};

} // namespace basilgap::entry
