#include "Basilgap/Dispatch/WorkDispatcher.h"

#include <algorithm>
#include <utility>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis TickInterval{ 25 };

// A new plan is made after this time even if no change is known.
constexpr Millis IdlePlanInterval{ 100 };
// Time until a batch that the log has not taken is proposed again.
constexpr Millis BatchRetryInterval{ 50 };
constexpr Millis ExpiryInterval{ 5000 };
constexpr Millis DropInterval{ 1000 };

// Longer than network partitions of a few seconds, after which a worker continues with the same
// incarnation. A worker that returns later announces itself, as each does every second or two.
constexpr Millis MaxWorkerSilence{ 12000 };

// Less than the minimum silence after which another replica may be elected.
constexpr Millis MaxOrderConfirmationAge{ 300 };
// Workers that fail every task recover within seconds here; a single task then tests whether they
// have.
constexpr size_t FailedJobsToQuarantine = 2;
constexpr Millis FirstQuarantine{ 2000 };
constexpr Millis MaxQuarantine{ 8000 };

} // namespace

WorkDispatcher::WorkDispatcher(network::EventLoop &loop, Options options)
    : options_(options)
    , state_(options_.replica.state())
    , advicePool_(options_.advice)
    , forecast_(state_.works())
    , health_({ .minFailedJobs = FailedJobsToQuarantine,
          .initialQuarantine = FirstQuarantine,
          .maxQuarantine = MaxQuarantine })
    , waitingSteps_(options_.forecastUses.expectedDuration ? &speeds_ : nullptr)
    , admission_(std::max(wallNow(), Millis(static_cast<int64_t>(state_.clockMs()))))
    , forgottenWorkers_({
          .retention = options_.times.maxCallDelay
              + WorkerSession::longestEarlierLease(options_.times, true),
          .leaderSince = steadyNow(),
          .hasUnknown = state_.works().hasRemovedIncarnations(),
      })
    , firstOwnWorker_(state_.works().nextWorker())
    , leaderSince_(steadyNow())
    , term_(options_.replica.core().term().value())
    , wallAtStart_(wallNow())
    , stateMsAtStart_(state_.clockMs())
    , tickTimer_(loop, [this] { tick(); })
    , batchTimer_(loop, [this] { proposeBatch(); })
{
    if (options_.forecastUses.expectedDuration)
        speeds_.useForecast(&forecast_);
    reconcileSessions();
    hasTakenOver_ = true;
    endStrandedRuns();
    tickTimer_.startRepeating(TickInterval);
}

WorkDispatcher::~WorkDispatcher() = default;

void WorkDispatcher::addProcess(network::PeerStream &stream)
{
    streams_[stream.id()] = &stream;
    advicePool_.addProxy(stream);
}

bool WorkDispatcher::receive(network::PeerStream &stream, const schema::PeerMessage &message)
{
    if (message.has_advice_reply()) {
        advicePool_.receiveReply(message.advice_reply());
        return true;
    }
    if (!message.has_rpc_request())
        return false;
    handleRequest(message.rpc_request(), guarded([this, id = stream.id()](schema::RpcReply reply) {
        const auto found = streams_.find(id);
        if (found == streams_.end())
            return;
        schema::PeerMessage out;
        *out.mutable_rpc_reply() = std::move(reply);
        found->second->send(out);
    }));
    return true;
}

void WorkDispatcher::removeProcess(network::PeerStream &stream)
{
    streams_.erase(stream.id());
    advicePool_.removeProxy(stream);
}

void WorkDispatcher::handleApplied(
    const schema::Command &command, const schema::CommandOutcome &outcome)
{
    isPlanDue_ = true;
    if (command.has_submit_work()) {
        usePrefetchedAdvice(command.submit_work().id());
        const state::Work *work = state_.works().find(command.submit_work().id());
        if (work != nullptr)
            refreshAdmission(work->serial);
        if (work != nullptr && !work->isActive() && !outcome.again())
            LogEvent("work-canceled")
                .with("work", work->id)
                .with("account", work->account.value())
                .with("state", "canceled before its submission");
    }
    if (command.has_cancel_work()) {
        const state::Work *work = state_.works().find(command.cancel_work().id());
        if (work != nullptr) {
            checkStopsOf(work->serial);
            refreshAdmission(work->serial);
        }
    }
    if (command.has_put_work_config())
        logRetiredQueues();
    workersChanged_ = workersChanged_ || command.has_evacuate_zone();
    if (command.has_runs()) {
        if (command.runs().workers_size() > 0)
            reconcileSessions();
        handleAppliedRuns(command.runs());
        refreshAdmission(command.runs());
    }
    scheduleBatch();
}

