#pragma once

#include <deque>
#include <functional>

#include "Basilgap/Entry/ClaimService.h"
#include "Basilgap/Entry/Dispatcher.h"
#include "Basilgap/Entry/ViewStore.h"
#include "Basilgap/Network/HttpServer.h"
#include "Basilgap/Network/RpcClient.h"

namespace basilgap::entry {

// What callers see of an entry: requests under the configured routes, jobs, and the health page.
class CallerApi
{
public:
    struct Options
    {
        ViewStore &view;
        Dispatcher &dispatcher;
        ClaimService &claims;
        network::RpcClient &rpc;
        // Whether the health page should fail.
        std::function<bool()> isLeaving;
        size_t maxParked = 10000;
    };

    CallerApi(network::EventLoop &loop, Options options);

    void handle(network::HttpRequest request, network::ResponderPointer responder);

    // Requests that wait for a confirmed view.
    size_t parked() const { return parked_.size(); }

private:
    struct Parked
    {
        network::HttpRequest request;
        network::ResponderPointer responder;
        Millis arrived;
        Millis until;
    };

    void tick();
    void route(network::HttpRequest request, network::ResponderPointer responder, Millis arrived);
    void serve(network::HttpRequest request, network::ResponderPointer responder,
        const ViewStore::Caller &caller, Millis arrived);
    void health(const network::ResponderPointer &responder);

    // JobApi.cpp
    void serveJobs(const network::HttpRequest &request, const network::ResponderPointer &responder,
        const ViewStore::Caller &caller);
    void submitJob(const network::HttpRequest &request, const network::ResponderPointer &responder,
        const TeamName &team);
    void withJob(JobId job, const TeamName &team, const network::ResponderPointer &responder,
        std::function<void(const schema::RpcReply &)> then);
    void cancelJob(JobId job, const network::ResponderPointer &responder);

    Options options_;
    std::deque<Parked> parked_;
    network::Timer ticker_;
};

} // namespace basilgap::entry
