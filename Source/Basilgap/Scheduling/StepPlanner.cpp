#include "Basilgap/Scheduling/StepPlanner.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace basilgap::scheduling {

namespace {

// A work earns something until three times its objective.
constexpr int64_t LateFactor = 3;

// Slowness from which a worker is avoided by patient work too.
constexpr double TroubledSlowness = 1.5;

// How much longer a task takes away from its data, at the least.
constexpr double FarFactor = 1.5;

// Most of the cell, and of an account's limit, that patient work leaves free for urgent work.
constexpr double MostHeadroom = 0.4;

} // namespace

uint64_t chainEstimateMs(const state::Work &work, std::optional<uint32_t> remainingOf)
{
    std::vector<uint64_t> ends(static_cast<size_t>(work.spec.steps_size()), 0);
    uint64_t longest = 0;
    for (size_t i = 0; i < ends.size(); i++) {
        const schema::StepSpec &step = work.spec.steps(static_cast<int>(i));
        uint64_t begin = 0;
        for (const uint32_t before : step.after())
            begin = std::max(begin, ends[before]);
        const bool isDone = remainingOf && work.occurrences[*remainingOf][i].isDone();
        ends[i] = begin + (isDone ? 0 : step.estimate_ms());
        longest = std::max(longest, ends[i]);
    }
    return longest;
}

bool StepPlanner::Candidate::operator<(const Candidate &other) const
{
    return std::tie(band, priority, slackMs, ref)
        < std::tie(other.band, other.priority, other.slackMs, other.ref);
}

StepPlanner::StepPlanner(StepPlanInput input)
    : input_(std::move(input))
{}

StepPlan StepPlanner::run()
{
    loadCell();
    collect();
    for (const Candidate &candidate : candidates_) {
        if (candidate.isAhead)
            wishAdvice(candidate, waitingOf(candidate));
        else if (candidate.work->specOf(candidate.ref).gang())
            placeGang(candidate);
        else
            place(candidate);
    }
    return std::move(plan_);
}

void StepPlanner::loadCell()
{
    for (const StepWorker &worker : input_.workers) {
        if (!worker.usable)
            continue;
        capacity_ += worker.capacity;
        free_ += worker.room();
    }
}

// Work that may wait leaves some room for what can't.
bool StepPlanner::mayTakeRoom(const Candidate &candidate, const Resources &need) const
{
    if (candidate.priority < PatientPriority && candidate.band < 2)
        return true;
    const auto most =
        static_cast<int64_t>(static_cast<double>(capacity_.millicores) * MostHeadroom);
    const int64_t headroom = std::min(most, input_.urgent.reserveOfCell().millicores);
    return need.millicores == 0 || free_.millicores - need.millicores >= headroom;
}

// Whether everything before the step is done or about to end, so that it is asked for now.
bool StepPlanner::isAhead(const Candidate &candidate) const
{
    if (!candidate.queue->has_advice())
        return false;
    for (const uint32_t before : candidate.work->specOf(candidate.ref).after()) {
        const StepRef ref{ candidate.ref.work, candidate.ref.occurrence, before };
        if (!candidate.work->stepAt(ref).isDone() && !input_.endingSteps.contains(ref))
            return false;
    }
    return true;
}

void StepPlanner::collect()
{
    std::set<state::WorkSerial> serials = input_.table.waiting();
    for (const auto &[step, tasks] : input_.ahead.freedTasks)
        serials.insert(step.work);
    for (const state::WorkSerial serial : serials)
        addSteps(*input_.table.find(serial));
    std::sort(candidates_.begin(), candidates_.end());
}

void StepPlanner::addSteps(const state::Work &work)
{
    const schema::QueueConfig *queue = input_.config.findQueue(work.queue);
    if (queue == nullptr)
        return;
    const auto chain = static_cast<double>(chainEstimateMs(work, std::nullopt));
    for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
        const uint64_t due = std::max(work.dueMs(occurrence), work.submittedMs);
        if (work.dueMs(occurrence) > input_.wallMs)
            continue;
        const auto objective = static_cast<int64_t>(
            queue->slack_factor() * chain + static_cast<double>(queue->target_latency_ms()));
        const auto age = static_cast<int64_t>(input_.wallMs) - static_cast<int64_t>(due);
        const int64_t slack =
            objective - age - static_cast<int64_t>(chainEstimateMs(work, occurrence));
        for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
            const StepRef ref{ work.serial, occurrence, step };
            if (input_.ahead.waiting(work, ref) == 0)
                continue;
            const bool isService = work.specOf(ref).service();
            const int band = isService || slack >= 0 ? 0 : (age < LateFactor * objective ? 1 : 2);
            Candidate candidate{
                .ref = ref,
                .work = &work,
                .queue = queue,
                .priority = queue->priority(),
                .band = band,
                .slackMs = slack,
                .isAhead = !input_.ahead.isReady(work, ref),
            };
            if (!candidate.isAhead || isAhead(candidate))
                candidates_.push_back(candidate);
        }
    }
}

