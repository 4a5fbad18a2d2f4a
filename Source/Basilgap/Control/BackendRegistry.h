#pragma once

#include <map>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/ConfigState.h"
#include "Peer.pb.h"

namespace basilgap::control {

// Tracks the backend servers that announced themselves to any entry.
class BackendRegistry
{
public:
    struct Backend
    {
        schema::Announcement announcement;
        Millis lastHeardAt;
    };

    // Stores an announcement. One from an earlier incarnation of the backend server is ignored.
    void recordAnnouncement(const schema::Announcement &announcement, Millis now);

    bool isAlive(const Backend &backend, Millis now) const;
    // Whether entries may send requests to it.
    bool isUsable(const Backend &backend, const state::ConfigState &config, Millis now) const;

    const Backend *find(const BackendId &backend) const;
    const std::map<BackendId, Backend> &all() const { return backends_; }

    // Removes a backend server that is no longer alive.
    void remove(const BackendId &backend) { backends_.erase(backend); }

private:
    std::map<BackendId, Backend> backends_;
};

// Names of the allotment keys: one per backend server for its slots, one per team for its limit.
std::string backendKeyName(const BackendId &backend);
std::string teamKeyName(const TeamName &team);

} // namespace basilgap::control
