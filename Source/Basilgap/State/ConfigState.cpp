#include "Basilgap/State/ConfigState.h"

#include <algorithm>

namespace basilgap::state {

namespace {

// How long a zone command is remembered, so that a resent one gets the same answer.
constexpr uint64_t OperationRetentionMs = 24 * 3600 * 1000;
constexpr size_t MaxOperations = 10000;

} // namespace

schema::CommandOutcome ConfigState::apply(const schema::ApplyCell &command)
{
    schema::CommandOutcome outcome;
    schema::CellConfig config;
    if (!config.ParsePartialFromString(command.config()) || !config.IsInitialized()) {
        outcome.set_code(schema::INVALID);
        outcome.set_message("the configuration can't be read");
        return outcome;
    }
    outcome.set_version(config_.version());
    outcome.set_hash(hash_);
    if (config.version() == config_.version() && command.hash() == hash_) {
        outcome.set_again(true);
        return outcome;
    }
    if (config.version() <= config_.version()) {
        const bool isSameVersion = config.version() == config_.version();
        outcome.set_code(isSameVersion ? schema::CONFLICT : schema::STALE);
        outcome.set_message(isSameVersion ? "another file with this version is in force"
                                          : "a file with a higher version is in force");
        return outcome;
    }
    config_ = std::move(config);
    hash_ = command.hash();
    indexTeams();
    const auto &zones = config_.zones();
    std::erase_if(zonesOut_, [&zones](const ZoneName &zone) {
        return std::find(zones.begin(), zones.end(), zone.value()) == zones.end();
    });
    revision_ = Revision(revision_.value() + 1);
    outcome.set_version(config_.version());
    outcome.set_hash(hash_);
    return outcome;
}

schema::CommandOutcome ConfigState::apply(const schema::ZoneCommand &command, uint64_t stampMs)
{
    schema::CommandOutcome outcome;
    outcome.set_version(config_.version());
    outcome.set_hash(hash_);
    for (const auto &operation : operations_) {
        if (operation.operation_id() != command.operation_id())
            continue;
        const bool isSameCommand = operation.command().zone() == command.zone()
            && operation.command().out() == command.out();
        outcome.set_code(isSameCommand ? schema::ACCEPTED : schema::CONFLICT);
        outcome.set_message(isSameCommand ? "" : "the operation id was used for another command");
        outcome.set_again(true);
        return outcome;
    }
    const auto &zones = config_.zones();
    if (std::find(zones.begin(), zones.end(), command.zone()) == zones.end()) {
        outcome.set_code(schema::NOT_FOUND);
        outcome.set_message("unknown zone " + command.zone());
        return outcome;
    }
    if (command.out())
        zonesOut_.insert(ZoneName(command.zone()));
    else
        zonesOut_.erase(ZoneName(command.zone()));
    schema::ZoneOperation operation;
    operation.set_operation_id(command.operation_id());
    *operation.mutable_command() = command;
    operation.set_stamp_ms(stampMs);
    operations_.push_back(std::move(operation));
    if (operations_.size() > MaxOperations)
        operations_.pop_front();
    revision_ = Revision(revision_.value() + 1);
    return outcome;
}

void ConfigState::expire(uint64_t nowMs)
{
    while (!operations_.empty() && operations_.front().stamp_ms() + OperationRetentionMs < nowMs)
        operations_.pop_front();
}

const schema::TeamConfig *ConfigState::findTeam(const TeamName &team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? nullptr : &config_.teams(found->second);
}

void ConfigState::indexTeams()
{
    teams_.clear();
    for (int i = 0; i < config_.teams_size(); i++)
        teams_[TeamName(config_.teams(i).name())] = i;
}

schema::ConfigSnapshot ConfigState::save() const
{
    schema::ConfigSnapshot snapshot;
    snapshot.set_config(config_.SerializePartialAsString());
    snapshot.set_hash(hash_);
    for (const ZoneName &zone : zonesOut_)
        snapshot.add_zones_out(zone.value());
    snapshot.mutable_operations()->Assign(operations_.begin(), operations_.end());
    snapshot.set_revision(revision_.value());
    return snapshot;
}

void ConfigState::restore(const schema::ConfigSnapshot &snapshot)
{
    config_.ParsePartialFromString(snapshot.config());
    hash_ = snapshot.hash();
    zonesOut_.clear();
    for (const auto &zone : snapshot.zones_out())
        zonesOut_.insert(ZoneName(zone));
    operations_.assign(snapshot.operations().begin(), snapshot.operations().end());
    revision_ = Revision(snapshot.revision());
    indexTeams();
}

} // namespace basilgap::state
