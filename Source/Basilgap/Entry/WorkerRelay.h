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

// Holds the long polls of workers, forwards their reports to the leader in digests, and answers the
// polls with the leader's orders.
class WorkerRelay
{
public:
    struct Options
    {
        EntryId entry;
        std::function<void(const schema::WorkerDigest &)> sendDigest;
        // ControlClient::connectionGeneration(): after a change, reports are sent in full again.
        std::function<uint64_t()> connectionGeneration;
    };

    WorkerRelay(network::EventLoop &loop, Options options, const ViewStore &view);

    // Handles POST /v1/worker.
    void handlePoll(
        const network::HttpRequest &request, const network::ResponderPointer &responder);

    void handleOrders(const schema::WorkerOrdersBatch &batch);

    size_t heldPolls() const { return polls_.size(); }

private:
    struct Poll
    {
        network::ResponderPointer responder;
        schema::WorkerReport report;
        Millis arrivedAt;
        // The leader has renewed the worker's lease in reply to this poll.
        bool confirmed = false;
    };

    // Identifies the last full report of a worker that was sent to the leader.
    struct ReportedState
    {
        Incarnation incarnation;
        uint64_t contentHash = 0;
        uint64_t connectionGeneration = 0;
    };

    void queueReport(const WorkerId &worker);
    void scheduleFlush(Millis delay);
    void flush();
    void tick();
    void applyOrders(const schema::WorkerOrders &orders);
    bool mayDeliverStarts(const schema::WorkerReport &report) const;
    void answerPoll(const WorkerId &worker, const schema::WorkerOrders &orders);

    Options options_;
    const ViewStore &view_;
    std::map<WorkerId, Poll> polls_;
    std::map<WorkerId, ReportedState> reported_;
    schema::WorkerDigest digest_;
    Millis flushDueAt_;
    network::Timer flushTimer_;
    network::Timer tickTimer_;
};

} // namespace basilgap::entry
