#include "Basilgap/Control/ControlProcess.h"

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Network/Json.h"
#include "Basilgap/Replication/Membership.h"
#include "Basilgap/Settings/YamlReader.h"

namespace basilgap::control {

namespace {

constexpr Millis StopCheckInterval{ 50 };
constexpr Millis MaxStopTime{ 3000 };
constexpr Millis ZoneCheckInterval{ 500 };

} // namespace

ControlProcess::ControlProcess(network::EventLoop &loop, schema::ControlSettings settings)
    : loop_(loop)
    , settings_(std::move(settings))
    , stopTimer_(loop, [this] { continueStop(); })
    , zoneCheckTimer_(loop, [this] { transferLeadershipIfZoneOut(); })
    , leaderDestroyTimer_(loop, [this] { leader_.reset(); })
{}

Result<std::unique_ptr<ControlProcess>> ControlProcess::start(
    network::EventLoop &loop, const schema::ControlSettings &settings)
{
    std::unique_ptr<ControlProcess> process(new ControlProcess(loop, settings));
    if (const auto opened = process->open(); !opened)
        return fail(opened.error());
    return process;
}

Result<void> ControlProcess::open()
{
    const auto cellKey = settings::readKeyFile(settings_.cell_key_file());
    if (!cellKey)
        return fail(cellKey.error());
    const auto operatorKey = settings::readKeyFile(settings_.operator_key_file());
    if (!operatorKey)
        return fail(operatorKey.error());
    if (auto opened = openReplica(*cellKey); !opened)
        return opened;
    return openListeners(*cellKey, *operatorKey);
}

Result<void> ControlProcess::openReplica(const std::string &cellKey)
{
    rpc_ = std::make_unique<network::RpcClient>(
        loop_, [this](const schema::PeerMessage &message) { return sendToLeader(message); },
        network::pendingCallBytes(network::heldBytesOf(settings_)));
    auto replica = Replica::start(loop_,
        {
            .settings = settings_,
            .cellKey = cellKey,
            .disk = disk_,
            .onLeadershipGained =
                [this] {
                    leaderDestroyTimer_.cancel();
                    leader_ = std::make_unique<Leader>(loop_, *replica_);
                    rpc_->handleLeaderChange();
                },
            // Destroys the leader from the event loop, because this callback may run inside it.
            .onLeadershipLost = [this] { leaderDestroyTimer_.startOnce(Millis(0)); },
            .onApplied =
                [this](const schema::Command &command, const schema::CommandOutcome &outcome) {
                    if (leader_ && replica_->isLeading())
                        leader_->handleApplied(command, outcome);
                },
            .onLinkMessage =
                [this](const ReplicaId &, const schema::PeerMessage &message) {
                    if (message.has_rpc_reply())
                        rpc_->handleReply(message.rpc_reply());
                },
            .onFatal =
                [this](const Error &error) {
                    LogEvent("fatal", LogLevel::Error).with(error);
                    fatalError_ = error;
                    loop_.stop();
                },
        });
    if (!replica)
        return fail(replica.error());
    replica_ = std::move(*replica);
    return {};
}

Result<void> ControlProcess::openListeners(
    const std::string &cellKey, const std::string &operatorKey)
{
    auto peers = network::PeerServer::listen(loop_,
        {
            .address = settings_.peer_address(),
            .cellKey = cellKey,
            .onMessage = [this](network::PeerStream &stream,
                             const schema::PeerMessage &message) { receive(stream, message); },
            .onClosed =
                [this](network::PeerStream &stream) {
                    if (leader_)
                        leader_->streamClosed(stream);
                },
        });
    if (!peers)
        return fail(peers.error());
    peers_ = std::move(*peers);
    clientLimits_ = std::make_shared<network::ClientLimits>(network::heldBytesOf(settings_));
    auto admin = admin::AdminServer::listen(loop_,
        {
            .address = settings_.admin_address(),
            .operatorKey = operatorKey,
            .rpc = *rpc_,
            .limits = clientLimits_,
            .dump = [this] { return dump(); },
            .metrics = [this] { return metrics(); },
            .status = [this] { return status(); },
        });
    if (!admin)
        return fail(admin.error());
    admin_ = std::move(*admin);
    zoneCheckTimer_.startRepeating(ZoneCheckInterval);
    return {};
}

void ControlProcess::receive(network::PeerStream &stream, const schema::PeerMessage &message)
{
    if (replica_->receive(stream, message))
        return;
    if (leader_ && replica_->isLeading()) {
        leader_->receive(stream, message);
        return;
    }
    redirectToLeader(stream, message);
}

// Answers an entry or another replica with the id of the current leader.
void ControlProcess::redirectToLeader(
    network::PeerStream &stream, const schema::PeerMessage &message)
{
    schema::PeerMessage answer;
    if (message.has_renew()) {
        schema::RenewReply *reply = answer.mutable_renew_reply();
        reply->set_sequence(message.renew().sequence());
        reply->set_leader(replica_->leader().value());
    } else if (message.has_rpc_request()) {
        schema::RpcReply *reply = answer.mutable_rpc_reply();
        reply->set_id(message.rpc_request().id());
        reply->mutable_outcome()->set_code(schema::UNAVAILABLE);
        reply->mutable_outcome()->set_owner(replica_->leader().value());
    } else {
        return;
    }
    stream.send(answer);
}

bool ControlProcess::sendToLeader(const schema::PeerMessage &message)
{
    if (leader_ && replica_->isLeading()) {
        leader_->handleRequest(message.rpc_request(),
            [this](const schema::RpcReply &reply) { rpc_->handleReply(reply); });
        return true;
    }
    return replica_->sendTo(replica_->leader(), message);
}

void ControlProcess::transferLeadershipIfZoneOut()
{
    if (replica_->isLeading() && replica_->state().config().isZoneOut(ZoneName(settings_.zone())))
        replica_->transferLeadership();
}

void ControlProcess::stop()
{
    LogEvent("stopping");
    stopDeadline_ = steadyNow() + MaxStopTime;
    stopTimer_.startRepeating(StopCheckInterval);
    continueStop();
}

void ControlProcess::continueStop()
{
    const bool isOnlyVoter = replication::voterCount(replica_->core().membership()) < 2;
    if (replica_->isLeading() && !isOnlyVoter && steadyNow() < stopDeadline_) {
        replica_->transferLeadership();
        return;
    }
    loop_.stop();
}

schema::StatusBody ControlProcess::status() const
{
    schema::StatusBody body;
    const state::ConfigState &config = replica_->state().config();
    const auto *self =
        replication::findMember(replica_->core().membership(), ReplicaId(settings_.id()));
    body.set_id(settings_.id());
    body.set_role(replica_->isLeading()
            ? "leader"
            : (self != nullptr && self->voter() ? "follower" : "learner"));
    body.set_leader(replica_->leader().value());
    body.set_version(static_cast<double>(config.config().version()));
    body.set_hash(config.hash());
    for (const ZoneName &zone : config.zonesOut())
        body.add_zones_out(zone.value());
    return body;
}

std::string ControlProcess::dump() const
{
    schema::ControlDump dump;
    const replication::RaftCore &core = replica_->core();
    const state::CellState &state = replica_->state();
    dump.set_id(settings_.id());
    dump.set_role(toText(core.role()));
    dump.set_term(static_cast<double>(core.term().value()));
    dump.set_last_index(static_cast<double>(core.lastIndex().value()));
    dump.set_commit_index(static_cast<double>(core.commitIndex().value()));
    dump.set_disk_trouble(
        replica_->diskError().empty() ? replica_->spaceError() : replica_->diskError());
    for (const auto &member : core.membership().members()) {
        schema::MemberDump *row = dump.add_members();
        row->set_id(member.id());
        row->set_voter(member.voter());
        row->set_match(static_cast<double>(core.matchIndexOf(ReplicaId(member.id())).value()));
        row->set_incarnation(std::to_string(member.incarnation()));
    }
    dump.set_jobs(static_cast<uint32_t>(state.jobs().jobs().size()));
    dump.set_waiting_tasks(static_cast<uint32_t>(state.jobs().waitingTasks()));
    dump.set_running_tasks(static_cast<uint32_t>(state.jobs().runningTasks()));
    dump.set_claims(static_cast<uint32_t>(state.claims().size()));
    *dump.mutable_status() = status();
    dump.set_sent_bytes(replica_->sentBytes() + peers_->sentBytes());
    if (leader_)
        leader_->fillDump(&dump);
    return network::toJson(dump);
}

std::string ControlProcess::metrics() const
{
    const replication::RaftCore &core = replica_->core();
    const auto line = [](const char *name, uint64_t value) {
        return std::string(name) + " " + std::to_string(value) + "\n";
    };
    return line("basilgap_control_leading", replica_->isLeading() ? 1 : 0)
        + line("basilgap_control_term", core.term().value())
        + line("basilgap_control_commit_index", core.commitIndex().value())
        + line("basilgap_control_disk_unusable", replica_->diskError().empty() ? 0 : 1)
        + line("basilgap_control_disk_space_low", replica_->spaceError().empty() ? 0 : 1)
        + line("basilgap_control_sent_bytes", replica_->sentBytes() + peers_->sentBytes())
        + line("basilgap_control_received_bytes", peers_->receivedBytes())
        + line("basilgap_jobs", replica_->state().jobs().jobs().size())
        + line("basilgap_tasks_waiting", replica_->state().jobs().waitingTasks())
        + line("basilgap_tasks_running", replica_->state().jobs().runningTasks())
        + line("basilgap_claims", replica_->state().claims().size()) + clientLimits_->metricText();
}

} // namespace basilgap::control