bool StepPlanner::mayRun(const StepWorker &worker, const Candidate &candidate) const
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    if (!worker.usable || worker.startsLeft == 0 || worker.pool != candidate.queue->pool())
        return false;
    if (!fitsLabel(worker, spec))
        return false;
    return spec.max_per_worker() == 0
        || placedOn(candidate.ref, worker.number) < spec.max_per_worker();
}

uint32_t StepPlanner::placedOn(const StepRef &step, WorkerNumber worker) const
{
    const auto planned = placed_.find({ step, worker });
    uint32_t count = planned == placed_.end() ? 0 : planned->second;
    const auto &runs = input_.table.runsOn(worker);
    for (auto it = runs.lower_bound({ step, 0 }); it != runs.end() && it->first.step == step; ++it)
        count++;
    return count;
}

bool StepPlanner::isUnderCap(const Candidate &candidate) const
{
    const state::Work &work = *candidate.work;
    const schema::StepSpec &spec = work.specOf(candidate.ref);
    const schema::AccountConfig *account = input_.config.findAccount(work.account);
    if (account == nullptr)
        return true;
    Resources used = input_.table.usageOf(work.account);
    const auto added = added_.find(work.account);
    if (added != added_.end())
        used += added->second;
    Resources reserve;
    if (candidate.priority >= PatientPriority)
        reserve = input_.urgent.reserveOf(work.account);
    const auto fits = [](int64_t inUse, uint64_t more, uint64_t cap, int64_t left) {
        const auto most = static_cast<int64_t>(static_cast<double>(cap) * MostHeadroom);
        return cap == 0
            || inUse + static_cast<int64_t>(more) + std::min(left, most)
            <= static_cast<int64_t>(cap);
    };
    return fits(used.millicores, spec.millicores(), account->millicores_cap(), reserve.millicores)
        && fits(used.memoryMb, spec.memory_mb(), account->memory_mb_cap(), reserve.memoryMb)
        && fits(used.accelerators, spec.accelerators(), account->accelerators_cap(), 0);
}

StepWorker *StepPlanner::findWorker(WorkerNumber number)
{
    const auto found = std::lower_bound(input_.workers.begin(), input_.workers.end(), number,
        [](const StepWorker &worker, WorkerNumber wanted) { return worker.number < wanted; });
    return found == input_.workers.end() || found->number != number ? nullptr : &*found;
}

std::vector<StepWorker *> StepPlanner::optionsOf(const Candidate &candidate, bool needsTicket)
{
    std::vector<StepWorker *> options;
    if (needsTicket) {
        for (const auto &[number, ticket] : input_.permits.of(candidate.ref).eligible()) {
            StepWorker *worker = ticket.expires > input_.now ? findWorker(number) : nullptr;
            if (worker != nullptr)
                options.push_back(worker);
        }
        return options;
    }
    for (StepWorker &worker : input_.workers)
        options.push_back(&worker);
    return options;
}

StepWorker *StepPlanner::choose(const Candidate &candidate, const Resources &need, bool needsTicket)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const auto failedOn = input_.health.failedOn().find(JobId(candidate.work->serial.value()));
    const auto expected =
        static_cast<double>(input_.speeds.expected(*candidate.work, candidate.ref).count());
    StepWorker *best = nullptr;
    std::tuple<bool, double, int64_t> bestScore;
    if (!mayTakeRoom(candidate, need))
        return nullptr;
    for (StepWorker *option : optionsOf(candidate, needsTicket)) {
        StepWorker &worker = *option;
        if (!need.fitsIn(worker.room()) || !mayRun(worker, candidate))
            continue;
        // Attempts are few: a worker whose last task failed is tried after the others.
        const bool hasFailed = !input_.health.isSpotless(worker.number)
            || (failedOn != input_.health.failedOn().end()
                && failedOn->second.contains(worker.number));
        const bool isFar = !spec.home_rack().empty() && worker.rack != spec.home_rack();
        double factor = worker.slowness * (isFar ? FarFactor : 1.0);
        // Patient work leaves the fast workers to urgent work, but keeps off those in trouble.
        if (candidate.priority >= PatientPriority && factor < TroubledSlowness)
            factor = isFar ? FarFactor : 1.0;
        // Ends are told apart by steps of a tenth; among equals the fullest worker keeps the large
        // holes of the others whole.
        // A task that fills goes where most is left for it.
        const int64_t left = worker.room().millicores - worker.filling;
        const std::tuple score{ hasFailed, spec.backfill() ? 0 : std::floor(factor * 10) * expected,
            spec.backfill() ? -left : worker.room().millicores };
        if (best == nullptr || score < bestScore) {
            best = &worker;
            bestScore = score;
        }
    }
    return best;
}

