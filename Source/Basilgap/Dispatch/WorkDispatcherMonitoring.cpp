// Monitors runs: health and speed of workers, stragglers, and throttling of backfill tasks.

#include <ctime>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkDispatcher.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis StragglerCheckInterval{ 200 };
constexpr Millis CellStatusInterval{ 1000 };

} // namespace

// Updates health and speed of the worker from the outcome of a run.
void WorkDispatcher::recordOutcome(
    state::WorkerNumber worker, const StepTaskRef &task, schema::RunOutcome outcome)
{
    const Millis now = steadyNow();
    const state::Work *work = state_.works().find(task.step.work);
    const state::WorkTask *state = state_.works().find(task);
    if (work == nullptr || state == nullptr)
        return;
    const auto sentAt = startSentAt_.find(task);
    if (outcome == schema::RUN_FAILED)
        recordFailure(worker,
            { .job = JobId(work->serial.value()),
                .age = sentAt == startSentAt_.end() ? Millis() : now - sentAt->second,
                .isService = work->specOf(task.step).service() },
            now);
    if (outcome != schema::RUN_DONE)
        return;
    if (health_.isOnProbation(worker))
        logProbationEnd(worker, "done");
    health_.recordSuccess(worker);
    const bool isFullRun = sentAt != startSentAt_.end() && state->checkpoint.empty()
        && !work->specOf(task.step).gang();
    if (isFullRun)
        speeds_.recordDuration(*work, task.step, worker, now - sentAt->second);
    startSentAt_.erase(task);
}

void WorkDispatcher::recordFailure(
    state::WorkerNumber worker, const scheduling::FailedRun &run, Millis now)
{
    const bool wasQuarantined = health_.isQuarantined(worker, now);
    health_.recordFailure(worker, run, now);
    if (!wasQuarantined && health_.isQuarantined(worker, now))
        logQuarantine(worker, "failures");
}

WorkDispatcher::Restart WorkDispatcher::restartOf(
    const schema::WorkerLife &earlier, state::WorkerNumber later) const
{
    Restart restart{ .earlier = state::WorkerNumber(earlier.number()), .later = later };
    const auto session = sessions_.find(restart.earlier);
    // An incarnation that an earlier leader registered has lived for longer than it was heard here.
    // A worker that has announced its end has not crashed.
    if (session != sessions_.end() && restart.earlier >= firstOwnWorker_ && !earlier.leaving())
        restart.lifetime = session->second->heardFor();
    return restart;
}

void WorkDispatcher::recordRestart(const Restart &restart)
{
    const Millis now = steadyNow();
    health_.recordRestart(restart.earlier, restart.later, restart.lifetime, now);
    planWorkers_.markChanged(restart.later);
    if (health_.isQuarantined(restart.later, now))
        logQuarantine(restart.later, "restarts");
}

void WorkDispatcher::logQuarantine(state::WorkerNumber worker, const char *reason) const
{
    LogEvent("worker-quarantined")
        .with("worker", workerId(worker))
        .with("number", worker.value())
        .with("reason", reason)
        .with("runs", state_.works().runsOn(worker).size());
}

// Runs that go on for long enough show that their worker is sound.
void WorkDispatcher::recordSurvivals(Millis now)
{
    for (const state::WorkerNumber number : health_.workersWithFailures()) {
        const auto session = sessions_.find(number);
        if (session == sessions_.end() || !session->second->isUsable())
            continue;
        const bool wasOnProbation = health_.isOnProbation(number);
        for (const auto &[task, run] : session->second->runs()) {
            if (!run.isListed || !health_.recordSurvival(number, now - run.startedAt, now))
                continue;
            if (wasOnProbation)
                logProbationEnd(number, "outlived");
            planWorkers_.markChanged(number);
            break;
        }
    }
}

void WorkDispatcher::logProbationEnd(state::WorkerNumber worker, const char *reason) const
{
    LogEvent("worker-probation-ended")
        .with("worker", workerId(worker))
        .with("number", worker.value())
        .with("reason", reason);
}

std::string WorkDispatcher::workerId(state::WorkerNumber worker) const
{
    const auto session = sessions_.find(worker);
    return session == sessions_.end() ? std::string() : session->second->endpoint().id;
}

void WorkDispatcher::logCrashSuspect(const StepTaskRef &task) const
{
    const state::Work *work = state_.works().find(task.step.work);
    const state::WorkTask *state = state_.works().find(task);
    if (work == nullptr || state == nullptr)
        return;
    LogEvent("crash-suspect")
        .with("work", work->id)
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", state->run)
        .with("crashes", state->startCrashes.total)
        .with("begun", state->startCrashes.begun)
        .with("unconfirmed", state->unconfirmedStartCrashes.total)
        .with("failed", work->phase == state::WorkPhase::Failed ? 1 : 0);
}

