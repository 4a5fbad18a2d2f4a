#include "Basilgap/Admin/Describe.h"

#include <map>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Network/Json.h"

namespace basilgap::admin {

namespace {

const char *phaseName(schema::JobState::Phase phase)
{
    switch (phase) {
    case schema::JobState::WAITING:
        return "waiting";
    case schema::JobState::RUNNING:
        return "running";
    case schema::JobState::DONE:
        return "done";
    case schema::JobState::FAILED:
        return "failed";
    default:
        return "cancelled";
    }
}

const char *phaseName(schema::TaskState::Phase phase)
{
    return phaseName(static_cast<schema::JobState::Phase>(phase));
}

} // namespace

network::HttpResponse describeTeams(const schema::RpcReply &reply)
{
    schema::TeamListBody body;
    for (const auto &team : reply.teams()) {
        schema::TeamBody *row = body.add_teams();
        row->set_name(team.name());
        row->set_share(team.share());
        row->set_limit_slots(team.limit_slots());
        row->set_queued(team.queued());
        row->set_running(team.running());
        row->mutable_usage()->set_millicores(static_cast<uint32_t>(team.usage().millicores()));
        row->mutable_usage()->set_memory_mb(static_cast<uint32_t>(team.usage().memory_mb()));
        row->mutable_usage()->set_accelerators(static_cast<uint32_t>(team.usage().accelerators()));
    }
    return network::jsonMessage(200, body);
}

network::HttpResponse describeHosts(const schema::RpcReply &reply)
{
    schema::HostListBody body;
    for (const auto &host : reply.hosts()) {
        schema::HostBody *row = body.add_hosts();
        row->set_id(host.id());
        row->set_kind(host.kind());
        row->set_zone(host.zone());
        row->set_state(host.state());
    }
    return network::jsonMessage(200, body);
}

schema::JobStatusBody describeJob(const schema::JobState &job, const schema::RpcReply &reply)
{
    std::map<uint32_t, std::string> workers;
    for (const auto &worker : reply.workers())
        workers[worker.number()] = worker.worker();
    schema::JobStatusBody body;
    body.set_id(toText(JobId(job.id())));
    body.set_state(phaseName(job.phase()));
    body.set_reason(job.reason());
    body.set_name(job.spec().name());
    body.set_team(job.team());
    uint32_t index = 0;
    for (const auto &task : job.tasks()) {
        schema::TaskStatusBody *row = body.add_tasks();
        row->set_index(index++);
        row->set_state(phaseName(task.phase()));
        if (task.epoch() > 0)
            row->set_worker(workers[task.worker()]);
        row->set_tries(task.epoch());
        row->set_reason(task.reason());
        body.set_waiting(body.waiting() + (task.phase() == schema::TaskState::WAITING ? 1 : 0));
        body.set_running(body.running() + (task.phase() == schema::TaskState::RUNNING ? 1 : 0));
    }
    return body;
}

network::HttpResponse describeJobs(const schema::RpcReply &reply)
{
    schema::JobListBody body;
    for (const auto &job : reply.jobs()) {
        schema::JobStatusBody *row = body.add_jobs();
        *row = describeJob(job, reply);
        row->clear_tasks();
    }
    return network::jsonMessage(200, body);
}

network::HttpResponse describeZone(
    const schema::ZoneCommand &command, const schema::CommandOutcome &outcome, bool waited)
{
    if (outcome.code() == schema::ACCEPTED) {
        schema::ZoneReplyBody body;
        body.set_zone(command.zone());
        body.set_out(command.out());
        body.set_in_force(waited);
        return network::jsonMessage(200, body);
    }
    const bool unknown = outcome.code() == schema::NOT_FOUND;
    return network::errorResponse({ .status = unknown ? 404 : 409, .error = outcome.message() });
}

} // namespace basilgap::admin
