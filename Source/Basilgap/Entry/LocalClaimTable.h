#pragma once

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// A team and the hash of one of its idempotency keys.
struct ClaimKey
{
    TeamName team;
    std::string hash;

    auto operator<=>(const ClaimKey &) const = default;
};

// How the exchange of a claim ended.
struct ClaimOutcome
{
    // "ran", "not-run" or "unknown".
    std::string outcome;
    schema::KeptAnswer answer;
    // This entry did not get the claim, so there was no exchange, and the claim of another
    // incarnation or entry may exist. Outcome and answer are empty.
    bool isWithdrawn = false;
};

// The claims whose exchange runs or ran on this entry, with the answers retained for resends.
class LocalClaimTable
{
public:
    using Waiter = std::function<void(const ClaimOutcome &)>;

    enum class LookupResult { NotFound, BodyMismatch, Running, Finished };

    // Adds a claim. Only allowed if find() returned NotFound. The nonce identifies the claim to the
    // leader.
    void open(const ClaimKey &key, const std::string &bodyHash, uint64_t nonce);

    // Looks up a claim. An empty body hash matches any body.
    LookupResult find(const ClaimKey &key, const std::string &bodyHash) const;

    // The nonce of the claim; 0 if there is none.
    uint64_t nonceOf(const ClaimKey &key) const;

    // Calls the waiter when the exchange ends, or immediately if it has ended.
    void join(const ClaimKey &key, Waiter waiter);

    // Removes a claim that the leader did not accept, and tells its waiters that it is withdrawn.
    void withdraw(const ClaimKey &key);

    // Records the outcome of an exchange and calls its waiters. A claim with the outcome not-run is
    // removed, any other is retained.
    void finish(const ClaimKey &key, const ClaimOutcome &outcome, Millis now);

    // Removes claims that finished more than the retention time ago.
    void expire(Millis now, Millis retention);

    size_t size() const { return claims_.size(); }

private:
    struct Claim
    {
        std::string bodyHash;
        uint64_t nonce = 0;
        std::optional<ClaimOutcome> outcome;
        std::vector<Waiter> waiters;
    };

    struct FinishedClaim
    {
        ClaimKey key;
        Millis finishedAt;
        size_t bytes = 0;
    };

    void evictOldest();

    std::map<ClaimKey, Claim> claims_;
    std::list<FinishedClaim> finishedClaims_;
    size_t retainedBytes_ = 0;
};

} // namespace basilgap::entry