void WorkDispatcher::checkStopsOf(state::WorkSerial serial)
{
    const state::Work *work = state_.works().find(serial);
    if (work == nullptr || work->isActive() || work->runningTasks == 0)
        return;
    for (const auto &steps : work->occurrences) {
        for (const state::WorkStep &step : steps)
            checkStopsOf(step);
    }
}

void WorkDispatcher::checkStopsOf(const state::WorkStep &step)
{
    for (const state::WorkTask &task : step.tasks) {
        const auto session = sessions_.find(task.worker);
        if (task.phase == state::RunPhase::Running && session != sessions_.end())
            session->second->checkStops();
    }
}

void WorkDispatcher::giveUpGang(const StepTaskRef &member, uint32_t run)
{
    const state::Work *work = state_.works().find(member.step.work);
    if (work == nullptr || !work->specOf(member.step).gang())
        return;
    LogEvent("gang-given-up")
        .with("work", work->id)
        .with("step", member.step.step)
        .with("task", member.index)
        .with("run", run);
    const auto &tasks = work->stepAt(member.step).tasks;
    for (uint32_t i = 0; i < tasks.size(); i++) {
        const auto session = sessions_.find(tasks[i].worker);
        if (tasks[i].phase == state::RunPhase::Running && session != sessions_.end())
            session->second->giveUp({ member.step, i }, run);
    }
}

void WorkDispatcher::handleAppliedRuns(const schema::RunBatch &batch)
{
    for (const auto &start : batch.starts())
        planWorkers_.markChanged(state::WorkerNumber(start.worker()));
    // The record of one member's end ends its whole gang, so all tasks of the step are checked.
    for (const auto &end : batch.ends()) {
        const state::Work *work = state_.works().find(state::WorkSerial(end.work()));
        if (work == nullptr)
            continue;
        const state::StepRef ref{ work->serial, end.occurrence(), end.step() };
        const auto listedAt = endsListedAt_.extract({ ref, end.index() });
        if (!listedAt.empty())
            stageTimes_.add(work->queue, Stage::End, steadyNow() - listedAt.mapped());
        if (end.worker_loss() == schema::WORKER_LOST_AT_START
            || end.worker_loss() == schema::WORKER_LOST_BEFORE_ANSWER)
            logCrashSuspect({ ref, end.index() });
        const auto &tasks = work->stepAt(ref).tasks;
        for (uint32_t i = 0; i < tasks.size(); i++) {
            if (tasks[i].phase == state::RunPhase::Running)
                continue;
            planWorkers_.markChanged(tasks[i].worker);
            const auto session = sessions_.find(tasks[i].worker);
            if (session != sessions_.end())
                session->second->removeRun({ ref, i }, tasks[i].run);
        }
        checkStopsOf(work->serial);
        if (work->hasBrokenGang(ref))
            checkStopsOf(work->stepAt(ref));
    }
}

void WorkDispatcher::reconcileSessions()
{
    const Millis now = steadyNow();
    workersChanged_ = true;
    std::erase_if(sessions_, [this, now](const auto &entry) {
        const bool isGone = state_.works().findIncarnation(entry.first) == nullptr;
        if (isGone) {
            options_.workers.closeIdleConnections(entry.second->endpoint());
            forgottenWorkers_.add(entry.second->endpoint().id, now);
        }
        return isGone;
    });
    for (const auto &[number, incarnation] : state_.works().workers()) {
        const auto found = sessions_.find(number);
        if (found == sessions_.end())
            openSession(incarnation, now);
        else
            found->second->setAddress(incarnation.address());
        const schema::WorkerLife *newest = state_.works().newestIncarnation(incarnation.id());
        if (incarnation.gone() || newest == nullptr || newest->number() != incarnation.number())
            sessions_.at(number)->supersede(
                tokenFor(newest == nullptr ? incarnation : *newest), now);
        // It is removed once the last of its runs has ended, which may take no record of workers.
        if (incarnation.gone())
            forgottenWorkers_.add(incarnation.id(), now);
        // A later incarnation is dropped only after a silence that outlasts its lease.
        const bool isSuccessorDropped =
            incarnation.gone() && newest != nullptr && newest->number() == incarnation.number();
        if (newest == nullptr || isSuccessorDropped || newest->address() != incarnation.address())
            sessions_.at(number)->releaseMovedRuns();
    }
    callLoss_.setSessionCount(sessions_.size());
}

