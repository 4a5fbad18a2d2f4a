#include "Basilgap/Entry/BackendTable.h"

#include <algorithm>

#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::entry {

namespace {

constexpr double LatencySmoothing = 0.2;
constexpr int FailuresToEject = 5;
constexpr Millis FirstEjection{ 2000 };
constexpr int MaxEjectionDoublings = 4;
// At most every third backend server of a pool is ejected: more failures than that speak for
// another cause.
constexpr size_t EjectedPart = 3;

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
            backend.failures = 0;
            backend.ejectedUntil = Millis();
        }
        backend.view = view;
        byKey_[view.key()] = id;
    }
    std::erase_if(backends_, [](const auto &entry) {
        return entry.second.view.gone() && entry.second.live == 0 && entry.second.doubts.empty();
    });
}

bool BackendTable::mayUse(const Backend &backend, Millis now) const
{
    return !backend.view.gone() && !backend.view.leaving() && now >= backend.ejectedUntil
        && !zonesOut_.contains(ZoneName(backend.view.zone())) && freeSlots(backend) > 0;
}

uint32_t BackendTable::freeSlots(const Backend &backend) const
{
    const uint32_t free = holdings_.freeOf("backend/" + backend.view.id());
    const auto entries = static_cast<uint32_t>(std::max<size_t>(1, entryCount_));
    const uint32_t connections = std::max<uint32_t>(1, backend.view.connections() / entries);
    const uint32_t connectionsFree = connections > backend.live ? connections - backend.live : 0;
    return std::min(free, connectionsFree);
}

double BackendTable::score(const Backend &backend) const
{
    const auto free = static_cast<double>(freeSlots(backend));
    return (1 + backend.latencyMs) * (1 + backend.failures) / free;
}

std::optional<BackendId> BackendTable::choose(
    const PoolName &pool, const std::set<BackendId> &tried, Millis now)
{
    std::vector<const Backend *> near;
    std::vector<const Backend *> far;
    for (const auto &[id, backend] : backends_) {
        if (backend.view.pool() != pool.value() || tried.contains(id) || !mayUse(backend, now))
            continue;
        const bool sameZone = backend.view.zone() == options_.zone.value();
        (sameZone ? near : far).push_back(&backend);
    }
    const auto &candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    const Backend *first = candidates[random_() % candidates.size()];
    const Backend *second = candidates[random_() % candidates.size()];
    return BackendId(score(*second) < score(*first) ? second->view.id() : first->view.id());
}

bool BackendTable::wereAllTried(const PoolName &pool, const std::set<BackendId> &tried) const
{
    return std::none_of(backends_.begin(), backends_.end(), [&](const auto &entry) {
        const schema::BackendView &view = entry.second.view;
        return view.pool() == pool.value() && !view.gone() && !view.leaving()
            && !zonesOut_.contains(ZoneName(view.zone())) && !tried.contains(entry.first);
    });
}

bool BackendTable::hasFree(const PoolName &pool, Millis now) const
{
    return std::any_of(backends_.begin(), backends_.end(), [&](const auto &entry) {
        return entry.second.view.pool() == pool.value() && mayUse(entry.second, now);
    });
}

uint32_t BackendTable::heldOf(const PoolName &pool) const
{
    uint32_t held = 0;
    for (const auto &[id, backend] : backends_) {
        const auto *holding = holdings_.find("backend/" + id.value());
        if (backend.view.pool() == pool.value() && holding != nullptr)
            held += holding->held;
    }
    return held;
}

void BackendTable::started(const BackendId &backend)
{
    backends_[backend].live++;
    holdings_.take("backend/" + backend.value());
}

void BackendTable::release(Backend *backend)
{
    holdings_.release("backend/" + backend->view.id());
}

void BackendTable::answered(const BackendId &id, double milliseconds)
{
    Backend &backend = backends_[id];
    backend.live--;
    release(&backend);
    backend.failures = 0;
    backend.ejections = 0;
    if (backend.latencyMs == 0)
        backend.latencyMs = milliseconds;
    backend.latencyMs += LatencySmoothing * (milliseconds - backend.latencyMs);
}

void BackendTable::failed(const BackendId &id, Millis now)
{
    Backend &backend = backends_[id];
    backend.live--;
    release(&backend);
    eject(&backend, now);
}

void BackendTable::doubtful(const BackendId &id, const TeamName &team, Millis now, Millis until)
{
    Backend &backend = backends_[id];
    backend.live--;
    backend.doubts.push_back({ now, until, team });
    eject(&backend, now);
}

void BackendTable::eject(Backend *backend, Millis now)
{
    if (++backend->failures < FailuresToEject || now < backend->ejectedUntil)
        return;
    size_t pool = 0;
    size_t ejected = 0;
    for (const auto &[id, other] : backends_) {
        if (other.view.pool() != backend->view.pool() || other.view.gone())
            continue;
        pool++;
        ejected += now < other.ejectedUntil ? 1 : 0;
    }
    if ((ejected + 1) * EjectedPart > pool)
        return;
    const int doublings = std::min(backend->ejections, MaxEjectionDoublings);
    backend->ejectedUntil = now + FirstEjection * (int64_t(1) << doublings);
    backend->ejections++;
    backend->failures = 0;
}

std::vector<TeamName> BackendTable::settleDoubts(const schema::RenewReply *reply, Millis now)
{
    std::vector<TeamName> settled;
    const auto end = [&](Backend *backend) {
        settled.push_back(backend->doubts.front().team);
        backend->doubts.pop_front();
        release(backend);
    };
    if (reply != nullptr) {
        for (const auto &running : reply->running()) {
            const auto id = byKey_.find(running.key());
            if (id == byKey_.end() || !backends_.contains(id->second))
                continue;
            Backend &backend = backends_[id->second];
            // The backend server may have counted before the exchange was given up.
            const Millis reported = now - Millis(running.age_ms()) - AnnounceInterval;
            while (
                backend.doubts.size() > running.count() && backend.doubts.front().since < reported)
                end(&backend);
        }
    }
    for (auto &[id, backend] : backends_) {
        while (!backend.doubts.empty() && backend.doubts.front().until <= now)
            end(&backend);
    }
    return settled;
}

std::vector<uint32_t> BackendTable::doubtfulKeys() const
{
    std::vector<uint32_t> keys;
    for (const auto &[id, backend] : backends_) {
        if (!backend.doubts.empty())
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
