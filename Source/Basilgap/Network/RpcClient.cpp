#include "Basilgap/Network/RpcClient.h"

#include <vector>

namespace basilgap::network {

namespace {

constexpr Millis TickInterval{ 25 };

// Longer than any answer that was not lost takes.
constexpr Millis ResendInterval{ 3000 };
constexpr Millis RetryInterval{ 50 };

} // namespace

RpcClient::RpcClient(EventLoop &loop, Send send)
    : send_(std::move(send))
    , tickTimer_(loop, [this] { tick(); })
{}

void RpcClient::call(
    schema::RpcRequest request, Millis timeout, Callback callback, IsWanted isWanted)
{
    const uint64_t id = nextId_++;
    request.set_id(id);
    const Millis now = steadyNow();
    calls_.emplace(id,
        Call{ std::move(request), now + timeout, now, false, std::move(callback),
            std::move(isWanted) });
    send(id);
    if (!tickTimer_.isPending())
        tickTimer_.startRepeating(TickInterval);
}

// A leader in this process may answer before send_() returns, so the call is looked up again.
void RpcClient::send(uint64_t id)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return;
    if (call->second.isWanted && !call->second.isWanted()) {
        calls_.erase(call);
        return;
    }
    schema::PeerMessage message;
    *message.mutable_rpc_request() = call->second.request;
    const Millis now = steadyNow();
    call->second.resendAt = now + ResendInterval;
    const bool sent = send_(message);
    const auto stillPending = calls_.find(id);
    if (stillPending == calls_.end())
        return;
    stillPending->second.sent = stillPending->second.sent || sent;
    if (!sent)
        stillPending->second.resendAt = now + RetryInterval;
}

void RpcClient::handleReply(const schema::RpcReply &reply)
{
    const auto found = calls_.find(reply.id());
    if (found == calls_.end())
        return;
    if (reply.outcome().code() == schema::UNAVAILABLE) {
        found->second.resendAt = steadyNow() + RetryInterval;
        return;
    }
    const Callback callback = std::move(found->second.callback);
    calls_.erase(found);
    callback(reply);
}

void RpcClient::handleLeaderChange()
{
    for (auto &[id, call] : calls_)
        call.resendAt = steadyNow();
    tick();
}

void RpcClient::tick()
{
    const Millis now = steadyNow();
    std::vector<std::pair<Callback, bool>> expired;
    std::erase_if(calls_, [&](auto &entry) {
        if (now < entry.second.deadline)
            return false;
        expired.emplace_back(std::move(entry.second.callback), entry.second.sent);
        return true;
    });
    std::vector<uint64_t> due;
    for (const auto &[id, call] : calls_) {
        if (now >= call.resendAt)
            due.push_back(id);
    }
    for (const uint64_t id : due)
        send(id);
    if (calls_.empty())
        tickTimer_.cancel();
    for (const auto &[callback, sent] : expired) {
        const ErrorCode code = sent ? ErrorCode::Timeout : ErrorCode::Unreachable;
        callback(fail({ code, "ask-leader", "", "no answer from a leader in time" }));
    }
}

} // namespace basilgap::network