uint64_t WorkDispatcher::tokenFor(const schema::WorkerLife &incarnation) const
{
    return fencingTokenOf(term_, state::WorkerNumber(incarnation.number()));
}

void WorkDispatcher::openSession(const schema::WorkerLife &incarnation, Millis now)
{
    const state::WorkerNumber number(incarnation.number());
    // An earlier leader renewed leases only while a quorum confirmed it, which ended before this
    // leader's term began. It ordered runs only on an incarnation that had answered it, which has
    // refused calls for an earlier incarnation since.
    const Millis longestLease = WorkerSession::longestEarlierLease(options_.times, incarnation);
    sessions_[number] = std::make_unique<WorkerSession>(
        WorkerSession::Options{
            .number = number,
            .endpoint = { incarnation.id(), incarnation.address(), incarnation.zone() },
            .incarnationStartMs = incarnation.born_ms(),
            // The mark of a worker whose earlier incarnation was forgotten rests on maxCallDelay.
            .isRestart = incarnation.restarted() || hasTakenOver_,
            .fencingToken = tokenFor(incarnation),
            .graceEnd = leaderSince_ + longestLease + Millis(500),
            .times = options_.times,
            .callLoss = callLoss_,
            .port = options_.workers,
            .table = state_.works(),
            .events = {
                .onRunEnd = [this, number](const EndedRun &ended) { recordEnd(number, ended); },
                .onOtherEnd = [this, number](const StepTaskRef &task,
                                  const EndReport &report) { applyOtherEnd(number, task, report); },
                .onEndsListed = [this, number] { workersWithListedEnds_.insert(number); },
                .onAvailabilityChanged =
                    [this, number] {
                        planWorkers_.markChanged(number);
                        isPlanDue_ = true;
                        if (sessions_.at(number)->isUsable()
                            && state_.works().lostWorkers().contains(number))
                            returnedWorkers_.insert(number);
                        scheduleBatch();
                    },
                .onFenced = [this] { fenced_ = true; },
                .maySendOrders = [this] { return maySendOrders(); },
                .onTicketRefused =
                    [this, number](
                        const StepTaskRef &task) { permits_.invalidateTicket(task.step, number); },
                .onStartGivenUp = [this](const StepTaskRef &task,
                                      uint32_t run) { giveUpGang(task, run); },
                .onStartAccepted = [this](const StepTaskRef &task,
                                       Millis time) { recordStage(task, Stage::Start, time); },
                .hasNewestListedEndsSince =
                    [this, number](Millis time) { return hasNewestListedEndsSince(number, time); },
                .isMissingOnNewestSince =
                    [this, number](const state::RunRef &run, Millis time) {
                        WorkerSession *newest = newestSessionOf(number);
                        if (newest == nullptr)
                            return false;
                        newest->requestEndsSince(time, steadyNow());
                        return newest->isMissingSince(run, time);
                    },
                .onEarlierLeasesOver = [this, number] { settleRestart(number); },
                .pollDelay = [this, number] { return pollDelay(number); },
            },
            .wallClock = [this] { return stateNow(); },
        },
        now);
}

// The next leader then takes the worker's lease for an ordinary one.
void WorkDispatcher::settleRestart(state::WorkerNumber worker)
{
    const schema::WorkerLife *incarnation = state_.works().findIncarnation(worker);
    if (incarnation == nullptr || !incarnation->restarted())
        return;
    LogEvent("worker-restart-settled")
        .with("worker", incarnation->id())
        .with("number", worker.value());
    settledRestarts_.insert(worker);
}

WorkerSession *WorkDispatcher::newestSessionOf(state::WorkerNumber incarnation)
{
    const schema::WorkerLife *newest =
        state_.works().newestIncarnation(sessions_.at(incarnation)->endpoint().id);
    if (newest == nullptr || newest->number() == incarnation.value())
        return nullptr;
    const auto session = sessions_.find(state::WorkerNumber(newest->number()));
    return session == sessions_.end() ? nullptr : session->second.get();
}

