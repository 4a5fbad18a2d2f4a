#pragma once

#include <functional>
#include <map>
#include <set>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Entry/BackendTable.h"
#include "Basilgap/Entry/WorkerRelay.h"
#include "Basilgap/Network/HttpServer.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// The HTTP interface for backend servers and workers.
class ServiceApi
{
public:
    struct Options
    {
        const BackendTable &backends;
        WorkerRelay &workers;
        // Called when a backend server appeared or changed in more than its running counts.
        std::function<void()> onBackendChanged;
    };

    explicit ServiceApi(Options options);

    void handle(const network::HttpRequest &request, const network::ResponderPointer &responder);

    // Adds the announcements since the last renewal, or all known ones if the renewal is full.
    void fillRenewal(schema::Renew *renewal);

private:
    struct Announced
    {
        schema::Announcement announcement;
        Millis lastHeardAt;
    };

    void handleAnnouncement(
        const network::HttpRequest &request, const network::ResponderPointer &responder);
    bool isStale(const schema::Announcement &announcement) const;

    Options options_;
    std::map<BackendId, Announced> announced_;
    std::set<BackendId> changedBackends_;
    std::set<BackendId> refreshedBackends_;
};

} // namespace basilgap::entry
