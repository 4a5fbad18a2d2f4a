#include "Basilgap/Scheduling/StartShares.h"

#include <cmath>
#include <set>

namespace basilgap::scheduling {

namespace {

// Time in which what was started decays to about a third; urgent tasks run for about a second.
constexpr double DecayTimeMs = 4000;

constexpr double NegligibleMillicores = 1;

} // namespace

void StartShares::recordStart(
    uint32_t priority, const state::AccountName &account, int64_t millicores)
{
    if (!account.value().empty())
        started_[{ priority, account }] += static_cast<double>(millicores);
}

void StartShares::decay(Millis now)
{
    const double factor = std::exp(-static_cast<double>((now - decayedAt_).count()) / DecayTimeMs);
    decayedAt_ = now;
    for (auto &[key, millicores] : started_)
        millicores *= factor;
    std::erase_if(started_, [](const auto &entry) { return entry.second < NegligibleMillicores; });
}

void StartShares::update(
    const state::WorkConfigState &config, const MillicoresByAccount &waiting, Millis now)
{
    decay(now);
    std::set<std::pair<uint32_t, state::AccountName>> keys;
    for (const auto &[key, millicores] : started_)
        keys.insert(key);
    for (const auto &[key, millicores] : waiting)
        keys.insert(key);
    std::map<uint32_t, SharesView> views;
    for (const auto &[priority, account] : keys) {
        const schema::AccountConfig *known = config.findAccount(account);
        if (known == nullptr)
            continue;
        SharesView &view = views[priority];
        const auto started = started_.find({ priority, account });
        const auto waits = waiting.find({ priority, account });
        const AccountLoad load{ .account = account,
            .weight = known->weight(),
            .cap = {},
            .usage = { started == started_.end() ? 0 : std::llround(started->second), 0, 0 },
            .waiting = { waits == waiting.end() ? 0 : waits->second, 0, 0 } };
        view.capacity.millicores += load.usage.millicores;
        view.accounts.push_back(load);
    }
    std::erase_if(shares_, [&views](const auto &entry) { return !views.contains(entry.first); });
    for (auto &[priority, view] : views) {
        view.now = now;
        PriorityShares &shares = shares_[priority];
        shares.startedMillicores = view.capacity.millicores;
        shares.shares.update(view);
    }
}

bool StartShares::isOverShare(uint32_t priority, const state::AccountName &account) const
{
    const auto shares = shares_.find(priority);
    return shares != shares_.end() && shares->second.shares.isOverShare(account);
}

std::vector<StartShareExcess> StartShares::accountsOverShare(size_t maxCount) const
{
    std::vector<StartShareExcess> over;
    for (const auto &[priority, division] : shares_) {
        const auto all = static_cast<double>(division.startedMillicores);
        for (const state::AccountName &account :
            division.shares.accountsOverShare(maxCount - over.size())) {
            over.push_back({ .priority = priority,
                .account = account,
                .startedMillicores = std::llround(division.shares.usage(account) * all),
                .fairMillicores = std::llround(division.shares.fairShare(account) * all),
                .allMillicores = division.startedMillicores });
        }
    }
    return over;
}

} // namespace basilgap::scheduling
