#include "Basilgap/Entry/EntryProcess.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Network/DescriptorBudget.h"
#include "Basilgap/Network/Json.h"
#include "Basilgap/Settings/YamlReader.h"

namespace basilgap::entry {

namespace {

constexpr Millis StopCheckInterval{ 50 };
constexpr Millis ClaimExpiryInterval{ 1000 };

// Minimum time between two renewals that are sent because the demand or other state changed.
constexpr Millis MinDemandRenewInterval{ 150 };
constexpr Millis MinChangeRenewInterval{ 20 };

// How long a stopping process waits for its holdings to be returned, so that other entries can use
// them immediately.
constexpr Millis HoldingReturnTimeout{ 3000 };

// Added to the longest route timeout to bound the duration of a stop.
constexpr Millis StopMargin{ 2000 };

// Of the descriptors for connections, callers get half and backend servers and workers a quarter.
// The rest is for connections to backend servers and for operators.
constexpr size_t CallerConnectionParts = 2;
constexpr size_t ServiceConnectionParts = 4;

// The HTTP server sends this answer itself, before a handler sees the request.
network::HttpResponse bodyTooLarge()
{
    return network::errorResponse(
        { .status = 413, .error = "the body is too large", .step = "read" });
}

} // namespace

EntryProcess::EntryProcess(network::EventLoop &loop, const schema::EntrySettings &settings)
    : loop_(loop)
    , settings_(settings)
    , incarnation_(randomNumber())
    , stopTimer_(loop, [this] { continueStop(); })
    , claimExpiryTimer_(loop, [this] { claims_->expire(steadyNow()); })
{}

Result<std::unique_ptr<EntryProcess>> EntryProcess::start(
    network::EventLoop &loop, const schema::EntrySettings &settings)
{
    std::unique_ptr<EntryProcess> process(new EntryProcess(loop, settings));
    if (const auto opened = process->open(); !opened)
        return fail(opened.error());
    return process;
}

Result<void> EntryProcess::open()
{
    const auto cellKey = settings::readKeyFile(settings_.cell_key_file());
    if (!cellKey)
        return fail(cellKey.error());
    const auto operatorKey = settings::readKeyFile(settings_.operator_key_file());
    if (!operatorKey)
        return fail(operatorKey.error());
    backends_ = std::make_unique<BackendTable>(
        BackendTable::Options{ .zone = ZoneName(settings_.zone()), .seed = randomNumber() },
        holdings_);
    dispatcher_ = std::make_unique<Dispatcher>(loop_,
        Dispatcher::Options{
            .entry = EntryId(settings_.id()),
            .incarnation = incarnation_,
            .maxQueue = settings_.max_queue(),
            .onClaimEnd = [this](const ClaimKey &key,
                              const ClaimOutcome &outcome) { claims_->finishClaim(key, outcome); },
            .onDemandChanged = [this] { control_->scheduleRenewal(MinDemandRenewInterval); },
        },
        view_, holdings_, *backends_);
    openControl(*cellKey);
    if (auto opened = openClaims(*cellKey); !opened)
        return opened;
    return openListeners(*operatorKey);
}

void EntryProcess::openControl(const std::string &cellKey)
{
    workers_ = std::make_unique<WorkerRelay>(loop_,
        WorkerRelay::Options{
            .entry = EntryId(settings_.id()),
            .sendDigest = [this](
                              const schema::WorkerDigest &digest) { control_->sendDigest(digest); },
            .connectionGeneration = [this] { return control_->connectionGeneration(); },
        },
        view_);
    const size_t heldBytes = network::heldBytesOf(settings_);
    clientLimits_ = std::make_shared<network::ClientLimits>(heldBytes);
    control_ = std::make_unique<ControlClient>(loop_,
        ControlClient::Options{
            .maxPendingBytes = network::pendingCallBytes(heldBytes),
            .settings = settings_,
            .incarnation = incarnation_,
            .cellKey = cellKey,
            .fillRenewal = [this](schema::Renew *renewal) { fillRenewal(renewal); },
            .onReply = [this](const schema::RenewReply &reply,
                           std::optional<Millis> sentAt) { handleRenewReply(reply, sentAt); },
            .onOrders =
                [this](const schema::WorkerOrdersBatch &batch) { workers_->handleOrders(batch); },
        });
}

Result<void> EntryProcess::openClaims(const std::string &cellKey)
{
    auto claims = ClaimService::listen(loop_,
        {
            .entry = EntryId(settings_.id()),
            .incarnation = incarnation_,
            .peerAddress = settings_.peer_address(),
            .cellKey = cellKey,
            .rpc = control_->rpc(),
            .runRequest = [this](
                              RequestPointer request) { dispatcher_->submit(std::move(request)); },
        },
        view_);
    if (!claims)
        return fail(claims.error());
    claims_ = std::move(*claims);
    claimExpiryTimer_.startRepeating(ClaimExpiryInterval);
    return {};
}

Result<void> EntryProcess::openListeners(const std::string &operatorKey)
{
    callerApi_ = std::make_unique<CallerApi>(loop_,
        CallerApi::Options{ .view = view_,
            .dispatcher = *dispatcher_,
            .claims = *claims_,
            .rpc = control_->rpc(),
            .isDraining = [this] { return isDraining(); },
            .maxDeferred = settings_.max_queue() });
    serviceApi_ = std::make_unique<ServiceApi>(ServiceApi::Options{ .backends = *backends_,
        .workers = *workers_,
        .onBackendChanged = [this] { control_->scheduleRenewal(MinChangeRenewInterval); } });
    const network::HttpResponse refusal = bodyTooLarge();
    const network::DescriptorBudget budget = network::divideDescriptors(network::descriptorLimit());
    const size_t connections = budget.workerConnections + budget.acceptedConnections;
    auto callers = network::HttpServer::listen(loop_,
        { .address = settings_.public_address(),
            .maxBodyBytes = settings_.max_body_bytes(),
            .idleTimeout = Millis(settings_.idle_timeout_ms()),
            .maxConnections =
                std::min<size_t>(settings_.max_connections(), connections / CallerConnectionParts),
            .maxPending = settings_.max_connections(),
            .tooLargeBody = refusal.body,
            .tooLargeHeaders = refusal.headers,
            .limits = clientLimits_ },
        [this](network::HttpRequest request, network::ResponderPointer responder) {
            callerApi_->handle(std::move(request), std::move(responder));
        });
    if (!callers)
        return fail(callers.error());
    publicServer_ = std::move(*callers);
    auto services = network::HttpServer::listen(loop_,
        { .address = settings_.service_address(),
            .maxConnections = connections / ServiceConnectionParts,
            .tooLargeBody = refusal.body,
            .tooLargeHeaders = refusal.headers,
            .limits = clientLimits_ },
        [this](const network::HttpRequest &request, const network::ResponderPointer &responder) {
            serviceApi_->handle(request, responder);
        });
    if (!services)
        return fail(services.error());
    serviceServer_ = std::move(*services);
    auto admin = admin::AdminServer::listen(loop_,
        { .address = settings_.admin_address(),
            .operatorKey = operatorKey,
            .rpc = control_->rpc(),
            .limits = clientLimits_,
            .dump = [this] { return dump(); },
            .metrics = [this] { return metrics(); },
            .status = [this] { return status(); } });
    if (!admin)
        return fail(admin.error());
    admin_ = std::move(*admin);
    return {};
}

void EntryProcess::handleRenewReply(const schema::RenewReply &reply, std::optional<Millis> sentAt)
{
    if (reply.has_view()) {
        const Revision before = view_.revision();
        if (const auto installed = view_.install(reply.view()); !installed)
            LogEvent("view-refused", LogLevel::Warning).with(installed.error());
        if (view_.revision() != before) {
            LogEvent("view-installed").with("revision", view_.revision().value());
            backends_->setZonesOut(view_.zonesOut());
            control_->setReplicas(view_.config());
            control_->scheduleRenewal(Millis(0));
        }
    }
    if (reply.has_entries()) {
        view_.setEntries(reply.entries());
        backends_->setEntryCount(view_.entries().size());
    }
    if (sentAt)
        view_.extendLease(Revision(reply.revision()), *sentAt);
    holdings_.update(reply);
    backends_->update(reply);
    dispatcher_->update(reply);
    if (holdings_.hasChanges())
        control_->scheduleRenewal(MinChangeRenewInterval);
}

void EntryProcess::fillRenewal(schema::Renew *renewal)
{
    renewal->set_revision(view_.revision().value());
    renewal->set_stopping(stopping_);
    schema::Renew demand;
    for (const auto &row : dispatcher_->demand())
        *demand.add_demand() = row;
    const std::string text = demand.SerializeAsString();
    renewal->set_demand_unchanged(!renewal->full() && text == lastReportedDemand_);
    if (!renewal->demand_unchanged())
        *renewal->mutable_demand() = demand.demand();
    lastReportedDemand_ = text;
    for (const auto &holding : holdings_.takeReport(renewal->full()))
        *renewal->add_holdings() = holding;
    for (const uint32_t key : backends_->keysWithAbandonedExchanges())
        renewal->add_doubtful(key);
    if (serviceApi_)
        serviceApi_->fillRenewal(renewal);
}

bool EntryProcess::isDraining() const
{
    return stopping_ || view_.isZoneOut(ZoneName(settings_.zone()));
}

void EntryProcess::stop()
{
    if (stopping_)
        return;
    stopping_ = true;
    stopStartedAt_ = steadyNow();
    LogEvent("stopping");
    control_->scheduleRenewal(Millis(0));
    stopTimer_.startRepeating(StopCheckInterval);
}

void EntryProcess::continueStop()
{
    const Millis now = steadyNow();
    if (now - stopStartedAt_ < Millis(settings_.drain_ms()))
        return;
    publicServer_->stopAccepting();
    serviceServer_->stopAccepting();
    Millis maxDrainTime = StopMargin;
    for (const auto &route : view_.config().routes())
        maxDrainTime = std::max(maxDrainTime, StopMargin + Millis(route.timeout_ms()));
    const bool returned = !holdings_.holdsAnything() || now - stopStartedAt_ > HoldingReturnTimeout;
    const bool idle = dispatcher_->isIdle() && publicServer_->pendingRequests() == 0 && returned;
    if (idle || now - stopStartedAt_ > maxDrainTime + Millis(settings_.drain_ms()))
        loop_.stop();
}

schema::StatusBody EntryProcess::status() const
{
    schema::StatusBody body;
    body.set_id(settings_.id());
    body.set_role("entry");
    body.set_leader(control_->leader().value());
    body.set_version(static_cast<double>(view_.config().version()));
    body.set_hash(view_.hash());
    for (const ZoneName &zone : view_.zonesOut())
        body.add_zones_out(zone.value());
    return body;
}

std::string EntryProcess::dump() const
{
    const Millis now = steadyNow();
    schema::EntryDump dump;
    dump.set_id(settings_.id());
    dump.set_incarnation(std::to_string(incarnation_.value()));
    dump.set_zone(settings_.zone());
    dump.set_revision(static_cast<double>(view_.revision().value()));
    dump.set_lease_left_ms(static_cast<int32_t>(view_.leaseLeft(now).count()));
    dump.set_leader(control_->leader().value());
    dump.set_stopping(stopping_);
    dump.set_claims(static_cast<uint32_t>(claims_->size()));
    dump.set_worker_polls(static_cast<uint32_t>(workers_->heldPolls()));
    *dump.mutable_status() = status();
    for (const auto &[id, backend] : backends_->all()) {
        schema::BackendDump *row = dump.add_backends();
        const HoldingTable::Holding *holding = holdings_.find("backend/" + id.value());
        row->set_id(id.value());
        row->set_zone(backend.view.zone());
        row->set_pool(backend.view.pool());
        row->set_leaving(backend.view.leaving());
        row->set_held(holding == nullptr ? 0 : holding->held);
        row->set_in_use(backend.activeExchanges);
        row->set_doubtful(static_cast<uint32_t>(backend.abandonedExchanges.size()));
        row->set_ejected(now < backend.ejectedUntil);
        row->set_latency_ms(backend.latencyMs);
        row->set_connections(backend.view.connections());
    }
    for (const auto &demand : dispatcher_->demand()) {
        schema::TeamDump *row = dump.add_teams();
        const TeamName team(demand.team());
        const HoldingTable::Holding *slice = holdings_.find(teamHoldingName(team));
        row->set_name(demand.team());
        row->set_queued(demand.queued());
        row->set_running(demand.running());
        row->set_slice(slice == nullptr ? -1 : static_cast<int32_t>(slice->held));
        row->set_weight(dispatcher_->weightOf(team));
    }
    for (const auto &[id, link] : control_->links()) {
        schema::LinkDump *row = dump.add_links();
        row->set_peer(id.value());
        row->set_up(link->isUp());
        row->set_sent_bytes(link->sentBytes());
        row->set_received_bytes(link->receivedBytes());
    }
    return network::toJson(dump);
}

std::string EntryProcess::metrics() const
{
    const DispatcherCounters &counters = dispatcher_->counters();
    const auto line = [](const char *name, uint64_t value) {
        return std::string(name) + " " + std::to_string(value) + "\n";
    };
    uint64_t sent = 0;
    uint64_t received = 0;
    for (const auto &[id, link] : control_->links()) {
        sent += link->sentBytes();
        received += link->receivedBytes();
    }
    return line("basilgap_requests_accepted", counters.accepted)
        + line("basilgap_requests_refused", counters.refused)
        + line("basilgap_requests_answered", counters.answered)
        + line("basilgap_requests_retried", counters.retried)
        + line("basilgap_requests_unknown", counters.unknown)
        + line("basilgap_requests_expired", counters.expired)
        + line("basilgap_requests_queued", dispatcher_->queuedRequests())
        + line("basilgap_requests_running", dispatcher_->runningRequests())
        + line("basilgap_control_sent_bytes", sent)
        + line("basilgap_control_received_bytes", received)
        + dispatcher_->waitingTimeMs().metricText("basilgap_request_waiting_ms")
        + dispatcher_->totalTimeMs().metricText("basilgap_request_total_ms")
        + clientLimits_->metricText();
}

} // namespace basilgap::entry
