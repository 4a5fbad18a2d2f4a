#pragma once

#include "Basilgap/Scheduling/JobScheduler.h"

namespace basilgap::scheduling {

// One planning of the job scheduler: works on the input and leaves what lasts in the scheduler.
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

    // Order of the teams: aged work by its age, then the team furthest below its share.
    struct Turn
    {
        bool aged = false;
        uint64_t sinceMs = 0;
        double share = 0;
        size_t team = 0;

        bool operator>(const Turn &other) const;
    };

    enum class Attempt { Placed, NoRoom, OverLimit, NothingLeft };

    void keepPromises();
    void holdGangWorkers();
    void loadTeams();
    TeamQueue *teamOf(const TeamName &name);
    void placeUrgent();
    void placeByShare();
    Turn turnOf(size_t team) const;
    bool advance(TeamQueue *team);
    Attempt placeNext(TeamQueue *team, const state::Job &job);
    Attempt placeTask(TeamQueue *team, const state::Job &job, uint32_t index,
        std::optional<WorkerNumber> *chosen);
    Attempt placeGang(TeamQueue *team, const state::Job &job);
    bool isHopeless(const TeamQueue &team, const state::Job &job, const Resources &need);
    void restartBrokenGang(const state::Job &job);
    void reserveForGang(const state::Job &job);
    void preemptFor(TeamQueue *team, const state::Job &job, uint32_t index);
    std::vector<TaskId> victimsOn(
        const PoolWorker &worker, const Resources &need, const TeamQueue &team) const;
    bool mayPreempt(const TeamQueue &forTeam, const TaskId &victim) const;
    void start(TeamQueue *team, const state::Job &job, uint32_t index, WorkerNumber worker,
        const Resources &need);
    double shareOf(const TeamQueue &team) const;
    std::optional<uint32_t> nextWaiting(const state::Job &job, uint32_t from) const;
    std::map<std::string, uint32_t> &spreadOf(const state::Job &job);
    const std::set<WorkerNumber> *avoidFor(const state::Job &job);

    JobScheduler &scheduler_;
    const ScheduleInput &input_;
    SchedulePlan plan_;
    Resources cell_;
    std::vector<TeamQueue> teams_;
    std::map<TeamName, size_t> teamIndex_;
    std::set<TaskId> planned_;
    std::set<TaskId> preempted_;
    std::map<JobId, std::map<std::string, uint32_t>> spread_;
    std::map<JobId, std::set<WorkerNumber>> avoid_;
    std::set<WorkerNumber> held_;
    // Needs that found no room in this round, so that equal ones are not tried again.
    std::vector<Resources> noRoom_;
};

} // namespace basilgap::scheduling
