// The Dispatcher's exchanges with backend servers: sends them, classifies how they ended, retries
// and answers.

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Entry/Dispatcher.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

using network::ExchangeEnd;
using network::ExchangeResult;

const char *toText(ExchangeEnd end)
{
    switch (end) {
    case ExchangeEnd::Complete:
        return "complete";
    case ExchangeEnd::ConnectFailed:
        return "connect-failed";
    case ExchangeEnd::Dropped:
        return "dropped";
    case ExchangeEnd::Broken:
        return "broken";
    case ExchangeEnd::Timeout:
        return "timeout";
    case ExchangeEnd::TooLarge:
        return "too-large";
    }
    return "?";
}

// Whether the backend server rejected the attempt unprocessed because the lease that came with it
// (Basilgap-Expires-Ms) had expired.
bool isFenced(const ExchangeResult &result)
{
    return result.end == ExchangeEnd::Complete && result.response.status == 409
        && network::findHeader(result.response.headers, "Basilgap-Outcome") == "not-run";
}

bool isBasilgapHeader(const std::string &name)
{
    return name.size() > 9
        && (name.compare(0, 9, "Basilgap-") == 0 || name.compare(0, 9, "basilgap-") == 0);
}

} // namespace

network::HttpRequest Dispatcher::buildBackendRequest(const Request &request) const
{
    network::HttpRequest out;
    out.method = request.http.method;
    out.target = request.http.target;
    out.body = request.http.body;
    for (const network::Header &header : request.http.headers) {
        const bool isKey = network::findHeader({ header }, "Authorization").has_value();
        if (!network::isHopByHop(header.name) && !isKey && !isBasilgapHeader(header.name))
            out.headers.push_back(header);
    }
    const Millis left = view_.leaseLeft(steadyNow());
    out.headers.push_back({ "Basilgap-Entry", options_.entry.value() });
    out.headers.push_back({ "Basilgap-Attempt", request.attemptId });
    out.headers.push_back({ "Basilgap-Team", request.caller.team.value() });
    out.headers.push_back({ "Basilgap-Expires-Ms", std::to_string(left.count()) });
    return out;
}

void Dispatcher::startExchange(RequestPointer request, const BackendId &backend)
{
    const Millis now = steadyNow();
    const std::string address = backends_.find(backend)->view.address();
    if (request->triedBackends.empty())
        waitingTimeMs_.add(static_cast<double>((now - request->arrivedAt).count()));
    request->triedBackends.insert(backend);
    request->backend = backend;
    request->sentAt = now;
    request->attemptId = options_.entry.value() + "-" + std::to_string(options_.incarnation.value())
        + "-" + std::to_string(nextAttemptNumber_++);
    request->connection = connections_.acquire(backend, address);
    request->backendIncarnation = backends_.recordStart(backend).incarnation;
    holdings_.acquire(teamHoldingName(request->caller.team));
    runningByFlow_[request->flow]++;
    const RequestId id = request->id;
    Request &running = *request;
    running_[id] = std::move(request);
    running.connection->exchange(buildBackendRequest(running), running.deadline - now,
        [this, id](ExchangeResult result) { handleExchangeEnd(id, std::move(result)); });
}

void Dispatcher::handleExchangeEnd(RequestId id, ExchangeResult result)
{
    RequestPointer request = std::move(running_[id]);
    running_.erase(id);
    const auto echoed = network::findHeader(result.response.headers, "Basilgap-Attempt");
    if (result.end == ExchangeEnd::Complete && echoed && *echoed != request->attemptId) {
        LogEvent("answer-mismatch", LogLevel::Warning)
            .with("peer", request->backend.value())
            .with("expected", request->attemptId)
            .with("got", *echoed);
        result.end = ExchangeEnd::Broken;
        request->connection.reset();
    }
    const bool fenced = isFenced(result);
    recordExchangeEnd(*request, result, fenced);
    answerOrRetry(std::move(request), std::move(result));
    options_.onDemandChanged();
    scheduleDispatch();
}

