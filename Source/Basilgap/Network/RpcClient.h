#pragma once

#include <functional>
#include <map>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/EventLoop.h"
#include "Peer.pb.h"

namespace basilgap::network {

// Sends requests to the leader, whoever that is, and again after a lost answer or a change of
// leader. All requests are idempotent, so a repeat does no harm.
class RpcClient
{
public:
    // Sends to the leader; false when none is known or reachable.
    using Send = std::function<bool(const schema::PeerMessage &)>;
    using Callback = std::function<void(Result<schema::RpcReply>)>;

    RpcClient(EventLoop &loop, Send send);

    // The callback gets the leader's answer, or an error once the time is up: Unreachable when the
    // request was never handed to a connection, Timeout otherwise.
    void call(schema::RpcRequest request, Millis timeout, Callback callback);

    void handleReply(const schema::RpcReply &reply);

    // Sends everything that waits again.
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
    };

    void send(uint64_t id);
    void tick();

    Send send_;
    std::map<uint64_t, Call> calls_;
    uint64_t nextId_ = 1;
    Timer tickTimer_;
};

} // namespace basilgap::network
