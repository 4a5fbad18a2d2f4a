#include "Basilgap/Control/ReplicaTask.h"

#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Replication/Membership.h"

namespace basilgap::control {

namespace {

constexpr Millis TickInterval{ 20 };
constexpr Millis ProbeInterval{ 200 };

} // namespace

Result<std::unique_ptr<ReplicaTask>> ReplicaTask::start(network::EventLoop &loop, Options options)
{
    auto storage = replication::LogStorage::open({
        .folder = options.settings.data_folder(),
        .replica = ReplicaId(options.settings.id()),
        .calls = &options.disk,
    });
    if (!storage)
        return fail(storage.error());
    std::unique_ptr<ReplicaTask> task(
        new ReplicaTask(loop, std::move(options), std::move(*storage)));
    return task;
}

ReplicaTask::ReplicaTask(
    network::EventLoop &loop, Options options, std::unique_ptr<replication::LogStorage> storage)
    : loop_(loop)
    , options_(std::move(options))
    , self_(options_.settings.id())
    , storage_(std::move(storage))
    , ticker_(loop, [this] { tick(); })
    , flusher_(loop, [this] { flush(); })
    , prober_(loop, [this] { probe(); })
    , writer_(loop)
    , writeRetry_(loop, [this] { retryWrite(); })
{
    lastLed_ = steadyNow();
    if (storage_->tornBytes() > 0)
        LogEvent("log-tail-cut", LogLevel::Warning).with("bytes", storage_->tornBytes());
    replication::RaftPersistentState restart = storage_->takePersistentState();
    if (restart.snapshotMeta.index() > 0)
        state_.restore(*restart.snapshotState);
    applied_ = LogIndex(restart.snapshotMeta.index());
    core_ = std::make_unique<replication::RaftCore>(
        replication::RaftOptions{
            .self = self_, .incarnation = storage_->incarnation(), .seed = randomNumber() },
        std::move(restart), steadyNow());
    logBytesAtSnapshot_ = storage_->logBytes();
    durable_ = core_->lastIndex();
    updateLinks();
    ticker_.startRepeating(TickInterval);
    prober_.startRepeating(ProbeInterval);
}

uint64_t ReplicaTask::sentBytes() const
{
    uint64_t sum = 0;
    for (const auto &[id, link] : links_)
        sum += link->sentBytes();
    return sum;
}

void ReplicaTask::updateLinks()
{
    // The addresses of the settings go first: this host may reach a replica on a way of its own.
    std::map<ReplicaId, std::string> wanted;
    for (const auto &[id, address] : toldOf_)
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
        hello.set_incarnation(storage_->incarnation().value());
        hello.set_is_replica(true);
        links_[id] = std::make_unique<network::PeerLink>(loop_,
            network::PeerLink::Options{
                .address = address,
                .cellKey = options_.cellKey,
                .hello = hello,
                .onMessage =
                    [this](const schema::PeerMessage &message) {
                        if (message.has_probe_reply())
                            handleProbeReply(message.probe_reply());
                        else
                            options_.onReply(message);
                    },
                .onUp =
                    [this, peer = id] {
                        core_->handlePeerConnected(peer, steadyNow());
                        scheduleFlush();
                    },
                .onDown = [] {},
                .onRefused =
                    [this, peer = id] {
                        core_->handleLeaderExit(peer, steadyNow());
                        scheduleFlush();
                    },
            });
    }
}

bool ReplicaTask::sendTo(const ReplicaId &replica, const schema::PeerMessage &message)
{
    const auto link = links_.find(replica);
    return link != links_.end() && link->second->send(message);
}

bool ReplicaTask::receive(network::PeerStream &stream, const schema::PeerMessage &message)
{
    if (message.has_hello()) {
        const auto link = links_.find(ReplicaId(message.hello().id()));
        if (link != links_.end() && message.hello().is_replica())
            link->second->peerSeen();
        return true;
    }
    if (message.has_raft()) {
        // While records can't be written this replica must look dead to the others.
        if (diskTrouble_.empty())
            core_->handleMessage(message.raft(), steadyNow());
        scheduleFlush();
        return true;
    }
    if (message.has_probe()) {
        handleProbe(stream, message.probe());
        return true;
    }
    if (message.has_form()) {
        core_->bootstrap(message.form().membership(), steadyNow());
        scheduleFlush();
        return true;
    }
    return false;
}

void ReplicaTask::propose(schema::Command command, OutcomeCallback callback)
{
    command.set_stamp_ms(static_cast<uint64_t>(wallNow().count()));
    const auto index = core_->propose(schema::LogRecord::COMMAND, command.SerializeAsString());
    if (!index || !diskTrouble_.empty()) {
        schema::CommandOutcome outcome;
        outcome.set_code(schema::UNAVAILABLE);
        outcome.set_message(index ? diskTrouble_ : index.error().text());
        return callback(outcome);
    }
    waiting_[index->value()] = { core_->term().value(), std::move(callback) };
    scheduleFlush();
}

