#include "Basilgap/Control/Replica.h"

#include <iterator>
#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Replication/Membership.h"

namespace basilgap::control {

namespace {

constexpr Millis TickInterval{ 20 };
constexpr Millis ProbeInterval{ 200 };

// How long a replica that does not lead applies records in one turn of the event loop. After a
// restart all records since the last snapshot are committed at once, and a new leader must send
// heartbeats meanwhile.
constexpr Millis MaxApplyTime{ 10 };

} // namespace

Result<std::unique_ptr<Replica>> Replica::start(network::EventLoop &loop, Options options)
{
    auto storage = openStorage(options, false);
    if (!storage && !isTransient(storage.error()))
        return fail(storage.error());
    std::unique_ptr<Replica> replica(new Replica(loop, std::move(options), std::move(storage)));
    return replica;
}

Replica::OpenedStorage Replica::openStorage(const Options &options, bool mustRewriteLog)
{
    return replication::LogStorage::open({
        .folder = options.settings.data_folder(),
        .replica = ReplicaId(options.settings.id()),
        .calls = &options.disk,
        .reserveBytes = options.settings.snapshot_bytes(),
        .mustRewriteLog = mustRewriteLog,
    });
}

Replica::Replica(network::EventLoop &loop, Options options, OpenedStorage storage)
    : loop_(loop)
    , options_(std::move(options))
    , self_(options_.settings.id())
    , openMembership_(self_)
    , tickTimer_(loop, [this] { tick(); })
    , flushTimer_(loop, [this] { flush(); })
    , probeTimer_(loop, [this] { sendProbes(); })
    , writeThread_(loop)
    , writeRetryTimer_(loop, [this] { retryWrite(); })
{
    leaderLastKnownAt_ = steadyNow();
    if (storage) {
        load(std::move(*storage));
    } else {
        startCore({});
        awaitStorage(storage.error());
    }
    updateLinks();
    // The first tick restores the reserve: a fatal error must be reported from the event loop.
    tickTimer_.startRepeating(TickInterval);
    probeTimer_.startRepeating(ProbeInterval);
}

// Takes over the state that the storage has read.
void Replica::load(std::unique_ptr<replication::LogStorage> storage)
{
    storage_ = std::move(storage);
    incarnation_ = storage_->incarnation();
    if (storage_->tornBytes() > 0)
        LogEvent("log-tail-cut", LogLevel::Warning).with("bytes", storage_->tornBytes());
    replication::RaftPersistentState persistentState = storage_->takePersistentState();
    state_ = state::CellState();
    if (persistentState.snapshotMeta.index() > 0)
        state_.restore(*persistentState.snapshotState);
    appliedIndex_ = LogIndex(persistentState.snapshotMeta.index());
    unapplied_.clear();
    startCore(std::move(persistentState));
    durableIndex_ = core_->lastIndex();
}

void Replica::startCore(replication::RaftPersistentState persistentState)
{
    core_ = std::make_unique<replication::RaftCore>(
        replication::RaftOptions{
            .self = self_, .incarnation = incarnation_, .seed = randomNumber() },
        std::move(persistentState), steadyNow());
    core_->setReluctant(!spaceError_.empty());
}

uint64_t Replica::sentBytes() const
{
    uint64_t sum = 0;
    for (const auto &[id, link] : links_)
        sum += link->sentBytes();
    return sum;
}

void Replica::updateLinks()
{
    // Addresses from the settings take precedence: this host may reach a replica by another route.
    std::map<ReplicaId, std::string> wanted;
    for (const auto &[id, address] : learnedAddresses_)
        wanted[id] = address;
    for (const auto &member : core_->membership().members())
        wanted[ReplicaId(member.id())] = member.address();
    for (const auto &peer : options_.settings.peers())
        wanted[ReplicaId(peer.id())] = peer.address();
    wanted.erase(self_);
    std::erase_if(links_, [&wanted](const auto &entry) {
        const auto found = wanted.find(entry.first);
        return found == wanted.end() || found->second != entry.second->address();
    });
    for (const auto &[id, address] : wanted) {
        if (links_.contains(id))
            continue;
        schema::Hello hello;
        hello.set_id(self_.value());
        hello.set_incarnation(incarnation_.value());
        hello.set_is_replica(true);
        hello.set_zone(options_.settings.zone());
        hello.set_relays_orders(options_.relaysOrders);
        links_[id] = std::make_unique<network::PeerLink>(loop_,
            network::PeerLink::Options{
                .address = address,
                .cellKey = options_.cellKey,
                .hello = hello,
                .onMessage =
                    [this, peer = id](schema::PeerMessage message) {
                        if (message.has_probe_reply())
                            handleProbeReply(message.probe_reply());
                        else
                            options_.onLinkMessage(peer, std::move(message));
                    },
                .onUp =
                    [this, peer = id] {
                        core_->handlePeerConnected(peer, steadyNow());
                        scheduleFlush();
                    },
                .onDown = [this, peer = id] { options_.onLinkDown(peer); },
                .onRefused =
                    [this, peer = id] {
                        core_->handleLeaderExit(peer, steadyNow());
                        scheduleFlush();
                    },
            });
    }
}

bool Replica::sendTo(const ReplicaId &replica, const schema::PeerMessage &message)
{
    const auto link = links_.find(replica);
    return link != links_.end() && link->second->send(message);
}

bool Replica::isLinkUp(const ReplicaId &replica) const
{
    const auto link = links_.find(replica);
    return link != links_.end() && link->second->isUp();
}

bool Replica::receive(network::PeerStream &stream, const schema::PeerMessage &message)
{
    if (message.has_hello()) {
        const auto link = links_.find(ReplicaId(message.hello().id()));
        if (link != links_.end() && message.hello().is_replica())
            link->second->reconnectNow();
        return true;
    }
    if (message.has_raft()) {
        linkToSender(message.raft());
        // While records cannot be written, this replica must appear dead to the others.
        if (diskError_.empty())
            core_->handleMessage(message.raft(), steadyNow());
        scheduleFlush();
        return true;
    }
    if (message.has_probe()) {
        handleProbe(stream, message.probe());
        return true;
    }
    if (message.has_form()) {
        if (diskError_.empty())
            core_->bootstrap(message.form().membership(), steadyNow());
        scheduleFlush();
        return true;
    }
    return false;
}

void Replica::propose(schema::Command command, OutcomeCallback callback)
{
    command.set_stamp_ms(static_cast<uint64_t>(wallNow().count()));
    const auto index = core_->propose(schema::LogRecord::COMMAND, command.SerializeAsString());
    if (!index || !diskError_.empty()) {
        schema::CommandOutcome outcome;
        outcome.set_code(schema::UNAVAILABLE);
        outcome.set_message(index ? diskError_ : index.error().text());
        return callback(outcome);
    }
    pendingProposals_[index->value()] = { core_->term().value(), std::move(callback) };
    scheduleFlush();
}

void Replica::confirmLeadership(std::function<void(bool)> callback)
{
    if (!isLeading_)
        return callback(false);
    barriers_.push_back({ core_->beginBarrier(), std::move(callback) });
}

bool Replica::transferLeadership()
{
    std::set<ReplicaId> avoid;
    for (const auto &replica : state_.config().config().replicas()) {
        if (state_.config().isZoneOut(ZoneName(replica.zone())))
            avoid.insert(ReplicaId(replica.id()));
    }
    const bool sent = core_->transferLeadership(avoid) || core_->transferLeadership({});
    scheduleFlush();
    return sent;
}

void Replica::tick()
{
    if (diskError_.empty())
        core_->tick(steadyNow());
    if (!core_->leader().value().empty())
        leaderLastKnownAt_ = steadyNow();
    reportMissingLeader();
    refreshConfirmation();
    if (!isWriting_ && diskError_.empty()) {
        maybeSnapshot();
        restoreReserve();
    }
    flush();
    reconcileMembership();
}

// Keeps one confirmation round running at all times, so that most answers do not have to wait for
// one.
void Replica::refreshConfirmation()
{
    if (!isLeading_ || isConfirming_)
        return;
    isConfirming_ = true;
    confirmLeadership([this, begun = steadyNow()](bool confirmed) {
        isConfirming_ = false;
        if (confirmed)
            confirmedAt_ = begun;
    });
}

bool Replica::isConfirmedLeader(Millis maxAge) const
{
    return isLeading_ && steadyNow() - confirmedAt_ <= maxAge;
}

void Replica::scheduleFlush()
{
    if (!flushTimer_.isPending())
        flushTimer_.startOnce(Millis(0));
}

// While an output is being written, the core collects the next one, so records proposed meanwhile
// share one write. Messages and commits that do not depend on a local write are not held back,
// unless a snapshot is due: it holds what is applied, which must be written by then.
void Replica::flush()
{
    while (diskError_.empty() && !isWriting_) {
        replication::RaftOutput output = core_->takeOutput();
        if (output.isEmpty())
            break;
        send(output.messagesBeforeSync);
        if (!output.install && !isSnapshotDue())
            addCommitted(std::exchange(output.committed, {}));
        if (output.needsSync())
            startWrite(std::move(output));
        else
            finishOutput(output);
    }
    if (isWriting_) {
        send(core_->takeMessagesBeforeSync());
        if (!isInstalling_ && !isSnapshotDue())
            addCommitted(core_->takeCommittedBeforeSync());
    }
    applyCommitted();
    updateRole();
    completeBarriers();
}

void Replica::send(const std::vector<schema::RaftMessage> &messages)
{
    for (const schema::RaftMessage &raft : messages) {
        schema::PeerMessage message;
        *message.mutable_raft() = raft;
        sendTo(ReplicaId(raft.to()), message);
    }
}

void Replica::addCommitted(std::vector<schema::LogRecord> records)
{
    unapplied_.insert(unapplied_.end(), std::make_move_iterator(records.begin()),
        std::make_move_iterator(records.end()));
}

void Replica::applyCommitted()
{
    const Millis end = steadyNow() + MaxApplyTime;
    while (!unapplied_.empty()) {
        const schema::LogRecord record = std::move(unapplied_.front());
        unapplied_.pop_front();
        apply(record);
        if (!isLeading_ && !unapplied_.empty() && steadyNow() >= end)
            return scheduleFlush();
    }
}

void Replica::apply(const schema::LogRecord &record)
{
    if (record.index() != appliedIndex_.value() + 1)
        return options_.onFatal({ ErrorCode::Damaged, "apply", self_.value(),
            "record " + std::to_string(record.index()) + " does not follow record "
                + std::to_string(appliedIndex_.value()) });
    appliedIndex_ = LogIndex(record.index());
    if (record.kind() == schema::LogRecord::MEMBERSHIP)
        updateLinks();
    schema::CommandOutcome outcome;
    schema::Command command;
    if (record.kind() == schema::LogRecord::COMMAND) {
        // A command that cannot be parsed has no effect on any replica.
        outcome.set_code(schema::INVALID);
        if (command.ParseFromString(record.data()))
            outcome = state_.apply(appliedIndex_, command);
        options_.onApplied(command, outcome);
    }
    const auto pending = pendingProposals_.find(record.index());
    if (pending == pendingProposals_.end())
        return;
    const PendingProposal proposal = std::move(pending->second);
    pendingProposals_.erase(pending);
    if (proposal.term != record.term())
        outcome.set_code(schema::UNAVAILABLE);
    proposal.callback(outcome);
}

void Replica::completeBarriers()
{
    const uint64_t confirmed = core_->confirmedRound();
    std::vector<Barrier> settled;
    std::erase_if(barriers_, [&](Barrier &barrier) {
        const bool done = !isLeading_ || barrier.round <= confirmed;
        if (done)
            settled.push_back(std::move(barrier));
        return done;
    });
    for (const Barrier &barrier : settled)
        barrier.callback(isLeading_);
}

void Replica::updateRole()
{
    // A new leader has the full committed state only after it has applied all committed records.
    const bool isUpToDate = isLeading_ || appliedIndex_ >= core_->commitIndex();
    const bool leads = core_->isEstablishedLeader() && diskError_.empty() && isUpToDate;
    if (leads == isLeading_)
        return;
    isLeading_ = leads;
    LogEvent(leads ? "leading" : "not-leading")
        .with("term", core_->term().value())
        .with("index", core_->commitIndex().value());
    if (leads) {
        // Those kept from before may name a disk that has been lost since; requests are repeated.
        joinRequests_.clear();
        // A quorum has just accepted a record of this term.
        confirmedAt_ = steadyNow();
        return options_.onLeadershipGained();
    }
    failPendingProposals();
    completeBarriers();
    options_.onLeadershipLost();
}

void Replica::failPendingProposals()
{
    std::map<uint64_t, PendingProposal> failed;
    failed.swap(pendingProposals_);
    schema::CommandOutcome outcome;
    outcome.set_code(schema::UNAVAILABLE);
    outcome.set_message("the leader changed before the outcome was known");
    for (const auto &[index, proposal] : failed)
        proposal.callback(outcome);
}

} // namespace basilgap::control
