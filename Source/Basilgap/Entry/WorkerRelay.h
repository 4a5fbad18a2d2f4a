#pragma once

#include <functional>
#include <map>
#include <string>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Entry/ViewStore.h"
#include "Basilgap/Network/HttpServer.h"
#include "Http.pb.h"
#include "Peer.pb.h"

namespace basilgap::entry {

// Holds the polls of workers, passes their reports on to the leader in digests, and answers with
// its orders.
class WorkerRelay
{
public:
    struct Options
    {
        EntryId entry;
        std::function<void(const schema::WorkerDigest &)> sendDigest;
        // Changes when the entry turned to another leader.
        std::function<uint64_t()> generation;
    };

    WorkerRelay(network::EventLoop &loop, Options options, const ViewStore &view);

    // Handles POST /v1/worker.
    void poll(const network::HttpRequest &request, const network::ResponderPointer &responder);

    void received(const schema::WorkerOrdersBatch &batch);

    size_t held() const { return polls_.size(); }

private:
    struct Poll
    {
        network::ResponderPointer responder;
        schema::WorkerReport report;
        Millis arrived;
        bool confirmed = false;
    };

    // What the leader knows of a worker through this entry.
    struct Known
    {
        Incarnation incarnation;
        uint64_t content = 0;
        uint64_t generation = 0;
    };

    void queueReport(const WorkerId &worker);
    void flushWithin(Millis delay);
    void flush();
    void tick();
    void take(const schema::WorkerOrders &orders);
    bool mayDeliver(const schema::WorkerReport &report) const;
    void answer(const WorkerId &worker, const schema::WorkerOrders &orders);

    Options options_;
    const ViewStore &view_;
    std::map<WorkerId, Poll> polls_;
    std::map<WorkerId, Known> known_;
    schema::WorkerDigest digest_;
    Millis flushDue_;
    network::Timer flusher_;
    network::Timer ticker_;
};

} // namespace basilgap::entry
