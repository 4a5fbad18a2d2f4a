#pragma once

#include <deque>
#include <functional>

#include "Basilgap/Entry/ClaimService.h"
#include "Basilgap/Entry/Dispatcher.h"
#include "Basilgap/Entry/ViewStore.h"
#include "Basilgap/Network/HttpServer.h"
#include "Basilgap/Network/RpcClient.h"

namespace basilgap::entry {

// The HTTP interface for callers: requests under the configured routes, jobs, and the health check.
class CallerApi
{
public:
    struct Options
    {
        ViewStore &view;
        Dispatcher &dispatcher;
        ClaimService &claims;
        network::RpcClient &rpc;
        // Whether the health check should fail.
        std::function<bool()> isDraining;
        size_t maxDeferred = 10000;
    };

    CallerApi(network::EventLoop &loop, Options options);

    void handle(network::HttpRequest request, network::ResponderPointer responder);

    // Number of requests that wait for a valid view lease.
    size_t deferred() const { return deferred_.size(); }

private:
    struct DeferredRequest
    {
        network::HttpRequest request;
        network::ResponderPointer responder;
        Millis arrivedAt;
        Millis deferredUntil;
    };

    void tick();
    void routeRequest(
        network::HttpRequest request, network::ResponderPointer responder, Millis arrivedAt);
    void submitRequest(network::HttpRequest request, network::ResponderPointer responder,
        const ViewStore::Caller &caller, Millis arrivedAt);
    void answerHealthCheck(const network::ResponderPointer &responder);

    // Implemented in JobApi.cpp.
    void handleJobRequest(const network::HttpRequest &request,
        const network::ResponderPointer &responder, const ViewStore::Caller &caller);
    void submitJob(const network::HttpRequest &request, const network::ResponderPointer &responder,
        const TeamName &team);
    void fetchJob(JobId job, const TeamName &team, const network::ResponderPointer &responder,
        std::function<void(const schema::RpcReply &)> onFound);
    void cancelJob(JobId job, const network::ResponderPointer &responder);

    Options options_;
    std::deque<DeferredRequest> deferred_;
    network::Timer tickTimer_;
};

} // namespace basilgap::entry
