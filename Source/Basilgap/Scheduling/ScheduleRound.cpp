#include "Basilgap/Scheduling/ScheduleRound.h"

#include <algorithm>
#include <queue>

namespace basilgap::scheduling {

namespace {

// Jobs of one team that are tried in a round after the first that does not fit.
constexpr size_t BackfillJobs = 32;

// Waiting time after which a gang may have workers held for it.
constexpr uint64_t GangPatienceMs = 2000;

} // namespace

bool ScheduleRound::Turn::operator>(const Turn &other) const
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
    , cell_(input.pool.capacity())
{}

SchedulePlan ScheduleRound::run()
{
    scheduler_.waitReasons_.clear();
    loadTeams();
    keepPromises();
    holdGangWorkers();
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
        // More jobs than can start or be skipped in this round need no look.
        const size_t bound = scheduler_.options_.maxStarts + BackfillJobs;
        for (auto job = jobs.begin(); job != jobs.end() && team.jobs.size() < bound; ++job)
            team.jobs.push_back(*job);
        teamIndex_[name] = teams_.size();
        teams_.push_back(std::move(team));
    }
}

ScheduleRound::TeamQueue *ScheduleRound::teamOf(const TeamName &name)
{
    const auto found = teamIndex_.find(name);
    return found == teamIndex_.end() ? nullptr : &teams_[found->second];
}

double ScheduleRound::shareOf(const TeamQueue &team) const
{
    constexpr double LeastWeight = 1e-6;
    return team.usage.dominantShareOf(cell_) / std::max(team.weight, LeastWeight);
}

void ScheduleRound::keepPromises()
{
    auto &promises = scheduler_.promises_;
    for (auto it = promises.begin(); it != promises.end();) {
        const auto &[id, promise] = *it;
        const state::Job *job = input_.jobs.find(id.job);
        const state::Task *task = input_.jobs.find(id);
        const PoolWorker *worker = input_.pool.find(promise.worker);
        TeamQueue *team = job == nullptr ? nullptr : teamOf(job->team);
        const bool over = task == nullptr || task->phase != schema::TaskState::WAITING
            || worker == nullptr || team == nullptr || promise.untilMs < input_.nowMs;
        if (over) {
            it = promises.erase(it);
            continue;
        }
        const Resources room = worker->room();
        if (promise.need.fitsIn(room) && (team->usage + promise.need).fitsIn(team->limit)) {
            start(team, *job, id.index, promise.worker, promise.need);
            it = promises.erase(it);
            continue;
        }
        // Others must not take what has become free so far.
        input_.pool.reserve(promise.worker,
            { std::clamp<int64_t>(room.millicores, 0, promise.need.millicores),
                std::clamp<int64_t>(room.memoryMb, 0, promise.need.memoryMb),
                std::clamp<int64_t>(room.accelerators, 0, promise.need.accelerators) });
        planned_.insert(id);
        ++it;
    }
}

void ScheduleRound::holdGangWorkers()
{
    auto &reservation = scheduler_.reservation_;
    if (!reservation)
        return;
    const state::Job *job = input_.jobs.find(reservation->job);
    const bool over = job == nullptr || job->isFinished() || job->waitingTasks == 0
        || reservation->untilMs < input_.nowMs;
    if (over) {
        reservation.reset();
        return;
    }
    TeamQueue *team = teamOf(job->team);
    if (team != nullptr && placeGang(team, *job) == Attempt::Placed) {
        reservation.reset();
        return;
    }
    held_ = reservation->workers;
}

std::optional<uint32_t> ScheduleRound::nextWaiting(const state::Job &job, uint32_t from) const
{
    for (uint32_t i = from; i < job.tasks.size(); i++) {
        if (job.tasks[i].phase == schema::TaskState::WAITING && !planned_.contains({ job.id, i }))
            return i;
    }
    return std::nullopt;
}

