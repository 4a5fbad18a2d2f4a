#include "Basilgap/State/ClaimTable.h"

namespace basilgap::state {

schema::CommandOutcome ClaimTable::apply(
    const schema::ClaimOpen &command, const SessionTable &sessions, uint64_t stampMs)
{
    schema::CommandOutcome outcome;
    const Key key{ command.team(), command.key_hash() };
    const auto found = claims_.find(key);
    if (found == claims_.end()) {
        schema::ClaimState claim;
        claim.set_team(command.team());
        claim.set_key_hash(command.key_hash());
        claim.set_body_hash(command.body_hash());
        claim.set_entry(command.entry());
        claim.set_entry_incarnation(command.entry_incarnation());
        claim.set_nonce(command.nonce());
        claim.set_stamp_ms(stampMs);
        insert(key, std::move(claim));
        return outcome;
    }
    const schema::ClaimState &claim = found->second;
    if (command.nonce() != 0 && claim.nonce() == command.nonce()) {
        outcome.set_again(true);
        return outcome;
    }
    if (claim.body_hash() != command.body_hash() || claim.job() != 0) {
        outcome.set_code(schema::CONFLICT);
        outcome.set_message("the Idempotency-Key was used with another request");
        return outcome;
    }
    outcome.set_owner(claim.entry());
    outcome.set_code(schema::CLAIMED);
    const schema::SessionState *owner = sessions.find(EntryId(claim.entry()));
    if (owner == nullptr || owner->incarnation() != claim.entry_incarnation())
        outcome.set_code(schema::OUTCOME_UNKNOWN);
    return outcome;
}

schema::CommandOutcome ClaimTable::apply(const schema::ClaimEnd &command, uint64_t stampMs)
{
    const Key key{ command.team(), command.key_hash() };
    const auto found = claims_.find(key);
    if (found == claims_.end() || found->second.entry() != command.entry())
        return {};
    if (command.nonce() != 0 && command.nonce() != found->second.nonce())
        return {};
    schema::ClaimState claim = found->second;
    erase(found);
    if (command.not_run())
        return {};
    claim.set_ended(true);
    claim.set_stamp_ms(stampMs);
    insert(key, std::move(claim));
    return {};
}

schema::CommandOutcome ClaimTable::claimJob(
    const schema::SubmitJob &command, uint64_t newJob, uint64_t stampMs)
{
    schema::CommandOutcome outcome;
    outcome.set_job(newJob);
    if (command.key_hash().empty())
        return outcome;
    const Key key{ command.team(), command.key_hash() };
    const auto found = claims_.find(key);
    if (found == claims_.end()) {
        schema::ClaimState claim;
        claim.set_team(command.team());
        claim.set_key_hash(command.key_hash());
        claim.set_body_hash(command.body_hash());
        claim.set_job(newJob);
        claim.set_stamp_ms(stampMs);
        insert(key, std::move(claim));
        return outcome;
    }
    if (found->second.job() == 0 || found->second.body_hash() != command.body_hash()) {
        outcome.set_code(schema::CONFLICT);
        outcome.set_message("the Idempotency-Key was used with another request");
        return outcome;
    }
    outcome.set_job(found->second.job());
    outcome.set_again(true);
    return outcome;
}

void ClaimTable::expire(uint64_t nowMs, uint64_t retentionMs)
{
    while (!byStamp_.empty() && byStamp_.begin()->first + retentionMs < nowMs)
        erase(claims_.find(byStamp_.begin()->second));
}

uint64_t ClaimTable::oldestStampMs() const
{
    return byStamp_.empty() ? 0 : byStamp_.begin()->first;
}

void ClaimTable::insert(const Key &key, schema::ClaimState claim)
{
    byStamp_.emplace(claim.stamp_ms(), key);
    claims_[key] = std::move(claim);
}

void ClaimTable::erase(std::map<Key, schema::ClaimState>::iterator claim)
{
    auto [begin, end] = byStamp_.equal_range(claim->second.stamp_ms());
    for (auto it = begin; it != end; ++it) {
        if (it->second == claim->first) {
            byStamp_.erase(it);
            break;
        }
    }
    claims_.erase(claim);
}

schema::ClaimSnapshot ClaimTable::save() const
{
    schema::ClaimSnapshot snapshot;
    for (const auto &[key, claim] : claims_)
        *snapshot.add_claims() = claim;
    return snapshot;
}

void ClaimTable::restore(const schema::ClaimSnapshot &snapshot)
{
    claims_.clear();
    byStamp_.clear();
    for (const auto &claim : snapshot.claims())
        insert({ claim.team(), claim.key_hash() }, claim);
}

} // namespace basilgap::state
