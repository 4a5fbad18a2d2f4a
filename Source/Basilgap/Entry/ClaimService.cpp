#include "Basilgap/Entry/ClaimService.h"

#include <vector>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 100 };
constexpr Millis JoinResendInterval{ 500 };

// How long the entry tries to release a claim whose request did not run.
constexpr Millis ReleaseTimeout{ 60000 };

void answer(const Request &request, const network::ErrorAnswer &error)
{
    if (request.responder)
        request.responder->answer(network::errorResponse(error));
}

void answerUnknown(const Request &request)
{
    answer(request,
        { .status = 409,
            .error = "the outcome of the first request can't be told",
            .outcome = "unknown",
            .step = "claim" });
}

void answerBodyMismatch(const Request &request)
{
    answer(request,
        { .status = 422,
            .error = "the Idempotency-Key was used with another request",
            .outcome = "not-run",
            .field = "Idempotency-Key",
            .step = "claim" });
}

void answerOutcome(const Request &request, const ClaimOutcome &outcome)
{
    if (outcome.outcome == "unknown")
        return answerUnknown(request);
    network::HttpResponse response{ .status = static_cast<int>(outcome.answer.status()),
        .headers = {},
        .body = outcome.answer.body() };
    for (const auto &header : outcome.answer.headers())
        response.headers.push_back({ header.name(), header.value() });
    if (request.responder)
        request.responder->answer(std::move(response));
}

std::string hashBody(const Request &request)
{
    return sha256(request.http.method + " " + request.http.target + "\n" + request.http.body);
}

} // namespace

ClaimService::ClaimService(network::EventLoop &loop, Options options, const ViewStore &view)
    : loop_(loop)
    , options_(std::move(options))
    , view_(view)
    , tickTimer_(loop, [this] { tick(); })
{
    tickTimer_.startRepeating(TickInterval);
}

Result<std::unique_ptr<ClaimService>> ClaimService::listen(
    network::EventLoop &loop, Options options, const ViewStore &view)
{
    const std::string address = options.peerAddress;
    const std::string cellKey = options.cellKey;
    std::unique_ptr<ClaimService> service(new ClaimService(loop, std::move(options), view));
    auto peers = network::PeerServer::listen(loop,
        {
            .address = address,
            .cellKey = cellKey,
            .onMessage =
                [self = service.get()](network::PeerStream &stream,
                    const schema::PeerMessage &message) { self->handlePeer(stream, message); },
            .onClosed = [self = service.get()](
                            network::PeerStream &stream) { self->streams_.erase(stream.id()); },
        });
    if (!peers)
        return fail(peers.error());
    service->peerServer_ = std::move(*peers);
    return service;
}

void ClaimService::submit(RequestPointer request)
{
    const ClaimKey key = *request->claim;
    const std::string bodyHash = hashBody(*request);
    switch (claims_.find(key, bodyHash)) {
    case LocalClaimTable::LookupResult::BodyMismatch:
        return answerBodyMismatch(*request);
    case LocalClaimTable::LookupResult::Running:
    case LocalClaimTable::LookupResult::Finished:
        return joinLocal(std::move(request));
    case LocalClaimTable::LookupResult::NotFound:
        break;
    }
    const uint64_t nonce = randomNumber();
    claims_.open(key, bodyHash, nonce);
    schema::RpcRequest rpc;
    schema::ClaimOpen *open = rpc.mutable_command()->mutable_claim_open();
    open->set_team(key.team.value());
    open->set_key_hash(key.hash);
    open->set_body_hash(bodyHash);
    open->set_entry(options_.entry.value());
    open->set_entry_incarnation(options_.incarnation.value());
    open->set_nonce(nonce);
    const Millis left = request->deadline - steadyNow();
    auto sharedRequest = std::make_shared<RequestPointer>(std::move(request));
    options_.rpc.call(
        std::move(rpc), left, [this, sharedRequest](const Result<schema::RpcReply> &reply) {
            handleOpenReply(std::move(*sharedRequest), reply);
        });
}

void ClaimService::handleOpenReply(RequestPointer request, const Result<schema::RpcReply> &reply)
{
    const ClaimKey key = *request->claim;
    if (!reply) {
        releaseClaim(key);
        claims_.withdraw(key);
        return answer(*request,
            { .status = 503,
                .error = reply.error().message,
                .outcome = "not-run",
                .step = reply.error().step,
                .retryAfterSeconds = 1 });
    }
    const schema::CommandOutcome &outcome = reply->outcome();
    if (outcome.code() == schema::ACCEPTED)
        return options_.runRequest(std::move(request));
    claims_.withdraw(key);
    if (outcome.code() == schema::CONFLICT)
        return answerBodyMismatch(*request);
    // A claim of this entry that is not in the local table was opened by an earlier incarnation, or
    // its answer is no longer retained.
    const bool isOwn = outcome.owner() == options_.entry.value();
    if (outcome.code() == schema::CLAIMED && !isOwn)
        return joinRemote(EntryId(outcome.owner()), std::move(request));
    answerUnknown(*request);
}

