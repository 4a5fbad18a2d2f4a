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

// The backend servers as this entry sees them, and the choice between them.
class BackendTable
{
public:
    struct Backend
    {
        schema::BackendView view;
        double latencyMs = 0;
        int consecutiveFailures = 0;
        int consecutiveEjections = 0;
        Millis ejectedUntil;
        uint32_t activeExchanges = 0;
        // Times at which exchanges were given up that may still run, and until when they count.
        struct AbandonedExchange
        {
            Millis abandonedAt;
            Millis expiresAt;
            TeamName team;
        };
        std::deque<AbandonedExchange> abandonedExchanges;
    };

    struct Options
    {
        ZoneName zone;
        uint64_t seed = 1;
    };

    BackendTable(Options options, HoldingTable &holdings);

    void update(const schema::RenewReply &reply);
    void setZonesOut(const std::set<ZoneName> &zones) { zonesOut_ = zones; }
    // How many entries share the backend servers' connections.
    void setEntryCount(size_t count) { entryCount_ = count; }

    // The backend server for the next request, not one that was tried already; nothing when none
    // has a free slot.
    std::optional<BackendId> choose(
        const PoolName &pool, const std::set<BackendId> &triedBackends, Millis now);
    bool hasFreeSlot(const PoolName &pool, Millis now) const;
    // Whether every backend server of the pool that serves has been tried.
    bool wereAllTried(const PoolName &pool, const std::set<BackendId> &triedBackends) const;

    // Slots held for the pool.
    uint32_t heldSlots(const PoolName &pool) const;

    void recordStart(const BackendId &backend);
    // The exchange ended with an answer.
    void recordAnswer(const BackendId &backend, double milliseconds);
    // The exchange ended without one; nothing of it runs any more.
    void recordFailure(const BackendId &backend, Millis now);
    // The exchange was given up and may still run, until the given time at most.
    void recordAbandoned(
        const BackendId &backend, const TeamName &team, Millis now, Millis expiresAt);

    // Ends doubts that a later report or the time has settled; the teams whose slots they held.
    std::vector<TeamName> releaseAbandoned(const schema::RenewReply *reply, Millis now);
    std::vector<uint32_t> keysWithAbandonedExchanges() const;

    const Backend *find(const BackendId &backend) const;
    const std::map<BackendId, Backend> &all() const { return backends_; }

private:
    bool isUsable(const Backend &backend, Millis now) const;
    uint32_t freeSlots(const Backend &backend) const;
    double score(const Backend &backend) const;
    void countFailure(Backend *backend, Millis now);
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
