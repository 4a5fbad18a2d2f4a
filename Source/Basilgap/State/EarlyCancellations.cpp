#include "Basilgap/State/EarlyCancellations.h"

#include <algorithm>

namespace basilgap::state {

bool EarlyCancellations::hasRoomFor(const AccountName &account) const
{
    const auto ids = byAccount_.find(account);
    return entries_.size() < MaxEntries
        && (ids == byAccount_.end() || ids->second.size() < MaxPerAccount);
}

std::optional<uint64_t> EarlyCancellations::roomTakenSinceMs(const AccountName &account) const
{
    if (hasRoomFor(account))
        return std::nullopt;
    const auto ids = byAccount_.find(account);
    const bool isAccountFull = ids != byAccount_.end() && ids->second.size() >= MaxPerAccount;
    return isAccountFull ? ids->second.begin()->first : oldestMs();
}

bool EarlyCancellations::add(const std::string &id, const AccountName &account, uint64_t stampMs)
{
    const auto known = entries_.find(id);
    if (known == entries_.end() && !hasRoomFor(account))
        return false;
    Entry entry{ .account = account, .stampMs = stampMs };
    if (known != entries_.end()) {
        entry.account = known->second.account;
        remove(id);
    }
    insert(id, entry);
    return true;
}

void EarlyCancellations::insert(const std::string &id, const Entry &entry)
{
    entries_[id] = entry;
    byAccount_[entry.account].emplace(entry.stampMs, id);
}

bool EarlyCancellations::remove(const std::string &id)
{
    const auto found = entries_.find(id);
    if (found == entries_.end())
        return false;
    const auto ids = byAccount_.find(found->second.account);
    ids->second.erase({ found->second.stampMs, id });
    if (ids->second.empty())
        byAccount_.erase(ids);
    entries_.erase(found);
    return true;
}

void EarlyCancellations::expire(uint64_t nowMs, uint64_t retentionMs)
{
    for (auto account = byAccount_.begin(); account != byAccount_.end();) {
        auto &ids = account->second;
        while (!ids.empty() && ids.begin()->first + retentionMs < nowMs) {
            entries_.erase(ids.begin()->second);
            ids.erase(ids.begin());
        }
        account = ids.empty() ? byAccount_.erase(account) : std::next(account);
    }
}

uint64_t EarlyCancellations::oldestMs() const
{
    uint64_t oldest = 0;
    for (const auto &[account, ids] : byAccount_) {
        if (oldest == 0 || ids.begin()->first < oldest)
            oldest = ids.begin()->first;
    }
    return oldest;
}

void EarlyCancellations::save(schema::WorkSnapshot *snapshot) const
{
    for (const auto &[account, ids] : byAccount_) {
        schema::EarlyCancellationState *state = snapshot->add_early_cancellations();
        state->set_account(account.value());
        for (const auto &[stampMs, id] : ids) {
            state->add_ids(id);
            state->add_stamps_ms(stampMs);
        }
    }
}

void EarlyCancellations::restore(const schema::WorkSnapshot &snapshot)
{
    for (const auto &state : snapshot.early_cancellations()) {
        for (int i = 0; i < std::min(state.ids_size(), state.stamps_ms_size()); i++)
            insert(state.ids(i), { AccountName(state.account()), state.stamps_ms(i) });
    }
}

} // namespace basilgap::state
