#include "Basilgap/Admin/AdminServer.h"

#include "Basilgap/Admin/Describe.h"
#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Network/Json.h"
#include "Basilgap/Settings/CellFile.h"
#include "Basilgap/Settings/FieldCheck.h"
#include "Basilgap/Settings/YamlReader.h"

namespace basilgap::admin {

namespace {

constexpr Millis ApplyTimeout{ 10000 };
constexpr Millis QueryTimeout{ 3000 };
constexpr size_t MaxOperationIdLength = 255;

// Operators and the collectors of metrics.
constexpr size_t MaxConnections = 32;

using network::errorResponse;
using network::HttpRequest;
using network::HttpResponse;
using network::ResponderPointer;

// Response to the operator when no leader answered.
HttpResponse leaderUnavailable(const Error &error, const std::string &outcome)
{
    return errorResponse({ .status = 503,
        .error = error.message,
        .outcome = outcome,
        .step = error.step,
        .peer = error.peer,
        .retryAfterSeconds = 1 });
}

HttpResponse describeApply(const schema::CommandOutcome &outcome, bool waited)
{
    if (outcome.code() == schema::ACCEPTED) {
        schema::ApplyReplyBody body;
        body.set_version(static_cast<double>(outcome.version()));
        body.set_hash(outcome.hash());
        body.set_in_force(waited);
        return network::jsonMessage(200, body);
    }
    if (outcome.code() == schema::CONFLICT || outcome.code() == schema::STALE) {
        schema::ApplyConflictBody body;
        body.set_error(outcome.message());
        body.set_winner(outcome.hash());
        body.set_version(static_cast<double>(outcome.version()));
        return network::jsonMessage(409, body);
    }
    return errorResponse({ .status = 422, .error = outcome.message() });
}

} // namespace

AdminServer::AdminServer(Options options)
    : options_(std::move(options))
{}

Result<std::unique_ptr<AdminServer>> AdminServer::listen(network::EventLoop &loop, Options options)
{
    const std::string address = options.address;
    std::unique_ptr<AdminServer> admin(new AdminServer(std::move(options)));
    const HttpResponse tooLarge =
        errorResponse({ .status = 413, .error = "the body is too large", .step = "accept" });
    auto server = network::HttpServer::listen(loop,
        { .address = address,
            .maxBodyBytes = settings::MaxFileBytes,
            .maxConnections = MaxConnections,
            .tooLargeBody = tooLarge.body,
            .tooLargeHeaders = tooLarge.headers,
            .limits = admin->options_.limits },
        [self = admin.get()](const HttpRequest &request, const ResponderPointer &responder) {
            self->handle(request, responder);
        });
    if (!server)
        return fail(server.error());
    admin->server_ = std::move(*server);
    return admin;
}

bool AdminServer::isAuthorized(const HttpRequest &request) const
{
    const auto authorization = network::findHeader(request.headers, "Authorization");
    return authorization && equalConstantTime(*authorization, "Bearer " + options_.operatorKey);
}

void AdminServer::handle(const HttpRequest &request, const ResponderPointer &responder)
{
    if (!isAuthorized(request))
        return responder->answer(
            errorResponse({ .status = 401, .error = "the operators' key is missing or wrong" }));
    if (request.method == "GET")
        return handleGet(request, responder);
    if (request.method == "PUT" && request.path() == "/v1/cell")
        return putCell(request, responder);
    if (request.method == "POST" && request.path().rfind("/v1/zones/", 0) == 0)
        return postZone(request, responder);
    responder->answer(errorResponse({ .status = 404, .error = "no such path" }));
}

void AdminServer::handleGet(const HttpRequest &request, const ResponderPointer &responder)
{
    const std::string path = request.path();
    if (path == "/v1/state")
        return responder->answer(network::jsonResponse(200, options_.dump()));
    if (path == "/v1/status")
        return responder->answer(network::jsonMessage(200, options_.status()));
    if (path == "/metrics")
        return responder->answer(
            { 200, { { "Content-Type", "text/plain; version=0.0.4" } }, options_.metrics() });
    schema::RpcRequest rpc;
    if (path == "/v1/teams") {
        rpc.set_get_teams(true);
        return query(rpc, responder, describeTeams);
    }
    if (path == "/v1/hosts") {
        rpc.set_get_hosts(true);
        return query(rpc, responder, describeHosts);
    }
    if (path == "/v1/jobs") {
        rpc.set_get_jobs_of_team(request.query("team").value_or(""));
        return query(rpc, responder, describeJobs);
    }
    responder->answer(errorResponse({ .status = 404, .error = "no such path" }));
}

void AdminServer::query(schema::RpcRequest request, const ResponderPointer &responder,
    std::function<HttpResponse(const schema::RpcReply &)> toResponse)
{
    options_.rpc.call(std::move(request), QueryTimeout,
        [responder, toResponse](const Result<schema::RpcReply> &reply) {
            responder->answer(
                reply ? toResponse(*reply) : leaderUnavailable(reply.error(), "not-run"));
        });
}

void AdminServer::putCell(const HttpRequest &request, const ResponderPointer &responder)
{
    const auto config = settings::readCellFile(request.body, "cell.yaml");
    if (!config)
        return responder->answer(errorResponse({ .status = 422,
            .error = config.error().message,
            .step = config.error().step,
            .peer = config.error().peer }));
    const bool wait = request.query("wait").value_or("1") != "0";
    schema::RpcRequest rpc;
    rpc.set_no_wait(!wait);
    schema::ApplyCell *apply = rpc.mutable_command()->mutable_apply_cell();
    apply->set_config(settings::canonicalBytes(*config));
    apply->set_hash(sha256Hex(apply->config()));
    LogEvent("apply").with("peer", request.peer).with("version", config->version());
    options_.rpc.call(rpc, ApplyTimeout, [responder, wait](const Result<schema::RpcReply> &reply) {
        responder->answer(reply ? describeApply(reply->outcome(), wait)
                                : leaderUnavailable(reply.error(), "unknown"));
    });
}

void AdminServer::postZone(const HttpRequest &request, const ResponderPointer &responder)
{
    const std::string path = request.path().substr(std::string("/v1/zones/").size());
    const size_t slash = path.rfind('/');
    const std::string action = slash == std::string::npos ? "" : path.substr(slash + 1);
    const auto operation = network::findHeader(request.headers, "Operation-Id");
    const bool isName =
        slash != std::string::npos && !settings::checkFormat(path.substr(0, slash), schema::NAME);
    if (!isName || (action != "out" && action != "in"))
        return responder->answer(errorResponse({ .status = 404, .error = "no such path" }));
    if (!operation || !network::isVisibleText(*operation, MaxOperationIdLength))
        return responder->answer(errorResponse({ .status = 400,
            .error = "the header Operation-Id is missing or "
                     "too long",
            .field = "Operation-Id" }));
    const bool wait = request.query("wait").value_or("1") != "0";
    schema::RpcRequest rpc;
    rpc.set_no_wait(!wait);
    schema::ZoneCommand *zone = rpc.mutable_command()->mutable_zone();
    zone->set_zone(path.substr(0, slash));
    zone->set_out(action == "out");
    zone->set_operation_id(*operation);
    LogEvent("zone").with("peer", request.peer).with("zone", zone->zone()).with("action", action);
    options_.rpc.call(rpc, ApplyTimeout,
        [responder, wait, command = *zone](const Result<schema::RpcReply> &reply) {
            if (!reply)
                return responder->answer(leaderUnavailable(reply.error(), "unknown"));
            responder->answer(describeZone(command, reply->outcome(), wait));
        });
}

} // namespace basilgap::admin
