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

// Queues accepted requests, hands them to backend servers and answers the callers.
class Dispatcher
{
public:
    struct Options
    {
        EntryId entry;
        Incarnation incarnation;
        size_t maxQueue = 10000;
        // The exchange of a claim ended.
        std::function<void(const ClaimKey &, const ClaimOutcome &)> onClaimEnd;
        // Waiting or running requests changed.
        std::function<void()> onDemand;
    };

    Dispatcher(network::EventLoop &loop, Options options, ViewStore &view, HoldingTable &holdings,
        BackendTable &backends);

    // Takes an accepted request. Refuses it at once when it can't be answered in time.
    void submit(RequestPointer request);

    // Starts what can be started; to be called when something became free.
    void pump();

    // Takes in the leader's amounts for the teams' weights and reports on given up exchanges.
    void update(const schema::RenewReply &reply);

    // What each team has running, and how much more it could use.
    std::vector<schema::TeamDemand> demand() const;
    bool isIdle() const { return queue_.size() == 0 && running_.empty(); }
    size_t queued() const { return queue_.size(); }
    size_t running() const { return running_.size(); }
    const DispatcherCounters &counters() const { return counters_; }
    const LatencyHistogram &waiting() const { return waiting_; }
    const LatencyHistogram &total() const { return total_; }
    uint32_t weightOf(const TeamName &team) const;

private:
    // Dispatcher.cpp
    bool mayStart(const Flow &flow, Millis now);
    bool hasTeamRoom(const TeamName &team) const;
    double queueWeight(const TeamName &team) const;
    uint32_t wantedSlots(const Flow &flow, Millis now) const;
    double costOf(const Flow &flow) const;
    bool dispatch(RequestPointer *request, Millis now);
    double expectedWaitMs(const Flow &flow) const;
    ServiceTime serviceTimeOf(const Flow &flow) const;
    void enqueue(RequestPointer request, bool front);
    void watchCaller(Request &request);
    void tick();
    void schedulePump();

    // Exchange.cpp
    void start(RequestPointer request, const BackendId &backend);
    network::HttpRequest attemptRequest(const Request &request) const;
    void exchangeEnded(RequestId id, network::ExchangeResult result);
    void noteEnd(const Request &request, const network::ExchangeResult &result, bool fenced);
    void settle(RequestPointer request, network::ExchangeResult result);
    bool mayRetry(Request &request, bool ran);
    void retry(RequestPointer request);
    void answerWhole(RequestPointer request, network::HttpResponse response);
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
    std::map<Flow, ArrivalRate> arrivals_;
    std::map<TeamName, uint32_t> leaderWeights_;
    std::map<TeamName, RetryBudget> budgets_;
    uint64_t nextRequest_ = 1;
    uint64_t nextAttempt_ = 1;
    DispatcherCounters counters_;
    LatencyHistogram waiting_;
    LatencyHistogram total_;
    network::Timer ticker_;
    network::Timer pumper_;
};

// Name of a team's part of its limit among the holdings.
std::string teamHolding(const TeamName &team);

} // namespace basilgap::entry
