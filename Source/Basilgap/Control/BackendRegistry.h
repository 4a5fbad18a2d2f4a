#pragma once

#include <map>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/ConfigState.h"
#include "Peer.pb.h"

namespace basilgap::control {

// The backend servers as they announced themselves to any entry.
class BackendRegistry
{
public:
    struct Backend
    {
        schema::Announcement announcement;
        Millis lastHeardAt;
    };

    // Takes in an announcement; one of an earlier life of the backend server is ignored.
    void recordAnnouncement(const schema::Announcement &announcement, Millis now);
    // The backend server announced itself without a change.
    void recordUnchangedAnnouncement(const BackendId &backend, Millis now);

    bool isAlive(const Backend &backend, Millis now) const;
    // Whether it may be given work.
    bool isUsable(const Backend &backend, const state::ConfigState &config, Millis now) const;

    const Backend *find(const BackendId &backend) const;
    const std::map<BackendId, Backend> &all() const { return backends_; }

    // Forgets one that is gone.
    void remove(const BackendId &backend) { backends_.erase(backend); }

private:
    std::map<BackendId, Backend> backends_;
};

// Names under which slots and limits are divided between the entries.
std::string backendKeyName(const BackendId &backend);
std::string teamKeyName(const TeamName &team);

} // namespace basilgap::control
