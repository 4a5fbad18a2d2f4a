#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Basilgap/Entry/BackendTable.h"
#include "Basilgap/Entry/FairQueue.h"
#include "Basilgap/Entry/LocalClaimTable.h"
#include "Basilgap/Entry/ViewStore.h"
#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"

namespace basilgap::entry {

// A caller's request, from its acceptance until its answer.
struct Request
{
    RequestId id;
    ViewStore::Caller caller;
    Flow flow;
    network::HttpRequest http;
    network::ResponderPointer responder;
    Millis arrivedAt;
    Millis deadline;
    // Whether it may run more than once.
    bool repeatable = false;
    std::optional<ClaimKey> claim;

    std::set<BackendId> triedBackends;
    // Whether an attempt may have run: a byte of it may have reached a backend server.
    bool mayHaveRun = false;
    // The current attempt.
    BackendId backend;
    Incarnation backendIncarnation;
    std::string attemptId;
    Millis sentAt;
    std::unique_ptr<network::HttpConnection> connection;
};

using RequestPointer = std::unique_ptr<Request>;

} // namespace basilgap::entry
