// What the leader learns from runs: how workers do, which runs stand still, who disturbs whom.

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkLeader.h"
#include "Basilgap/Scheduling/StragglerDetection.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis WatchInterval{ 200 };
constexpr Millis CellLineInterval{ 1000 };

} // namespace

// Takes what the end of a run tells of its worker.
void WorkLeader::learn(state::WorkerNumber worker, const StepTask &task, schema::RunOutcome outcome)
{
    const Millis now = steadyNow();
    const state::Work *work = state_.works().find(task.step.work);
    const state::WorkTask *state = state_.works().find(task);
    if (work == nullptr || state == nullptr)
        return;
    if (outcome == schema::RUN_FAILED) {
        const bool before = health_.isQuarantined(worker, now);
        health_.recordFailure(worker, JobId(work->serial.value()), now);
        if (!before && health_.isQuarantined(worker, now))
            LogEvent("worker-quarantined").with("number", worker.value()).with("work", work->id);
    }
    if (outcome != schema::RUN_DONE)
        return;
    health_.recordSuccess(worker);
    const auto begun = begun_.find(task);
    const bool isWhole =
        begun != begun_.end() && state->checkpoint.empty() && !work->specOf(task.step).gang();
    if (isWhole)
        speeds_.recordDuration(*work, task.step, worker, now - begun->second);
    begun_.erase(task);
}

// Stops runs that stand still or crawl, so that they begin anew elsewhere.
void WorkLeader::watchRuns()
{
    const Millis now = steadyNow();
    nextWatch_ = now + WatchInterval;
    stepEnds_.clear();
    std::vector<scheduling::RunObservation> runs;
    for (const auto &[number, session] : sessions_) {
        if (!session->isUsable())
            continue;
        for (const auto &[task, run] : session->runs()) {
            const state::Work *work = state_.works().find(task.step.work);
            if (work == nullptr || !work->isActive() || run.knowledge != RunKnowledge::Confirmed
                || !run.firstPercent || run.pace < 100)
                continue;
            const schema::StepSpec &spec = work->specOf(task.step);
            if (spec.gang() || spec.service() || spec.backfill())
                continue;
            runs.push_back({
                .task = task,
                .worker = number,
                .firstPercent = *run.firstPercent,
                .percent = run.percent,
                .elapsed = run.progressAt - run.firstAt,
                .sinceProgress = now - run.progressAt,
                .measuredDuration = speeds_.measuredDuration(task.step),
                .correctedEstimate = speeds_.correctedEstimate(*work, task.step),
                .stalledReports = run.stalledReports,
                .keepsProgress = spec.checkpointing(),
                .wasStoppedAsSlow = givenUp_.contains(task),
            });
        }
    }
    scheduling::StragglerFindings findings = scheduling::detectStragglers(runs);
    slow_ = std::move(findings.slowWorkers);
    for (const scheduling::Straggler &troubled : findings.stragglers) {
        const state::Work *work = state_.works().find(troubled.task.step.work);
        const bool isHanging = troubled.kind == scheduling::StragglerKind::Stalled;
        WorkerSession &session = *sessions_.at(troubled.worker);
        LogEvent("run-given-up")
            .with("work", work->id)
            .with("step", troubled.task.step.step)
            .with("task", troubled.task.index)
            .with("worker", session.endpoint().id)
            .with("reason", isHanging ? "hanging" : "crawling")
            .with("percent", session.runs().at(troubled.task).percent);
        if (isHanging)
            health_.recordFailure(troubled.worker, JobId(work->serial.value()), now);
        else
            givenUp_.insert(troubled.task);
        session.stop(troubled.task, now);
    }
}

// Latest expected end of the step's running tasks; nothing while some have no worker, or nothing is
// known of any.
std::optional<Millis> WorkLeader::stepEndsAt(const state::Work &work, const state::StepRef &step)
{
    const auto known = stepEnds_.find(step);
    if (known != stepEnds_.end())
        return known->second;
    std::optional<Millis> latest;
    const auto &tasks = work.at(step).tasks;
    for (uint32_t i = 0; work.at(step).waiting == 0 && i < tasks.size(); i++) {
        const auto session = sessions_.find(tasks[i].worker);
        if (tasks[i].phase != state::RunPhase::Running || session == sessions_.end())
            continue;
        const auto run = session->second->runs().find({ step, i });
        const auto endsAt =
            run == session->second->runs().end() ? std::nullopt : run->second.endsAt();
        if (endsAt && (!latest || *endsAt > *latest))
            latest = endsAt;
    }
    stepEnds_[step] = latest;
    return latest;
}

Millis WorkLeader::restBeforeLook(state::WorkerNumber worker)
{
    std::vector<scheduling::PolledRun> runs;
    for (const auto &[task, run] : sessions_.at(worker)->runs()) {
        const state::Work *work = state_.works().find(task.step.work);
        if (work != nullptr)
            runs.push_back({ run.endsAt(), stepEndsAt(*work, task.step) });
    }
    return scheduling::pollDelay(runs, roomDemand_, steadyNow());
}

// Filling tasks make way for serving ones whose response times suffer.
void WorkLeader::paceFilling()
{
    const Millis now = steadyNow();
    for (const auto &[number, session] : sessions_) {
        std::vector<scheduling::LatencySensitiveTask> serving;
        std::vector<scheduling::BackfillTask> filling;
        for (const auto &[task, run] : session->runs()) {
            const state::Work *work = state_.works().find(task.step.work);
            if (work == nullptr || run.knowledge != RunKnowledge::Confirmed)
                continue;
            const schema::StepSpec &spec = work->specOf(task.step);
            if (spec.target_ms() > 0)
                serving.push_back({ run.figure, static_cast<double>(spec.target_ms()) });
            if (spec.backfill())
                filling.push_back({ task, run.pace });
        }
        if (filling.empty())
            continue;
        for (const scheduling::ThrottleChange &change :
            paces_.update(number, serving, filling, now))
            session->pace(change.task, change.speedPercent);
    }
}

// One line a second tells how full the cell is.
void WorkLeader::logCell()
{
    nextCellLine_ = steadyNow() + CellLineInterval;
    state::Resources capacity;
    state::Resources reserved;
    size_t usable = 0;
    for (const scheduling::StepWorker &worker : refreshWorkers(steadyNow())) {
        usable += worker.schedulable ? 1 : 0;
        capacity += worker.capacity;
        reserved += worker.reserved;
    }
    std::map<uint32_t, uint64_t> waiting;
    for (const state::WorkSerial serial : state_.works().waiting()) {
        const state::Work *work = state_.works().find(serial);
        const schema::QueueConfig *queue = state_.workConfig().findQueue(work->queue);
        waiting[queue == nullptr ? 0 : queue->priority()] += work->waitingTasks;
    }
    LogEvent line("cell");
    line.with("workers", sessions_.size())
        .with("usable", usable)
        .with("millicores", capacity.millicores)
        .with("reserved", reserved.millicores)
        .with("memoryMb", capacity.memoryMb)
        .with("reservedMb", reserved.memoryMb)
        .with("running", state_.works().runningTasks())
        .with("idleAdvisers", advisers_.idleCallers(steadyNow()))
        .with("plans", plans_)
        .with("planMs", planTime_.count() / 1000000);
    plans_ = 0;
    planTime_ = {};
    for (const auto &[priority, tasks] : waiting)
        line.with("waiting" + std::to_string(priority), tasks);
}

} // namespace basilgap::dispatch
