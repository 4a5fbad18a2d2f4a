#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "Basilgap/Entry/BackendTable.h"
#include "Basilgap/Entry/ClaimBook.h"
#include "Basilgap/Entry/FairQueue.h"
#include "Basilgap/Entry/ViewStore.h"
#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"

namespace basilgap::entry {

// A caller's request from its acceptance to its answer.
struct Request
{
    RequestId id;
    ViewStore::Caller caller;
    Flow flow;
    network::HttpRequest http;
    network::ResponderPointer responder;
    Millis arrived;
    Millis deadline;
    // May run more than once.
    bool repeatable = false;
    std::optional<ClaimKey> claim;

    std::set<BackendId> tried;
    // A byte of some attempt may have reached a backend server.
    bool maybeRan = false;
    // The attempt under way.
    BackendId backend;
    std::string attempt;
    Millis sentAt;
    std::unique_ptr<network::HttpConnection> connection;
};

using RequestPointer = std::unique_ptr<Request>;

} // namespace basilgap::entry
