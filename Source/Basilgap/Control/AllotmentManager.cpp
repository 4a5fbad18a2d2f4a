#include "Basilgap/Control/AllotmentManager.h"

#include <algorithm>
#include <cmath>

#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Settings/CellFile.h"

namespace basilgap::control {

namespace {

using scheduling::AllotmentCapacity;
using scheduling::EntryAmounts;
using scheduling::KeyAmounts;
using settings::UnlimitedSlots;
using state::AllotmentKeyNumber;

// Pool name under which the sum of a team's demand over all pools is kept.
const std::string AllPools;

// Smoothing factor of the moving average of an entry's fraction of a team's demand: averages over
// about one second of plans.
constexpr double FractionSmoothing = 0.1;
constexpr double MinRelativeWeightChange = 0.05;

} // namespace

AllotmentManager::AllotmentManager(
    const state::CellState &state, BackendRegistry &backends, EntrySessions &sessions)
    : state_(state)
    , backends_(backends)
    , sessions_(sessions)
{}

// Entries that are stopping, or whose zone is taken out of service, are left out: they get only
// what their waiting requests need.
std::vector<EntryNumber> AllotmentManager::entriesInService(Millis now) const
{
    std::vector<EntryNumber> entries;
    for (const auto &[number, link] : sessions_.links()) {
        const schema::SessionState *session = state_.sessions().find(number);
        if (session == nullptr || session->closed() || link.isStopping
            || !sessions_.isRecentlyRenewed(number, now)
            || state_.config().isZoneOut(ZoneName(session->zone())))
            continue;
        entries.push_back(number);
    }
    return entries;
}

uint32_t AllotmentManager::totalAmountOf(const std::string &keyName, Millis now) const
{
    const size_t slash = keyName.find('/');
    const std::string name = keyName.substr(slash + 1);
    if (keyName.compare(0, slash, "team") == 0) {
        const schema::TeamConfig *team = state_.config().findTeam(TeamName(name));
        return team == nullptr ? 0 : team->limit().slots();
    }
    const BackendRegistry::Backend *backend = backends_.find(BackendId(name));
    if (backend == nullptr || !backends_.isUsable(*backend, state_.config(), now))
        return 0;
    return backend->announcement.slots();
}

void AllotmentManager::collectDemand()
{
    demand_.clear();
    for (const auto &[number, link] : sessions_.links()) {
        if (link.stream == nullptr)
            continue;
        for (const auto &reported : link.demand) {
            for (const std::string &pool : { reported.pool(), AllPools }) {
                scheduling::EntryDemand &demand = demand_[{ pool, reported.team() }][number];
                demand.entry = number;
                demand.running += reported.running();
                demand.queued += reported.queued();
            }
        }
    }
}

scheduling::TeamDemand AllotmentManager::demandOf(
    const std::string &pool, const schema::TeamConfig &config) const
{
    scheduling::TeamDemand team;
    team.weight = config.share();
    team.limit = config.limit().slots();
    const auto found = demand_.find({ pool, config.name() });
    if (found == demand_.end())
        return team;
    for (const auto &[number, demand] : found->second)
        team.entries.push_back(demand);
    return team;
}

KeyAmounts AllotmentManager::currentAmounts(const std::vector<AllotmentCapacity> &keys) const
{
    KeyAmounts current;
    for (const AllotmentCapacity &key : keys) {
        for (const auto &[entry, allotment] : state_.allotments().allotmentsOf(key.key))
            current[key.key][entry] = allotment.amount;
    }
    return current;
}

// A team's share applies once to the whole cell, so each entry gets a weight in proportion to its
// fraction of the team's requests. The fractions are smoothed, and small changes of a weight are
// not sent.
void AllotmentManager::updateWeights(const std::vector<EntryNumber> &entries)
{
    const auto count = static_cast<double>(std::max<size_t>(1, entries.size()));
    for (const auto &config : state_.config().config().teams()) {
        const scheduling::TeamDemand team = demandOf(AllPools, config);
        const double total = team.total();
        if (total == 0)
            continue;
        for (const EntryNumber entry : entries) {
            double entryDemand = 0;
            for (const auto &demand : team.entries)
                entryDemand += demand.entry == entry ? demand.running + demand.queued : 0;
            SmoothedWeight &weight = weights_[entry][config.name()];
            const double fraction = (entryDemand + 1) / (total + count);
            if (weight.demandFraction == 0)
                weight.demandFraction = fraction;
            weight.demandFraction += FractionSmoothing * (fraction - weight.demandFraction);
            const double newWeight =
                weight.demandFraction * config.share() * scheduling::WeightPerShare;
            if (std::abs(newWeight - weight.lastSentWeight)
                > MinRelativeWeightChange * weight.lastSentWeight)
                weight.lastSentWeight = newWeight;
        }
    }
}

void AllotmentManager::planPools(Millis now)
{
    std::map<std::string, std::vector<AllotmentCapacity>> pools;
    for (const auto &[id, backend] : backends_.all()) {
        const AllotmentKeyNumber key = state_.allotments().findKey(backendKeyName(id));
        if (key.value() != 0)
            pools[backend.announcement.pool()].push_back(
                { key, totalAmountOf(backendKeyName(id), now) });
    }
    const std::vector<EntryNumber> entries = entriesInService(now);
    for (const auto &[pool, keys] : pools) {
        uint32_t capacity = 0;
        for (const AllotmentCapacity &key : keys)
            capacity += key.amount;
        std::vector<scheduling::TeamDemand> teams;
        for (const auto &config : state_.config().config().teams())
            teams.push_back(demandOf(pool, config));
        const EntryAmounts wanted = scheduling::divideBetweenEntries(teams, entries, capacity);
        targetAmounts_.merge(scheduling::planTargets(keys, wanted, currentAmounts(keys)));
        for (const AllotmentCapacity &key : keys)
            totalAmounts_[key.key] = key.amount;
    }
}

void AllotmentManager::planTeams(Millis now)
{
    const std::vector<EntryNumber> entries = entriesInService(now);
    for (const auto &team : state_.config().config().teams()) {
        const TeamName name(team.name());
        const AllotmentKeyNumber key = state_.allotments().findKey(teamKeyName(name));
        if (key.value() == 0 || team.limit().slots() >= UnlimitedSlots)
            continue;
        const std::vector<AllotmentCapacity> keys = { { key,
            totalAmountOf(teamKeyName(name), now) } };
        const EntryAmounts wanted = scheduling::divideBetweenEntries(
            { demandOf(AllPools, team) }, entries, keys.front().amount);
        targetAmounts_.merge(scheduling::planTargets(keys, wanted, currentAmounts(keys)));
        totalAmounts_[key] = keys.front().amount;
    }
}

// Reclaims the full amount of keys whose backend server or team no longer exists.
void AllotmentManager::planRemovedKeys()
{
    for (const auto &[key, name] : state_.allotments().keys()) {
        if (totalAmounts_.contains(key))
            continue;
        totalAmounts_[key] = 0;
        for (const auto &[entry, allotment] : state_.allotments().allotmentsOf(key))
            targetAmounts_[key][entry] = 0;
    }
}

std::optional<schema::AllotmentBatch> AllotmentManager::plan(Millis now)
{
    targetAmounts_.clear();
    totalAmounts_.clear();
    collectDemand();
    updateWeights(entriesInService(now));
    schema::AllotmentBatch batch;
    planPools(now);
    planTeams(now);
    planRemovedKeys();
    addKeys(now, &batch);
    reclaimAllotments(now, &batch);
    grantAllotments(&batch);
    dropUnusedKeys(now, &batch);
    if (batch.keys().empty() && batch.changes().empty() && batch.dropped_keys().empty())
        return std::nullopt;
    return batch;
}

void AllotmentManager::addKeys(Millis now, schema::AllotmentBatch *batch)
{
    uint32_t next = state_.allotments().nextKey();
    const auto add = [&](const std::string &name) {
        if (state_.allotments().findKey(name).value() != 0)
            return;
        auto *key = batch->add_keys();
        key->set_key(next++);
        key->set_name(name);
    };
    for (const auto &[id, backend] : backends_.all()) {
        if (backends_.isAlive(backend, now))
            add(backendKeyName(id));
    }
    for (const auto &team : state_.config().config().teams()) {
        if (team.limit().slots() < UnlimitedSlots)
            add(teamKeyName(TeamName(team.name())));
    }
}

uint64_t AllotmentManager::maxRouteTimeoutMs() const
{
    uint64_t longest = 0;
    for (const auto &route : state_.config().config().routes())
        longest = std::max<uint64_t>(longest, route.timeout_ms());
    return longest;
}

// Whether no request of a closed session can still run under the key.
bool AllotmentManager::canReclaim(
    const schema::SessionState &session, const std::string &keyName, Millis now) const
{
    const Millis leaseEnd = sessions_.leaseEnd(EntryNumber(session.number()));
    if (now < leaseEnd)
        return false;
    if (now >= leaseEnd + Millis(static_cast<int64_t>(maxRouteTimeoutMs())) + ViewLeaseMargin)
        return true;
    // With a new incarnation of the entry, the reported counts can belong to either one.
    if (state_.sessions().find(EntryId(session.entry())) != nullptr)
        return false;
    const bool isTeam = keyName.rfind("team/", 0) == 0;
    for (const auto &[id, backend] : backends_.all()) {
        if (!isTeam && keyName != backendKeyName(id))
            continue;
        // The announcement is recent enough to count all requests sent before the lease ended.
        const bool fresh = backend.lastHeardAt > leaseEnd + AnnounceInterval;
        const auto running = backend.announcement.running().find(session.entry());
        const bool idle = running == backend.announcement.running().end() || running->second == 0;
        if (!fresh || !idle)
            return false;
    }
    return isTeam || backends_.find(BackendId(keyName.substr(keyName.find('/') + 1))) != nullptr;
}

void AllotmentManager::reclaimAllotments(Millis now, schema::AllotmentBatch *batch)
{
    for (const auto &[key, name] : state_.allotments().keys()) {
        for (const auto &[entry, allotment] : state_.allotments().allotmentsOf(key)) {
            uint32_t remaining = allotment.amount;
            const schema::SessionState *session = state_.sessions().find(entry);
            const EntryLink *link = sessions_.find(entry);
            if (session != nullptr && session->closed() && canReclaim(*session, name, now))
                remaining = 0;
            if (link != nullptr && link->stream != nullptr) {
                const auto holding = link->holdings.find(key.value());
                if (holding != link->holdings.end() && holding->second.epoch() == allotment.epoch)
                    remaining = std::min(remaining, holding->second.amount());
            }
            if (remaining == allotment.amount)
                continue;
            auto *change = batch->add_changes();
            change->set_key(key.value());
            change->set_entry(entry.value());
            change->set_amount(remaining);
        }
    }
}

void AllotmentManager::grantAllotments(schema::AllotmentBatch *batch)
{
    std::map<AllotmentKeyNumber, std::set<uint32_t>> changing;
    for (const auto &change : batch->changes())
        changing[AllotmentKeyNumber(change.key())].insert(change.entry());
    for (const auto &[key, byEntry] : targetAmounts_) {
        const uint32_t allotted = state_.allotments().sumOf(key);
        uint32_t free = totalAmounts_[key] > allotted ? totalAmounts_[key] - allotted : 0;
        for (const auto &[entry, target] : byEntry) {
            const uint32_t amount = state_.allotments().allotmentOf(key, entry).amount;
            if (target <= amount || free == 0 || changing[key].contains(entry.value()))
                continue;
            const uint32_t increase = std::min(target - amount, free);
            free -= increase;
            auto *change = batch->add_changes();
            change->set_key(key.value());
            change->set_entry(entry.value());
            change->set_amount(amount + increase);
        }
    }
}

void AllotmentManager::dropUnusedKeys(Millis now, schema::AllotmentBatch *batch)
{
    for (const auto &[key, name] : state_.allotments().keys()) {
        if (!state_.allotments().allotmentsOf(key).empty() || totalAmounts_[key] != 0)
            continue;
        const bool isTeam = name.rfind("team/", 0) == 0;
        const BackendId id(name.substr(name.find('/') + 1));
        const BackendRegistry::Backend *backend = isTeam ? nullptr : backends_.find(id);
        if (backend != nullptr && backends_.isAlive(*backend, now))
            continue;
        const schema::TeamConfig *team = state_.config().findTeam(TeamName(id.value()));
        if (isTeam && team != nullptr && team->limit().slots() < UnlimitedSlots)
            continue;
        batch->add_dropped_keys(key.value());
        backends_.remove(id);
    }
}

std::map<uint32_t, schema::AllotmentView> AllotmentManager::allotmentViews(EntryNumber entry) const
{
    std::map<uint32_t, schema::AllotmentView> views;
    for (const auto &[key, name] : state_.allotments().keys()) {
        const state::Allotment allotment = state_.allotments().allotmentOf(key, entry);
        schema::AllotmentView view;
        view.set_key(key.value());
        view.set_name(name);
        view.set_amount(allotment.amount);
        view.set_epoch(allotment.epoch);
        view.set_target(allotment.amount);
        const auto byEntry = targetAmounts_.find(key);
        if (byEntry != targetAmounts_.end()) {
            const auto target = byEntry->second.find(entry);
            const uint32_t wanted = target == byEntry->second.end() ? 0 : target->second;
            view.set_target(std::min(allotment.amount, wanted));
        }
        views[key.value()] = std::move(view);
    }
    return views;
}

std::map<uint32_t, schema::BackendView> AllotmentManager::backendViews(Millis now) const
{
    std::map<uint32_t, schema::BackendView> views;
    for (const auto &[id, backend] : backends_.all()) {
        const AllotmentKeyNumber key = state_.allotments().findKey(backendKeyName(id));
        if (key.value() == 0)
            continue;
        const schema::Announcement &announcement = backend.announcement;
        schema::BackendView view;
        view.set_key(key.value());
        view.set_id(announcement.id());
        view.set_incarnation(announcement.incarnation());
        view.set_address(announcement.address());
        view.set_zone(announcement.zone());
        view.set_pool(announcement.pool());
        view.set_slots(announcement.slots());
        view.set_connections(announcement.connections());
        view.set_leaving(announcement.leaving());
        view.set_gone(!backends_.isAlive(backend, now));
        views[key.value()] = std::move(view);
    }
    return views;
}

std::map<std::string, uint32_t> AllotmentManager::weightsFor(EntryNumber entry) const
{
    std::map<std::string, uint32_t> weights;
    const auto found = weights_.find(entry);
    if (found == weights_.end())
        return weights;
    for (const auto &[team, weight] : found->second)
        weights[team] = static_cast<uint32_t>(std::lround(weight.lastSentWeight));
    return weights;
}

} // namespace basilgap::control
