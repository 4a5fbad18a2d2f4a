#include "Basilgap/Dispatch/AdvicePool.h"

namespace basilgap::dispatch {

namespace {

// Back-off of a process whose call was not answered, so that others are tried first.
constexpr Millis ProxyBackOff{ 1000 };

} // namespace

AdvicePool::AdvicePool(AdvicePort &local)
    : local_(local)
{}

void AdvicePool::addProxy(network::PeerStream &stream)
{
    const std::string &id = stream.hello().id();
    if (id.empty())
        return;
    proxies_[id].stream = &stream;
}

void AdvicePool::removeProxy(const network::PeerStream &stream)
{
    std::vector<Callback> unanswered;
    for (auto proxy = proxies_.begin(); proxy != proxies_.end();) {
        if (proxy->second.stream != &stream) {
            ++proxy;
            continue;
        }
        const auto call = pendingCalls_.find(proxy->second.callId);
        if (call != pendingCalls_.end()) {
            unanswered.push_back(std::move(call->second.done));
            pendingCalls_.erase(call);
        }
        proxy = proxies_.erase(proxy);
    }
    for (const Callback &done : unanswered)
        done({});
}

size_t AdvicePool::availableCallSlots(Millis now) const
{
    size_t slots = isLocalCallPending_ ? 0 : 1;
    for (const auto &[id, proxy] : proxies_) {
        if (proxy.callId == 0 && now >= proxy.backOffUntil)
            slots++;
    }
    return slots;
}

bool AdvicePool::requestAdvice(
    const std::string &step, const std::vector<std::string> &workers, Millis timeout, Callback done)
{
    const Millis now = steadyNow();
    for (auto &[id, proxy] : proxies_) {
        if (proxy.callId != 0 || now < proxy.backOffUntil)
            continue;
        schema::PeerMessage message;
        schema::AdviceCall *call = message.mutable_advice_call();
        call->set_id(nextCallId_);
        call->set_step(step);
        call->set_timeout_ms(static_cast<uint32_t>(timeout.count()));
        for (const std::string &worker : workers)
            call->add_workers(worker);
        if (!proxy.stream->send(message))
            continue;
        proxy.callId = nextCallId_;
        pendingCalls_[nextCallId_++] = { id, now + timeout + Millis(200), std::move(done) };
        return true;
    }
    if (isLocalCallPending_)
        return false;
    isLocalCallPending_ = true;
    local_.requestAdvice(step, workers, timeout,
        [this, alive = std::weak_ptr<bool>(alive_), done](AdviceAnswer answer) {
            if (alive.expired())
                return;
            isLocalCallPending_ = false;
            done(std::move(answer));
        });
    return true;
}

void AdvicePool::receiveReply(const schema::AdviceReply &reply)
{
    const auto found = pendingCalls_.find(reply.id());
    if (found == pendingCalls_.end())
        return;
    const Call call = std::move(found->second);
    pendingCalls_.erase(found);
    const auto proxy = proxies_.find(call.proxyId);
    if (proxy != proxies_.end() && proxy->second.callId == reply.id()) {
        proxy->second.callId = 0;
        if (!reply.answered())
            proxy->second.backOffUntil = steadyNow() + ProxyBackOff;
    }
    AdviceAnswer answer;
    answer.answered = reply.answered();
    answer.validity = Millis(static_cast<int64_t>(reply.validity_ms()));
    answer.permits.assign(reply.permits().begin(), reply.permits().end());
    call.done(std::move(answer));
}

void AdvicePool::tick(Millis now)
{
    std::vector<Callback> unanswered;
    for (auto call = pendingCalls_.begin(); call != pendingCalls_.end();) {
        if (now < call->second.deadline) {
            ++call;
            continue;
        }
        const auto proxy = proxies_.find(call->second.proxyId);
        if (proxy != proxies_.end() && proxy->second.callId == call->first) {
            proxy->second.callId = 0;
            proxy->second.backOffUntil = now + ProxyBackOff;
        }
        unanswered.push_back(std::move(call->second.done));
        call = pendingCalls_.erase(call);
    }
    for (const Callback &done : unanswered)
        done({});
}

} // namespace basilgap::dispatch
