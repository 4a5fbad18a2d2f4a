#include "UnitTests/Scheduling/SchedulerFixture.h"

namespace basilgap::scheduling {

SchedulerFixture::SchedulerFixture(const std::vector<Team> &teams)
{
    schema::CellConfig config;
    config.set_version(1);
    for (const Team &team : teams) {
        schema::TeamConfig *row = config.add_teams();
        row->set_name(team.name);
        row->set_share(team.share);
        row->mutable_limit()->set_millicores(static_cast<uint64_t>(team.limit.millicores));
        row->mutable_limit()->set_memory_mb(static_cast<uint64_t>(team.limit.memoryMb));
        row->mutable_limit()->set_accelerators(static_cast<uint64_t>(team.limit.accelerators));
    }
    schema::Command command;
    command.mutable_apply_cell()->set_config(config.SerializeAsString());
    command.mutable_apply_cell()->set_hash("first");
    apply(std::move(command));
}

void SchedulerFixture::apply(schema::Command command)
{
    command.set_stamp_ms(nowMs);
    state_.apply(LogIndex(++index_), command);
}

void SchedulerFixture::addWorker(
    const Resources &capacity, const std::string &zone, const std::string &rack)
{
    const auto number = static_cast<uint32_t>(workers_.size() + 1);
    schema::Command command;
    schema::WorkerRegistration *worker = command.mutable_tasks()->add_workers();
    worker->set_number(number);
    worker->set_worker("w" + std::to_string(number));
    apply(std::move(command));
    workers_.push_back({ .number = WorkerNumber(number),
        .zone = ZoneName(zone),
        .rack = RackName(rack),
        .capacity = capacity });
}

JobId SchedulerFixture::submit(const std::string &team, schema::JobClass jobClass, uint32_t tasks,
    const Resources &reservation, bool urgent, bool checkpointable)
{
    const JobId id = state_.jobs().nextJob();
    schema::Command command;
    schema::SubmitJob *submit = command.mutable_submit_job();
    submit->set_team(team);
    schema::JobSpec *spec = submit->mutable_spec();
    spec->set_name("job");
    spec->set_job_class(jobClass);
    spec->set_tasks(tasks);
    spec->set_urgent(urgent);
    spec->set_checkpointable(checkpointable);
    *spec->mutable_per_task() = state::toSchema(reservation);
    apply(std::move(command));
    return id;
}

SchedulePlan SchedulerFixture::plan()
{
    WorkerPool pool;
    Resources largest;
    for (PoolWorker worker : workers_) {
        worker.reserved = state_.jobs().reservedOn(worker.number);
        pool.add(worker);
        largest.millicores = std::max(largest.millicores, worker.capacity.millicores);
        largest.memoryMb = std::max(largest.memoryMb, worker.capacity.memoryMb);
        largest.accelerators = std::max(largest.accelerators, worker.capacity.accelerators);
    }
    const std::map<JobId, std::set<WorkerNumber>> failedOn;
    SchedulePlan plan = scheduler.plan({ .jobs = state_.jobs(),
        .config = state_.config(),
        .pool = pool,
        .largestWorker = largest,
        .failedOn = failedOn,
        .stopping = stopping_,
        .nowMs = nowMs });
    schema::Command command;
    schema::TaskStarts *starts = command.mutable_tasks()->mutable_starts();
    TaskId last;
    for (const PlannedStart &start : plan.starts) {
        starts->add_job(static_cast<int64_t>(start.task.job.value() - last.job.value()));
        starts->add_task(static_cast<int32_t>(start.task.index - last.index));
        starts->add_worker(start.worker.value());
        last = start.task;
    }
    apply(std::move(command));
    stopping_.insert(plan.preemptions.begin(), plan.preemptions.end());
    return plan;
}

void SchedulerFixture::end(TaskId task, schema::TaskEnd end)
{
    schema::Command command;
    schema::TaskEnds *ends = command.mutable_tasks()->mutable_ends();
    ends->add_job(static_cast<int64_t>(task.job.value()));
    ends->add_task(static_cast<int32_t>(task.index));
    ends->add_end(end);
    apply(std::move(command));
    stopping_.erase(task);
}

void SchedulerFixture::endStopping()
{
    const std::set<TaskId> stopping = stopping_;
    for (const TaskId &task : stopping)
        end(task, schema::TASK_CHECKPOINTED);
}

std::string SchedulerFixture::violatedInvariant() const
{
    std::map<WorkerNumber, Resources> reserved;
    std::map<TeamName, Resources> usage;
    for (const auto &[id, job] : state_.jobs().jobs()) {
        for (const state::Task &task : job.tasks) {
            if (task.phase != schema::TaskState::RUNNING)
                continue;
            reserved[task.worker] += job.reservation(task);
            usage[job.team] += job.reservation(task);
        }
    }
    for (const PoolWorker &worker : workers_) {
        if (!reserved[worker.number].fitsIn(worker.capacity))
            return "worker " + std::to_string(worker.number.value()) + " is overcommitted";
    }
    for (const auto &[team, used] : usage) {
        const schema::TeamLimit &limit = state_.config().findTeam(team)->limit();
        const Resources limitResources{ static_cast<int64_t>(limit.millicores()),
            static_cast<int64_t>(limit.memory_mb()), static_cast<int64_t>(limit.accelerators()) };
        if (!used.fitsIn(limitResources))
            return "team " + team.value() + " is above its limit";
    }
    return "";
}

} // namespace basilgap::scheduling
