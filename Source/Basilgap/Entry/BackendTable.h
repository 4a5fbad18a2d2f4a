#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Entry/HoldingTable.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// The backend servers known to this entry, with their load and health, and the selection of one
// for each request.
class BackendTable
{
public:
    struct Backend
    {
        schema::BackendView view;
        // Exponential moving average.
        double latencyMs = 0;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        Millis ejectedUntil;
        uint32_t activeExchanges = 0;
        // An exchange without an answer that may still run on the backend server. It occupies its
        // slot until a later report shows that it ended, or until it expires. Oldest first.
        struct AbandonedExchange
        {
            Millis abandonedAt;
            Millis expiresAt;
            TeamName team;
        };
        std::deque<AbandonedExchange> abandonedExchanges;
    };

    // The other side of an exchange. How it ends tells nothing of later incarnations.
    struct Peer
    {
        BackendId backend;
        Incarnation incarnation;
    };

    struct Options
    {
        ZoneName zone;
        uint64_t seed = 1;
    };

    BackendTable(Options options, HoldingTable &holdings);

    void update(const schema::RenewReply &reply);
    void setZonesOut(const std::set<ZoneName> &zones) { zonesOut_ = zones; }
    // Sets among how many entries the backend servers' connections are divided.
    void setEntryCount(size_t count) { entryCount_ = count; }

    // Selects a backend server with a free slot that has not been tried, by the power of two
    // choices and preferably in this entry's zone. Returns none if there is no such server.
    std::optional<BackendId> choose(
        const PoolName &pool, const std::set<BackendId> &triedBackends, Millis now);
    bool hasFreeSlot(const PoolName &pool, Millis now) const;
    // Whether all backend servers of the pool that are in service have been tried.
    bool wereAllTried(const PoolName &pool, const std::set<BackendId> &triedBackends) const;

    // Sum of the slots that this entry holds on the pool's backend servers.
    uint32_t heldSlots(const PoolName &pool) const;

    // Records an exchange with the backend server's present incarnation.
    Peer recordStart(const BackendId &backend);
    // Records an exchange that ended with an answer.
    void recordAnswer(const Peer &peer, double milliseconds);
    // Records an exchange that ended without an answer and no longer runs.
    void recordFailure(const Peer &peer, Millis now);
    // Records an exchange that was given up and may still run, at the latest until expiresAt.
    void recordAbandoned(const Peer &peer, const TeamName &team, Millis now, Millis expiresAt);

    // Releases the slots of abandoned exchanges that have expired or that a backend server's later
    // report no longer counts. Returns the team of each one. The reply may be null.
    std::vector<TeamName> releaseAbandoned(const schema::RenewReply *reply, Millis now);
    std::vector<uint32_t> keysWithAbandonedExchanges() const;

    const Backend *find(const BackendId &backend) const;
    const std::map<BackendId, Backend> &all() const { return backends_; }

private:
    bool isUsable(const Backend &backend, Millis now) const;
    uint32_t freeSlots(const Backend &backend) const;
    double score(const Backend &backend) const;
    static bool isPresent(const Backend &backend, const Peer &peer);
    void countFailure(Backend *backend, const Peer &peer, Millis now);
    void releaseSlot(Backend *backend);

    Options options_;
    HoldingTable &holdings_;
    std::mt19937_64 random_;
    std::map<BackendId, Backend> backends_;
    std::map<uint32_t, BackendId> idsByKey_;
    std::set<ZoneName> zonesOut_;
    size_t entryCount_ = 1;
};

} // namespace basilgap::entry
