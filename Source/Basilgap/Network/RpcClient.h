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

    RpcClient(EventLoop &loop, Send send);

    // Whether a request may still be sent.
    using IsWanted = std::function<bool()>;

    // The callback receives the answer of the leader, or an error after the timeout: Unreachable if
    // the request was never passed to a connection, Timeout otherwise. It is not called once
    // `isWanted` has returned false, which is asked before each send.
    void call(
        schema::RpcRequest request, Millis timeout, Callback callback, IsWanted isWanted = {});

    void handleReply(const schema::RpcReply &reply);

    // Resends all pending requests.
    void handleLeaderChange();

    size_t pending() const { return calls_.size(); }

private:
    struct Call
    {
        schema::RpcRequest request;
        Millis deadline;
        Millis resendAt;
        bool sent = false;
        Callback callback;
        IsWanted isWanted;
    };

    void send(uint64_t id);
    void tick();

    Send send_;
    std::map<uint64_t, Call> calls_;
    uint64_t nextId_ = 1;
    Timer tickTimer_;
};

} // namespace basilgap::network