std::map<std::string, uint32_t> &ScheduleRound::spreadOf(const state::Job &job)
{
    const auto [entry, isNew] = spread_.try_emplace(job.id);
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

const std::set<WorkerNumber> *ScheduleRound::avoidFor(const state::Job &job)
{
    const auto failed = input_.failedOn.find(job.id);
    const bool holds =
        !held_.empty() && (!scheduler_.reservation_ || scheduler_.reservation_->job != job.id);
    if (failed == input_.failedOn.end())
        return holds ? &held_ : nullptr;
    auto [entry, isNew] = avoid_.try_emplace(job.id, failed->second);
    // A job that failed everywhere may try again anywhere.
    if (isNew && entry->second.size() >= input_.pool.size())
        entry->second.clear();
    if (isNew && holds)
        entry->second.insert(held_.begin(), held_.end());
    return &entry->second;
}

bool ScheduleRound::isHopeless(const TeamQueue &team, const state::Job &job, const Resources &need)
{
    if (!need.fitsIn(team.limit)) {
        scheduler_.waitReasons_[job.id] = "one task needs more than the team's limit";
        return true;
    }
    if (need.fitsIn(input_.largestWorker))
        return false;
    scheduler_.waitReasons_[job.id] = "no known worker could hold a task";
    return true;
}

ScheduleRound::Attempt ScheduleRound::placeTask(
    TeamQueue *team, const state::Job &job, uint32_t index, std::optional<WorkerNumber> *chosen)
{
    const Resources need = job.reservation(job.tasks[index]);
    if (isHopeless(*team, job, need))
        return Attempt::NoRoom;
    if (!(team->usage + need).fitsIn(team->limit)) {
        scheduler_.waitReasons_[job.id] = "the team is at its limit";
        return Attempt::OverLimit;
    }
    const bool plain =
        job.spec.spread() == schema::SPREAD_NONE && !input_.failedOn.contains(job.id);
    if (plain && std::find(noRoom_.begin(), noRoom_.end(), need) != noRoom_.end())
        return Attempt::NoRoom;
    const PlacementWish wish{ .need = need,
        .spread = job.spec.spread(),
        .packing = input_.config.policy().packing(),
        .avoid = avoidFor(job),
        .placedBySpread = &spreadOf(job) };
    *chosen = input_.pool.choose(wish);
    if (*chosen)
        return Attempt::Placed;
    scheduler_.waitReasons_[job.id] = "no worker has room";
    // A gang sees other workers, those held for it.
    if (plain && !job.isGang())
        noRoom_.push_back(need);
    return Attempt::NoRoom;
}

void ScheduleRound::start(TeamQueue *team, const state::Job &job, uint32_t index,
    WorkerNumber worker, const Resources &need)
{
    plan_.starts.push_back({ { job.id, index }, worker });
    planned_.insert({ job.id, index });
    input_.pool.reserve(worker, need);
    team->usage += need;
    if (job.spec.spread() != schema::SPREAD_NONE)
        spreadOf(job)[WorkerPool::spreadGroup(*input_.pool.find(worker), job.spec.spread())]++;
}

ScheduleRound::Attempt ScheduleRound::placeGang(TeamQueue *team, const state::Job &job)
{
    if (job.runningTasks > 0) {
        restartBrokenGang(job);
        return Attempt::NothingLeft;
    }
    const size_t startsBefore = plan_.starts.size();
    const Resources usageBefore = team->usage;
    std::map<std::string, uint32_t> spreadBefore = spreadOf(job);
    std::optional<uint32_t> index = nextWaiting(job, 0);
    Attempt attempt = index ? Attempt::Placed : Attempt::NothingLeft;
    while (index && attempt == Attempt::Placed) {
        std::optional<WorkerNumber> worker;
        attempt = placeTask(team, job, *index, &worker);
        if (attempt == Attempt::Placed)
            start(team, job, *index, *worker, job.reservation(job.tasks[*index]));
        index = nextWaiting(job, *index + 1);
    }
    if (attempt == Attempt::Placed || attempt == Attempt::NothingLeft)
        return attempt;
    while (plan_.starts.size() > startsBefore) {
        const PlannedStart &undone = plan_.starts.back();
        input_.pool.release(undone.worker, job.reservation(job.tasks[undone.task.index]));
        planned_.erase(undone.task);
        plan_.starts.pop_back();
    }
    team->usage = usageBefore;
    spread_[job.id] = std::move(spreadBefore);
    if (attempt == Attempt::NoRoom)
        reserveForGang(job);
    return attempt;
}

// A member was lost: the others can't go on without it, and holding them while it waits could keep
// two gangs waiting for each other.
void ScheduleRound::restartBrokenGang(const state::Job &job)
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
    auto &reservation = scheduler_.reservation_;
    if (reservation || input_.nowMs < job.submittedMs + GangPatienceMs)
        return;
    // The gang that was held for least recently goes first.
    uint64_t &last = scheduler_.reservedBefore_[job.id];
    const uint64_t pause = input_.config.policy().gang_reservation_ms();
    if (last != 0 && input_.nowMs < last + 2 * pause)
        return;
    JobScheduler::GangReservation made{
        .job = job.id, .workers = {}, .untilMs = input_.nowMs + pause
    };
    uint32_t missing = job.waitingTasks;
    const Resources need = job.reservation(job.tasks.front());
    std::vector<std::pair<int64_t, WorkerNumber>> byRoom;
    for (const auto &[number, id] : input_.jobs.workers()) {
        const PoolWorker *worker = input_.pool.find(number);
        if (worker != nullptr && need.fitsIn(worker->capacity))
            byRoom.emplace_back(-worker->room().millicores, number);
    }
    std::sort(byRoom.begin(), byRoom.end());
    for (const auto &[room, number] : byRoom) {
        Resources left = input_.pool.find(number)->capacity;
        while (missing > 0 && need.fitsIn(left)) {
            left -= need;
            missing--;
            made.workers.insert(number);
        }
    }
    if (missing > 0) {
        scheduler_.waitReasons_[job.id] = "the workers could never hold the whole gang";
        return;
    }
    last = made.untilMs;
    reservation = std::move(made);
    held_ = reservation->workers;
}

