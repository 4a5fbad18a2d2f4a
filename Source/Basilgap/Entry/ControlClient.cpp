#include "Basilgap/Entry/ControlClient.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 50 };

// Silence of a leader after which another replica is asked. A leader answers within a heartbeat.
constexpr Millis LeaderSilence{ 400 };

// Outstanding renewals that are remembered; older ones can't extend the lease any more.
constexpr size_t MaxOutstanding = 32;

// Time between renewals to a replica that has not answered yet.
constexpr Millis SearchInterval{ 100 };

} // namespace

ControlClient::ControlClient(network::EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , rpc_(loop, [this](const schema::PeerMessage &message) { return send(message); })
    , renewer_(loop, [this] { renew(); })
    , ticker_(loop, [this] { tick(); })
{
    for (const auto &control : options_.settings.controls())
        addLink(ReplicaId(control.id()), control.address());
    target_ = ReplicaId(options_.settings.controls(0).id());
    lastReply_ = steadyNow();
    ticker_.startRepeating(TickInterval);
}

void ControlClient::addLink(const ReplicaId &replica, const std::string &address)
{
    const auto existing = links_.find(replica);
    if (existing != links_.end() && existing->second->address() == address)
        return;
    schema::Hello hello;
    hello.set_id(options_.settings.id());
    hello.set_incarnation(options_.incarnation.value());
    links_[replica] = std::make_unique<network::PeerLink>(loop_,
        network::PeerLink::Options{
            .address = address,
            .cellKey = options_.cellKey,
            .hello = hello,
            .onMessage = [this, replica](
                             const schema::PeerMessage &message) { received(replica, message); },
            .onUp =
                [this, replica] {
                    if (replica == target_)
                        turnTo(replica);
                },
            .onDown =
                [this, replica] {
                    if (replica == target_)
                        turnToNext();
                },
        });
}

void ControlClient::setReplicas(const schema::CellConfig &config)
{
    // The addresses of the settings go first: this host may reach a replica on a way of its own.
    std::set<ReplicaId> wanted;
    for (const auto &control : options_.settings.controls())
        wanted.insert(ReplicaId(control.id()));
    for (const auto &replica : config.replicas()) {
        const ReplicaId id(replica.id());
        if (wanted.insert(id).second)
            addLink(id, replica.address());
    }
    std::erase_if(links_, [&wanted](const auto &entry) { return !wanted.contains(entry.first); });
    if (!links_.contains(target_))
        turnToNext();
}

bool ControlClient::send(const schema::PeerMessage &message)
{
    const auto link = links_.find(target_);
    return link != links_.end() && link->second->send(message);
}

void ControlClient::renewSoon(Millis delay)
{
    const Millis due = std::max(lastRenewal_ + delay, steadyNow());
    if (!renewer_.isPending())
        renewer_.startOnce(due - steadyNow());
}

void ControlClient::renew()
{
    renewer_.cancel();
    schema::PeerMessage message;
    schema::Renew *renewal = message.mutable_renew();
    renewal->set_entry(options_.settings.id());
    renewal->set_incarnation(options_.incarnation.value());
    renewal->set_zone(options_.settings.zone());
    renewal->set_peer_address(options_.settings.peer_address());
    renewal->set_sequence(++sequence_);
    renewal->set_full(reportedGeneration_ != generation_);
    options_.fillRenewal(renewal);
    lastRenewal_ = steadyNow();
    sent_.push_back({ sequence_, lastRenewal_ });
    if (sent_.size() > MaxOutstanding)
        sent_.pop_front();
    if (send(message))
        reportedGeneration_ = generation_;
}

void ControlClient::tick()
{
    const Millis now = steadyNow();
    if (now - lastReply_ > LeaderSilence + RenewInterval) {
        turnToNext();
        return;
    }
    const Millis interval = now - lastReply_ > LeaderSilence ? SearchInterval : RenewInterval;
    if (now - lastRenewal_ >= interval)
        renew();
}

void ControlClient::turnTo(const ReplicaId &replica)
{
    target_ = replica;
    generation_++;
    lastReply_ = steadyNow() - RenewInterval;
    sent_.clear();
    renew();
    rpc_.handleLeaderChange();
}

void ControlClient::turnToNext()
{
    auto next = links_.upper_bound(target_);
    for (size_t i = 0; i < links_.size(); i++) {
        if (next == links_.end())
            next = links_.begin();
        if (next->second->isUp())
            return turnTo(next->first);
        ++next;
    }
    lastReply_ = steadyNow() - RenewInterval;
}

void ControlClient::received(const ReplicaId &from, const schema::PeerMessage &message)
{
    if (message.has_renew_reply())
        return handleReply(from, message.renew_reply());
    if (message.has_rpc_reply())
        return rpc_.handleReply(message.rpc_reply());
    if (message.has_worker_orders() && from == target_)
        options_.onOrders(message.worker_orders());
}

void ControlClient::handleReply(const ReplicaId &from, const schema::RenewReply &reply)
{
    if (from != target_)
        return;
    const bool follows = !reply.confirmed() && reply.session() == 0;
    if (follows) {
        const ReplicaId hint(reply.leader());
        if (!hint.value().empty() && hint != target_ && links_.contains(hint))
            turnTo(hint);
        return;
    }
    lastReply_ = steadyNow();
    std::optional<Millis> sentAt;
    for (const Sent &sent : sent_) {
        if (reply.confirmed() && sent.sequence == reply.sequence())
            sentAt = sent.at;
    }
    options_.onReply(reply, sentAt);
}

void ControlClient::sendDigest(const schema::WorkerDigest &digest)
{
    schema::PeerMessage message;
    *message.mutable_worker_digest() = digest;
    send(message);
}

} // namespace basilgap::entry
