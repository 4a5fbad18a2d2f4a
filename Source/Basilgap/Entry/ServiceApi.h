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

// What backend servers and workers see of an entry.
class ServiceApi
{
public:
    struct Options
    {
        const BackendTable &backends;
        WorkerRelay &workers;
        // A backend server appeared or changed.
        std::function<void()> onBackendChanged;
    };

    explicit ServiceApi(Options options);

    void handle(const network::HttpRequest &request, const network::ResponderPointer &responder);

    // Adds to the renewal what was announced since the last one; everything known when it is full.
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
