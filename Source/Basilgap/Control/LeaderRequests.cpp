// Leader methods for requests of operators and entries.

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Control/Leader.h"

namespace basilgap::control {

namespace {

constexpr Millis CancelBatchDelay{ 20 };
constexpr int MaxListedJobs = 1000;

schema::RpcReply replyTo(const schema::RpcRequest &request, const schema::CommandOutcome &outcome)
{
    schema::RpcReply reply;
    reply.set_id(request.id());
    *reply.mutable_outcome() = outcome;
    return reply;
}

} // namespace

void Leader::handleRequest(const schema::RpcRequest &request, ReplyCallback reply)
{
    if (!request.has_command()) {
        replica_.confirmLeadership(guarded([this, request, reply](bool leads) {
            if (leads)
                return answerQuery(request, reply);
            schema::CommandOutcome outcome;
            outcome.set_code(schema::UNAVAILABLE);
            reply(replyTo(request, outcome));
        }));
        return;
    }
    switch (request.command().body_case()) {
    case schema::Command::kApplyCell:
    case schema::Command::kZone:
        return applyConfiguration(request, reply);
    case schema::Command::kSubmitJob:
        return submitJob(request, reply);
    case schema::Command::kCancelJobs:
        return cancelJobs(request.command().cancel_jobs(),
            [request, reply](
                const schema::CommandOutcome &outcome) { reply(replyTo(request, outcome)); });
    case schema::Command::kClaimOpen:
    case schema::Command::kClaimEnd:
        return proposeCommand(request, reply);
    default:
        schema::CommandOutcome outcome;
        outcome.set_code(schema::INVALID);
        outcome.set_message("not a request of entries or operators");
        reply(replyTo(request, outcome));
    }
}

void Leader::proposeCommand(const schema::RpcRequest &request, const ReplyCallback &reply)
{
    replica_.propose(request.command(), [request, reply](const schema::CommandOutcome &outcome) {
        reply(replyTo(request, outcome));
    });
}

void Leader::applyConfiguration(const schema::RpcRequest &request, const ReplyCallback &reply)
{
    replica_.propose(
        request.command(), guarded([this, request, reply](const schema::CommandOutcome &outcome) {
            if (outcome.code() != schema::ACCEPTED || request.no_wait())
                return reply(replyTo(request, outcome));
            waitUntilInForce(state_.config().revision(), [request, reply, outcome](bool inForce) {
                schema::CommandOutcome answer = outcome;
                if (!inForce) {
                    answer.set_code(schema::UNAVAILABLE);
                    answer.set_message("accepted, but not confirmed by every entry in time");
                }
                reply(replyTo(request, answer));
            });
        }));
}

void Leader::submitJob(const schema::RpcRequest &request, const ReplyCallback &reply)
{
    const auto reason = jobs_.neverFitsReason(request.command().submit_job().spec());
    if (!reason)
        return proposeCommand(request, reply);
    schema::CommandOutcome outcome;
    outcome.set_code(schema::INVALID);
    outcome.set_message("perTask: " + *reason);
    reply(replyTo(request, outcome));
}

// Cancellations often come in bursts, so those within CancelBatchDelay share one record.
void Leader::cancelJobs(const schema::CancelJobs &cancel, Replica::OutcomeCallback callback)
{
    for (const uint64_t job : cancel.jobs())
        pendingCancels_.push_back({ job, nullptr });
    if (pendingCancels_.empty())
        return callback({});
    pendingCancels_.back().callback = std::move(callback);
    if (!cancelTimer_.isPending())
        cancelTimer_.startOnce(CancelBatchDelay);
}

void Leader::flushCancels()
{
    auto batch = std::make_shared<std::vector<PendingCancel>>();
    batch->swap(pendingCancels_);
    schema::Command command;
    for (const PendingCancel &cancel : *batch)
        command.mutable_cancel_jobs()->add_jobs(cancel.job);
    replica_.propose(command, [batch](const schema::CommandOutcome &outcome) {
        for (const PendingCancel &cancel : *batch) {
            if (cancel.callback)
                cancel.callback(outcome);
        }
    });
}

schema::JobState Leader::describeJob(const state::Job &job) const
{
    schema::JobState described = toSchema(job);
    if (described.reason().empty() && job.waitingTasks > 0)
        described.set_reason(jobs_.waitReason(job.id));
    return described;
}

void Leader::answerQuery(const schema::RpcRequest &request, const ReplyCallback &reply)
{
    schema::RpcReply answer;
    answer.set_id(request.id());
    for (const auto &[number, worker] : state_.jobs().workers()) {
        schema::WorkerRegistration *row = answer.add_workers();
        row->set_number(number.value());
        row->set_worker(worker.value());
    }
    if (request.has_get_job()) {
        const state::Job *job = state_.jobs().find(JobId(request.get_job()));
        if (job == nullptr)
            answer.mutable_outcome()->set_code(schema::NOT_FOUND);
        else
            *answer.mutable_job() = describeJob(*job);
    } else if (request.get_hosts()) {
        listHosts(&answer);
    } else if (request.get_teams()) {
        listTeams(&answer);
    } else {
        const std::string &team = request.get_jobs_of_team();
        const auto &jobs = state_.jobs().jobs();
        for (auto job = jobs.rbegin(); job != jobs.rend() && answer.jobs_size() < MaxListedJobs;
             ++job) {
            if (team.empty() || job->second.team.value() == team) {
                schema::JobState *row = answer.add_jobs();
                *row = describeJob(job->second);
            }
        }
    }
    reply(std::move(answer));
}

void Leader::listHosts(schema::RpcReply *reply) const
{
    const Millis now = steadyNow();
    const auto add = [reply](const std::string &id, const char *kind, const std::string &zone,
                         const char *status) {
        schema::HostStatus *row = reply->add_hosts();
        row->set_id(id);
        row->set_kind(kind);
        row->set_zone(zone);
        row->set_state(status);
    };
    for (const auto &member : replica_.core().membership().members()) {
        const bool isLeader = member.id() == replica_.leader().value();
        const bool recentlyHeard = replica_.core().isRecentlyHeard(ReplicaId(member.id()), now);
        add(member.id(), "replica", "",
            isLeader ? "leader"
                     : (!recentlyHeard ? "silent" : (member.voter() ? "follower" : "learner")));
    }
    for (const auto &[number, session] : state_.sessions().all()) {
        const auto link = sessions_.links().find(number);
        const bool connected = link != sessions_.links().end() && link->second.stream != nullptr;
        add(session.entry(), "entry", session.zone(),
            session.closed() ? "closed" : (connected ? "connected" : "silent"));
    }
    for (const auto &[id, backend] : backends_.all()) {
        const bool alive = backends_.isAlive(backend, now);
        add(id.value(), "backend", backend.announcement.zone(),
            !alive ? "gone" : (backend.announcement.leaving() ? "leaving" : "serving"));
    }
    for (const auto &[id, worker] : jobs_.workers().all()) {
        const bool quarantined = jobs_.health().isQuarantined(state_.jobs().numberOf(id), now);
        add(id.value(), "worker", worker.zone.value(),
            !jobs_.workers().hasLease(worker, now) ? "lost"
                                                   : (quarantined ? "quarantined" : "ready"));
    }
}

void Leader::listTeams(schema::RpcReply *reply) const
{
    std::map<std::string, schema::TeamStatus> teams;
    for (const auto &config : state_.config().config().teams()) {
        schema::TeamStatus &team = teams[config.name()];
        team.set_name(config.name());
        team.set_share(config.share());
        team.set_limit_slots(config.limit().slots());
        *team.mutable_usage() = toSchema(state_.jobs().usageOf(TeamName(config.name())));
    }
    for (const auto &[number, link] : sessions_.links()) {
        for (const auto &demand : link.demand) {
            const auto team = teams.find(demand.team());
            if (team == teams.end() || link.stream == nullptr)
                continue;
            team->second.set_queued(team->second.queued() + demand.queued());
            team->second.set_running(team->second.running() + demand.running());
        }
    }
    for (auto &[name, team] : teams)
        *reply->add_teams() = std::move(team);
}

} // namespace basilgap::control
