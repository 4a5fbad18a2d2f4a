#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Peer.pb.h"

namespace basilgap::entry {

// The parts of backend servers' slots and teams' limits that this entry may use. The entry shrinks
// a holding to the target that the leader sets as units become free; only the leader grows it.
class HoldingTable
{
public:
    struct Holding
    {
        std::string name;
        uint32_t held = 0;
        // The amount to which the leader asks the holding to shrink.
        uint32_t target = 0;
        // Epoch of the allotment that `held` was taken from.
        uint64_t epoch = 0;
        uint32_t inUse = 0;

        uint32_t free() const { return held > inUse ? held - inUse : 0; }
    };

    // Applies the leader's allotments. A new session voids all earlier holdings; a full list also
    // voids those that it does not name.
    void update(const schema::RenewReply &reply);

    const Holding *find(const std::string &name) const;
    uint32_t freeUnits(const std::string &name) const;

    // Marks one unit as in use. Units that are not held are counted too, so that the count is right
    // once they are.
    void acquire(const std::string &name);
    void release(const std::string &name);

    // Returns the holdings that changed since the last report, or all if `full`.
    std::vector<schema::Holding> takeReport(bool full);
    bool holdsAnything() const;
    bool hasChanges() const { return !changedKeys_.empty(); }

    const std::map<std::string, Holding> &all() const { return holdings_; }

private:
    void applyAllotment(const schema::AllotmentView &view);
    void shrink(Holding *holding);

    std::map<std::string, Holding> holdings_;
    std::map<uint32_t, std::string> namesByKey_;
    std::map<std::string, uint32_t> keysByName_;
    std::map<uint32_t, bool> changedKeys_;
    uint32_t session_ = 0;
};

} // namespace basilgap::entry
