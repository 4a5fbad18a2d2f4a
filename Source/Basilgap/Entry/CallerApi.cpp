#include "Basilgap/Entry/CallerApi.h"

#include <algorithm>
#include <charconv>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 20 };

// Longest time that a request is deferred while the entry has no valid view lease.
constexpr Millis MaxDeferral{ 5000 };
constexpr size_t MaxIdempotencyKeyLength = 255;

using network::errorResponse;
using network::HttpRequest;
using network::ResponderPointer;

// Methods whose repetition has the effect of one request (RFC 9110, 9.2.2).
bool isIdempotentMethod(const std::string &method)
{
    return method == "GET" || method == "HEAD" || method == "OPTIONS" || method == "PUT"
        || method == "DELETE";
}

// Reduces the timeout to the one that the caller set; false if the header is malformed.
bool readTimeout(const HttpRequest &request, Millis *timeout)
{
    const auto header = network::findHeader(request.headers, "Basilgap-Timeout-Ms");
    if (!header)
        return true;
    int64_t value = 0;
    const char *end = header->data() + header->size();
    const auto [stop, error] = std::from_chars(header->data(), end, value);
    if (error != std::errc() || stop != end || value <= 0)
        return false;
    *timeout = std::min(*timeout, Millis(value));
    return true;
}

} // namespace

CallerApi::CallerApi(network::EventLoop &loop, Options options)
    : options_(std::move(options))
    , tickTimer_(loop, [this] { tick(); })
{
    tickTimer_.startRepeating(TickInterval);
}

void CallerApi::handle(HttpRequest request, ResponderPointer responder)
{
    if (request.path() == "/healthz")
        return answerHealthCheck(responder);
    const Millis now = steadyNow();
    if (options_.view.isLeaseValid(now))
        return routeRequest(std::move(request), std::move(responder), now);
    if (deferred_.size() >= options_.maxDeferred)
        return responder->answer(errorResponse({ .status = 503,
            .error = "no current view of the configuration",
            .step = "accept",
            .retryAfterSeconds = 1 }));
    Millis maxDeferral = MaxDeferral;
    readTimeout(request, &maxDeferral);
    deferred_.push_back({ std::move(request), std::move(responder), now, now + maxDeferral });
}

void CallerApi::tick()
{
    const Millis now = steadyNow();
    const bool valid = options_.view.isLeaseValid(now);
    std::deque<DeferredRequest> due;
    std::erase_if(deferred_, [&](DeferredRequest &deferred) {
        if (!valid && now < deferred.deferredUntil)
            return false;
        due.push_back(std::move(deferred));
        return true;
    });
    for (DeferredRequest &deferred : due) {
        if (valid) {
            routeRequest(
                std::move(deferred.request), std::move(deferred.responder), deferred.arrivedAt);
            continue;
        }
        deferred.responder->answer(errorResponse({ .status = 503,
            .error = "no current view of the configuration",
            .step = "accept",
            .retryAfterSeconds = 1 }));
    }
}

void CallerApi::answerHealthCheck(const ResponderPointer &responder)
{
    const bool healthy = options_.view.isLeaseValid(steadyNow()) && !options_.isDraining();
    responder->answer({ healthy ? 200 : 503, {}, healthy ? "ok\n" : "leaving\n" });
}

void CallerApi::routeRequest(HttpRequest request, ResponderPointer responder, Millis arrivedAt)
{
    const auto authorization = network::findHeader(request.headers, "Authorization");
    const auto caller = authorization ? options_.view.authenticate(*authorization) : std::nullopt;
    if (!caller)
        return responder->answer(errorResponse(
            { .status = 401, .error = "the key is missing or unknown", .step = "authenticate" }));
    const std::string path = request.path();
    if (path == "/v1/jobs" || path.rfind("/v1/jobs/", 0) == 0)
        return handleJobRequest(request, responder, *caller);
    submitRequest(std::move(request), std::move(responder), *caller, arrivedAt);
}

void CallerApi::submitRequest(
    HttpRequest http, ResponderPointer responder, const ViewStore::Caller &caller, Millis arrivedAt)
{
    const schema::RouteConfig *route = options_.view.findRoute(http.path());
    if (route == nullptr)
        return responder->answer(
            errorResponse({ .status = 404, .error = "no route for the path", .step = "route" }));
    const auto &teams = route->teams();
    if (!teams.empty() && std::find(teams.begin(), teams.end(), caller.team.value()) == teams.end())
        return responder->answer(errorResponse(
            { .status = 403, .error = "the team may not use the route", .step = "route" }));
    Millis timeout(route->timeout_ms());
    if (!readTimeout(http, &timeout))
        return responder->answer(errorResponse({ .status = 400,
            .error = "must be a positive whole number",
            .field = "Basilgap-Timeout-Ms",
            .step = "accept" }));
    const auto key = network::findHeader(http.headers, "Idempotency-Key");
    if (key && !network::isVisibleText(*key, MaxIdempotencyKeyLength))
        return responder->answer(errorResponse({ .status = 400,
            .error = "must have 1 to 255 visible characters",
            .field = "Idempotency-Key",
            .step = "accept" }));
    auto request = std::make_unique<Request>();
    request->caller = caller;
    request->flow = { caller.team, PoolName(route->pool()) };
    request->repeatable =
        route->has_repeatable() ? route->repeatable() : isIdempotentMethod(http.method);
    request->arrivedAt = arrivedAt;
    request->deadline = arrivedAt + timeout;
    request->http = std::move(http);
    request->responder = std::move(responder);
    if (!key)
        return options_.dispatcher.submit(std::move(request));
    request->claim = ClaimKey{ caller.team, sha256(*key) };
    options_.claims.submit(std::move(request));
}

} // namespace basilgap::entry
