#pragma once

#include <functional>
#include <map>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/EventLoop.h"
#include "Peer.pb.h"

namespace basilgap::network {

// Sends requests to the current leader, and resends them after a lost answer or a change of leader.
// All requests are idempotent, so resending is safe.
class RpcClient
{
public:
    // Sends to the leader. Returns false if none is known or reachable.
    using Send = std::function<bool(const schema::PeerMessage &)>;
    using Callback = std::function<void(Result<schema::RpcReply>)>;

    // Requests that wait hold at most `maxPendingBytes`; 0 means no limit.
    RpcClient(EventLoop &loop, Send send, size_t maxPendingBytes = 0);

    // Whether a request may still be sent.
    using IsWanted = std::function<bool()>;

    // The callback receives the answer of the leader, or an error after the timeout: Unreachable if
    // the request was never passed to a connection, Timeout otherwise. A request for which there is
    // no room fails with Full and is not sent. The callback is not called once
    // `isWanted` has returned false, which is asked before each send.
    void call(
        schema::RpcRequest request, Millis timeout, Callback callback, IsWanted isWanted = {});

    void handleReply(const schema::RpcReply &reply);

    // Resends all pending requests.
    void handleLeaderChange();

    size_t pending() const { return calls_.size(); }
    size_t pendingBytes() const { return pendingBytes_; }

private:
    struct Call
    {
        schema::RpcRequest request;
        Millis deadline;
        Millis resendAt;
        bool sent = false;
        // Whether there was no room for the request.
        bool isRefused = false;
        size_t bytes = 0;
        Callback callback;
        IsWanted isWanted;
    };

    using Calls = std::map<uint64_t, Call>;
    void send(uint64_t id);
    void countRefusal(Millis now);
    Calls::iterator erase(Calls::iterator call);
    void tick();

    Send send_;
    Calls calls_;
    size_t maxPendingBytes_;
    size_t pendingBytes_ = 0;
    Millis refusalLoggedAt_{ 0 };
    uint64_t refused_ = 0;
    uint64_t nextId_ = 1;
    Timer tickTimer_;
};

} // namespace basilgap::network