// Releases the slot, or keeps it occupied if the backend server may still be running the request.
void Dispatcher::recordExchangeEnd(
    const Request &request, const ExchangeResult &result, bool fenced)
{
    const Millis now = steadyNow();
    const BackendTable::Peer peer{ .backend = request.backend,
        .incarnation = request.backendIncarnation };
    runningByFlow_[request.flow]--;
    if (result.end == ExchangeEnd::Complete) {
        const auto elapsedMs = static_cast<double>((now - request.sentAt).count());
        backends_.recordAnswer(peer, elapsedMs);
        holdings_.release(teamHoldingName(request.caller.team));
        if (!fenced)
            serviceTimes_[request.flow].add(elapsedMs);
        return;
    }
    LogEvent("exchange-failed", LogLevel::Warning)
        .with("step", toText(result.end))
        .with("peer", request.backend.value())
        .with("team", request.caller.team.value())
        .with("attempt", request.attemptId)
        .with("sent", result.bytesSent);
    connections_.closeIdle(request.backend);
    if (!result.bytesSent) {
        backends_.recordFailure(peer, now);
        holdings_.release(teamHoldingName(request.caller.team));
        return;
    }
    const schema::RouteConfig *route = view_.findRoute(request.http.path());
    const Millis maxDuration(
        route == nullptr ? request.deadline.count() - request.sentAt.count() : route->timeout_ms());
    backends_.recordAbandoned(peer, request.caller.team, now, now + maxDuration);
}

void Dispatcher::answerOrRetry(RequestPointer request, ExchangeResult result)
{
    const BackendId backend = request->backend;
    if (request->connection && result.end == ExchangeEnd::Complete) {
        const BackendTable::Backend *known = backends_.find(backend);
        if (known != nullptr)
            connections_.release(backend, known->view.address(), std::move(request->connection));
    }
    request->connection.reset();
    const bool fenced = isFenced(result);
    if (result.end == ExchangeEnd::Complete && !fenced)
        return forwardResponse(std::move(request), std::move(result.response));
    const bool attemptMayHaveRun = result.bytesSent && !fenced;
    request->mayHaveRun = request->mayHaveRun || attemptMayHaveRun;
    if (reserveRetry(*request, attemptMayHaveRun)) {
        counters_.retried++;
        return retry(std::move(request));
    }
    const int status = result.end == ExchangeEnd::Timeout ? 504 : 502;
    answerError(
        std::move(request), status, "the backend server gave no whole answer", toText(result.end));
}

bool Dispatcher::reserveRetry(Request &request, bool attemptMayHaveRun)
{
    if (attemptMayHaveRun && !request.repeatable)
        return false;
    if (steadyNow() >= request.deadline)
        return false;
    return retryBudgets_[request.caller.team].tryWithdraw();
}

void Dispatcher::retry(RequestPointer request)
{
    LogEvent("retry")
        .with("team", request->caller.team.value())
        .with("attempts", request->triedBackends.size());
    enqueue(std::move(request), true);
}

void Dispatcher::forwardResponse(RequestPointer request, network::HttpResponse response)
{
    network::HttpResponse out{ .status = response.status, .headers = {}, .body = response.body };
    for (const network::Header &header : response.headers) {
        if (!network::isHopByHop(header.name) && !isBasilgapHeader(header.name))
            out.headers.push_back(header);
    }
    counters_.answered++;
    finish(std::move(request), std::move(out), "ran");
}

void Dispatcher::answerError(
    RequestPointer request, int status, const std::string &error, const std::string &step)
{
    const std::string outcome = request->mayHaveRun ? "unknown" : "not-run";
    counters_.unknown += request->mayHaveRun ? 1 : 0;
    const bool isUnavailable = status == 503;
    network::HttpResponse response = network::errorResponse({ .status = status,
        .error = error,
        .outcome = outcome,
        .step = step,
        .peer = request->backend.value(),
        .retryAfterSeconds = isUnavailable ? 1 : 0 });
    finish(std::move(request), std::move(response), outcome);
}

void Dispatcher::answerExpired(
    RequestPointer request, const std::string &error, const std::string &step)
{
    const int status = request->mayHaveRun ? 504 : 503;
    answerError(std::move(request), status, error, step);
}

void Dispatcher::finish(
    RequestPointer request, network::HttpResponse response, const std::string &outcome)
{
    if (outcome == "ran")
        response.headers.push_back({ "Basilgap-Outcome", "ran" });
    totalTimeMs_.add(static_cast<double>((steadyNow() - request->arrivedAt).count()));
    if (request->claim) {
        ClaimOutcome claimOutcome{ .outcome = outcome, .answer = {} };
        claimOutcome.answer.set_status(static_cast<uint32_t>(response.status));
        claimOutcome.answer.set_body(response.body);
        for (const network::Header &header : response.headers) {
            schema::HttpHeader *kept = claimOutcome.answer.add_headers();
            kept->set_name(header.name);
            kept->set_value(header.value);
        }
        options_.onClaimEnd(*request->claim, claimOutcome);
    }
    if (request->responder)
        request->responder->answer(std::move(response));
}

} // namespace basilgap::entry
