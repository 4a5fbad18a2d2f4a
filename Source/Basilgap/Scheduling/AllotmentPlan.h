#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "Basilgap/State/AllotmentTable.h"

namespace basilgap::scheduling {

using state::AllotmentKeyNumber;
using state::EntryNumber;

// Capacity that is divided between the entries: the slots of a backend server or the limit of a
// team.
struct AllotmentCapacity
{
    AllotmentKeyNumber key;
    uint32_t amount = 0;
};

using EntryAmounts = std::map<EntryNumber, uint32_t>;
using KeyAmounts = std::map<AllotmentKeyNumber, EntryAmounts>;

// Running and queued requests of one team at one entry.
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

// Divides the capacity between teams by weighted max-min fairness, and each team's share between
// the entries in proportion to its demand there. Capacity left over is spread evenly over
// `entries`. Each entry gets a whole number of units. Load pattern: uneven demand over teams and
// entries.
EntryAmounts divideBetweenEntries(const std::vector<TeamDemand> &teams,
    const std::vector<EntryNumber> &entries, uint32_t capacity);

// Share of each team, in the order of `teams`.
std::vector<double> divideBetweenTeams(const std::vector<TeamDemand> &teams, uint32_t capacity);

// Computes target amounts for each key and entry that approach the wanted totals with as little
// reallocation as possible. An entry keeps more than it wants while no other entry needs it.
KeyAmounts planTargets(const std::vector<AllotmentCapacity> &keys, const EntryAmounts &wanted,
    const KeyAmounts &current);

} // namespace basilgap::scheduling
