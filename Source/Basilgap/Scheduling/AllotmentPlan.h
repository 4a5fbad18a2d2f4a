#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Basilgap/State/AllotmentTable.h"

namespace basilgap::scheduling {

using state::AllotmentKeyNumber;
using state::EntryNumber;

// Something of which each entry gets a part: a backend server with its slots, or a team with its
// limit.
struct AllotmentCapacity
{
    AllotmentKeyNumber key;
    uint32_t amount = 0;
};

using EntryAmounts = std::map<EntryNumber, uint32_t>;
using KeyAmounts = std::map<AllotmentKeyNumber, EntryAmounts>;

// What one team has waiting and running at one entry.
struct EntryDemand
{
    EntryNumber entry;
    uint32_t running = 0;
    uint32_t queued = 0;
};

struct TeamDemand
{
    double weight = 1;
    // Upper limit of the team over all entries.
    double limit = 0;
    std::vector<EntryDemand> entries;

    uint32_t total() const;
};

// Divides the capacity between teams by weighted max-min fairness and what each team gets between
// the entries where it waits; the rest is spread evenly over the entries. Whole units for each
// entry; `entries` are those that take part in the rest.
EntryAmounts divideBetweenEntries(const std::vector<TeamDemand> &teams,
    const std::vector<EntryNumber> &entries, uint32_t capacity);

// The amount of each team that its entries should get, in the order of `teams`.
std::vector<double> divideBetweenTeams(const std::vector<TeamDemand> &teams, uint32_t capacity);

// Target amounts for each key and entry that come close to the wanted totals and move as little as
// possible away from the current ones. An entry keeps more than it wants while nobody needs it.
KeyAmounts planTargets(const std::vector<AllotmentCapacity> &keys, const EntryAmounts &wanted,
    const KeyAmounts &current);

} // namespace basilgap::scheduling
