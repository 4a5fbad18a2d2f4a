#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Entry/BackendTable.h"
#include "Basilgap/Entry/ConnectionPool.h"
#include "Basilgap/Entry/FairQueue.h"
#include "Basilgap/Entry/HoldingTable.h"
#include "Basilgap/Entry/Request.h"
#include "Basilgap/Entry/RetryBudget.h"
#include "Basilgap/Entry/ServiceTime.h"
#include "Basilgap/Entry/ViewStore.h"

namespace basilgap::entry {

struct DispatcherCounters
{
    uint64_t accepted = 0;
    uint64_t refused = 0;
    uint64_t answered = 0;
    uint64_t retried = 0;
    uint64_t unknown = 0;
    uint64_t expired = 0;
};

// Queues accepted requests, sends them to backend servers and answers the callers.
class Dispatcher
{
public:
    struct Options
    {
        EntryId entry;
        Incarnation incarnation;
        size_t maxQueue = 10000;
        // Called when the exchange of a claim ended.
        std::function<void(const ClaimKey &, const ClaimOutcome &)> onClaimEnd;
        // Called when the number of waiting or running requests changed.
        std::function<void()> onDemandChanged;
    };

    Dispatcher(network::EventLoop &loop, Options options, ViewStore &view, HoldingTable &holdings,
        BackendTable &backends);

    // Queues a request, or refuses it immediately if the queue is full or the deadline can't be
    // met.
    void submit(RequestPointer request);

    // Starts as many queued requests as possible. To be called when slots became free.
    void dispatchQueued();

    // Applies the teams' weights and the backend servers' reports on abandoned exchanges.
    void update(const schema::RenewReply &reply);

    // Running requests of each team and pool, and how many more slots it could use.
    std::vector<schema::TeamDemand> demand() const;
    bool isIdle() const { return queue_.size() == 0 && running_.empty(); }
    size_t queuedRequests() const { return queue_.size(); }
    size_t runningRequests() const { return running_.size(); }
    const DispatcherCounters &counters() const { return counters_; }
    const LatencyHistogram &waitingTimeMs() const { return waitingTimeMs_; }
    const LatencyHistogram &totalTimeMs() const { return totalTimeMs_; }
    uint32_t weightOf(const TeamName &team) const;

private:
    // Implemented in Dispatcher.cpp.
    bool mayStart(const Flow &flow, Millis now);
    bool hasTeamCapacity(const TeamName &team) const;
    double queueWeight(const TeamName &team) const;
    uint32_t wantedSlots(const Flow &flow, Millis now) const;
    double costOf(const Flow &flow) const;
    bool startOrRefuse(RequestPointer *request, Millis now);
    double expectedWaitMs(const Flow &flow) const;
    ServiceTime serviceTimeOf(const Flow &flow) const;
    void enqueue(RequestPointer request, bool front);
    void cancelWhenCallerGone(Request &request);
    void tick();
    void scheduleDispatch();

    // Implemented in Exchange.cpp.
    void startExchange(RequestPointer request, const BackendId &backend);
    network::HttpRequest buildBackendRequest(const Request &request) const;
    void handleExchangeEnd(RequestId id, network::ExchangeResult result);
    void recordExchangeEnd(
        const Request &request, const network::ExchangeResult &result, bool fenced);
    void answerOrRetry(RequestPointer request, network::ExchangeResult result);
    bool reserveRetry(Request &request, bool attemptMayHaveRun);
    void retry(RequestPointer request);
    void forwardResponse(RequestPointer request, network::HttpResponse response);
    void answerError(
        RequestPointer request, int status, const std::string &error, const std::string &step);
    void answerExpired(RequestPointer request, const std::string &error, const std::string &step);
    void finish(RequestPointer request, network::HttpResponse response, const std::string &outcome);

    network::EventLoop &loop_;
    Options options_;
    ViewStore &view_;
    HoldingTable &holdings_;
    BackendTable &backends_;
    ConnectionPool connections_;
    FairQueue queue_;
    std::map<RequestId, RequestPointer> waitingRequests_;
    std::map<RequestId, RequestPointer> running_;
    std::map<Flow, uint32_t> runningByFlow_;
    std::map<Flow, ServiceTime> serviceTimes_;
    std::map<Flow, ArrivalRate> arrivalRates_;
    std::map<TeamName, uint32_t> leaderWeights_;
    std::map<TeamName, RetryBudget> retryBudgets_;
    uint64_t nextRequestId_ = 1;
    uint64_t nextAttemptNumber_ = 1;
    DispatcherCounters counters_;
    LatencyHistogram waitingTimeMs_;
    LatencyHistogram totalTimeMs_;
    network::Timer tickTimer_;
    network::Timer dispatchTimer_;
};

// Name of the holding that is this entry's part of the team's limit.
std::string teamHoldingName(const TeamName &team);

} // namespace basilgap::entry
