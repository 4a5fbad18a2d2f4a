#include "Basilgap/Control/BackendRegistry.h"

#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::control {

void BackendRegistry::recordAnnouncement(const schema::Announcement &announcement, Millis now)
{
    const BackendId id(announcement.id());
    const auto found = backends_.find(id);
    const bool stale = found != backends_.end()
        && announcement.incarnation() < found->second.announcement.incarnation();
    if (!stale)
        backends_[id] = { announcement, now };
}

bool BackendRegistry::isAlive(const Backend &backend, Millis now) const
{
    return now - backend.lastHeardAt < BackendSilenceTimeout;
}

bool BackendRegistry::isUsable(
    const Backend &backend, const state::ConfigState &config, Millis now) const
{
    return isAlive(backend, now) && !backend.announcement.leaving()
        && !config.isZoneOut(ZoneName(backend.announcement.zone()));
}

const BackendRegistry::Backend *BackendRegistry::find(const BackendId &backend) const
{
    const auto found = backends_.find(backend);
    return found == backends_.end() ? nullptr : &found->second;
}

std::string backendKeyName(const BackendId &backend)
{
    return "backend/" + backend.value();
}

std::string teamKeyName(const TeamName &team)
{
    return "team/" + team.value();
}

} // namespace basilgap::control