bool WorkDispatcher::hasNewestListedEndsSince(state::WorkerNumber incarnation, Millis time)
{
    const auto session = sessions_.find(incarnation);
    const schema::WorkerLife *newest =
        state_.works().newestIncarnation(session->second->endpoint().id);
    // An incarnation is the newest again once the later ones have been dropped.
    if (newest == nullptr || newest->number() == incarnation.value())
        return true;
    const auto newestSession = sessions_.find(state::WorkerNumber(newest->number()));
    if (newestSession == sessions_.end())
        return false;
    newestSession->second->requestEndsSince(time, steadyNow());
    return newestSession->second->hasListedEndsSince(time);
}

void WorkDispatcher::applyOtherEnd(
    state::WorkerNumber worker, const StepTaskRef &task, const EndReport &report)
{
    const state::WorkTask *state = state_.works().find(task);
    if (state == nullptr || state->phase != state::RunPhase::Running || state->run != report.run)
        return;
    const auto session = sessions_.find(state->worker);
    if (session != sessions_.end()
        && session->second->endpoint().id == sessions_.at(worker)->endpoint().id)
        session->second->applyEnd(task, report);
}

void WorkDispatcher::endStrandedRuns()
{
    for (const auto &[task, run] : state_.works().strandedRuns())
        recordEnd(state_.works().find(task)->worker,
            { .task = task, .run = run, .outcome = schema::RUN_LOST });
}

void WorkDispatcher::recordEnd(state::WorkerNumber worker, const EndedRun &ended)
{
    const StepTaskRef &task = ended.task;
    const state::Work *work = state_.works().find(task.step.work);
    const auto session = sessions_.find(worker);
    LogEvent("run-ended")
        .with("work", work == nullptr ? "" : work->id)
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", ended.run)
        .with("worker", session == sessions_.end() ? "" : session->second->endpoint().id)
        .with("outcome", schema::RunOutcome_Name(ended.outcome));
    activity_.ends++;
    endsListedAt_[task] = steadyNow();
    recordOutcome(worker, task, ended.outcome);
    compareWithForecast(ended);
    planWorkers_.markChanged(worker);
    schema::RunEnd &end = pendingEnds_.emplace_back();
    end.set_work(task.step.work.value());
    end.set_occurrence(task.step.occurrence);
    end.set_step(task.step.step);
    end.set_index(task.index);
    end.set_run(ended.run);
    end.set_outcome(ended.outcome);
    end.set_checkpoint(ended.checkpoint);
    end.set_worker_loss(ended.workerLoss);
    end.set_duration_ms(static_cast<uint64_t>(ended.duration.count()));
    scheduleBatch();
}

// Compares a run that is counted as a full duration with what was known before it.
void WorkDispatcher::compareWithForecast(const EndedRun &ended)
{
    const state::Work *work = state_.works().find(ended.task.step.work);
    const state::WorkTask *task = state_.works().find(ended.task);
    if (ended.outcome != schema::RUN_DONE || ended.duration == Millis() || work == nullptr
        || task == nullptr || !task->checkpoint.empty())
        return;
    const schema::StepSpec &spec = work->specOf(ended.task.step);
    const auto forecast = forecast_.forecast(*work, ended.task.step);
    if (forecast && !spec.service() && !spec.backfill())
        forecastAccuracy_.add(work->queue, ended.duration,
            Millis(static_cast<int64_t>(forecast->median)),
            Millis(static_cast<int64_t>(spec.estimate_ms())));
}

void WorkDispatcher::tick()
{
    const Millis now = steadyNow();
    if (lastTickAt_ > Millis())
        activity_.maxTickDelay = std::max(activity_.maxTickDelay, now - lastTickAt_ - TickInterval);
    lastTickAt_ = now;
    if (!isAdmissionBuilt_)
        rebuildAdmission();
    advicePool_.tick(now);
    // A leader without confirmation by a quorum must not renew leases, because its successor treats
    // them as expired. After a freeze it would also judge runs by outdated reports.
    if (maySendOrders())
        maintainWorkers(now);
    if (now >= nextCellStatus_)
        logCellStatus();
    if (now >= nextExpiry_)
        proposeExpiry();
    if (isPlanDue_ || now >= nextPlan_)
        proposeBatch();
}

