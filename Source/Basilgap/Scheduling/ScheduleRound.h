#pragma once

#include "Basilgap/Scheduling/JobScheduler.h"

namespace basilgap::scheduling {

// One scheduling round of the job scheduler. Reservations and wait reasons that outlive the round
// are kept in the scheduler.
class ScheduleRound
{
public:
    ScheduleRound(JobScheduler *scheduler, const ScheduleInput &input);

    SchedulePlan run();

private:
    struct TeamQueue
    {
        TeamName name;
        double weight = 1;
        Resources limit;
        Resources usage;
        std::vector<JobId> jobs;
        size_t position = 0;
        uint32_t nextTask = 0;
    };

    // Scheduling order of a team: aged jobs by age, then the team furthest below its weighted
    // share.
    struct TeamRank
    {
        bool aged = false;
        uint64_t sinceMs = 0;
        double share = 0;
        size_t team = 0;

        bool operator>(const TeamRank &other) const;
    };

    enum class PlacementResult { Placed, NoCapacity, OverLimit, NothingWaiting };

    void applyCapacityReservations();
    void applyGangReservation();
    void loadTeams();
    TeamQueue *findTeam(const TeamName &name);
    void placeUrgent();
    void placeByShare();
    TeamRank rankOf(size_t team) const;
    bool advance(TeamQueue *team);
    PlacementResult placeNext(TeamQueue *team, const state::Job &job);
    PlacementResult placeTask(TeamQueue *team, const state::Job &job, uint32_t index,
        std::optional<WorkerNumber> *chosen);
    PlacementResult placeGang(TeamQueue *team, const state::Job &job);
    bool isInfeasible(const TeamQueue &team, const state::Job &job, const Resources &reservation);
    void stopRemainingGangTasks(const state::Job &job);
    void reserveForGang(const state::Job &job);
    void preemptForTask(TeamQueue *team, const state::Job &job, uint32_t index);
    std::vector<TaskId> victimsOn(
        const PoolWorker &worker, const Resources &reservation, const TeamQueue &team) const;
    bool mayPreempt(const TeamQueue &forTeam, const TaskId &victim) const;
    void start(TeamQueue *team, const state::Job &job, uint32_t index, WorkerNumber worker,
        const Resources &reservation);
    double weightedShareOf(const TeamQueue &team) const;
    std::optional<uint32_t> nextWaitingTask(const state::Job &job, uint32_t from) const;
    std::map<std::string, uint32_t> &spreadCountsOf(const state::Job &job);
    const std::set<WorkerNumber> *excludedWorkersFor(const state::Job &job);

    JobScheduler &scheduler_;
    const ScheduleInput &input_;
    SchedulePlan plan_;
    Resources cellCapacity_;
    std::vector<TeamQueue> teams_;
    std::map<TeamName, size_t> teamIndex_;
    std::set<TaskId> planned_;
    std::set<TaskId> preempted_;
    std::map<JobId, std::map<std::string, uint32_t>> spreadCounts_;
    std::map<JobId, std::set<WorkerNumber>> excludedWorkers_;
    std::set<WorkerNumber> gangWorkers_;
    // Reservations that fitted no worker in this round; equal ones are not tried again.
    std::vector<Resources> unplaceable_;
};

} // namespace basilgap::scheduling
