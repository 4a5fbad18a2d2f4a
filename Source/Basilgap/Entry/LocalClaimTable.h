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

// An idempotency key of a team, hashed.
struct ClaimKey
{
    TeamName team;
    std::string hash;

    auto operator<=>(const ClaimKey &) const = default;
};

// How the exchange under a claim ended.
struct ClaimOutcome
{
    // "ran", "not-run" or "unknown".
    std::string outcome;
    schema::KeptAnswer answer;
};

// The claims whose exchange this entry runs or ran, and the answers that it keeps for resends.
class LocalClaimTable
{
public:
    using Waiter = std::function<void(const ClaimOutcome &)>;

    enum class LookupResult { NotFound, BodyMismatch, Running, Finished };

    // Opens a claim here; only when find() said No.
    void open(const ClaimKey &key, const std::string &bodyHash);

    // Whether the claim is here; an empty body hash matches any.
    LookupResult find(const ClaimKey &key, const std::string &bodyHash) const;

    // Calls back at once when the exchange has ended, otherwise when it ends.
    void join(const ClaimKey &key, Waiter waiter);

    // The exchange ended. An outcome that says not-run is forgotten, the others are kept.
    void finish(const ClaimKey &key, const ClaimOutcome &outcome, Millis now);

    void expire(Millis now, Millis retention);

    size_t size() const { return claims_.size(); }

private:
    struct Claim
    {
        std::string bodyHash;
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