// Stops runs that make no progress or are much too slow, so that they start again on another
// worker.
void WorkDispatcher::stopStragglers()
{
    const Millis now = steadyNow();
    nextStragglerCheck_ = now + StragglerCheckInterval;
    expectedStepEnds_.clear();
    std::vector<scheduling::RunObservation> runs;
    for (const auto &[number, session] : sessions_) {
        if (!session->isUsable())
            continue;
        for (const auto &[task, run] : session->runs()) {
            const state::Work *work = state_.works().find(task.step.work);
            if (work == nullptr || !work->isActive() || run.knownState != KnownRunState::Confirmed
                || !run.firstPercent || run.speedPercent < 100)
                continue;
            const schema::StepSpec &spec = work->specOf(task.step);
            if (spec.gang() || spec.service() || spec.backfill())
                continue;
            const auto forecast = options_.forecastUses.stragglers
                ? forecast_.forecast(*work, task.step)
                : std::nullopt;
            runs.push_back({
                .task = task,
                .worker = number,
                .firstPercent = *run.firstPercent,
                .percent = run.progressPercent,
                .elapsed = run.lastProgressAt - run.firstPercentAt,
                .sinceProgress = now - run.lastProgressAt,
                .measuredDuration = speeds_.measuredDuration(task.step),
                .correctedEstimate = speeds_.correctedEstimate(*work, task.step),
                .age = now - run.startedAt,
                .forecastHigh = forecast
                    ? std::optional(Millis(static_cast<int64_t>(forecast->high)))
                    : std::nullopt,
                .stalledReports = run.stalledReports,
                .keepsProgress = spec.checkpointing(),
                .wasStoppedAsSlow = movedTasks_.contains(task),
                .earlierStalls = stalls_.earlierStalls(task, run.run),
            });
        }
    }
    scheduling::StragglerFindings findings = scheduling::detectStragglers(runs);
    for (const auto &[number, factor] : slowWorkers_)
        planWorkers_.markChanged(number);
    slowWorkers_ = std::move(findings.slowWorkers);
    for (const auto &[number, factor] : slowWorkers_)
        planWorkers_.markChanged(number);
    for (const scheduling::Straggler &straggler : findings.stragglers) {
        const state::Work *work = state_.works().find(straggler.task.step.work);
        const bool isStalled = straggler.kind == scheduling::StragglerKind::Stalled;
        WorkerSession &session = *sessions_.at(straggler.worker);
        LogEvent("run-given-up")
            .with("work", work->id)
            .with("step", straggler.task.step.step)
            .with("task", straggler.task.index)
            .with("worker", session.endpoint().id)
            .with("reason", isStalled ? "hanging" : "crawling")
            .with("percent", session.runs().at(straggler.task).progressPercent);
        if (isStalled)
            recordStall(straggler, session.runs().at(straggler.task).run, now);
        else
            movedTasks_.insert(straggler.task);
        session.stop(straggler.task, now);
    }
}

// A task that stalls on several workers says nothing about them.
void WorkDispatcher::recordStall(const scheduling::Straggler &straggler, uint32_t run, Millis now)
{
    if (stalls_.earlierStalls(straggler.task, run) == 0)
        recordFailure(straggler.worker, { .job = JobId(straggler.task.step.work.value()) }, now);
    stalls_.record(straggler.task, run);
}

// Latest expected end of the step's running tasks; empty while a task has no worker or no run has
// an estimate.
std::optional<Millis> WorkDispatcher::expectedStepEnd(
    const state::Work &work, const state::StepRef &step)
{
    const auto known = expectedStepEnds_.find(step);
    if (known != expectedStepEnds_.end())
        return known->second;
    std::optional<Millis> latest;
    const auto &tasks = work.stepAt(step).tasks;
    for (uint32_t i = 0; work.stepAt(step).waiting == 0 && i < tasks.size(); i++) {
        const auto session = sessions_.find(tasks[i].worker);
        if (tasks[i].phase != state::RunPhase::Running || session == sessions_.end())
            continue;
        const auto run = session->second->runs().find({ step, i });
        const auto expectedEnd =
            run == session->second->runs().end() ? std::nullopt : run->second.expectedEnd();
        if (expectedEnd && (!latest || *expectedEnd > *latest))
            latest = expectedEnd;
    }
    expectedStepEnds_[step] = latest;
    return latest;
}

Millis WorkDispatcher::pollDelay(state::WorkerNumber worker)
{
    std::vector<scheduling::PolledRun> runs;
    for (const auto &[task, run] : sessions_.at(worker)->runs()) {
        const state::Work *work = state_.works().find(task.step.work);
        if (work != nullptr)
            runs.push_back({ run.expectedEnd(), expectedStepEnd(*work, task.step) });
    }
    return scheduling::pollDelay(runs, capacityDemand_, steadyNow());
}

