#include "Basilgap/Scheduling/AllotmentPlan.h"

#include <algorithm>
#include <numeric>

#include "Basilgap/Scheduling/FairShare.h"

namespace basilgap::scheduling {

namespace {

class TargetPlanner
{
public:
    TargetPlanner(const std::vector<AllotmentCapacity> &keys, const EntryAmounts &wanted,
        const KeyAmounts &current)
        : wanted_(wanted)
    {
        for (const AllotmentCapacity &key : keys) {
            unassigned_[key.key] = key.amount;
            const auto found = current.find(key.key);
            if (found != current.end())
                keepCurrent(key, found->second);
        }
    }

    KeyAmounts run()
    {
        assignFree();
        uint32_t shortfall = 0;
        for (const auto &[entry, amount] : wanted_)
            shortfall += amount > assigned_[entry] ? amount - assigned_[entry] : 0;
        reclaimSurplus(shortfall);
        assignFree();
        return targets_;
    }

private:
    void keepCurrent(const AllotmentCapacity &key, const EntryAmounts &amounts)
    {
        for (const auto &[entry, amount] : amounts) {
            // The amount is 0 for an entry without a target, and smaller where the key's capacity
            // has shrunk.
            const uint32_t kept =
                wanted_.contains(entry) ? std::min(amount, unassigned_[key.key]) : 0;
            setTarget(key.key, entry, kept);
        }
    }

    void setTarget(AllotmentKeyNumber key, EntryNumber entry, uint32_t amount)
    {
        uint32_t &target = targets_[key][entry];
        unassigned_[key] = unassigned_[key] + target - amount;
        assigned_[entry] = assigned_[entry] + amount - target;
        target = amount;
    }

    void assignFree()
    {
        for (const auto &[entry, amount] : wanted_) {
            while (assigned_[entry] < amount) {
                const auto best = std::max_element(unassigned_.begin(), unassigned_.end(),
                    [](const auto &a, const auto &b) { return a.second < b.second; });
                if (best == unassigned_.end() || best->second == 0)
                    return;
                const uint32_t step = std::min(best->second, stepSize(amount - assigned_[entry]));
                setTarget(best->first, entry, targets_[best->first][entry] + step);
            }
        }
    }

    void reclaimSurplus(uint32_t shortfall)
    {
        for (const auto &[entry, amount] : wanted_) {
            while (shortfall > 0 && assigned_[entry] > amount) {
                const AllotmentKeyNumber key = largestAllotmentOf(entry);
                const uint32_t current = targets_[key][entry];
                const uint32_t step =
                    std::min({ current, shortfall, stepSize(assigned_[entry] - amount) });
                setTarget(key, entry, current - step);
                shortfall -= step;
            }
        }
    }

    // Moves amounts evenly over the keys, in steps proportional to the distance, so that a large
    // limit is not moved unit by unit.
    uint32_t stepSize(uint32_t distance) const
    {
        return std::max<uint32_t>(1, distance / static_cast<uint32_t>(unassigned_.size()));
    }

    AllotmentKeyNumber largestAllotmentOf(EntryNumber entry)
    {
        AllotmentKeyNumber largest;
        uint32_t largestAmount = 0;
        for (auto &[key, amounts] : targets_) {
            const auto found = amounts.find(entry);
            if (found != amounts.end() && found->second > largestAmount) {
                largestAmount = found->second;
                largest = key;
            }
        }
        return largest;
    }

    const EntryAmounts &wanted_;
    KeyAmounts targets_;
    std::map<AllotmentKeyNumber, uint32_t> unassigned_;
    std::map<EntryNumber, uint32_t> assigned_;
};

} // namespace

uint32_t TeamDemand::total() const
{
    return std::accumulate(
        entries.begin(), entries.end(), 0U, [](uint32_t sum, const EntryDemand &demand) {
            return sum + demand.running + demand.queued;
        });
}

std::vector<double> divideBetweenTeams(const std::vector<TeamDemand> &teams, uint32_t capacity)
{
    std::vector<ShareRequest> requests;
    for (const TeamDemand &team : teams) {
        const double demand = std::min(team.limit, static_cast<double>(team.total()));
        requests.push_back({ .weight = team.weight, .demand = demand });
    }
    return weightedMaxMin(requests, capacity);
}

EntryAmounts divideBetweenEntries(const std::vector<TeamDemand> &teams,
    const std::vector<EntryNumber> &entries, uint32_t capacity)
{
    const std::vector<double> amounts = divideBetweenTeams(teams, capacity);
    std::map<EntryNumber, double> wanted;
    for (const EntryNumber entry : entries)
        wanted[entry] = 0;
    double left = capacity;
    for (size_t i = 0; i < teams.size(); i++) {
        const double total = teams[i].total();
        // Running requests continue, so they are allotted before queued ones.
        double running = 0;
        for (const EntryDemand &demand : teams[i].entries)
            running += demand.running;
        const double forRunning = std::min(running, amounts[i]);
        const double forQueued = amounts[i] - forRunning;
        for (const EntryDemand &demand : teams[i].entries) {
            if (total <= 0)
                continue;
            const double queued = total - running;
            double part = running > 0 ? forRunning * demand.running / running : 0;
            part += queued > 0 ? forQueued * demand.queued / queued : 0;
            wanted[demand.entry] += part;
            left -= part;
        }
    }
    for (const EntryNumber entry : entries)
        wanted[entry] += std::max(0.0, left) / static_cast<double>(entries.size());
    std::vector<double> totals;
    for (const auto &[entry, amount] : wanted)
        totals.push_back(amount);
    const std::vector<uint32_t> rounded = roundPreservingSum(totals);
    EntryAmounts result;
    size_t position = 0;
    for (const auto &[entry, amount] : wanted)
        result[entry] = rounded[position++];
    return result;
}

KeyAmounts planTargets(const std::vector<AllotmentCapacity> &keys, const EntryAmounts &wanted,
    const KeyAmounts &current)
{
    return TargetPlanner(keys, wanted, current).run();
}

} // namespace basilgap::scheduling
