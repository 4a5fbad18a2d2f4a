#include <algorithm>

#include "Basilgap/Scheduling/ScheduleRound.h"

namespace basilgap::scheduling {

namespace {

constexpr uint64_t CapacityReservationMs = 15000;

} // namespace

// Batch jobs of the same team, or of a team that is further above its share, may be preempted.
bool ScheduleRound::mayPreempt(const TeamQueue &forTeam, const TaskId &victim) const
{
    const state::Job &job = *input_.jobs.find(victim.job);
    if (job.spec.urgent() || job.spec.job_class() != schema::BATCH)
        return false;
    if (input_.stopping.contains(victim) || preempted_.contains(victim))
        return false;
    if (job.team == forTeam.name)
        return true;
    const schema::TeamConfig *config = input_.config.findTeam(job.team);
    if (config == nullptr)
        return true;
    TeamQueue owner;
    owner.weight = config->share();
    owner.usage = input_.jobs.usageOf(job.team);
    return weightedShareOf(owner) > weightedShareOf(forTeam);
}

std::vector<TaskId> ScheduleRound::victimsOn(
    const PoolWorker &worker, const Resources &reservation, const TeamQueue &team) const
{
    std::vector<TaskId> candidates;
    for (const TaskId &id : input_.jobs.runningOn(worker.number)) {
        if (mayPreempt(team, id))
            candidates.push_back(id);
    }
    // Checkpointable tasks are preempted first, then those that started last, which lose the least
    // progress.
    std::sort(candidates.begin(), candidates.end(), [this](const TaskId &a, const TaskId &b) {
        const bool keepsA = input_.jobs.find(a.job)->spec.checkpointable();
        const bool keepsB = input_.jobs.find(b.job)->spec.checkpointable();
        if (keepsA != keepsB)
            return keepsA;
        return input_.jobs.find(a)->phaseSinceMs > input_.jobs.find(b)->phaseSinceMs;
    });
    std::vector<TaskId> victims;
    Resources freeCapacity = worker.freeCapacity();
    for (const TaskId &id : candidates) {
        if (reservation.fitsIn(freeCapacity))
            break;
        freeCapacity += input_.jobs.find(id.job)->reservation(*input_.jobs.find(id));
        victims.push_back(id);
    }
    if (!reservation.fitsIn(freeCapacity))
        victims.clear();
    return victims;
}

void ScheduleRound::preemptForTask(TeamQueue *team, const state::Job &job, uint32_t index)
{
    const Resources reservation = job.reservation(job.tasks[index]);
    if (isInfeasible(*team, job, reservation) || !(team->usage + reservation).fitsIn(team->limit))
        return;
    std::vector<TaskId> best;
    WorkerNumber bestWorker;
    for (const auto &[number, tasks] : input_.jobs.runningByWorker()) {
        const PoolWorker *worker = input_.pool.find(number);
        if (worker == nullptr || !reservation.fitsIn(worker->capacity))
            continue;
        std::vector<TaskId> victims = victimsOn(*worker, reservation, *team);
        if (victims.empty() || (!best.empty() && victims.size() >= best.size()))
            continue;
        best = std::move(victims);
        bestWorker = number;
    }
    if (best.empty())
        return;
    for (const TaskId &victim : best) {
        plan_.preemptions.push_back(victim);
        preempted_.insert(victim);
    }
    const TaskId id{ job.id, index };
    scheduler_.capacityReservations_[id] = { bestWorker, reservation,
        input_.nowMs + CapacityReservationMs };
    planned_.insert(id);
    team->usage += reservation;
    scheduler_.waitReasons_[job.id] = "other work is being checkpointed to make room";
}

} // namespace basilgap::scheduling