void ClaimService::finishClaim(const ClaimKey &key, const ClaimOutcome &outcome)
{
    if (outcome.outcome == "not-run")
        releaseClaim(key);
    claims_.finish(key, outcome, steadyNow());
}

void ClaimService::releaseClaim(const ClaimKey &key)
{
    schema::RpcRequest rpc;
    schema::ClaimEnd *end = rpc.mutable_command()->mutable_claim_end();
    end->set_team(key.team.value());
    end->set_key_hash(key.hash);
    end->set_entry(options_.entry.value());
    end->set_not_run(true);
    end->set_nonce(claims_.nonceOf(key));
    options_.rpc.call(std::move(rpc), ReleaseTimeout, [](const Result<schema::RpcReply> &) {});
}

void ClaimService::joinLocal(RequestPointer request)
{
    auto sharedRequest = std::make_shared<RequestPointer>(std::move(request));
    claims_.join(*(*sharedRequest)->claim, [this, sharedRequest](const ClaimOutcome &outcome) {
        if (outcome.isWithdrawn)
            return submit(std::move(*sharedRequest));
        answerOutcome(**sharedRequest, outcome);
    });
}

network::PeerLink *ClaimService::linkTo(const EntryId &owner)
{
    const auto session = view_.entries().find(owner);
    if (session == view_.entries().end())
        return nullptr;
    const std::string &address = session->second.peer_address();
    auto &link = links_[owner];
    if (link && link->address() == address)
        return link.get();
    schema::Hello hello;
    hello.set_id(options_.entry.value());
    hello.set_incarnation(options_.incarnation.value());
    link = std::make_unique<network::PeerLink>(loop_,
        network::PeerLink::Options{
            .address = address,
            .cellKey = options_.cellKey,
            .hello = hello,
            .onMessage =
                [this](const schema::PeerMessage &message) {
                    if (message.has_join_reply())
                        handleJoinReply(message.join_reply());
                },
            .onUp = [this] { tick(); },
            .onDown = [] {},
        });
    return link.get();
}

void ClaimService::joinRemote(const EntryId &owner, RequestPointer request)
{
    if (linkTo(owner) == nullptr)
        return answerUnknown(*request);
    LogEvent("claim-join").with("peer", owner.value()).with("team", request->caller.team.value());
    const uint64_t id = nextJoinId_++;
    const Millis deadline = request->deadline;
    request->backend = BackendId(owner.value());
    remoteJoins_[id] = RemoteJoin{ std::move(request), deadline };
    tick();
}

void ClaimService::tick()
{
    const Millis now = steadyNow();
    std::vector<RequestPointer> expired;
    for (auto &[id, join] : remoteJoins_) {
        if (now >= join.deadline) {
            expired.push_back(std::move(join.request));
            continue;
        }
        if (now - join.request->sentAt < JoinResendInterval)
            continue;
        network::PeerLink *link = linkTo(EntryId(join.request->backend.value()));
        schema::PeerMessage message;
        schema::JoinRequest *out = message.mutable_join_request();
        out->set_id(id);
        out->set_team(join.request->claim->team.value());
        out->set_key_hash(join.request->claim->hash);
        if (link != nullptr && link->send(message))
            join.request->sentAt = now;
    }
    std::erase_if(remoteJoins_, [](const auto &entry) { return entry.second.request == nullptr; });
    for (const RequestPointer &request : expired)
        answerUnknown(*request);
}

void ClaimService::handlePeer(network::PeerStream &stream, const schema::PeerMessage &message)
{
    streams_[stream.id()] = &stream;
    if (!message.has_join_request())
        return;
    const schema::JoinRequest &request = message.join_request();
    const ClaimKey key{ TeamName(request.team()), request.key_hash() };
    const auto reply = [this, stream = stream.id(), id = request.id()](
                           bool found, const ClaimOutcome &outcome) {
        const auto open = streams_.find(stream);
        if (open == streams_.end())
            return;
        schema::PeerMessage out;
        schema::JoinReply *body = out.mutable_join_reply();
        body->set_id(id);
        body->set_found(found);
        body->set_outcome(outcome.outcome);
        *body->mutable_answer() = outcome.answer;
        open->second->send(out);
    };
    if (claims_.find(key, "") == LocalClaimTable::LookupResult::NotFound)
        return reply(false, {});
    claims_.join(
        key, [reply](const ClaimOutcome &outcome) { reply(!outcome.isWithdrawn, outcome); });
}

void ClaimService::handleJoinReply(const schema::JoinReply &reply)
{
    const auto found = remoteJoins_.find(reply.id());
    if (found == remoteJoins_.end())
        return;
    const RequestPointer request = std::move(found->second.request);
    remoteJoins_.erase(found);
    if (!reply.found())
        return answerUnknown(*request);
    answerOutcome(*request, { .outcome = reply.outcome(), .answer = reply.answer() });
}

void ClaimService::expire(Millis now)
{
    const auto retention = static_cast<int64_t>(view_.config().retention().claim_ms());
    claims_.expire(now, Millis(retention));
}

} // namespace basilgap::entry
