#include "Basilgap/Entry/BackendTable.h"

#include <algorithm>

#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::entry {

namespace {

constexpr double LatencySmoothing = 0.2;
constexpr int FailuresToEject = 5;
constexpr Millis FirstEjection{ 2000 };
constexpr int MaxEjectionDoublings = 4;
// At most one in three backend servers of a pool is ejected: if more fail, the cause is probably
// elsewhere.
constexpr size_t MinPoolSizePerEjection = 3;

} // namespace

BackendTable::BackendTable(Options options, HoldingTable &holdings)
    : options_(std::move(options))
    , holdings_(holdings)
    , random_(options_.seed)
{}

void BackendTable::update(const schema::RenewReply &reply)
{
    if (reply.full()) {
        for (auto &[id, backend] : backends_)
            backend.view.set_gone(true);
    }
    for (const auto &view : reply.backends()) {
        const BackendId id(view.id());
        Backend &backend = backends_[id];
        if (backend.view.incarnation() != view.incarnation()) {
            backend.consecutiveFailures = 0;
            backend.ejectedUntil = Millis();
        }
        backend.view = view;
        idsByKey_[view.key()] = id;
    }
    std::erase_if(backends_, [](const auto &entry) {
        return entry.second.view.gone() && entry.second.activeExchanges == 0
            && entry.second.abandonedExchanges.empty();
    });
}

bool BackendTable::isUsable(const Backend &backend, Millis now) const
{
    return !backend.view.gone() && !backend.view.leaving() && now >= backend.ejectedUntil
        && !zonesOut_.contains(ZoneName(backend.view.zone())) && freeSlots(backend) > 0;
}

uint32_t BackendTable::freeSlots(const Backend &backend) const
{
    const uint32_t free = holdings_.freeUnits("backend/" + backend.view.id());
    const auto entries = static_cast<uint32_t>(std::max<size_t>(1, entryCount_));
    const uint32_t connections = std::max<uint32_t>(1, backend.view.connections() / entries);
    const uint32_t connectionsFree =
        connections > backend.activeExchanges ? connections - backend.activeExchanges : 0;
    return std::min(free, connectionsFree);
}

double BackendTable::score(const Backend &backend) const
{
    const auto free = static_cast<double>(freeSlots(backend));
    return (1 + backend.latencyMs) * (1 + backend.consecutiveFailures) / free;
}

std::optional<BackendId> BackendTable::choose(
    const PoolName &pool, const std::set<BackendId> &triedBackends, Millis now)
{
    std::vector<const Backend *> sameZoneBackends;
    std::vector<const Backend *> otherZoneBackends;
    for (const auto &[id, backend] : backends_) {
        if (backend.view.pool() != pool.value() || triedBackends.contains(id)
            || !isUsable(backend, now))
            continue;
        const bool sameZone = backend.view.zone() == options_.zone.value();
        (sameZone ? sameZoneBackends : otherZoneBackends).push_back(&backend);
    }
    const auto &candidates = sameZoneBackends.empty() ? otherZoneBackends : sameZoneBackends;
    if (candidates.empty())
        return std::nullopt;
    const Backend *first = candidates[random_() % candidates.size()];
    const Backend *second = candidates[random_() % candidates.size()];
    return BackendId(score(*second) < score(*first) ? second->view.id() : first->view.id());
}

bool BackendTable::wereAllTried(
    const PoolName &pool, const std::set<BackendId> &triedBackends) const
{
    return std::none_of(backends_.begin(), backends_.end(), [&](const auto &entry) {
        const schema::BackendView &view = entry.second.view;
        return view.pool() == pool.value() && !view.gone() && !view.leaving()
            && !zonesOut_.contains(ZoneName(view.zone())) && !triedBackends.contains(entry.first);
    });
}

bool BackendTable::hasFreeSlot(const PoolName &pool, Millis now) const
{
    return std::any_of(backends_.begin(), backends_.end(), [&](const auto &entry) {
        return entry.second.view.pool() == pool.value() && isUsable(entry.second, now);
    });
}

uint32_t BackendTable::heldSlots(const PoolName &pool) const
{
    uint32_t held = 0;
    for (const auto &[id, backend] : backends_) {
        const auto *holding = holdings_.find("backend/" + id.value());
        if (backend.view.pool() == pool.value() && holding != nullptr)
            held += holding->held;
    }
    return held;
}

