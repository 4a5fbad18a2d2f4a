#pragma once

#include <memory>
#include <string>

#include "Basilgap/Admin/AdminServer.h"
#include "Basilgap/Entry/CallerApi.h"
#include "Basilgap/Entry/ControlClient.h"
#include "Basilgap/Entry/ServiceApi.h"
#include "Basilgap/Entry/WorkerRelay.h"

namespace basilgap::entry {

// The main object of an entry process: the session with the leader, the queues and the listeners.
class EntryProcess
{
public:
    static Result<std::unique_ptr<EntryProcess>> start(
        network::EventLoop &loop, const schema::EntrySettings &settings);

    // Stops gracefully: fails the health check, closes the listeners after the drain time, finishes
    // the accepted requests and ends the event loop.
    void stop();

    // The state as JSON.
    std::string dump() const;

    // Always false: an entry has no durable state whose failure would be fatal.
    bool hasFailed() const { return false; }

private:
    EntryProcess(network::EventLoop &loop, const schema::EntrySettings &settings);
    Result<void> open();
    Result<void> openClaims(const std::string &cellKey);
    Result<void> openListeners(const std::string &operatorKey);
    void openControl(const std::string &cellKey);
    void handleRenewReply(const schema::RenewReply &reply, std::optional<Millis> sentAt);
    void fillRenewal(schema::Renew *renewal);
    bool isDraining() const;
    void continueStop();
    schema::StatusBody status() const;
    std::string metrics() const;

    network::EventLoop &loop_;
    schema::EntrySettings settings_;
    Incarnation incarnation_;
    ViewStore view_;
    HoldingTable holdings_;
    std::unique_ptr<BackendTable> backends_;
    std::unique_ptr<ControlClient> control_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<ClaimService> claims_;
    std::unique_ptr<WorkerRelay> workers_;
    std::unique_ptr<CallerApi> callerApi_;
    std::unique_ptr<ServiceApi> serviceApi_;
    std::shared_ptr<network::ClientLimits> clientLimits_;
    std::unique_ptr<network::HttpServer> publicServer_;
    std::unique_ptr<network::HttpServer> serviceServer_;
    std::unique_ptr<admin::AdminServer> admin_;
    std::string lastReportedDemand_;
    bool stopping_ = false;
    Millis stopStartedAt_;
    network::Timer stopTimer_;
    network::Timer claimExpiryTimer_;
};

} // namespace basilgap::entry
