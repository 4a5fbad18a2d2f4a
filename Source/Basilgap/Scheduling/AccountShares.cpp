#include "Basilgap/Scheduling/AccountShares.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "Basilgap/Scheduling/FairShare.h"

namespace basilgap::scheduling {

namespace {

// Rounding errors of the division must not put an account over its share.
constexpr double Tolerance = 1e-6;

bool isPositive(double weight)
{
    return std::isfinite(weight) && weight > 0;
}

// The smallest positive weight; 1 if there is none.
double smallestWeight(const std::vector<AccountLoad> &accounts)
{
    double smallest = std::numeric_limits<double>::infinity();
    for (const AccountLoad &load : accounts) {
        if (isPositive(load.weight))
            smallest = std::min(smallest, load.weight);
    }
    return std::isfinite(smallest) ? smallest : 1;
}

state::Resources limitedBy(const state::Resources &amount, const state::Resources &cap)
{
    const auto limit = [](int64_t value, int64_t max) {
        return max > 0 ? std::min(value, max) : value;
    };
    return { limit(amount.millicores, cap.millicores), limit(amount.memoryMb, cap.memoryMb),
        limit(amount.accelerators, cap.accelerators) };
}

} // namespace

bool AccountShares::Entry::isOverShare() const
{
    return usage > fair + Tolerance && creditMs <= 0;
}

double AccountShares::Entry::relativeShare() const
{
    if (usage <= 0)
        return 0;
    return fair > 0 ? usage / fair : std::numeric_limits<double>::infinity();
}

void AccountShares::update(const SharesView &view)
{
    const double smallest = smallestWeight(view.accounts);
    std::vector<ShareRequest> requests;
    requests.reserve(view.accounts.size());
    double weights = 0;
    for (const AccountLoad &load : view.accounts) {
        const state::Resources wanted = limitedBy(load.usage + load.waiting, load.cap);
        // Runs that were started before a cap was lowered still count.
        const double demand = std::max(
            wanted.dominantShareOf(view.capacity), load.usage.dominantShareOf(view.capacity));
        requests.push_back({ isPositive(load.weight) ? load.weight : smallest, demand });
        weights += requests.back().weight;
    }
    const std::vector<double> fair = weightedMaxMin(requests, 1);

    // A leader that was suspended knows nothing of the time between.
    const Millis elapsed =
        updatedAt_ ? std::clamp(view.now - *updatedAt_, Millis(0), CreditLimit) : Millis(0);
    updatedAt_ = view.now;
    std::unordered_map<state::AccountName, Entry> entries;
    entries.reserve(view.accounts.size());
    for (size_t i = 0; i < view.accounts.size(); i++) {
        const AccountLoad &load = view.accounts[i];
        const auto previous = entries_.find(load.account);
        Entry entry;
        entry.usage = load.usage.dominantShareOf(view.capacity);
        entry.demand = (load.usage + load.waiting).dominantShareOf(view.capacity);
        entry.fair = fair[i];
        // The max-min share of an account without demand is 0, but it accumulates credit.
        const double capShare = limitedBy(view.capacity, load.cap).dominantShareOf(view.capacity);
        entry.entitlement = std::max(entry.fair, std::min(requests[i].weight / weights, capShare));
        const double earnedMs =
            (entry.entitlement - entry.usage) * static_cast<double>(elapsed.count());
        const double limitMs = entry.entitlement * static_cast<double>(CreditLimit.count());
        if (previous != entries_.end())
            entry.creditMs = std::clamp(previous->second.creditMs + earnedMs, 0.0, limitMs);
        entries.emplace(load.account, entry);
    }
    entries_ = std::move(entries);
}

const AccountShares::Entry *AccountShares::find(const state::AccountName &account) const
{
    const auto found = entries_.find(account);
    return found == entries_.end() ? nullptr : &found->second;
}

double AccountShares::share(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry == nullptr ? 0 : entry->relativeShare();
}

double AccountShares::credit(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry == nullptr ? 0 : entry->creditMs;
}

bool AccountShares::isOverShare(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry != nullptr && entry->isOverShare();
}

double AccountShares::usage(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry == nullptr ? 0 : entry->usage;
}

double AccountShares::fairShare(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry == nullptr ? 0 : entry->fair;
}

double AccountShares::entitlement(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry == nullptr ? 0 : entry->entitlement;
}

bool AccountShares::isDemandBeyondShare(const state::AccountName &account) const
{
    const Entry *entry = find(account);
    return entry != nullptr && entry->demand > entry->entitlement + Tolerance;
}

std::vector<state::AccountName> AccountShares::accountsOverShare(size_t maxCount) const
{
    std::vector<std::pair<double, const state::AccountName *>> over;
    for (const auto &[account, entry] : entries_) {
        if (entry.isOverShare())
            over.emplace_back(entry.relativeShare(), &account);
    }
    const size_t count = std::min(maxCount, over.size());
    const auto isFurther = [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : *a.second < *b.second;
    };
    std::partial_sort(
        over.begin(), over.begin() + static_cast<ptrdiff_t>(count), over.end(), isFurther);
    std::vector<state::AccountName> accounts;
    for (size_t i = 0; i < count; i++)
        accounts.push_back(*over[i].second);
    return accounts;
}

} // namespace basilgap::scheduling
