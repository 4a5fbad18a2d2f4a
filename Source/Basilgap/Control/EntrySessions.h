#pragma once

#include <functional>
#include <map>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/SessionTable.h"
#include "Peer.pb.h"

namespace basilgap::network {
class PeerStream;
}

namespace basilgap::control {

using state::EntryNumber;

// State that the leader keeps for one incarnation of an entry, besides its replicated session.
struct EntryLink
{
    EntryNumber number;
    network::PeerStream *stream = nullptr;
    Millis lastHeardAt;
    // Of the last renewal. The entry counts them over all of its streams.
    uint64_t sequence = 0;
    Revision reportedRevision;
    bool isStopping = false;
    std::vector<schema::TeamDemand> demand;
    std::map<uint32_t, schema::Holding> holdings;
    std::vector<uint32_t> doubtfulKeys;
    // The last announcement that each backend server made to this entry.
    std::map<BackendId, schema::Announcement> announcements;
    // Values last sent on the stream, so that only changes are sent.
    std::map<uint32_t, schema::AllotmentView> sentAllotments;
    std::map<uint32_t, schema::BackendView> sentBackends;
    std::map<std::string, uint32_t> sentWeights;
    // The serialized EntryList.
    std::string sentEntries;
    bool hasSentChanges = false;
};

// The leader's record of the entries' view leases: which revisions of the configuration each entry
// may still act on, and until when.
class EntrySessions
{
public:
    // An earlier leader may have confirmed leases until now, so each entry is assumed to hold a
    // lease that was renewed at `now`.
    EntrySessions(const state::SessionTable &sessions, Millis now);

    // Records a renewal of an open session.
    EntryLink &recordRenewal(
        EntryNumber number, network::PeerStream *stream, const schema::Renew &renew, Millis now);

    // Records that the entry was sent a confirmation of the revision. `received` is the arrival
    // time of the renewal that it answers.
    void recordConfirmation(EntryNumber number, Revision revision, Millis received);

    // Whether the session is connected and has been renewed lately.
    bool isRecentlyRenewed(EntryNumber number, Millis now) const;

    void streamClosed(const network::PeerStream *stream);

    // Whether no entry can still act on an older revision.
    bool isInForce(Revision revision, Millis now) const;

    // Time at which the last lease of the entry ends.
    Millis leaseEnd(EntryNumber number) const;

    // Open sessions to close: silent for too long and without a lease.
    std::vector<schema::SessionState> silentSessions(Millis now) const;

    // Whether the entry has sent a later renewal, on whichever stream.
    bool isOutdated(EntryNumber number, const schema::Renew &renew) const;

    EntryLink *find(EntryNumber number);
    std::map<EntryNumber, EntryLink> &links() { return links_; }
    const std::map<EntryNumber, EntryLink> &links() const { return links_; }

private:
    struct Lease
    {
        Revision revision;
        Millis end;
    };

    const state::SessionTable &sessions_;
    Millis leadershipStart_;
    std::map<EntryNumber, EntryLink> links_;
    // For each entry, the latest lease expiry of each revision.
    std::map<EntryNumber, std::vector<Lease>> leases_;
};

} // namespace basilgap::control
