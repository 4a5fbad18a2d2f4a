#include "Basilgap/Entry/ClaimBook.h"

namespace basilgap::entry {

namespace {

// Answers beyond this are dropped, oldest first; a resend is then told that the outcome is unknown.
constexpr size_t MaxKeptBytes = 64 * 1024 * 1024;
constexpr size_t EntryOverheadBytes = 256;

} // namespace

void ClaimBook::open(const ClaimKey &key, const std::string &bodyHash)
{
    entries_[key].bodyHash = bodyHash;
}

ClaimBook::Found ClaimBook::find(const ClaimKey &key, const std::string &bodyHash) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end())
        return Found::No;
    if (!bodyHash.empty() && found->second.bodyHash != bodyHash)
        return Found::OtherBody;
    return found->second.outcome ? Found::Finished : Found::Running;
}

void ClaimBook::join(const ClaimKey &key, Waiter waiter)
{
    Entry &entry = entries_[key];
    if (entry.outcome)
        return waiter(*entry.outcome);
    entry.waiters.push_back(std::move(waiter));
}

void ClaimBook::finish(const ClaimKey &key, const ClaimOutcome &outcome, Millis now)
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || found->second.outcome)
        return;
    const std::vector<Waiter> waiters = std::move(found->second.waiters);
    found->second.waiters.clear();
    if (outcome.outcome == "not-run") {
        entries_.erase(found);
    } else {
        found->second.outcome = outcome;
        const size_t bytes = outcome.answer.ByteSizeLong() + EntryOverheadBytes;
        kept_.push_back({ key, now, bytes });
        keptBytes_ += bytes;
    }
    while (keptBytes_ > MaxKeptBytes)
        dropOldest();
    for (const Waiter &waiter : waiters)
        waiter(outcome);
}

void ClaimBook::expire(Millis now, Millis retention)
{
    while (!kept_.empty() && kept_.front().since + retention < now)
        dropOldest();
}

void ClaimBook::dropOldest()
{
    entries_.erase(kept_.front().key);
    keptBytes_ -= kept_.front().bytes;
    kept_.pop_front();
}

} // namespace basilgap::entry
