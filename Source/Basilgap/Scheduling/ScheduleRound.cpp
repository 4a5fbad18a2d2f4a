#include "Basilgap/Scheduling/ScheduleRound.h"

#include <algorithm>
#include <queue>

namespace basilgap::scheduling {

namespace {

// Jobs of one team that may be skipped in a round because they don't fit (backfilling).
constexpr size_t MaxSkippedJobs = 32;

// Waiting time after which workers may be reserved for a gang.
constexpr uint64_t GangReservationDelayMs = 2000;

} // namespace

bool ScheduleRound::TeamRank::operator>(const TeamRank &other) const
{
    if (aged != other.aged)
        return !aged;
    if (aged && sinceMs != other.sinceMs)
        return sinceMs > other.sinceMs;
    if (share != other.share)
        return share > other.share;
    return team > other.team;
}

ScheduleRound::ScheduleRound(JobScheduler *scheduler, const ScheduleInput &input)
    : scheduler_(*scheduler)
    , input_(input)
    , cellCapacity_(input.pool.capacity())
{}

SchedulePlan ScheduleRound::run()
{
    scheduler_.waitReasons_.clear();
    loadTeams();
    applyCapacityReservations();
    applyGangReservation();
    placeUrgent();
    placeByShare();
    return std::move(plan_);
}

void ScheduleRound::loadTeams()
{
    for (const auto &[name, jobs] : input_.jobs.waiting()) {
        const schema::TeamConfig *config = input_.config.findTeam(name);
        if (config == nullptr) {
            for (const JobId job : jobs)
                scheduler_.waitReasons_[job] = "the team is not in the configuration";
            continue;
        }
        TeamQueue team;
        team.name = name;
        team.weight = config->share();
        const schema::TeamLimit &limit = config->limit();
        team.limit = { static_cast<int64_t>(limit.millicores()),
            static_cast<int64_t>(limit.memory_mb()), static_cast<int64_t>(limit.accelerators()) };
        team.usage = input_.jobs.usageOf(name);
        // No more jobs than these can be started or skipped in this round.
        const size_t bound = scheduler_.options_.maxStarts + MaxSkippedJobs;
        for (auto job = jobs.begin(); job != jobs.end() && team.jobs.size() < bound; ++job)
            team.jobs.push_back(*job);
        teamIndex_[name] = teams_.size();
        teams_.push_back(std::move(team));
    }
}

ScheduleRound::TeamQueue *ScheduleRound::findTeam(const TeamName &name)
{
    const auto found = teamIndex_.find(name);
    return found == teamIndex_.end() ? nullptr : &teams_[found->second];
}

double ScheduleRound::weightedShareOf(const TeamQueue &team) const
{
    constexpr double MinWeight = 1e-6;
    return team.usage.dominantShareOf(cellCapacity_) / std::max(team.weight, MinWeight);
}

void ScheduleRound::applyCapacityReservations()
{
    auto &reservations = scheduler_.capacityReservations_;
    for (auto it = reservations.begin(); it != reservations.end();) {
        const auto &[id, reservation] = *it;
        const state::Job *job = input_.jobs.find(id.job);
        const state::Task *task = input_.jobs.find(id);
        const PoolWorker *worker = input_.pool.find(reservation.worker);
        TeamQueue *team = job == nullptr ? nullptr : findTeam(job->team);
        const bool isObsolete = task == nullptr || task->phase != schema::TaskState::WAITING
            || worker == nullptr || team == nullptr || reservation.untilMs < input_.nowMs;
        if (isObsolete) {
            it = reservations.erase(it);
            continue;
        }
        const Resources freeCapacity = worker->freeCapacity();
        if (reservation.resources.fitsIn(freeCapacity)
            && (team->usage + reservation.resources).fitsIn(team->limit)) {
            start(team, *job, id.index, reservation.worker, reservation.resources);
            it = reservations.erase(it);
            continue;
        }
        // Reserve what has become free so far, so that no other task takes it.
        input_.pool.reserve(reservation.worker,
            { std::clamp<int64_t>(freeCapacity.millicores, 0, reservation.resources.millicores),
                std::clamp<int64_t>(freeCapacity.memoryMb, 0, reservation.resources.memoryMb),
                std::clamp<int64_t>(
                    freeCapacity.accelerators, 0, reservation.resources.accelerators) });
        planned_.insert(id);
        ++it;
    }
}

void ScheduleRound::applyGangReservation()
{
    auto &gangReservation = scheduler_.gangReservation_;
    if (!gangReservation)
        return;
    const state::Job *job = input_.jobs.find(gangReservation->job);
    const bool isObsolete = job == nullptr || job->isFinished() || job->waitingTasks == 0
        || gangReservation->untilMs < input_.nowMs;
    if (isObsolete) {
        gangReservation.reset();
        return;
    }
    TeamQueue *team = findTeam(job->team);
    if (team != nullptr && placeGang(team, *job) == PlacementResult::Placed) {
        gangReservation.reset();
        return;
    }
    gangWorkers_ = gangReservation->workers;
}

std::optional<uint32_t> ScheduleRound::nextWaitingTask(const state::Job &job, uint32_t from) const
{
    for (uint32_t i = from; i < job.tasks.size(); i++) {
        if (job.tasks[i].phase == schema::TaskState::WAITING && !planned_.contains({ job.id, i }))
            return i;
    }
    return std::nullopt;
}

std::map<std::string, uint32_t> &ScheduleRound::spreadCountsOf(const state::Job &job)
{
    const auto [entry, isNew] = spreadCounts_.try_emplace(job.id);
    if (!isNew || job.spec.spread() == schema::SPREAD_NONE)
        return entry->second;
    for (const state::Task &task : job.tasks) {
        const PoolWorker *worker =
            task.phase == schema::TaskState::RUNNING ? input_.pool.find(task.worker) : nullptr;
        if (worker != nullptr)
            entry->second[WorkerPool::spreadGroup(*worker, job.spec.spread())]++;
    }
    return entry->second;
}

const std::set<WorkerNumber> *ScheduleRound::excludedWorkersFor(const state::Job &job)
{
    const auto failed = input_.failedOn.find(job.id);
    const bool excludesGangWorkers = !gangWorkers_.empty()
        && (!scheduler_.gangReservation_ || scheduler_.gangReservation_->job != job.id);
    if (failed == input_.failedOn.end())
        return excludesGangWorkers ? &gangWorkers_ : nullptr;
    auto [entry, isNew] = excludedWorkers_.try_emplace(job.id, failed->second);
    // A job that has failed on all workers may retry on any of them.
    if (isNew && entry->second.size() >= input_.pool.size())
        entry->second.clear();
    if (isNew && excludesGangWorkers)
        entry->second.insert(gangWorkers_.begin(), gangWorkers_.end());
    return &entry->second;
}

bool ScheduleRound::isInfeasible(
    const TeamQueue &team, const state::Job &job, const Resources &reservation)
{
    if (!reservation.fitsIn(team.limit)) {
        scheduler_.waitReasons_[job.id] = "one task needs more than the team's limit";
        return true;
    }
    if (reservation.fitsIn(input_.largestWorker))
        return false;
    scheduler_.waitReasons_[job.id] = "no known worker could hold a task";
    return true;
}

ScheduleRound::PlacementResult ScheduleRound::placeTask(
    TeamQueue *team, const state::Job &job, uint32_t index, std::optional<WorkerNumber> *chosen)
{
    const Resources reservation = job.reservation(job.tasks[index]);
    if (isInfeasible(*team, job, reservation))
        return PlacementResult::NoCapacity;
    if (!(team->usage + reservation).fitsIn(team->limit)) {
        scheduler_.waitReasons_[job.id] = "the team is at its limit";
        return PlacementResult::OverLimit;
    }
    const bool isUnconstrained =
        job.spec.spread() == schema::SPREAD_NONE && !input_.failedOn.contains(job.id);
    if (isUnconstrained
        && std::find(unplaceable_.begin(), unplaceable_.end(), reservation) != unplaceable_.end())
        return PlacementResult::NoCapacity;
    const PlacementRequest request{ .reservation = reservation,
        .spread = job.spec.spread(),
        .packing = input_.config.policy().packing(),
        .excludedWorkers = excludedWorkersFor(job),
        .tasksBySpreadGroup = &spreadCountsOf(job) };
    *chosen = input_.pool.choose(request);
    if (*chosen)
        return PlacementResult::Placed;
    scheduler_.waitReasons_[job.id] = "no worker has room";
    // A gang may also use the workers reserved for it, so its failure to fit says nothing about
    // other jobs.
    if (isUnconstrained && !job.isGang())
        unplaceable_.push_back(reservation);
    return PlacementResult::NoCapacity;
}

void ScheduleRound::start(TeamQueue *team, const state::Job &job, uint32_t index,
    WorkerNumber worker, const Resources &reservation)
{
    plan_.starts.push_back({ { job.id, index }, worker });
    planned_.insert({ job.id, index });
    input_.pool.reserve(worker, reservation);
    team->usage += reservation;
    if (job.spec.spread() != schema::SPREAD_NONE)
        spreadCountsOf(
            job)[WorkerPool::spreadGroup(*input_.pool.find(worker), job.spec.spread())]++;
}

ScheduleRound::PlacementResult ScheduleRound::placeGang(TeamQueue *team, const state::Job &job)
{
    if (job.runningTasks > 0) {
        stopRemainingGangTasks(job);
        return PlacementResult::NothingWaiting;
    }
    const size_t startsBefore = plan_.starts.size();
    const Resources usageBefore = team->usage;
    std::map<std::string, uint32_t> spreadBefore = spreadCountsOf(job);
    std::optional<uint32_t> index = nextWaitingTask(job, 0);
    PlacementResult result = index ? PlacementResult::Placed : PlacementResult::NothingWaiting;
    while (index && result == PlacementResult::Placed) {
        std::optional<WorkerNumber> worker;
        result = placeTask(team, job, *index, &worker);
        if (result == PlacementResult::Placed)
            start(team, job, *index, *worker, job.reservation(job.tasks[*index]));
        index = nextWaitingTask(job, *index + 1);
    }
    if (result == PlacementResult::Placed || result == PlacementResult::NothingWaiting)
        return result;
    while (plan_.starts.size() > startsBefore) {
        const PlannedStart &reverted = plan_.starts.back();
        input_.pool.release(reverted.worker, job.reservation(job.tasks[reverted.task.index]));
        planned_.erase(reverted.task);
        plan_.starts.pop_back();
    }
    team->usage = usageBefore;
    spreadCounts_[job.id] = std::move(spreadBefore);
    if (result == PlacementResult::NoCapacity)
        reserveForGang(job);
    return result;
}

// A task of the gang ended, and the others can't continue without it. Keeping their capacity while
// the gang waits could deadlock two gangs.
void ScheduleRound::stopRemainingGangTasks(const state::Job &job)
{
    for (uint32_t i = 0; i < job.tasks.size(); i++) {
        const TaskId id{ job.id, i };
        const bool running = job.tasks[i].phase == schema::TaskState::RUNNING;
        if (running && !input_.stopping.contains(id) && preempted_.insert(id).second)
            plan_.preemptions.push_back(id);
    }
    scheduler_.waitReasons_[job.id] = "a task of the gang ended: the others stop first";
}

void ScheduleRound::reserveForGang(const state::Job &job)
{
    auto &gangReservation = scheduler_.gangReservation_;
    if (gangReservation || input_.nowMs < job.submittedMs + GangReservationDelayMs)
        return;
    // After its reservation a gang pauses, so that other gangs get one.
    uint64_t &lastMs = scheduler_.lastGangReservationMs_[job.id];
    const uint64_t holdMs = input_.config.policy().gang_reservation_ms();
    if (lastMs != 0 && input_.nowMs < lastMs + 2 * holdMs)
        return;
    JobScheduler::GangReservation newReservation{
        .job = job.id, .workers = {}, .untilMs = input_.nowMs + holdMs
    };
    uint32_t missing = job.waitingTasks;
    const Resources reservation = job.reservation(job.tasks.front());
    std::vector<std::pair<int64_t, WorkerNumber>> byFreeCapacity;
    for (const auto &[number, id] : input_.jobs.workers()) {
        const PoolWorker *worker = input_.pool.find(number);
        if (worker != nullptr && reservation.fitsIn(worker->capacity))
            byFreeCapacity.emplace_back(-worker->freeCapacity().millicores, number);
    }
    std::sort(byFreeCapacity.begin(), byFreeCapacity.end());
    for (const auto &[freeCapacity, number] : byFreeCapacity) {
        Resources left = input_.pool.find(number)->capacity;
        while (missing > 0 && reservation.fitsIn(left)) {
            left -= reservation;
            missing--;
            newReservation.workers.insert(number);
        }
    }
    if (missing > 0) {
        scheduler_.waitReasons_[job.id] = "the workers could never hold the whole gang";
        return;
    }
    lastMs = newReservation.untilMs;
    gangReservation = std::move(newReservation);
    gangWorkers_ = gangReservation->workers;
}

ScheduleRound::PlacementResult ScheduleRound::placeNext(TeamQueue *team, const state::Job &job)
{
    if (job.isGang())
        return placeGang(team, job);
    const std::optional<uint32_t> index = nextWaitingTask(job, team->nextTask);
    if (!index)
        return PlacementResult::NothingWaiting;
    std::optional<WorkerNumber> worker;
    const PlacementResult result = placeTask(team, job, *index, &worker);
    if (result == PlacementResult::Placed) {
        start(team, job, *index, *worker, job.reservation(job.tasks[*index]));
        team->nextTask = *index + 1;
    }
    return result;
}

void ScheduleRound::placeUrgent()
{
    size_t searches = 0;
    for (const JobId id : input_.jobs.waitingUrgent()) {
        const state::Job &job = *input_.jobs.find(id);
        TeamQueue *team = findTeam(job.team);
        if (team == nullptr)
            continue;
        team->nextTask = 0;
        PlacementResult result = PlacementResult::Placed;
        while (result == PlacementResult::Placed
            && plan_.starts.size() < scheduler_.options_.maxStarts) {
            result = placeNext(team, job);
            if (job.isGang())
                break;
        }
        if (result != PlacementResult::NoCapacity || job.isGang())
            continue;
        std::optional<uint32_t> index = nextWaitingTask(job, 0);
        while (index && searches++ < scheduler_.options_.maxPreemptionSearches) {
            preemptForTask(team, job, *index);
            index = nextWaitingTask(job, *index + 1);
        }
    }
    for (TeamQueue &team : teams_)
        team.nextTask = 0;
}

ScheduleRound::TeamRank ScheduleRound::rankOf(size_t team) const
{
    const TeamQueue &queue = teams_[team];
    TeamRank rank{ .aged = false, .sinceMs = 0, .share = weightedShareOf(queue), .team = team };
    const state::Job &job = *input_.jobs.find(queue.jobs[queue.position]);
    const bool waitsWhole = job.runningTasks == 0;
    if (waitsWhole && input_.nowMs > job.submittedMs + input_.config.policy().ageing_ms()) {
        rank.aged = true;
        rank.sinceMs = job.submittedMs;
    }
    return rank;
}

bool ScheduleRound::advance(TeamQueue *team)
{
    team->position++;
    team->nextTask = 0;
    return team->position < team->jobs.size();
}

void ScheduleRound::placeByShare()
{
    std::priority_queue<TeamRank, std::vector<TeamRank>, std::greater<>> ranks;
    std::vector<size_t> skipped(teams_.size(), 0);
    for (size_t i = 0; i < teams_.size(); i++)
        ranks.push(rankOf(i));
    while (!ranks.empty() && plan_.starts.size() < scheduler_.options_.maxStarts) {
        const size_t index = ranks.top().team;
        ranks.pop();
        TeamQueue &team = teams_[index];
        const state::Job &job = *input_.jobs.find(team.jobs[team.position]);
        const PlacementResult result = placeNext(&team, job);
        const bool next = result != PlacementResult::Placed || job.isGang();
        if (result == PlacementResult::NoCapacity || result == PlacementResult::OverLimit)
            skipped[index]++;
        if (next && (!advance(&team) || skipped[index] > MaxSkippedJobs))
            continue;
        ranks.push(rankOf(index));
    }
}

} // namespace basilgap::scheduling