BackendTable::Peer BackendTable::recordStart(const BackendId &id)
{
    Backend &backend = backends_[id];
    backend.activeExchanges++;
    holdings_.acquire("backend/" + id.value());
    return { .backend = id, .incarnation = Incarnation(backend.view.incarnation()) };
}

bool BackendTable::isPresent(const Backend &backend, const Peer &peer)
{
    return backend.view.incarnation() == peer.incarnation.value();
}

void BackendTable::releaseSlot(Backend *backend)
{
    holdings_.release("backend/" + backend->view.id());
}

void BackendTable::recordAnswer(const Peer &peer, double milliseconds)
{
    Backend &backend = backends_[peer.backend];
    backend.activeExchanges--;
    releaseSlot(&backend);
    if (!isPresent(backend, peer))
        return;
    backend.consecutiveFailures = 0;
    backend.consecutiveEjections = 0;
    if (backend.latencyMs == 0)
        backend.latencyMs = milliseconds;
    backend.latencyMs += LatencySmoothing * (milliseconds - backend.latencyMs);
}

void BackendTable::recordFailure(const Peer &peer, Millis now)
{
    Backend &backend = backends_[peer.backend];
    backend.activeExchanges--;
    releaseSlot(&backend);
    countFailure(&backend, peer, now);
}

void BackendTable::recordAbandoned(
    const Peer &peer, const TeamName &team, Millis now, Millis expiresAt)
{
    Backend &backend = backends_[peer.backend];
    backend.activeExchanges--;
    backend.abandonedExchanges.push_back({ now, expiresAt, team });
    countFailure(&backend, peer, now);
}

void BackendTable::countFailure(Backend *backend, const Peer &peer, Millis now)
{
    if (!isPresent(*backend, peer))
        return;
    if (++backend->consecutiveFailures < FailuresToEject || now < backend->ejectedUntil)
        return;
    size_t poolSize = 0;
    size_t ejectedCount = 0;
    for (const auto &[id, other] : backends_) {
        if (other.view.pool() != backend->view.pool() || other.view.gone())
            continue;
        poolSize++;
        ejectedCount += now < other.ejectedUntil ? 1 : 0;
    }
    if ((ejectedCount + 1) * MinPoolSizePerEjection > poolSize)
        return;
    const int doublings = std::min(backend->consecutiveEjections, MaxEjectionDoublings);
    backend->ejectedUntil = now + FirstEjection * (int64_t(1) << doublings);
    backend->consecutiveEjections++;
    backend->consecutiveFailures = 0;
}

std::vector<TeamName> BackendTable::releaseAbandoned(const schema::RenewReply *reply, Millis now)
{
    std::vector<TeamName> teams;
    const auto releaseOldest = [&](Backend *backend) {
        teams.push_back(backend->abandonedExchanges.front().team);
        backend->abandonedExchanges.pop_front();
        releaseSlot(backend);
    };
    if (reply != nullptr) {
        for (const auto &running : reply->running()) {
            const auto id = idsByKey_.find(running.key());
            if (id == idsByKey_.end() || !backends_.contains(id->second))
                continue;
            Backend &backend = backends_[id->second];
            // The backend server may have counted up to one announcement interval before its report
            // arrived. Only exchanges that were abandoned before that are covered by the count.
            const Millis countedAt = now - Millis(running.age_ms()) - AnnounceInterval;
            while (backend.abandonedExchanges.size() > running.count()
                && backend.abandonedExchanges.front().abandonedAt < countedAt)
                releaseOldest(&backend);
        }
    }
    for (auto &[id, backend] : backends_) {
        while (!backend.abandonedExchanges.empty()
            && backend.abandonedExchanges.front().expiresAt <= now)
            releaseOldest(&backend);
    }
    return teams;
}

std::vector<uint32_t> BackendTable::keysWithAbandonedExchanges() const
{
    std::vector<uint32_t> keys;
    for (const auto &[id, backend] : backends_) {
        if (!backend.abandonedExchanges.empty())
            keys.push_back(backend.view.key());
    }
    return keys;
}

const BackendTable::Backend *BackendTable::find(const BackendId &backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

} // namespace basilgap::entry
