#include "Basilgap/Network/RpcClient.h"

#include <vector>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

constexpr Millis TickInterval{ 25 };

// Longer than any answer that was not lost takes.
constexpr Millis ResendInterval{ 3000 };
constexpr Millis RetryInterval{ 50 };
constexpr Millis LogInterval{ 1000 };

} // namespace

RpcClient::RpcClient(EventLoop &loop, Send send, size_t maxPendingBytes)
    : send_(std::move(send))
    , maxPendingBytes_(maxPendingBytes)
    , tickTimer_(loop, [this] { tick(); })
{}

void RpcClient::call(
    schema::RpcRequest request, Millis timeout, Callback callback, IsWanted isWanted)
{
    const uint64_t id = nextId_++;
    request.set_id(id);
    const Millis now = steadyNow();
    const size_t bytes = request.SpaceUsedLong();
    Call call{ .request = std::move(request),
        .deadline = now + timeout,
        .resendAt = now,
        .callback = std::move(callback),
        .isWanted = std::move(isWanted) };
    if (maxPendingBytes_ != 0 && pendingBytes_ + bytes > maxPendingBytes_) {
        // Reported by the next tick, since callers do not expect an answer inside this call.
        call.isRefused = true;
        call.request.Clear();
        call.deadline = now;
        countRefusal(now);
    } else {
        call.bytes = bytes;
        pendingBytes_ += bytes;
    }
    const bool isRefused = call.isRefused;
    calls_.emplace(id, std::move(call));
    if (!isRefused)
        send(id);
    if (!tickTimer_.isPending())
        tickTimer_.startRepeating(TickInterval);
}

void RpcClient::countRefusal(Millis now)
{
    refused_++;
    if (now - refusalLoggedAt_ < LogInterval)
        return;
    LogEvent("calls-refused", LogLevel::Warning)
        .with("reason", "pending-bytes")
        .with("pending_bytes", pendingBytes_)
        .with("total", refused_);
    refusalLoggedAt_ = now;
}

RpcClient::Calls::iterator RpcClient::erase(Calls::iterator call)
{
    pendingBytes_ -= call->second.bytes;
    return calls_.erase(call);
}

// A leader in this process may answer before send_() returns, so the call is looked up again.
void RpcClient::send(uint64_t id)
{
    const auto call = calls_.find(id);
    if (call == calls_.end())
        return;
    if (call->second.isWanted && !call->second.isWanted()) {
        erase(call);
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
    erase(found);
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
    std::vector<std::pair<Callback, ErrorCode>> expired;
    for (auto call = calls_.begin(); call != calls_.end();) {
        if (now < call->second.deadline) {
            ++call;
            continue;
        }
        const ErrorCode unsent = call->second.isRefused ? ErrorCode::Full : ErrorCode::Unreachable;
        const ErrorCode code = call->second.sent ? ErrorCode::Timeout : unsent;
        expired.emplace_back(std::move(call->second.callback), code);
        call = erase(call);
    }
    std::vector<uint64_t> due;
    for (const auto &[id, call] : calls_) {
        if (now >= call.resendAt)
            due.push_back(id);
    }
    for (const uint64_t id : due)
        send(id);
    if (calls_.empty())
        tickTimer_.cancel();
    for (const auto &[callback, code] : expired) {
        const char *message = code == ErrorCode::Full ? "too many requests wait for a leader"
                                                      : "no answer from a leader in time";
        callback(fail({ code, "ask-leader", "", message }));
    }
}

} // namespace basilgap::network