bool WorkDispatcher::maySendOrders() const
{
    return !fenced_ && options_.replica.isConfirmedLeader(MaxOrderConfirmationAge);
}

Millis WorkDispatcher::stateNow() const
{
    const Millis ahead(
        std::max<int64_t>(0, static_cast<int64_t>(stateMsAtStart_) - wallAtStart_.count()));
    return wallAtStart_ + ahead + (steadyNow() - leaderSince_);
}

void WorkDispatcher::maintainWorkers(Millis now)
{
    const auto startedAt = std::chrono::steady_clock::now();
    for (const auto &[number, session] : sessions_)
        session->tick(now);
    activity_.tickTime += std::chrono::steady_clock::now() - startedAt;
    if (now < nextStragglerCheck_)
        return;
    stopStragglers();
    recordSurvivals(now);
    throttleBackfill();
    if (now >= nextDrop_)
        dropSilentWorkers(now);
}

void WorkDispatcher::dropSilentWorkers(Millis now)
{
    nextDrop_ = now + DropInterval;
    forgottenWorkers_.prune(now);
    schema::Command command;
    std::vector<state::WorkerNumber> dropped;
    for (const auto &[number, session] : sessions_) {
        const schema::WorkerLife *incarnation = state_.works().findIncarnation(number);
        if (incarnation == nullptr || incarnation->gone() || !session->isSuspect()
            || !session->runs().empty())
            continue;
        const Millis maxSilence = std::max(
            MaxWorkerSilence, WorkerSession::longestEarlierLease(options_.times, *incarnation));
        if (now - session->lastAnswerAt() <= maxSilence
            || !workersBeingDropped_.insert(number).second)
            continue;
        LogEvent("worker-dropped")
            .with("worker", incarnation->id())
            .with("number", number.value())
            .with("silentMs", now - session->lastAnswerAt());
        schema::WorkerLife *gone = command.mutable_runs()->add_workers();
        *gone = *incarnation;
        gone->set_gone(true);
        dropped.push_back(number);
    }
    if (dropped.empty())
        return;
    options_.replica.propose(
        std::move(command), guarded([this, dropped](const schema::CommandOutcome &) {
            for (const state::WorkerNumber number : dropped)
                workersBeingDropped_.erase(number);
        }));
}

void WorkDispatcher::scheduleBatch()
{
    if (!batchTimer_.isPending())
        batchTimer_.startOnce(Millis(0));
}

void WorkDispatcher::proposeBatch()
{
    const Millis now = steadyNow();
    if (isBatchPending_ || fenced_ || now < nextBatch_ || !options_.replica.isLeading())
        return;
    std::map<state::WorkerNumber, uint64_t> ends = takeListedEnds();
    schema::Command command;
    schema::RunBatch *batch = command.mutable_runs();
    const bool hasEnds = !pendingEnds_.empty();
    for (schema::RunEnd &end : pendingEnds_)
        *batch->add_ends() = std::move(end);
    pendingEnds_.clear();
    for (const state::WorkerNumber number : std::exchange(returnedWorkers_, {}))
        batch->add_returned(number.value());
    for (const state::WorkerNumber number : std::exchange(settledRestarts_, {}))
        batch->add_settled_restarts(number.value());
    if (isPlanDue_ || hasEnds || now >= nextPlan_) {
        isPlanDue_ = false;
        nextPlan_ = now + IdlePlanInterval;
        plan(batch);
    }
    if (batch->ends_size() == 0 && batch->starts_size() == 0 && batch->returned_size() == 0
        && batch->settled_restarts_size() == 0)
        return ackEnds(ends);
    isBatchPending_ = true;
    const schema::RunBatch sent = *batch;
    options_.replica.propose(
        std::move(command), guarded([this, sent, ends, now](const schema::CommandOutcome &outcome) {
            isBatchPending_ = false;
            if (outcome.code() != schema::ACCEPTED)
                return restoreBatch(sent, ends, outcome);
            ackEnds(ends);
            sendStarts(sent, now);
            scheduleBatch();
        }));
}