void ReplicaTask::confirmLeadership(std::function<void(bool)> callback)
{
    if (!leading_)
        return callback(false);
    barriers_.push_back({ core_->beginBarrier(), std::move(callback) });
}

bool ReplicaTask::transferLeadership()
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

void ReplicaTask::tick()
{
    if (diskTrouble_.empty())
        core_->tick(steadyNow());
    if (!core_->leader().value().empty())
        lastLed_ = steadyNow();
    keepConfirmed();
    flush();
    tendMembership();
}

// A confirmation is asked for all the time, so that most answers need not wait for one.
void ReplicaTask::keepConfirmed()
{
    if (!leading_ || confirming_)
        return;
    confirming_ = true;
    confirmLeadership([this, begun = steadyNow()](bool confirmed) {
        confirming_ = false;
        if (confirmed)
            confirmedAt_ = begun;
    });
}

bool ReplicaTask::isConfirmedLeader(Millis maxAge) const
{
    return leading_ && steadyNow() - confirmedAt_ <= maxAge;
}

void ReplicaTask::scheduleFlush()
{
    if (!flusher_.isPending())
        flusher_.startOnce(Millis(0));
}

// While an output is being written, the next one gathers in the core: records that come together
// share a write. What needs no write of ours goes on meanwhile.
void ReplicaTask::flush()
{
    while (diskTrouble_.empty() && !writing_) {
        replication::RaftOutput output = core_->takeOutput();
        if (output.isEmpty())
            break;
        send(output.messagesBeforeSync);
        if (!output.install)
            applyAll(std::exchange(output.committed, {}));
        if (output.needsSync())
            startWrite(std::move(output));
        else
            finishOutput(output);
    }
    if (writing_) {
        const replication::RaftOutput early = core_->takeOutputBeforeSync();
        send(early.messagesBeforeSync);
        applyAll(early.committed);
    }
    noteRole();
    settleBarriers();
}

void ReplicaTask::send(const std::vector<schema::RaftMessage> &messages)
{
    for (const schema::RaftMessage &raft : messages) {
        schema::PeerMessage message;
        *message.mutable_raft() = raft;
        sendTo(ReplicaId(raft.to()), message);
    }
}

void ReplicaTask::applyAll(const std::vector<schema::LogRecord> &records)
{
    for (const schema::LogRecord &record : records)
        apply(record);
}

void ReplicaTask::apply(const schema::LogRecord &record)
{
    applied_ = LogIndex(record.index());
    if (record.kind() == schema::LogRecord::MEMBERSHIP)
        updateLinks();
    schema::CommandOutcome outcome;
    schema::Command command;
    if (record.kind() == schema::LogRecord::COMMAND) {
        // What can't be read has no effect on any replica.
        outcome.set_code(schema::INVALID);
        if (command.ParseFromString(record.data()))
            outcome = state_.apply(applied_, command);
        options_.onApplied(command, outcome);
    }
    const auto waiting = waiting_.find(record.index());
    if (waiting == waiting_.end())
        return;
    const Waiting found = std::move(waiting->second);
    waiting_.erase(waiting);
    if (found.term != record.term())
        outcome.set_code(schema::UNAVAILABLE);
    found.callback(outcome);
}

void ReplicaTask::settleBarriers()
{
    const uint64_t confirmed = core_->confirmedRound();
    std::vector<Barrier> settled;
    std::erase_if(barriers_, [&](Barrier &barrier) {
        const bool done = !leading_ || barrier.round <= confirmed;
        if (done)
            settled.push_back(std::move(barrier));
        return done;
    });
    for (const Barrier &barrier : settled)
        barrier.callback(leading_);
}

void ReplicaTask::noteRole()
{
    // A new leader knows all that is committed only once that is applied.
    const bool isUpToDate = leading_ || applied_ >= core_->commitIndex();
    const bool leads = core_->isEstablishedLeader() && diskTrouble_.empty() && isUpToDate;
    if (leads == leading_)
        return;
    leading_ = leads;
    LogEvent(leads ? "leading" : "not-leading")
        .with("term", core_->term().value())
        .with("index", core_->commitIndex().value());
    if (leads) {
        // A quorum has just taken a record of this term.
        confirmedAt_ = steadyNow();
        return options_.onLead();
    }
    failWaiting();
    settleBarriers();
    options_.onFollow();
}

void ReplicaTask::failWaiting()
{
    std::map<uint64_t, Waiting> failed;
    failed.swap(waiting_);
    schema::CommandOutcome outcome;
    outcome.set_code(schema::UNAVAILABLE);
    outcome.set_message("the leader changed before the outcome was known");
    for (const auto &[index, waiting] : failed)
        waiting.callback(outcome);
}

} // namespace basilgap::control
