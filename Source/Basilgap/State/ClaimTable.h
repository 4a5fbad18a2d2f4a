#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "Basilgap/State/SessionTable.h"
#include "State.pb.h"

namespace basilgap::state {

// The idempotency keys in use, each with the entry that runs or ran its request, or with its job.
class ClaimTable
{
public:
    schema::CommandOutcome apply(
        const schema::ClaimOpen &command, const SessionTable &sessions, uint64_t stampMs);
    schema::CommandOutcome apply(const schema::ClaimEnd &command, uint64_t stampMs);

    // Records the job under its idempotency key. Returns the earlier job if the key was already
    // used for the same request.
    schema::CommandOutcome claimJob(
        const schema::SubmitJob &command, uint64_t newJob, uint64_t stampMs);

    void expire(uint64_t nowMs, uint64_t retentionMs);

    size_t size() const { return claims_.size(); }
    // Timestamp of the claim that expires first; 0 if there is none.
    uint64_t oldestStampMs() const;

    schema::ClaimSnapshot save() const;
    void restore(const schema::ClaimSnapshot &snapshot);

private:
    struct Key
    {
        std::string team;
        std::string hash;
        auto operator<=>(const Key &) const = default;
    };

    void insert(const Key &key, schema::ClaimState claim);
    void erase(std::map<Key, schema::ClaimState>::iterator claim);

    std::map<Key, schema::ClaimState> claims_;
    std::multimap<uint64_t, Key> byStamp_;
};

} // namespace basilgap::state
