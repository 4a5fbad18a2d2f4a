#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/Dispatch/Ports.h"
#include "Basilgap/Network/PeerStream.h"

namespace basilgap::dispatch {

// Distributes calls for placement advice over all processes of the cell, because the advisor
// handles only one call per calling host at a time.
class AdvicePool
{
public:
    using Callback = std::function<void(AdviceAnswer)>;

    explicit AdvicePool(AdvicePort &local);

    // Adds a connected process that can call the advisor on the leader's behalf.
    void addProxy(network::PeerStream &stream);
    void removeProxy(const network::PeerStream &stream);

    // Processes that can call the advisor, and how many of them may do so now.
    size_t callSlots() const { return 1 + proxies_.size(); }
    size_t availableCallSlots(Millis now) const;

    // Returns false without calling the callback if no process is free.
    bool requestAdvice(const std::string &step, const std::vector<std::string> &workers,
        Millis timeout, Callback done);

    void receiveReply(const schema::AdviceReply &reply);
    // Fails calls that have timed out.
    void tick(Millis now);

private:
    struct Proxy
    {
        network::PeerStream *stream = nullptr;
        uint64_t callId = 0;
        // Set after an unanswered call.
        Millis backOffUntil;
    };

    struct Call
    {
        std::string proxyId;
        Millis deadline;
        Callback done;
    };

    AdvicePort &local_;
    bool isLocalCallPending_ = false;
    std::map<std::string, Proxy> proxies_;
    std::map<uint64_t, Call> pendingCalls_;
    // Starts at random: a proxy replies to the present leader, also to calls of an earlier one.
    uint64_t nextCallId_ = randomNumber();
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
