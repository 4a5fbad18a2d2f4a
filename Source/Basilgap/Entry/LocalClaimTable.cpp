#include "Basilgap/Entry/LocalClaimTable.h"

namespace basilgap::entry {

namespace {

// Above this size the oldest answers are evicted; a resend then gets the outcome unknown.
constexpr size_t MaxRetainedBytes = 64 * 1024 * 1024;
constexpr size_t ClaimOverheadBytes = 256;

} // namespace

void LocalClaimTable::open(const ClaimKey &key, const std::string &bodyHash, uint64_t nonce)
{
    Claim &claim = claims_[key];
    claim.bodyHash = bodyHash;
    claim.nonce = nonce;
}

LocalClaimTable::LookupResult LocalClaimTable::find(
    const ClaimKey &key, const std::string &bodyHash) const
{
    const auto found = claims_.find(key);
    if (found == claims_.end())
        return LookupResult::NotFound;
    if (!bodyHash.empty() && found->second.bodyHash != bodyHash)
        return LookupResult::BodyMismatch;
    return found->second.outcome ? LookupResult::Finished : LookupResult::Running;
}

uint64_t LocalClaimTable::nonceOf(const ClaimKey &key) const
{
    const auto found = claims_.find(key);
    return found == claims_.end() ? 0 : found->second.nonce;
}

void LocalClaimTable::join(const ClaimKey &key, Waiter waiter)
{
    Claim &claim = claims_[key];
    if (claim.outcome)
        return waiter(*claim.outcome);
    claim.waiters.push_back(std::move(waiter));
}

void LocalClaimTable::finish(const ClaimKey &key, const ClaimOutcome &outcome, Millis now)
{
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.outcome)
        return;
    const std::vector<Waiter> waiters = std::move(found->second.waiters);
    found->second.waiters.clear();
    if (outcome.outcome == "not-run") {
        claims_.erase(found);
    } else {
        found->second.outcome = outcome;
        const size_t bytes = outcome.answer.ByteSizeLong() + ClaimOverheadBytes;
        finishedClaims_.push_back({ key, now, bytes });
        retainedBytes_ += bytes;
    }
    while (retainedBytes_ > MaxRetainedBytes)
        evictOldest();
    for (const Waiter &waiter : waiters)
        waiter(outcome);
}

void LocalClaimTable::withdraw(const ClaimKey &key)
{
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.outcome)
        return;
    const std::vector<Waiter> waiters = std::move(found->second.waiters);
    claims_.erase(found);
    for (const Waiter &waiter : waiters)
        waiter({ .outcome = "", .answer = {}, .isWithdrawn = true });
}

void LocalClaimTable::expire(Millis now, Millis retention)
{
    while (!finishedClaims_.empty() && finishedClaims_.front().finishedAt + retention < now)
        evictOldest();
}

void LocalClaimTable::evictOldest()
{
    claims_.erase(finishedClaims_.front().key);
    retainedBytes_ -= finishedClaims_.front().bytes;
    finishedClaims_.pop_front();
}

} // namespace basilgap::entry
