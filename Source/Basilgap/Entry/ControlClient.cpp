#include "Basilgap/Entry/ControlClient.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"

namespace basilgap::entry {

namespace {

constexpr Millis TickInterval{ 50 };

// Time without a reply after which renewals are sent more often; RenewInterval later another
// replica is selected. A leader answers within a heartbeat.
constexpr Millis LeaderTimeout{ 400 };

// Number of unanswered renewals that are remembered; older ones can't extend the lease any more.
constexpr size_t MaxOutstandingRenewals = 32;

// Time between renewals to a replica that has not answered yet.
constexpr Millis UnansweredRenewInterval{ 100 };

} // namespace

ControlClient::ControlClient(network::EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , rpc_(
          loop, [this](const schema::PeerMessage &message) { return send(message); },
          options_.maxPendingBytes)
    , renewalTimer_(loop, [this] { renew(); })
    , tickTimer_(loop, [this] { tick(); })
{
    for (const auto &control : options_.settings.controls())
        addLink(ReplicaId(control.id()), control.address());
    selectedReplica_ = ReplicaId(options_.settings.controls(0).id());
    lastReplyAt_ = steadyNow();
    tickTimer_.startRepeating(TickInterval);
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
            .onMessage =
                [this, replica](
                    const schema::PeerMessage &message) { handleMessage(replica, message); },
            .onUp =
                [this, replica] {
                    if (replica == selectedReplica_)
                        selectReplica(replica);
                },
            .onDown =
                [this, replica] {
                    if (replica == selectedReplica_)
                        selectNextReplica();
                },
        });
}

void ControlClient::setReplicas(const schema::CellConfig &config)
{
    // Addresses from the settings take precedence: this host may reach a replica at an address
    // other than the configured one.
    std::set<ReplicaId> wanted;
    for (const auto &control : options_.settings.controls())
        wanted.insert(ReplicaId(control.id()));
    for (const auto &replica : config.replicas()) {
        const ReplicaId id(replica.id());
        if (wanted.insert(id).second)
            addLink(id, replica.address());
    }
    std::erase_if(links_, [&wanted](const auto &entry) { return !wanted.contains(entry.first); });
    if (!links_.contains(selectedReplica_))
        selectNextReplica();
}

bool ControlClient::send(const schema::PeerMessage &message)
{
    const auto link = links_.find(selectedReplica_);
    return link != links_.end() && link->second->send(message);
}

void ControlClient::scheduleRenewal(Millis minInterval)
{
    const Millis due = std::max(lastRenewalAt_ + minInterval, steadyNow());
    if (!renewalTimer_.isPending())
        renewalTimer_.startOnce(due - steadyNow());
}

void ControlClient::renew()
{
    renewalTimer_.cancel();
    schema::PeerMessage message;
    schema::Renew *renewal = message.mutable_renew();
    renewal->set_entry(options_.settings.id());
    renewal->set_incarnation(options_.incarnation.value());
    renewal->set_zone(options_.settings.zone());
    renewal->set_peer_address(options_.settings.peer_address());
    renewal->set_sequence(++sequence_);
    renewal->set_full(fullRenewalGeneration_ != connectionGeneration_);
    options_.fillRenewal(renewal);
    lastRenewalAt_ = steadyNow();
    sentRenewals_.push_back({ sequence_, lastRenewalAt_ });
    if (sentRenewals_.size() > MaxOutstandingRenewals)
        sentRenewals_.pop_front();
    if (send(message))
        fullRenewalGeneration_ = connectionGeneration_;
}

void ControlClient::tick()
{
    const Millis now = steadyNow();
    if (now - lastReplyAt_ > LeaderTimeout + RenewInterval) {
        selectNextReplica();
        return;
    }
    const Millis interval =
        now - lastReplyAt_ > LeaderTimeout ? UnansweredRenewInterval : RenewInterval;
    if (now - lastRenewalAt_ >= interval)
        renew();
}

void ControlClient::selectReplica(const ReplicaId &replica)
{
    selectedReplica_ = replica;
    connectionGeneration_++;
    lastReplyAt_ = steadyNow() - RenewInterval;
    sentRenewals_.clear();
    renew();
    rpc_.handleLeaderChange();
}

void ControlClient::selectNextReplica()
{
    auto next = links_.upper_bound(selectedReplica_);
    for (size_t i = 0; i < links_.size(); i++) {
        if (next == links_.end())
            next = links_.begin();
        if (next->second->isUp())
            return selectReplica(next->first);
        ++next;
    }
    lastReplyAt_ = steadyNow() - RenewInterval;
}

void ControlClient::handleMessage(const ReplicaId &from, const schema::PeerMessage &message)
{
    if (message.has_renew_reply())
        return handleRenewReply(from, message.renew_reply());
    if (message.has_rpc_reply())
        return rpc_.handleReply(message.rpc_reply());
    if (message.has_worker_orders() && from == selectedReplica_)
        options_.onOrders(message.worker_orders());
}

void ControlClient::handleRenewReply(const ReplicaId &from, const schema::RenewReply &reply)
{
    if (from != selectedReplica_)
        return;
    const bool isFollower = !reply.confirmed() && reply.session() == 0;
    if (isFollower) {
        const ReplicaId hint(reply.leader());
        if (!hint.value().empty() && hint != selectedReplica_ && links_.contains(hint))
            selectReplica(hint);
        return;
    }
    lastReplyAt_ = steadyNow();
    std::optional<Millis> sentAt;
    for (const SentRenewal &sent : sentRenewals_) {
        if (reply.confirmed() && sent.sequence == reply.sequence())
            sentAt = sent.sentAt;
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