// Throttles backfill tasks on workers where tasks with a latency target miss it.
void WorkDispatcher::throttleBackfill()
{
    const Millis now = steadyNow();
    for (const auto &[number, session] : sessions_) {
        std::vector<scheduling::LatencySensitiveTask> latencySensitive;
        std::vector<scheduling::BackfillTask> backfill;
        for (const auto &[task, run] : session->runs()) {
            const state::Work *work = state_.works().find(task.step.work);
            if (work == nullptr || run.knownState != KnownRunState::Confirmed)
                continue;
            const schema::StepSpec &spec = work->specOf(task.step);
            if (spec.target_ms() > 0)
                latencySensitive.push_back(
                    { run.latencyMsOrMillicores, static_cast<double>(spec.target_ms()) });
            if (spec.backfill())
                backfill.push_back({ task, run.speedPercent });
        }
        if (backfill.empty())
            continue;
        for (const scheduling::ThrottleChange &change :
            backfillThrottle_.update(number, latencySensitive, backfill, now))
            session->throttle(change.task, change.speedPercent);
    }
}

std::chrono::nanoseconds WorkDispatcher::processorTime()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

// Logs what the leader has done since the last status line, and the processor time it took.
void WorkDispatcher::logActivity(LogEvent *line)
{
    constexpr int64_t NanosecondsInMs = 1000000;
    const std::chrono::nanoseconds used = processorTime();
    line->with("cpuMs", (used - processorTime_).count() / NanosecondsInMs)
        .with("planMs", activity_.planTime.count() / NanosecondsInMs)
        .with("tickMs", activity_.tickTime.count() / NanosecondsInMs)
        .with("lateMs", activity_.maxTickDelay)
        .with("plans", activity_.plans)
        .with("starts", activity_.starts)
        .with("ends", activity_.ends)
        .with("preemptions", activity_.preemptions)
        .with("adviceCalls", activity_.adviceCalls);
    const uint64_t relayed = options_.relayedCalls();
    line->with("relayedCalls", relayed - loggedRelayedCalls_);
    loggedRelayedCalls_ = relayed;
    processorTime_ = used;
    activity_ = {};
}

// Logs the queues that are no longer configured and still have jobs.
void WorkDispatcher::logRetiredQueues() const
{
    std::map<state::QueueId, size_t> jobs;
    for (const state::WorkSerial serial : state_.works().active()) {
        const state::QueueId &queue = state_.works().find(serial)->queue;
        if (!state_.workConfig().isConfigured(queue))
            jobs[queue]++;
    }
    for (const auto &[queue, count] : jobs) {
        LogEvent("queue-retired")
            .with("queue", queue.value())
            .with("version", state_.workConfig().version())
            .with("jobs", count)
            .with("runs", state_.workConfig().findQueue(queue) == nullptr ? 0 : 1);
    }
}

// Logs capacity and usage of the cell once a second.
void WorkDispatcher::logCellStatus()
{
    nextCellStatus_ = steadyNow() + CellStatusInterval;
    state::Resources capacity;
    state::Resources reserved;
    size_t usable = 0;
    size_t quarantined = 0;
    size_t onProbation = 0;
    const Millis now = steadyNow();
    for (const scheduling::StepWorker &worker : refreshWorkers(now)) {
        usable += worker.schedulable && !worker.isQuarantined ? 1 : 0;
        quarantined += worker.isQuarantined ? 1 : 0;
        onProbation += !worker.isQuarantined && health_.isOnProbation(worker.number) ? 1 : 0;
        capacity += worker.capacity;
        reserved += worker.reserved;
    }
    std::map<uint32_t, uint64_t> waiting;
    uint64_t withoutQueue = 0;
    for (const state::WorkSerial serial : state_.works().waiting()) {
        const state::Work *work = state_.works().find(serial);
        const schema::QueueConfig *queue = state_.workConfig().findQueue(work->queue);
        if (queue == nullptr)
            withoutQueue += work->waitingTasks;
        else
            waiting[queue->priority()] += work->waitingTasks;
    }
    LogEvent line("cell");
    line.with("workers", sessions_.size())
        .with("usable", usable)
        .with("quarantined", quarantined)
        .with("onProbation", onProbation)
        .with("millicores", capacity.millicores)
        .with("reserved", reserved.millicores)
        .with("memoryMb", capacity.memoryMb)
        .with("reservedMb", reserved.memoryMb)
        .with("running", state_.works().runningTasks())
        .with("retiredQueues", state_.workConfig().retiredQueues().size())
        .with("waitingWithoutQueue", withoutQueue)
        .with("idleAdvisers", advicePool_.availableCallSlots(steadyNow()));
    logActivity(&line);
    for (const auto &[priority, tasks] : waiting)
        line.with("waiting" + std::to_string(priority), tasks);
    stageTimes_.log();
    logAccountShares();
    logStartShares();
    forecastAccuracy_.log();
}

} // namespace basilgap::dispatch
