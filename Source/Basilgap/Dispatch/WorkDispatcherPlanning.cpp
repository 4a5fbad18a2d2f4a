// Collects the planner's input and carries out its plan.

#include <algorithm>
#include <chrono>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkDispatcher.h"

namespace basilgap::dispatch {

namespace {

// Interval for removing data of finished jobs; until then the data only uses memory.
constexpr Millis PruneInterval{ 500 };
// Much shorter than AdviceLead.
constexpr Millis EndingStepsInterval{ 100 };

// Advice for the next step is requested this long before the expected end of the previous step.
constexpr Millis AdviceLead{ 300 };
// Added to twice the time that a call for advice should take.
constexpr Millis AdviceTimeoutMargin{ 600 };
// The orders of one record are sent in one turn of the event loop. While it lasts, no answer is
// read and no heartbeat is sent, and time-outs and the leader's confirmation run on.
constexpr size_t MaxStartsPerRecord = 100;
// A ticket is no longer used this long before it expires, because orders take time to arrive.
constexpr Millis TicketMargin{ 150 };

} // namespace

// Pools, racks, labels and capacities change only with registered workers or zones, so the list is
// rebuilt only then.
void WorkDispatcher::rebuildWorkers()
{
    std::vector<scheduling::StepWorker> workers;
    for (const auto &[number, session] : sessions_) {
        const schema::WorkerLife *incarnation = state_.works().findIncarnation(number);
        if (incarnation == nullptr || incarnation->gone() || incarnation->leaving()
            || state_.workConfig().isZoneOut(ZoneName(incarnation->zone())))
            continue;
        scheduling::StepWorker &worker = workers.emplace_back();
        worker.number = number;
        worker.pool = incarnation->pool();
        worker.rack = incarnation->rack();
        worker.labels.assign(incarnation->labels().begin(), incarnation->labels().end());
        worker.capacity = state::capacityOf(*incarnation);
    }
    emptyCapacity_ = scheduling::EmptyCapacity(workers);
    urgentDemand_.reset();
    planWorkers_.assign(std::move(workers));
}

std::vector<scheduling::StepWorker> &WorkDispatcher::refreshWorkers(Millis now)
{
    if (workersChanged_)
        rebuildWorkers();
    workersChanged_ = false;
    // Quarantines and trials end with time.
    for (const state::WorkerNumber number : health_.workersOnProbation())
        planWorkers_.markChanged(number);
    for (const auto &[number, end] : crashProbations_)
        planWorkers_.markChanged(number);
    std::erase_if(crashProbations_, [now](const auto &entry) { return now >= entry.second; });
    return planWorkers_.refresh(
        [this, now](scheduling::StepWorker &worker) { refreshWorker(&worker, now); });
}

void WorkDispatcher::refreshWorker(scheduling::StepWorker *worker, Millis now) const
{
    const WorkerSession &session = *sessions_.at(worker->number);
    worker->reserved = state_.works().reservedOn(worker->number);
    worker->reserved += session.lingeringReservation();
    worker->backfillMillicores = session.backfillMillicores();
    const auto measured = speeds_.measuredSlowdown(worker->number);
    const bool usesKind = options_.forecastUses.workerKinds && !measured && !worker->labels.empty();
    worker->slowdown =
        usesKind ? forecast_.kindSlowdown(worker->labels.front()) : measured.value_or(1.0);
    const auto slow = slowWorkers_.find(worker->number);
    if (slow != slowWorkers_.end())
        worker->slowdown = std::max(worker->slowdown, slow->second);
    worker->schedulable = session.isUsable();
    worker->isQuarantined = health_.isQuarantined(worker->number, now);
    worker->remainingStarts = health_.remainingStarts(worker->number, now);
    if (crashProbations_.contains(worker->number))
        worker->remainingStarts = 0;
}

// Removes data of jobs that have finished.
void WorkDispatcher::pruneFinishedWorks(Millis now)
{
    nextPrune_ = now + PruneInterval;
    auditAdmission();
    permits_.dropInactive(state_.works());
    permits_.dropExpired(now);
    speeds_.dropInactive(state_.works());
    health_.retainJobs([this](JobId job) {
        const state::Work *work = state_.works().find(state::WorkSerial(job.value()));
        return work != nullptr && work->isActive();
    });
    health_.retainWorkers(
        [this](state::WorkerNumber number) { return sessions_.contains(number); });
    const auto isFinished = [this](const StepTaskRef &task) {
        const state::Work *work = state_.works().find(task.step.work);
        return work == nullptr || !work->isActive();
    };
    std::erase_if(movedTasks_, isFinished);
    stalls_.eraseIf(isFinished);
    std::erase_if(startSentAt_, [this](const auto &entry) {
        const state::WorkTask *task = state_.works().find(entry.first);
        return task == nullptr || task->phase != state::RunPhase::Running;
    });
}

void WorkDispatcher::plan(schema::RunBatch *batch)
{
    const Millis now = steadyNow();
    const auto planStart = std::chrono::steady_clock::now();
    if (now >= nextPrune_)
        pruneFinishedWorks(now);
    std::vector<scheduling::StepWorker> &workers = refreshWorkers(now);
    updateAccountShares(workers);
    const auto wallMs = static_cast<uint64_t>(wallNow().count());
    urgentDemand_.update(state_.works(), state_.workConfig(), emptyCapacity_, now, wallMs);
    waitingSteps_.refresh(state_.works(), state_.workConfig(), wallMs);
    startShares_.update(state_.workConfig(), waitingSteps_.waitingMillicores(), now);
    scheduling::StepPlan plan = scheduling::StepPlanner(
        {
            .table = state_.works(),
            .config = state_.workConfig(),
            .waiting = waitingSteps_,
            .permits = permits_,
            .health = health_,
            .durations = speeds_,
            .urgent = urgentDemand_,
            .shares = startShares_,
            .workers = workers,
            .now = now,
            .wallMs = wallMs,
            .stateMs = static_cast<uint64_t>(stateNow().count()),
            .adviceClaims = adviceClaims_,
            .advisors = advicePool_.callSlots(),
            .freeAdvisors = advicePool_.availableCallSlots(now),
            .endingSteps = endingSteps(now),
            .preemptibleRunsOn =
                [this, now](state::WorkerNumber worker) { return preemptibleRunsOn(worker, now); },
            .preemptibleRunsOf =
                [this, now](
                    const state::AccountName &account) { return preemptibleRunsOf(account, now); },
            .hasFreshRun =
                [this, now](state::WorkerNumber worker) {
                    const auto session = sessions_.find(worker);
                    return session != sessions_.end() && session->second->hasFreshRun(now);
                },
            .pendingEnds = scheduling::collectPendingRunEnds(state_.works(), *batch),
            .maxStarts = MaxStartsPerRecord,
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
        pendingTickets_[planned.task] = planned.ticket;
        recordStartShare(planned.task);
        // The planner has reserved the capacity in its list; the record may still fail.
        planWorkers_.markChanged(planned.worker);
    }
    capacityDemand_ = plan.capacityDemand;
    isPlanDue_ = isPlanDue_ || plan.isCutShort;
    for (const scheduling::AdviceRequest &request : plan.adviceRequests)
        requestAdvice(request);
    for (const StepTaskRef &task : plan.preemptions)
        preempt(task, now);
    activity_.plans++;
    activity_.planTime += std::chrono::steady_clock::now() - planStart;
}

void WorkDispatcher::recordStartShare(const StepTaskRef &task)
{
    const state::Work &work = *state_.works().find(task.step.work);
    const schema::QueueConfig *queue = state_.workConfig().findQueue(work.queue);
    const schema::StepSpec &spec = work.specOf(task.step);
    if (queue != nullptr && !spec.service())
        startShares_.recordStart(
            queue->priority(), work.account, state::reservationOf(spec).millicores);
}

std::vector<scheduling::PreemptibleRun> WorkDispatcher::preemptibleRunsOn(
    state::WorkerNumber worker, Millis now) const
{
    std::vector<scheduling::PreemptibleRun> runs;
    const auto session = sessions_.find(worker);
    if (session == sessions_.end())
        return runs;
    for (const auto &[task, known] : session->second->runs()) {
        if (const auto run = toPreemptibleRun(*session->second, task, now))
            runs.push_back(*run);
    }
    return runs;
}

std::vector<scheduling::PreemptibleRun> WorkDispatcher::preemptibleRunsOf(
    const state::AccountName &account, Millis now) const
{
    std::vector<scheduling::PreemptibleRun> runs;
    for (const state::StepTaskRef &task : state_.works().runsOf(account)) {
        const auto session = sessions_.find(state_.works().find(task)->worker);
        if (session == sessions_.end())
            continue;
        if (const auto run = toPreemptibleRun(*session->second, task, now))
            runs.push_back(*run);
    }
    return runs;
}

std::optional<scheduling::PreemptibleRun> WorkDispatcher::toPreemptibleRun(
    const WorkerSession &session, const StepTaskRef &task, Millis now) const
{
    const auto known = session.runs().find(task);
    const state::Work *work = state_.works().find(task.step.work);
    const schema::QueueConfig *queue =
        work == nullptr ? nullptr : state_.workConfig().findQueue(work->queue);
    if (known == session.runs().end() || queue == nullptr
        || queue->priority() < scheduling::DeferrablePriority)
        return std::nullopt;
    const SessionRun &run = known->second;
    const schema::StepSpec &spec = work->specOf(task.step);
    const bool isStopping = run.isStopPending || run.knownState == KnownRunState::Stopped
        || run.knownState == KnownRunState::Indeterminate || !work->isActive();
    const bool keepsProgress = spec.checkpointing() && !spec.gang() && !spec.service()
        && !spec.backfill() && run.knownState == KnownRunState::Confirmed;
    if (!isStopping && (!keepsProgress || !session.isUsable()))
        return std::nullopt;
    const bool endsAnyway = options_.forecastUses.preemption
        && scheduling::isAboutToEnd(
            expectedRunEnd(*work, task.step, session.number(), run, &forecast_), now,
            options_.times.maxStopTime);
    if (!isStopping && endsAnyway)
        return std::nullopt;
    const Millis progressSavedAt = std::max(run.knownStateSince, run.checkpointAt);
    return scheduling::PreemptibleRun{ task, session.number(), work->account,
        state::reservationOf(spec), (now - progressSavedAt).count(), isStopping };
}

// Steps without waiting tasks whose last running task should end soon, if others wait for them.
const std::set<state::StepRef> &WorkDispatcher::endingSteps(Millis now)
{
    if (now < nextEndingStepsUpdate_)
        return endingSteps_;
    nextEndingStepsUpdate_ = now + EndingStepsInterval;
    endingSteps_.clear();
    for (const state::WorkSerial serial : state_.works().waiting()) {
        const state::Work &work = *state_.works().find(serial);
        const schema::QueueConfig *queue = state_.workConfig().findQueue(work.queue);
        if (work.runningTasks == 0 || queue == nullptr || !queue->has_advice())
            continue;
        const double callMs = queue->advice().decision_ms() + 30 * queue->advice().per_worker_ms();
        const Millis latestEnd = now + AdviceLead + Millis(static_cast<int64_t>(callMs));
        for (uint32_t occurrence = 0; occurrence < work.occurrences.size(); occurrence++) {
            for (uint32_t step = 0; step < work.occurrences[occurrence].size(); step++) {
                const state::StepRef ref{ serial, occurrence, step };
                if (endsBefore(work, ref, latestEnd))
                    endingSteps_.insert(ref);
            }
        }
    }
    return endingSteps_;
}

// Whether tasks of the step are running and all of them should end by the given time.
bool WorkDispatcher::endsBefore(
    const state::Work &work, const state::StepRef &step, Millis latestEnd) const
{
    const state::WorkStep &state = work.stepAt(step);
    if (state.running == 0 || state.waiting > 0)
        return false;
    const auto *forecast = options_.forecastUses.advicePrefetch ? &forecast_ : nullptr;
    for (uint32_t i = 0; i < state.tasks.size(); i++) {
        const auto session = sessions_.find(state.tasks[i].worker);
        if (state.tasks[i].phase != state::RunPhase::Running || session == sessions_.end())
            continue;
        const auto run = session->second->runs().find({ step, i });
        if (run == session->second->runs().end())
            continue;
        if (expectedRunEnd(work, step, state.tasks[i].worker, run->second, forecast) > latestEnd)
            return false;
    }
    return true;
}

Millis WorkDispatcher::expectedRunEnd(const state::Work &work, const state::StepRef &step,
    state::WorkerNumber worker, const SessionRun &run,
    const scheduling::DurationForecast *forecast) const
{
    if (const auto byProgress = run.expectedEnd())
        return *byProgress;
    const auto expected = static_cast<double>(forecast == nullptr
            ? speeds_.expectedDuration(work, step).count()
            : speeds_.expectedDuration(work, step, forecast).count());
    return run.knownStateSince + Millis(static_cast<int64_t>(expected * speeds_.slowdown(worker)));
}

void WorkDispatcher::preempt(const StepTaskRef &task, Millis now)
{
    const state::WorkTask *state = state_.works().find(task);
    const state::Work *work = state_.works().find(task.step.work);
    const auto session = state == nullptr ? sessions_.end() : sessions_.find(state->worker);
    if (session == sessions_.end() || work == nullptr)
        return;
    activity_.preemptions++;
    LogEvent("run-preempted")
        .with("work", work->id)
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", state->run)
        .with("worker", session->second->endpoint().id);
    session->second->stop(task, now);
}

bool WorkDispatcher::requestAdvice(const AdviceTarget &target, const schema::QueueConfig &queue,
    const scheduling::AdviceSelection &selection, std::function<void(const AdviceResult &)> done)
{
    const schema::AdvicePolicy &policy = queue.advice();
    const std::vector<state::WorkerNumber> &workers = selection.workers;
    std::vector<std::string> ids;
    std::map<std::string, state::WorkerNumber> numbers;
    for (const state::WorkerNumber number : workers) {
        const std::string &id = sessions_.at(number)->endpoint().id;
        ids.push_back(id);
        numbers[id] = number;
    }
    const Millis timeout = AdviceTimeoutMargin
        + Millis(static_cast<int64_t>(policy.decision_ms()
                     + policy.per_worker_ms() * static_cast<double>(ids.size()))
            * 2);
    const Millis askedAt = steadyNow();
    const Millis defaultValidity(static_cast<int64_t>(policy.validity_ms()));
    const bool isRequested = advicePool_.requestAdvice(
        options_.advice.stepName(target.work, target.occurrence, target.step), ids, timeout,
        guarded([this, target, workers, claims = selection.claims, numbers, askedAt,
                    defaultValidity, done,
                    queueId = state::queueIdOf(queue)](const AdviceAnswer &answer) {
            const Millis now = steadyNow();
            activity_.adviceCalls++;
            stageTimes_.add(queueId, Stage::Advice, now - askedAt);
            adviceClaims_.remove(claims);
            LogEvent("advice")
                .with("work", target.work)
                .with("step", target.step)
                .with("answered", answer.answered ? 1 : 0)
                .with("workers", workers.size())
                .with("granted", answer.permits.size())
                .with("ms", now - askedAt);
            isPlanDue_ = true;
            scheduleBatch();
            AdviceResult result{ .answered = answer.answered, .requestedWorkers = workers };
            for (const schema::Permit &permit : answer.permits) {
                const auto number = numbers.find(permit.worker());
                if (number != numbers.end())
                    result.granted.push_back({ number->second, permit.ticket() });
            }
            const Millis validity = answer.validity > Millis() ? answer.validity : defaultValidity;
            result.ticketsExpireAt = now + validity - TicketMargin;
            done(result);
        }));
    if (isRequested)
        adviceClaims_.add(selection.claims);
    return isRequested;
}

void WorkDispatcher::recordAdvice(const state::StepRef &step, const AdviceResult &result)
{
    if (result.answered)
        permits_.recordReply(step, result.requestedWorkers, result.granted, result.ticketsExpireAt);
    else
        permits_.recordFailedRequest(step);
}

void WorkDispatcher::requestAdvice(const scheduling::AdviceRequest &request)
{
    const state::Work *work = state_.works().find(request.step.work);
    const schema::QueueConfig *queue =
        work == nullptr ? nullptr : state_.workConfig().findQueue(work->queue);
    if (queue == nullptr)
        return;
    const bool asked = requestAdvice({ work->id, request.step.occurrence, request.step.step },
        *queue, { request.workers, request.claims },
        [this, step = request.step](const AdviceResult &result) { recordAdvice(step, result); });
    if (asked)
        permits_.markRequested(request.step);
}

// Requests advice for the first steps of a job while the job is being logged, because the advisor
// takes longer than the log.
void WorkDispatcher::prefetchAdvice(
    const std::string &id, const schema::QueueConfig &queue, const schema::WorkSpec &spec)
{
    if (!queue.has_advice() || spec.occurrences() > 0 || prefetchedAdvice_.contains(id))
        return;
    const std::vector<scheduling::StepWorker> &workers = refreshWorkers(steadyNow());
    for (uint32_t step = 0; step < static_cast<uint32_t>(spec.steps_size()); step++) {
        const schema::StepSpec &first = spec.steps(static_cast<int>(step));
        if (first.after_size() > 0)
            continue;
        const auto asked =
            scheduling::selectInitialAdviceWorkers(first, queue.pool(), workers, adviceClaims_);
        if (asked.workers.empty())
            continue;
        const bool isAsked = requestAdvice(
            { id, 0, step }, queue, asked, [this, id, step](const AdviceResult &result) {
                const state::Work *work = state_.works().find(id);
                if (work != nullptr)
                    recordAdvice({ work->serial, 0, step }, result);
                else if (prefetchedAdvice_.contains(id))
                    prefetchedAdvice_[id][step] = result;
            });
        if (isAsked)
            prefetchedAdvice_[id][step] = std::nullopt;
    }
}

void WorkDispatcher::usePrefetchedAdvice(const std::string &id)
{
    const auto prefetched = prefetchedAdvice_.extract(id);
    const state::Work *work = state_.works().find(id);
    if (prefetched.empty() || work == nullptr)
        return;
    for (const auto &[step, result] : prefetched.mapped()) {
        const state::StepRef ref{ work->serial, 0, step };
        permits_.markRequested(ref);
        if (result)
            recordAdvice(ref, *result);
    }
}

} // namespace basilgap::dispatch
