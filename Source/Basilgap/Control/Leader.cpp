#include "Basilgap/Control/Leader.h"

#include "Basilgap/Common/EventLog.h"

namespace basilgap::control {

namespace {

constexpr Millis TickInterval{ 20 };
constexpr Millis AllotmentInterval{ 100 };
constexpr Millis JobUpdateInterval{ 40 };
constexpr Millis IdleJobUpdateInterval{ 500 };
constexpr Millis ExpiryInterval{ 5000 };
constexpr Millis SessionCheckInterval{ 500 };

} // namespace

Leader::Leader(network::EventLoop &loop, Replica &replica)
    : loop_(loop)
    , replica_(replica)
    , state_(replica.state())
    , sessions_(state_.sessions(), steadyNow())
    , allotments_(state_, backends_, sessions_)
    , jobs_(state_, steadyNow())
    , views_(state_)
    , tickTimer_(loop, [this] { tick(); })
    , cancelTimer_(loop, [this] { flushCancels(); })
{
    tickTimer_.startRepeating(TickInterval);
}

Leader::~Leader() = default;

bool Leader::receive(network::PeerStream &stream, const schema::PeerMessage &message)
{
    streams_[stream.id()] = &stream;
    switch (message.body_case()) {
    case schema::PeerMessage::kRenew:
        handleRenew(stream, message.renew());
        return true;
    case schema::PeerMessage::kWorkerDigest:
        handleDigest(stream, message.worker_digest());
        return true;
    case schema::PeerMessage::kRpcRequest:
        handleRequest(
            message.rpc_request(), guarded([this, id = stream.id()](schema::RpcReply reply) {
                const auto found = streams_.find(id);
                if (found == streams_.end())
                    return;
                schema::PeerMessage out;
                *out.mutable_rpc_reply() = std::move(reply);
                found->second->send(out);
            }));
        return true;
    default:
        return false;
    }
}

void Leader::streamClosed(network::PeerStream &stream)
{
    streams_.erase(stream.id());
    sessions_.streamClosed(&stream);
    jobs_.workers().streamClosed(&stream);
}

void Leader::handleApplied(const schema::Command &command, const schema::CommandOutcome &outcome)
{
    switch (command.body_case()) {
    case schema::Command::kApplyCell:
    case schema::Command::kZone:
        if (outcome.code() != schema::ACCEPTED || outcome.again())
            return;
        LogEvent("configuration-accepted")
            .with("version", state_.config().config().version())
            .with("revision", state_.config().revision().value());
        views_.recordRevision();
        pushViews();
        jobsDirty_ = true;
        nextAllotmentPlanAt_ = Millis();
        return;
    case schema::Command::kAllotments:
    case schema::Command::kOpenSession:
    case schema::Command::kCloseSession:
        pushChanges();
        return;
    case schema::Command::kSubmitJob:
    case schema::Command::kCancelJobs:
        jobsDirty_ = true;
        return;
    case schema::Command::kTasks:
        jobsDirty_ = true;
        // Ended tasks freed capacity, so plan at the next tick.
        if (command.tasks().ends().end_size() > 0)
            lastJobUpdateAt_ = Millis();
        return;
    default:
        return;
    }
}

void Leader::tick()
{
    const Millis now = steadyNow();
    completeInForceWaiters();
    if (now >= nextAllotmentPlanAt_ && !allotmentsInFlight_) {
        nextAllotmentPlanAt_ = now + AllotmentInterval;
        planAllotments();
    }
    const Millis jobInterval = jobsDirty_ ? JobUpdateInterval : IdleJobUpdateInterval;
    if (now >= lastJobUpdateAt_ + jobInterval && !tasksInFlight_) {
        lastJobUpdateAt_ = now;
        updateJobs();
    }
    if (now >= nextSessionCheckAt_) {
        nextSessionCheckAt_ = now + SessionCheckInterval;
        closeSilentSessions();
    }
    if (now >= nextExpiryAt_) {
        nextExpiryAt_ = now + ExpiryInterval;
        proposeExpiry();
    }
}

void Leader::fillDump(schema::ControlDump *dump) const
{
    const Millis now = steadyNow();
    for (const auto &[number, session] : state_.sessions().all()) {
        schema::SessionDump *row = dump->add_sessions();
        row->set_entry(session.entry());
        row->set_number(number.value());
        row->set_closed(session.closed());
        const auto link = sessions_.links().find(number);
        row->set_connected(link != sessions_.links().end() && link->second.stream != nullptr);
        if (link != sessions_.links().end())
            row->set_revision(static_cast<double>(link->second.reportedRevision.value()));
    }
    for (const auto &[id, worker] : jobs_.workers().all()) {
        schema::WorkerDump *row = dump->add_workers();
        const WorkerNumber number = state_.jobs().numberOf(id);
        row->set_id(id.value());
        row->set_zone(worker.zone.value());
        row->set_rack(worker.rack.value());
        row->set_lease_left_ms(static_cast<int32_t>((worker.leaseEnd - now).count()));
        row->set_quarantined(jobs_.health().isQuarantined(number, now));
        row->set_tasks(static_cast<uint32_t>(state_.jobs().runningOn(number).size()));
    }
    for (const auto &[id, backend] : backends_.all()) {
        schema::BackendDump *row = dump->add_backends();
        row->set_id(id.value());
        row->set_zone(backend.announcement.zone());
        row->set_pool(backend.announcement.pool());
        row->set_leaving(backend.announcement.leaving());
        row->set_held(state_.allotments().sumOf(state_.allotments().findKey(backendKeyName(id))));
    }
}

} // namespace basilgap::control
