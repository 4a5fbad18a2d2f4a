// How the leader plans: what the planner is given, and what becomes of its plan.

#include <algorithm>
#include <chrono>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkLeader.h"

namespace basilgap::dispatch {

namespace {

// What is over is forgotten this often; until then it only takes room.
constexpr Millis TidyInterval{ 500 };
// Much shorter than the lead below.
constexpr Millis EndingInterval{ 100 };

// Advice for the next step is asked this long before the step before it is expected to end.
constexpr Millis AdviceLead{ 300 };
// Beyond the time that a call for advice should take.
constexpr Millis AdviceSlack{ 600 };
// A ticket is used no later than this before it runs out: orders take time on their way.
constexpr Millis TicketMargin{ 150 };

} // namespace

// Names, racks and labels stay with a life: only a change of the lives builds them anew.
void WorkLeader::listWorkers()
{
    planWorkers_.clear();
    for (const auto &[number, session] : sessions_) {
        const schema::WorkerLife *life = state_.works().worker(number);
        if (life == nullptr || life->gone() || life->leaving()
            || state_.workConfig().isZoneOut(ZoneName(life->zone())))
            continue;
        scheduling::StepWorker &worker = planWorkers_.emplace_back();
        worker.number = number;
        worker.pool = life->pool();
        worker.rack = life->rack();
        worker.labels.assign(life->labels().begin(), life->labels().end());
        worker.capacity = { static_cast<int64_t>(life->millicores()),
            static_cast<int64_t>(life->memory_mb()), static_cast<int64_t>(life->accelerators()) };
    }
}

std::vector<scheduling::StepWorker> &WorkLeader::refreshWorkers(Millis now)
{
    if (workersChanged_)
        listWorkers();
    workersChanged_ = false;
    for (scheduling::StepWorker &worker : planWorkers_) {
        const WorkerSession &session = *sessions_.at(worker.number);
        worker.reserved = state_.works().reservedOn(worker.number);
        worker.backfillMillicores = session.fillingMillicores();
        worker.slowdown = speeds_.slowdown(worker.number);
        const auto slow = slow_.find(worker.number);
        if (slow != slow_.end())
            worker.slowdown = std::max(worker.slowdown, slow->second);
        worker.schedulable = session.isUsable()
            && health_.mayStart(worker.number, state_.works().runsOn(worker.number).size(), now);
        worker.remainingStarts = health_.isOnProbation(worker.number) ? 1 : UINT32_MAX;
    }
    return planWorkers_;
}

// Forgets what works that are over had left behind.
void WorkLeader::tidy(Millis now)
{
    nextTidy_ = now + TidyInterval;
    permits_.dropInactive(state_.works());
    speeds_.dropInactive(state_.works());
    health_.retainJobs([this](JobId job) {
        const state::Work *work = state_.works().find(state::WorkSerial(job.value()));
        return work != nullptr && work->isActive();
    });
    std::erase_if(givenUp_, [this](const StepTask &task) {
        const state::Work *work = state_.works().find(task.step.work);
        return work == nullptr || !work->isActive();
    });
    std::erase_if(begun_, [this](const auto &entry) {
        const state::WorkTask *task = state_.works().find(entry.first);
        return task == nullptr || task->phase != state::RunPhase::Running;
    });
}

void WorkLeader::plan(schema::RunBatch *batch)
{
    const Millis now = steadyNow();
    const auto begun = std::chrono::steady_clock::now();
    if (now >= nextTidy_)
        tidy(now);
    urgent_.update(state_.works(), state_.workConfig(), now);
    scheduling::StepPlan plan = scheduling::StepPlanner(
        {
            .table = state_.works(),
            .config = state_.workConfig(),
            .permits = permits_,
            .health = health_,
            .durations = speeds_,
            .urgent = urgent_,
            .workers = refreshWorkers(now),
            .now = now,
            .wallMs = static_cast<uint64_t>(wallNow().count()),
            .freeAdvisors = advisers_.idleCallers(now),
            .endingSteps = endingSteps(now),
            .preemptibleRuns = [this, now] { return stoppableRuns(now); },
            .pendingEnds = scheduling::collectPendingRunEnds(state_.works(), *batch),
        })
                                    .run();
    for (const scheduling::PlannedRun &planned : plan.starts) {
        schema::RunStart *start = batch->add_starts();
        start->set_work(planned.task.step.work.value());
        start->set_occurrence(planned.task.step.occurrence);
        start->set_step(planned.task.step.step);
        start->set_index(planned.task.index);
        start->set_run(planned.run);
        start->set_worker(planned.worker.value());
        tickets_[planned.task] = planned.ticket;
    }
    roomDemand_ = plan.capacityDemand;
    for (const scheduling::AdviceRequest &wish : plan.adviceRequests)
        askAdvice(wish);
    for (const StepTask &task : plan.preemptions)
        preempt(task, now);
    plans_++;
    planTime_ += std::chrono::steady_clock::now() - begun;
}

std::vector<scheduling::PreemptibleRun> WorkLeader::stoppableRuns(Millis now) const
{
    std::vector<scheduling::PreemptibleRun> runs;
    for (const auto &[number, session] : sessions_) {
        for (const auto &[task, run] : session->runs()) {
            const state::Work *work = state_.works().find(task.step.work);
            const schema::QueueConfig *queue =
                work == nullptr ? nullptr : state_.workConfig().findQueue(work->queue);
            if (queue == nullptr || queue->priority() < scheduling::DeferrablePriority)
                continue;
            const schema::StepSpec &spec = work->specOf(task.step);
            const bool isStopping = run.stopInFlight || run.knowledge == RunKnowledge::Stopped
                || run.knowledge == RunKnowledge::Doubtful || !work->isActive();
            const bool keepsProgress = spec.checkpointing() && !spec.gang() && !spec.service()
                && !spec.backfill() && run.knowledge == RunKnowledge::Confirmed;
            if (!isStopping && (!keepsProgress || !session->isUsable()))
                continue;
            const Millis kept = std::max(run.since, run.checkpointAt);
            runs.push_back({ task, number, work->account, state::needOf(spec), (now - kept).count(),
                isStopping });
        }
    }
    return runs;
}

// Steps of which nothing waits and whose last task should end soon.
const std::set<state::StepRef> &WorkLeader::endingSteps(Millis now)
{
    if (now < nextEnding_)
        return ending_;
    nextEnding_ = now + EndingInterval;
    std::map<state::StepRef, Millis> left;
    for (const auto &[number, session] : sessions_) {
        const double slowness = speeds_.slowdown(number);
        for (const auto &[task, run] : session->runs()) {
            const state::Work *work = state_.works().find(task.step.work);
            if (work == nullptr || work->at(task.step).waiting > 0)
                continue;
            const auto expected = static_cast<int64_t>(
                static_cast<double>(speeds_.expectedDuration(*work, task.step).count()) * slowness);
            const Millis remaining = run.endsAt().value_or(run.since + Millis(expected)) - now;
            Millis &longest = left[task.step];
            longest = std::max(longest, remaining);
        }
    }
    ending_.clear();
    for (const auto &[step, remaining] : left) {
        const state::Work *work = state_.works().find(step.work);
        const schema::QueueConfig *queue = state_.workConfig().findQueue(work->queue);
        if (queue == nullptr || !queue->has_advice())
            continue;
        const double call = queue->advice().decision_ms() + 30 * queue->advice().per_worker_ms();
        if (remaining <= AdviceLead + Millis(static_cast<int64_t>(call)))
            ending_.insert(step);
    }
    return ending_;
}

void WorkLeader::preempt(const StepTask &task, Millis now)
{
    const state::WorkTask *state = state_.works().find(task);
    const state::Work *work = state_.works().find(task.step.work);
    const auto session = state == nullptr ? sessions_.end() : sessions_.find(state->worker);
    if (session == sessions_.end() || work == nullptr)
        return;
    LogEvent("run-preempted")
        .with("work", work->id)
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", state->run)
        .with("worker", session->second->endpoint().id);
    session->second->stop(task, now);
}

bool WorkLeader::askAdvice(const AdviceTarget &target, const schema::AdvicePolicy &policy,
    const std::vector<state::WorkerNumber> &workers, std::function<void(const AdviceResult &)> done)
{
    std::vector<std::string> ids;
    std::map<std::string, state::WorkerNumber> numbers;
    for (const state::WorkerNumber number : workers) {
        const std::string &id = sessions_.at(number)->endpoint().id;
        ids.push_back(id);
        numbers[id] = number;
    }
    const Millis timeout = AdviceSlack
        + Millis(static_cast<int64_t>(policy.decision_ms()
                     + policy.per_worker_ms() * static_cast<double>(ids.size()))
            * 2);
    const Millis askedAt = steadyNow();
    const Millis usual(static_cast<int64_t>(policy.validity_ms()));
    return advisers_.ask(options_.advice.nameOf(target.work, target.occurrence, target.step), ids,
        timeout,
        guarded([this, target, workers, numbers, askedAt, usual, done](const AdviceAnswer &answer) {
            const Millis now = steadyNow();
            LogEvent("advice")
                .with("work", target.work)
                .with("step", target.step)
                .with("answered", answer.answered ? 1 : 0)
                .with("workers", workers.size())
                .with("granted", answer.permits.size())
                .with("ms", now - askedAt);
            planDue_ = true;
            schedulePump();
            AdviceResult result{ .answered = answer.answered, .asked = workers };
            for (const schema::Permit &permit : answer.permits) {
                const auto number = numbers.find(permit.worker());
                if (number != numbers.end())
                    result.granted.push_back({ number->second, permit.ticket() });
            }
            const Millis validity = answer.validity > Millis() ? answer.validity : usual;
            result.expires = now + validity - TicketMargin;
            done(result);
        }));
}

void WorkLeader::takeAdvice(const state::StepRef &step, const AdviceResult &result)
{
    if (result.answered)
        permits_.recordReply(step, result.asked, result.granted, result.expires);
    else
        permits_.recordFailedRequest(step);
}

void WorkLeader::askAdvice(const scheduling::AdviceRequest &wish)
{
    const state::Work *work = state_.works().find(wish.step.work);
    const schema::QueueConfig *queue =
        work == nullptr ? nullptr : state_.workConfig().findQueue(work->queue);
    if (queue == nullptr)
        return;
    const bool asked =
        askAdvice({ work->id, wish.step.occurrence, wish.step.step }, queue->advice(), wish.workers,
            [this, step = wish.step](const AdviceResult &result) { takeAdvice(step, result); });
    if (asked)
        permits_.markRequested(wish.step);
}

// Asks for the first steps of a job while it is being logged: the answer takes longer than the log.
void WorkLeader::askEarlyAdvice(
    const std::string &id, const schema::QueueConfig &queue, const schema::WorkSpec &spec)
{
    if (!queue.has_advice() || spec.occurrences() > 0 || earlyAdvice_.contains(id))
        return;
    const std::vector<scheduling::StepWorker> &workers = refreshWorkers(steadyNow());
    for (uint32_t step = 0; step < static_cast<uint32_t>(spec.steps_size()); step++) {
        const schema::StepSpec &first = spec.steps(static_cast<int>(step));
        if (first.after_size() > 0)
            continue;
        const auto asked = scheduling::selectInitialAdviceWorkers(first, queue.pool(), workers);
        if (asked.empty())
            continue;
        const bool isAsked = askAdvice(
            { id, 0, step }, queue.advice(), asked, [this, id, step](const AdviceResult &result) {
                const state::Work *work = state_.works().find(id);
                if (work != nullptr)
                    takeAdvice({ work->serial, 0, step }, result);
                else if (earlyAdvice_.contains(id))
                    earlyAdvice_[id][step] = result;
            });
        if (isAsked)
            earlyAdvice_[id][step] = std::nullopt;
    }
}

void WorkLeader::takeEarlyAdvice(const std::string &id)
{
    const auto early = earlyAdvice_.extract(id);
    const state::Work *work = state_.works().find(id);
    if (early.empty() || work == nullptr)
        return;
    for (const auto &[step, result] : early.mapped()) {
        const state::StepRef ref{ work->serial, 0, step };
        permits_.markRequested(ref);
        if (result)
            takeAdvice(ref, *result);
    }
}

} // namespace basilgap::dispatch
