#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "Peer.pb.h"

namespace basilgap::entry {

// What this entry may use of backend servers' slots and teams' limits. A holding shrinks by itself
// when the leader asks for a part of it back, and never grows by itself.
class HoldingTable
{
public:
    struct Holding
    {
        std::string name;
        uint32_t held = 0;
        uint32_t target = 0;
        uint64_t epoch = 0;
        uint32_t inUse = 0;

        uint32_t free() const { return held > inUse ? held - inUse : 0; }
    };

    // Takes in the leader's view. With another session everything held before is void; when the
    // list is full, what it does not name is void too.
    void update(const schema::RenewReply &reply);

    const Holding *find(const std::string &name) const;
    uint32_t freeUnits(const std::string &name) const;

    // Uses one unit. What is not held is counted as well, so that it is known when it is.
    void acquire(const std::string &name);
    void release(const std::string &name);

    // Holdings that differ from what was reported last; all of them when `full`.
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
