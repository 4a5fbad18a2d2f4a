#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/Resources.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// What one account holds and asks for.
struct AccountLoad
{
    state::AccountName account;
    // 0, negative or not a number: counts as the smallest positive weight of the view.
    double weight = 0;
    // Limit of the running tasks by resource; 0: no limit.
    state::Resources cap;
    // Of the running tasks.
    state::Resources usage;
    // Of the tasks that could start now.
    state::Resources waiting;
};

// The cell at the start of a round. Lists each account once.
struct SharesView
{
    state::Resources capacity;
    std::vector<AccountLoad> accounts;
    Millis now;
};

// Decides which accounts hold more than their weighted fair share of a full cell. The fair share is
// the weighted max-min division of the cell among the accounts by dominant share and demand, so
// that no account is over its share while the cell has room for all. An account that used less than
// its share may use more for a short time (credit). Load pattern: one account that floods a full
// cell; accounts of different weight.
class AccountShares
{
public:
    // Called once per round, in time proportional to n log n of the number of accounts. Credit
    // starts at zero for an account that the previous view did not list.
    void update(const SharesView &view);

    // Dominant share of the cell divided by the fair share. 0 for an unknown account and for one
    // that holds nothing.
    double share(const state::AccountName &account) const;
    // Unused share accumulated, in milliseconds of the whole cell. At most CreditLimit of the
    // account's entitlement.
    double credit(const state::AccountName &account) const;
    // Whether its share is above the fair one and its credit is used up.
    bool isOverShare(const state::AccountName &account) const;

    // Parts of the cell, from 0 to 1: what the account holds, and its fair share. 0 for an unknown
    // account.
    double usage(const state::AccountName &account) const;
    double fairShare(const state::AccountName &account) const;

    // Part of the cell, from 0 to 1, that the account may use at any time: its fair share, but at
    // least its part by weight among all accounts, within its cap.
    double entitlement(const state::AccountName &account) const;
    // Whether running and waiting tasks together ask for more than the entitlement.
    bool isDemandBeyondShare(const state::AccountName &account) const;

    // All accounts that are over their share, the furthest first, at most that many.
    std::vector<state::AccountName> accountsOverShare(size_t maxCount) const;

    // Short bursts within it are not held back.
    static constexpr Millis CreditLimit{ 4000 };

private:
    struct Entry
    {
        // Parts of the cell, from 0 to 1.
        double usage = 0;
        double demand = 0;
        double fair = 0;
        double entitlement = 0;
        double creditMs = 0;

        bool isOverShare() const;
        double relativeShare() const;
    };

    const Entry *find(const state::AccountName &account) const;

    std::unordered_map<state::AccountName, Entry> entries_;
    // Time of the last update; not set before the first.
    std::optional<Millis> updatedAt_;
};

} // namespace basilgap::scheduling
