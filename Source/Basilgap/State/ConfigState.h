#pragma once

#include <deque>
#include <map>
#include <set>
#include <string>

#include "Basilgap/Common/Ids.h"
#include "Cell.pb.h"
#include "State.pb.h"

namespace basilgap::state {

// The configuration in force, the zones taken out of service, and the recent zone operations, which
// make resent zone commands idempotent.
class ConfigState
{
public:
    schema::CommandOutcome apply(const schema::ApplyCell &command);
    schema::CommandOutcome apply(const schema::ZoneCommand &command, uint64_t stampMs);
    void expire(uint64_t nowMs);

    const schema::CellConfig &config() const { return config_; }
    const std::string &hash() const { return hash_; }
    const std::set<ZoneName> &zonesOut() const { return zonesOut_; }
    bool isZoneOut(const ZoneName &zone) const { return zonesOut_.contains(zone); }

    // Incremented by every accepted configuration file and zone command.
    Revision revision() const { return revision_; }

    const schema::TeamConfig *findTeam(const TeamName &team) const;
    const schema::PolicyConfig &policy() const { return config_.policy(); }
    const schema::RetentionConfig &retention() const { return config_.retention(); }

    schema::ConfigSnapshot save() const;
    void restore(const schema::ConfigSnapshot &snapshot);

private:
    void indexTeams();

    schema::CellConfig config_;
    std::string hash_;
    std::set<ZoneName> zonesOut_;
    std::deque<schema::ZoneOperation> operations_;
    std::map<TeamName, int> teams_;
    Revision revision_;
};

} // namespace basilgap::state