ScheduleRound::Attempt ScheduleRound::placeNext(TeamQueue *team, const state::Job &job)
{
    if (job.isGang())
        return placeGang(team, job);
    const std::optional<uint32_t> index = nextWaiting(job, team->nextTask);
    if (!index)
        return Attempt::NothingLeft;
    std::optional<WorkerNumber> worker;
    const Attempt attempt = placeTask(team, job, *index, &worker);
    if (attempt == Attempt::Placed) {
        start(team, job, *index, *worker, job.reservation(job.tasks[*index]));
        team->nextTask = *index + 1;
    }
    return attempt;
}

void ScheduleRound::placeUrgent()
{
    size_t searches = 0;
    for (const JobId id : input_.jobs.waitingUrgent()) {
        const state::Job &job = *input_.jobs.find(id);
        TeamQueue *team = teamOf(job.team);
        if (team == nullptr)
            continue;
        team->nextTask = 0;
        Attempt attempt = Attempt::Placed;
        while (attempt == Attempt::Placed && plan_.starts.size() < scheduler_.options_.maxStarts) {
            attempt = placeNext(team, job);
            if (job.isGang())
                break;
        }
        if (attempt != Attempt::NoRoom || job.isGang())
            continue;
        std::optional<uint32_t> index = nextWaiting(job, 0);
        while (index && searches++ < scheduler_.options_.maxPreemptionSearches) {
            preemptFor(team, job, *index);
            index = nextWaiting(job, *index + 1);
        }
    }
    for (TeamQueue &team : teams_)
        team.nextTask = 0;
}

ScheduleRound::Turn ScheduleRound::turnOf(size_t team) const
{
    const TeamQueue &queue = teams_[team];
    Turn turn{ .aged = false, .sinceMs = 0, .share = shareOf(queue), .team = team };
    const state::Job &job = *input_.jobs.find(queue.jobs[queue.position]);
    const bool waitsWhole = job.runningTasks == 0;
    if (waitsWhole && input_.nowMs > job.submittedMs + input_.config.policy().ageing_ms()) {
        turn.aged = true;
        turn.sinceMs = job.submittedMs;
    }
    return turn;
}

bool ScheduleRound::advance(TeamQueue *team)
{
    team->position++;
    team->nextTask = 0;
    return team->position < team->jobs.size();
}

void ScheduleRound::placeByShare()
{
    std::priority_queue<Turn, std::vector<Turn>, std::greater<>> turns;
    std::vector<size_t> skipped(teams_.size(), 0);
    for (size_t i = 0; i < teams_.size(); i++)
        turns.push(turnOf(i));
    while (!turns.empty() && plan_.starts.size() < scheduler_.options_.maxStarts) {
        const size_t index = turns.top().team;
        turns.pop();
        TeamQueue &team = teams_[index];
        const state::Job &job = *input_.jobs.find(team.jobs[team.position]);
        const Attempt attempt = placeNext(&team, job);
        const bool next = attempt != Attempt::Placed || job.isGang();
        if (attempt == Attempt::NoRoom || attempt == Attempt::OverLimit)
            skipped[index]++;
        if (next && (!advance(&team) || skipped[index] > BackfillJobs))
            continue;
        turns.push(turnOf(index));
    }
}

} // namespace basilgap::scheduling