void StepPlanner::take(const Candidate &candidate, uint32_t index, uint32_t run, StepWorker *worker)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    worker->reserved += state::reservationOf(spec);
    free_ -= state::reservationOf(spec);
    worker->filling += spec.backfill() ? static_cast<int64_t>(spec.millicores()) : 0;
    if (worker->startsLeft != UINT32_MAX)
        worker->startsLeft--;
    added_[candidate.work->account] += Resources{ static_cast<int64_t>(spec.millicores()),
        static_cast<int64_t>(spec.memory_mb()), static_cast<int64_t>(spec.accelerators()) };
    placed_[{ candidate.ref, worker->number }]++;
    const std::string *ticket = input_.permits.of(candidate.ref).ticket(worker->number, input_.now);
    plan_.starts.push_back({ { candidate.ref, index }, run, worker->number,
        ticket == nullptr ? std::string() : *ticket });
}

void StepPlanner::giveBack(const Candidate &candidate, StepWorker *worker)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    worker->reserved -= state::reservationOf(spec);
    worker->filling -= spec.backfill() ? static_cast<int64_t>(spec.millicores()) : 0;
    if (worker->startsLeft != UINT32_MAX)
        worker->startsLeft++;
}

void StepPlanner::place(const Candidate &candidate)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const state::WorkStep &step = candidate.work->stepAt(candidate.ref);
    const Resources need = state::reservationOf(spec);
    const bool needsTicket = candidate.queue->has_advice();
    uint32_t missing = waitingOf(candidate);
    for (uint32_t i = 0; i < step.tasks.size() && missing > 0; i++) {
        if (!input_.ahead.isWaiting(*candidate.work, { candidate.ref, i }))
            continue;
        if (!isUnderCap(candidate)) {
            noteNoRoom(candidate);
            return preemptUnderCap(candidate, missing);
        }
        StepWorker *worker = choose(candidate, need, needsTicket);
        if (worker == nullptr)
            break;
        take(candidate, i, step.tasks[i].run + 1, worker);
        missing--;
    }
    if (missing == 0)
        return;
    const size_t wishes = plan_.wishes.size();
    if (needsTicket)
        wishAdvice(candidate, missing);
    // A step without any answer yet waits for that, not for room.
    if (wishes == plan_.wishes.size() && !input_.permits.of(candidate.ref).isAsking())
        noteNoRoom(candidate);
    preemptForRoom(candidate, missing);
}

uint32_t StepPlanner::waitingOf(const Candidate &candidate) const
{
    return input_.ahead.waiting(*candidate.work, candidate.ref);
}

void StepPlanner::noteNoRoom(const Candidate &candidate)
{
    const bool isUrgent = candidate.priority < PatientPriority && candidate.band < 2;
    plan_.roomDemand =
        std::max(plan_.roomDemand, isUrgent ? RoomDemand::Urgent : RoomDemand::Patient);
}

void StepPlanner::placeGang(const Candidate &candidate)
{
    const schema::StepSpec &spec = candidate.work->specOf(candidate.ref);
    const state::WorkStep &step = candidate.work->stepAt(candidate.ref);
    // Members of an earlier run may still be on their way out.
    if (step.running > 0)
        return;
    const Resources need = state::reservationOf(spec);
    const bool needsTicket = candidate.queue->has_advice();
    uint32_t run = 0;
    for (const state::WorkTask &task : step.tasks)
        run = std::max(run, task.run);
    const Resources freeBefore = free_;
    const auto addedBefore = added_;
    const auto placedBefore = placed_;
    const size_t startsBefore = plan_.starts.size();
    uint32_t missing = step.waiting;
    for (uint32_t i = 0; i < step.tasks.size(); i++) {
        if (step.tasks[i].phase != state::RunPhase::Waiting)
            continue;
        StepWorker *worker = isUnderCap(candidate) ? choose(candidate, need, needsTicket) : nullptr;
        if (worker == nullptr)
            break;
        take(candidate, i, run + 1, worker);
        missing--;
    }
    if (missing == 0)
        return;
    for (size_t i = startsBefore; i < plan_.starts.size(); i++)
        giveBack(candidate, findWorker(plan_.starts[i].worker));
    free_ = freeBefore;
    added_ = addedBefore;
    placed_ = placedBefore;
    plan_.starts.resize(startsBefore);
    if (needsTicket)
        wishAdvice(candidate, step.waiting);
}

} // namespace basilgap::scheduling
