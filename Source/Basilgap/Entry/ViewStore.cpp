#include "Basilgap/Entry/ViewStore.h"

#include <algorithm>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/State/ConfigDelta.h"

namespace basilgap::entry {

namespace {

constexpr std::string_view BearerPrefix = "Bearer ";

bool hasPathPrefix(const std::string &path, const std::string &prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

} // namespace

Result<void> ViewStore::install(const schema::View &view)
{
    const Revision revision(view.revision());
    if (revision <= revision_)
        return {};
    schema::CellConfig config;
    if (view.base_revision() != 0) {
        if (view.base_revision() != revision_.value())
            return fail({ ErrorCode::Conflict, "install-view", "", "the base is not in force" });
        auto merged = state::applyConfigDelta(config_, view);
        if (!merged)
            return fail(merged.error());
        config = std::move(*merged);
    } else if (!config.ParsePartialFromString(view.config())) {
        return fail({ ErrorCode::Invalid, "install-view", "", "the configuration can't be read" });
    }
    config_ = std::move(config);
    revision_ = revision;
    hash_ = view.hash();
    zonesOut_.clear();
    for (const auto &zone : view.zones_out())
        zonesOut_.insert(ZoneName(zone));
    indexConfig();
    return {};
}

void ViewStore::setEntries(const schema::EntryList &list)
{
    entries_.clear();
    for (const auto &entry : list.entries())
        entries_[EntryId(entry.entry())] = entry;
}

void ViewStore::indexConfig()
{
    keys_.clear();
    teams_.clear();
    for (int i = 0; i < config_.teams_size(); i++) {
        const TeamName team(config_.teams(i).name());
        teams_[team] = i;
        for (const auto &key : config_.teams(i).keys())
            keys_[KeyHash(key.sha256())] = team;
    }
}

void ViewStore::extendLease(Revision revision, Millis sentAt)
{
    if (revision == revision_)
        leaseEnd_ = std::max(leaseEnd_, sentAt + ViewLease);
}

std::optional<ViewStore::Caller> ViewStore::authenticate(const std::string &authorization) const
{
    if (authorization.compare(0, BearerPrefix.size(), BearerPrefix) != 0)
        return std::nullopt;
    const KeyHash hash(sha256Hex(authorization.substr(BearerPrefix.size())));
    const auto found = keys_.find(hash);
    if (found == keys_.end() || !equalConstantTime(found->first.value(), hash.value()))
        return std::nullopt;
    return Caller{ found->second, hash };
}

bool ViewStore::isKeyValid(const Caller &caller) const
{
    const auto found = keys_.find(caller.key);
    return found != keys_.end() && found->second == caller.team;
}

const schema::TeamConfig *ViewStore::findTeam(const TeamName &team) const
{
    const auto found = teams_.find(team);
    return found == teams_.end() ? nullptr : &config_.teams(found->second);
}

const schema::RouteConfig *ViewStore::findRoute(const std::string &path) const
{
    const schema::RouteConfig *longest = nullptr;
    for (const auto &route : config_.routes()) {
        if (hasPathPrefix(path, route.prefix())
            && (longest == nullptr || route.prefix().size() > longest->prefix().size()))
            longest = &route;
    }
    return longest;
}

} // namespace basilgap::entry