// Puts back what the log has not taken, as during a transfer of leadership: an end is acknowledged
// only once it is logged. The next plan repeats the starts.
void WorkDispatcher::restoreBatch(const schema::RunBatch &batch,
    const std::map<state::WorkerNumber, uint64_t> &ends, const schema::CommandOutcome &outcome)
{
    LogEvent("runs-not-logged", LogLevel::Warning)
        .with("ends", batch.ends_size())
        .with("starts", batch.starts_size())
        .with("reason", outcome.message());
    nextBatch_ = steadyNow() + BatchRetryInterval;
    isPlanDue_ = true;
    pendingEnds_.insert(pendingEnds_.begin(), batch.ends().begin(), batch.ends().end());
    for (const auto &[number, end] : ends)
        workersWithListedEnds_.insert(number);
    for (const uint32_t number : batch.returned())
        returnedWorkers_.insert(state::WorkerNumber(number));
    for (const uint32_t number : batch.settled_restarts())
        settledRestarts_.insert(state::WorkerNumber(number));
}

// The ends that go into the next record, by the highest number of each worker.
std::map<state::WorkerNumber, uint64_t> WorkDispatcher::takeListedEnds()
{
    std::map<state::WorkerNumber, uint64_t> ends;
    for (const state::WorkerNumber number : workersWithListedEnds_) {
        const auto session = sessions_.find(number);
        if (session != sessions_.end())
            ends[number] = session->second->highestEndSequence();
    }
    workersWithListedEnds_.clear();
    return ends;
}

void WorkDispatcher::ackEnds(const std::map<state::WorkerNumber, uint64_t> &ends)
{
    for (const auto &[number, end] : ends) {
        const auto session = sessions_.find(number);
        if (session != sessions_.end())
            session->second->ackEnds(end);
    }
}

void WorkDispatcher::sendStarts(const schema::RunBatch &batch, Millis plannedAt)
{
    const Millis now = steadyNow();
    for (const auto &start : batch.starts()) {
        const StepTaskRef task{
            { state::WorkSerial(start.work()), start.occurrence(), start.step() }, start.index()
        };
        const auto ticket = pendingTickets_.extract(task);
        const state::WorkTask *state = state_.works().find(task);
        const state::WorkerNumber worker(start.worker());
        const auto session = sessions_.find(worker);
        const bool isCurrent = state != nullptr && state->phase == state::RunPhase::Running
            && state->run == start.run() && state->worker == worker;
        if (!isCurrent)
            continue;
        // The incarnation was removed between the plan and this record.
        if (session == sessions_.end()) {
            recordEnd(worker, { .task = task, .run = start.run(), .outcome = schema::RUN_LOST });
            continue;
        }
        const state::Work *work = state_.works().find(task.step.work);
        LogEvent("run-ordered")
            .with("work", work->id)
            .with("step", task.step.step)
            .with("task", task.index)
            .with("run", start.run())
            .with("worker", session->second->endpoint().id);
        activity_.starts++;
        if (start.run() == 1)
            recordFirstStart(*work, task, plannedAt);
        startSentAt_[task] = now;
        health_.recordStart(worker, now);
        if (state->isCrashSuspect())
            crashProbations_[worker] = now + options_.times.startLossWindow;
        session->second->start(
            task, start.run(), ticket.empty() ? std::string() : ticket.mapped(), now);
    }
}

void WorkDispatcher::recordFirstStart(
    const state::Work &work, const StepTaskRef &task, Millis plannedAt)
{
    const Millis now = steadyNow();
    const Millis readySince(static_cast<int64_t>(readySinceMs(work, task.step)));
    stageTimes_.add(work.queue, Stage::Plan, stateNow() - (now - plannedAt) - readySince);
    stageTimes_.add(work.queue, Stage::Commit, now - plannedAt);
}

void WorkDispatcher::recordStage(const StepTaskRef &task, Stage stage, Millis time)
{
    const state::Work *work = state_.works().find(task.step.work);
    if (work != nullptr)
        stageTimes_.add(work->queue, stage, time);
}

void WorkDispatcher::proposeExpiry()
{
    nextExpiry_ = steadyNow() + ExpiryInterval;
    if (!state_.hasExpired(static_cast<uint64_t>(wallNow().count())))
        return;
    schema::Command command;
    command.mutable_expire();
    options_.replica.propose(std::move(command), [](const schema::CommandOutcome &) {});
}

} // namespace basilgap::dispatch
