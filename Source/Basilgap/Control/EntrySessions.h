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

// What the leader knows of one life of an entry beyond its replicated session.
struct EntryLink
{
    EntryNumber number;
    network::PeerStream *stream = nullptr;
    Millis lastHeardAt;
    Revision reportedRevision;
    bool isStopping = false;
    std::vector<schema::TeamDemand> demand;
    std::map<uint32_t, schema::Holding> holdings;
    std::vector<uint32_t> doubtfulKeys;
    // What was sent on the stream, so that only changes are sent again.
    std::map<uint32_t, schema::AllotmentView> sentAllotments;
    std::map<uint32_t, schema::BackendView> sentBackends;
    std::map<std::string, uint32_t> sentWeights;
    // Serialized.
    std::string sentEntries;
    bool hasSentChanges = false;
};

// View leases of the entries, seen from the leader: which configuration each entry may still act
// on, and until when.
class EntrySessions
{
public:
    // Every lease that an earlier leader may have confirmed counts as renewed now.
    EntrySessions(const state::SessionTable &sessions, Millis now);

    // Takes in a renewal of an open session.
    EntryLink &recordRenewal(
        EntryNumber number, network::PeerStream *stream, const schema::Renew &renew, Millis now);

    // The entry was told that the revision is confirmed; its renewal had arrived at `received`.
    void recordConfirmation(EntryNumber number, Revision revision, Millis received);

    void streamClosed(const network::PeerStream *stream);

    // Whether no entry can act on an older revision any more.
    bool isInForce(Revision revision, Millis now) const;

    // Time at which the last lease of the entry ends.
    Millis leaseEnd(EntryNumber number) const;

    // Open sessions that were silent for so long that they should be closed.
    std::vector<schema::SessionState> silentSessions(Millis now) const;

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
    // The latest end of a lease for each revision, for each entry.
    std::map<EntryNumber, std::vector<Lease>> leases_;
};

} // namespace basilgap::control
