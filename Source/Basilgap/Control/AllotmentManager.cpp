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

constexpr Millis RecentRenewal{ 1500 };

// Stands for the sum of a team's demand over all pools.
const std::string AllPools;

// Parts of a team's demand are averaged over about this part of a second's plans.
constexpr double PartSmoothing = 0.1;
constexpr double LeastWeightChange = 0.05;

} // namespace

AllotmentManager::AllotmentManager(
    const state::CellState &state, BackendRegistry &backends, EntrySessions &sessions)
    : state_(state)
    , backends_(backends)
    , sessions_(sessions)
{}

bool AllotmentManager::isRecent(const EntryLink &link, Millis now) const
{
    return link.stream != nullptr && now - link.heard < RecentRenewal;
}

// Entries in a zone that is out, or that stop, only get what they need for waiting requests.
std::vector<EntryNumber> AllotmentManager::entriesInService(Millis now) const
{
    std::vector<EntryNumber> entries;
    for (const auto &[number, link] : sessions_.links()) {
        const schema::SessionState *session = state_.sessions().find(number);
        if (session == nullptr || session->closed() || link.stopping || !isRecent(link, now)
            || state_.config().isZoneOut(ZoneName(session->zone())))
            continue;
        entries.push_back(number);
    }
    return entries;
}

uint32_t AllotmentManager::amountOf(const std::string &keyName, Millis now) const
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

void AllotmentManager::gatherDemand()
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

KeyAmounts AllotmentManager::currentOf(const std::vector<AllotmentCapacity> &keys) const
{
    KeyAmounts current;
    for (const AllotmentCapacity &key : keys) {
        for (const auto &[entry, allotment] : state_.allotments().of(key.key))
            current[key.key][entry] = allotment.amount;
    }
    return current;
}

// A team's share counts once for the whole cell, so each entry gets the part of it that its part of
// the team's requests calls for. Parts move slowly and small moves are not passed on.
void AllotmentManager::noteWeights(const std::vector<EntryNumber> &entries)
{
    const auto count = static_cast<double>(std::max<size_t>(1, entries.size()));
    for (const auto &config : state_.config().config().teams()) {
        const scheduling::TeamDemand team = demandOf(AllPools, config);
        const double total = team.total();
        if (total == 0)
            continue;
        for (const EntryNumber entry : entries) {
            double here = 0;
            for (const auto &demand : team.entries)
                here += demand.entry == entry ? demand.running + demand.queued : 0;
            Weight &weight = weights_[entry][config.name()];
            const double part = (here + 1) / (total + count);
            if (weight.part == 0)
                weight.part = part;
            weight.part += PartSmoothing * (part - weight.part);
            const double exact = weight.part * config.share() * scheduling::WeightPerShare;
            if (std::abs(exact - weight.sent) > LeastWeightChange * weight.sent)
                weight.sent = exact;
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
                { key, amountOf(backendKeyName(id), now) });
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
        targets_.merge(scheduling::planTargets(keys, wanted, currentOf(keys)));
        for (const AllotmentCapacity &key : keys)
            amounts_[key.key] = key.amount;
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
        const std::vector<AllotmentCapacity> keys = { { key, amountOf(teamKeyName(name), now) } };
        const EntryAmounts wanted = scheduling::divideBetweenEntries(
            { demandOf(AllPools, team) }, entries, keys.front().amount);
        targets_.merge(scheduling::planTargets(keys, wanted, currentOf(keys)));
        amounts_[key] = keys.front().amount;
    }
}

// Keys of backend servers and teams that are not there any more are asked back whole.
void AllotmentManager::planDeadKeys()
{
    for (const auto &[key, name] : state_.allotments().keys()) {
        if (amounts_.contains(key))
            continue;
        amounts_[key] = 0;
        for (const auto &[entry, allotment] : state_.allotments().of(key))
            targets_[key][entry] = 0;
    }
}

