#pragma once

#include <memory>
#include <string>

#include "Basilgap/Admin/AdminServer.h"
#include "Basilgap/Entry/CallerApi.h"
#include "Basilgap/Entry/ControlClient.h"
#include "Basilgap/Entry/ServiceApi.h"
#include "Basilgap/Entry/WorkerRelay.h"

namespace basilgap::entry {

// A whole entry process: its session with the leader, its queues and its listeners.
class EntryProcess
{
public:
    static Result<std::unique_ptr<EntryProcess>> start(
        network::EventLoop &loop, const schema::EntrySettings &settings);

    // Stops without cutting off a request: fails the health page, closes the listeners after the
    // drain time, finishes what runs, and ends the loop.
    void stop();

    // JSON text of the state.
    std::string dump() const;

    // An entry keeps nothing that could fail it.
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
