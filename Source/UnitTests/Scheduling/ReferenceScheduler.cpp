#include "UnitTests/Scheduling/ReferenceScheduler.h"

#include <algorithm>

namespace basilgap::scheduling {

Resources ReferenceScheduler::freeOn(const PoolWorker &worker, const state::JobTable &jobs) const
{
    Resources free = worker.capacity;
    for (const auto &[id, job] : jobs.jobs()) {
        for (const state::Task &task : job.tasks) {
            if (task.phase == schema::TaskState::RUNNING && task.worker == worker.number)
                free -= job.reservation(task);
        }
    }
    for (const PlannedStart &start : starts_) {
        const state::Job &job = *jobs.find(start.task.job);
        if (start.worker == worker.number)
            free -= job.reservation(job.tasks[start.task.index]);
    }
    return free;
}

Resources ReferenceScheduler::usageOf(const TeamName &team, const state::JobTable &jobs) const
{
    Resources usage;
    for (const auto &[id, job] : jobs.jobs()) {
        for (const state::Task &task : job.tasks) {
            if (job.team == team && task.phase == schema::TaskState::RUNNING)
                usage += job.reservation(task);
        }
    }
    for (const PlannedStart &start : starts_) {
        const state::Job &job = *jobs.find(start.task.job);
        if (job.team == team)
            usage += job.reservation(job.tasks[start.task.index]);
    }
    return usage;
}

bool ReferenceScheduler::isStarted(const TaskId &task) const
{
    return std::any_of(starts_.begin(), starts_.end(),
        [&task](const PlannedStart &start) { return start.task == task; });
}

bool ReferenceScheduler::startTaskOf(const state::Job &job, const state::JobTable &jobs)
{
    for (uint32_t i = 0; i < job.tasks.size(); i++) {
        const TaskId id{ job.id, i };
        if (job.tasks[i].phase != schema::TaskState::WAITING || isStarted(id))
            continue;
        const Resources reservation = job.reservation(job.tasks[i]);
        const PoolWorker *best = nullptr;
        double bestLeft = 2;
        for (const PoolWorker &worker : workers_) {
            const Resources free = freeOn(worker, jobs);
            if (!reservation.fitsIn(free))
                continue;
            const double left = (free - reservation).dominantShareOf(worker.capacity);
            if (left < bestLeft) {
                bestLeft = left;
                best = &worker;
            }
        }
        if (best == nullptr)
            return false;
        starts_.push_back({ id, best->number });
        return true;
    }
    return false;
}

bool ReferenceScheduler::startNext(const state::JobTable &jobs, const state::ConfigState &config)
{
    Resources cell;
    for (const PoolWorker &worker : workers_)
        cell += worker.capacity;
    std::vector<std::pair<double, TeamName>> teams;
    for (const auto &team : config.config().teams()) {
        const TeamName name(team.name());
        const double share = usageOf(name, jobs).dominantShareOf(cell);
        teams.emplace_back(share / std::max<uint32_t>(1, team.share()), name);
    }
    std::sort(teams.begin(), teams.end());
    for (const auto &[share, team] : teams) {
        for (const auto &[id, job] : jobs.jobs()) {
            if (job.team == team && !job.isFinished() && startTaskOf(job, jobs))
                return true;
        }
    }
    return false;
}

std::vector<PlannedStart> ReferenceScheduler::plan(
    const state::JobTable &jobs, const state::ConfigState &config, size_t maxStarts)
{
    starts_.clear();
    while (starts_.size() < maxStarts && startNext(jobs, config)) {
    }
    return starts_;
}

} // namespace basilgap::scheduling