std::optional<schema::AllotmentBatch> AllotmentManager::plan(Millis now)
{
    targets_.clear();
    amounts_.clear();
    gatherDemand();
    noteWeights(entriesInService(now));
    schema::AllotmentBatch batch;
    planPools(now);
    planTeams(now);
    planDeadKeys();
    addKeys(now, &batch);
    takeReturns(now, &batch);
    giveMore(&batch);
    dropKeys(now, &batch);
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

uint64_t AllotmentManager::longestTimeoutMs() const
{
    uint64_t longest = 0;
    for (const auto &route : state_.config().config().routes())
        longest = std::max<uint64_t>(longest, route.timeout_ms());
    return longest;
}

// Whether nothing of a closed session can run under the key any more.
bool AllotmentManager::mayRelease(
    const schema::SessionState &session, const std::string &keyName, Millis now) const
{
    const Millis leaseEnd = sessions_.leaseEnd(EntryNumber(session.number()));
    if (now < leaseEnd)
        return false;
    if (now >= leaseEnd + Millis(static_cast<int64_t>(longestTimeoutMs())) + ViewLeaseMargin)
        return true;
    // Another life of the entry makes the counts ambiguous.
    if (state_.sessions().find(EntryId(session.entry())) != nullptr)
        return false;
    const bool isTeam = keyName.rfind("team/", 0) == 0;
    for (const auto &[id, backend] : backends_.all()) {
        if (!isTeam && keyName != backendKeyName(id))
            continue;
        // Announced late enough to include everything sent before the lease ended.
        const bool fresh = backend.heard > leaseEnd + AnnounceInterval;
        const auto running = backend.announcement.running().find(session.entry());
        const bool idle = running == backend.announcement.running().end() || running->second == 0;
        if (!fresh || !idle)
            return false;
    }
    return isTeam || backends_.find(BackendId(keyName.substr(keyName.find('/') + 1))) != nullptr;
}

void AllotmentManager::takeReturns(Millis now, schema::AllotmentBatch *batch)
{
    for (const auto &[key, name] : state_.allotments().keys()) {
        for (const auto &[entry, allotment] : state_.allotments().of(key)) {
            uint32_t left = allotment.amount;
            const schema::SessionState *session = state_.sessions().find(entry);
            const EntryLink *link = sessions_.find(entry);
            if (session != nullptr && session->closed() && mayRelease(*session, name, now))
                left = 0;
            if (link != nullptr && link->stream != nullptr) {
                const auto holding = link->holdings.find(key.value());
                if (holding != link->holdings.end() && holding->second.epoch() == allotment.epoch)
                    left = std::min(left, holding->second.amount());
            }
            if (left == allotment.amount)
                continue;
            auto *change = batch->add_changes();
            change->set_key(key.value());
            change->set_entry(entry.value());
            change->set_amount(left);
        }
    }
}

void AllotmentManager::giveMore(schema::AllotmentBatch *batch)
{
    std::map<AllotmentKeyNumber, std::set<uint32_t>> changing;
    for (const auto &change : batch->changes())
        changing[AllotmentKeyNumber(change.key())].insert(change.entry());
    for (const auto &[key, byEntry] : targets_) {
        const uint32_t out = state_.allotments().sumOf(key);
        uint32_t free = amounts_[key] > out ? amounts_[key] - out : 0;
        for (const auto &[entry, target] : byEntry) {
            const uint32_t amount = state_.allotments().of(key, entry).amount;
            if (target <= amount || free == 0 || changing[key].contains(entry.value()))
                continue;
            const uint32_t more = std::min(target - amount, free);
            free -= more;
            auto *change = batch->add_changes();
            change->set_key(key.value());
            change->set_entry(entry.value());
            change->set_amount(amount + more);
        }
    }
}

void AllotmentManager::dropKeys(Millis now, schema::AllotmentBatch *batch)
{
    for (const auto &[key, name] : state_.allotments().keys()) {
        if (!state_.allotments().of(key).empty() || amounts_[key] != 0)
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
        backends_.forget(id);
    }
}

std::map<uint32_t, schema::AllotmentView> AllotmentManager::viewFor(EntryNumber entry) const
{
    std::map<uint32_t, schema::AllotmentView> views;
    for (const auto &[key, name] : state_.allotments().keys()) {
        const state::Allotment allotment = state_.allotments().of(key, entry);
        schema::AllotmentView view;
        view.set_key(key.value());
        view.set_name(name);
        view.set_amount(allotment.amount);
        view.set_epoch(allotment.epoch);
        view.set_target(allotment.amount);
        const auto byEntry = targets_.find(key);
        if (byEntry != targets_.end()) {
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
        weights[team] = static_cast<uint32_t>(std::lround(weight.sent));
    return weights;
}

} // namespace basilgap::control
