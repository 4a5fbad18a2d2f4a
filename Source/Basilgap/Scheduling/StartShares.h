#pragma once

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/AccountShares.h"
#include "Basilgap/State/WorkConfigState.h"

namespace basilgap::scheduling {

// Millicores by queue priority and account.
using MillicoresByAccount = std::map<std::pair<uint32_t, state::AccountName>, int64_t>;

// What puts an account over its share of what was started lately of a priority.
struct StartShareExcess
{
    uint32_t priority = 0;
    state::AccountName account;
    // Decayed sums of the last round: of the account, its fair share, and of all accounts.
    int64_t startedMillicores = 0;
    int64_t fairMillicores = 0;
    int64_t allMillicores = 0;
};

// Divides what is started of each priority among the accounts by their weights, while more waits
// than is started. Running tasks alone don't show a flood of short tasks, as long as its tasks
// wait. Load pattern: one account that sends many times its usual load of urgent jobs.
class StartShares
{
public:
    // A task of that size has been started for the account.
    void recordStart(uint32_t priority, const state::AccountName &account, int64_t millicores);

    // Called once per round with the tasks that could start now.
    void update(
        const state::WorkConfigState &config, const MillicoresByAccount &waiting, Millis now);

    // Whether the account has started more than its share of what was started lately of the
    // priority, while others wait. Never for jobs without an account, since these have no weight.
    bool isOverShare(uint32_t priority, const state::AccountName &account) const;

    // The accounts that are over their share, at most that many: the most urgent priority first,
    // and of one priority the furthest first.
    std::vector<StartShareExcess> accountsOverShare(size_t maxCount) const;

private:
    struct PriorityShares
    {
        AccountShares shares;
        // Of all accounts, in the last round.
        int64_t startedMillicores = 0;
    };

    void decay(Millis now);

    // Decaying sums of what was started.
    std::map<std::pair<uint32_t, state::AccountName>, double> started_;
    std::map<uint32_t, PriorityShares> shares_;
    Millis decayedAt_;
};

} // namespace basilgap::scheduling
