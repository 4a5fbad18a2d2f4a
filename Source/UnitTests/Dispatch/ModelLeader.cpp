#include "ModelLeader.h"

#include <algorithm>
#include <utility>

namespace basilgap::dispatch {

namespace {

constexpr Millis TickInterval{ 25 };
constexpr int64_t MinCommitMs = 3;
constexpr int64_t MaxCommitMs = 25;
constexpr int64_t MaxSlowCommitMs = 400;
// As in WorkDispatcher.
constexpr Millis GraceMargin{ 500 };
constexpr Millis DropInterval{ 1000 };
constexpr Millis MaxWorkerSilence{ 12000 };

state::StepTaskRef taskOf(const schema::RunEnd &end)
{
    return { { state::WorkSerial(end.work()), end.occurrence(), end.step() }, end.index() };
}

state::StepTaskRef taskOf(const schema::RunStart &start)
{
    return { { state::WorkSerial(start.work()), start.occurrence(), start.step() }, start.index() };
}

} // namespace

ModelLeader::ModelLeader(Options options)
    : options_(std::move(options))
    , network_(options_.time, options_.workers)
    , port_(portOptions())
    , leaderSince_(options_.time.now())
{
    relayEnd_->run = [this](
                         std::function<void()> event) { network_.runInLeader(std::move(event)); };
    relayEnd_->port = &port_;
    if (options_.relays != nullptr)
        options_.relays->connect(relayEnd_);
    reconcile();
    hasTakenOver_ = true;
    for (const auto &[task, run] : options_.table.strandedRuns())
        endStrandedRun(task, run);
    options_.time.after(TickInterval, [this] { tick(); });
}

RelayedWorkerPort::Options ModelLeader::portOptions()
{
    return {
        .direct = network_,
        .term = options_.term,
        .send =
            [this](const std::string &relay, const schema::PeerMessage &message) {
                return options_.relays->send(relayEnd_.get(), relay, message);
            },
        .scheduleFlush =
            [this] {
                options_.time.after(Millis(), [this] {
                    network_.runInLeader([this] {
                        if (!isRetired_)
                            port_.flush();
                    });
                });
            },
        .clock = [this] { return options_.time.now(); },
    };
}

void ModelLeader::freeze()
{
    isFrozen_ = true;
    network_.freeze();
}

void ModelLeader::thaw()
{
    isFrozen_ = false;
    isConfirmed_ = false;
    network_.thaw();
}

void ModelLeader::retire()
{
    isRetired_ = true;
    relayEnd_->port = nullptr;
    sessions_.clear();
}

void ModelLeader::reconcile()
{
    std::erase_if(sessions_, [this](const auto &entry) {
        return options_.table.findIncarnation(entry.first) == nullptr;
    });
    for (const auto &[number, incarnation] : options_.table.workers()) {
        if (!sessions_.contains(number)) {
            sessions_[number] = std::make_unique<WorkerSession>(
                WorkerSession::Options{
                    .number = number,
                    .endpoint = { incarnation.id(), "", "z1" },
                    .incarnationStartMs = incarnation.born_ms(),
                    .isRestart = incarnation.restarted() || hasTakenOver_,
                    .fencingToken = fencingTokenOf(options_.term, number),
                    .graceEnd = leaderSince_
                        + WorkerSession::longestEarlierLease({}, incarnation) + GraceMargin,
                    .times = {},
                    .callLoss = callLoss_,
                    .port = port_,
                    .table = options_.table,
                    .events = {
                        .onRunEnd =
                            [this](const EndedRun &ended) { recordEnd(ended); },
                        .onOtherEnd =
                            [this, listing = number](
                                const StepTaskRef &task, const EndReport &report) {
                                applyOtherEnd(listing, task, report);
                            },
                        .onEndsListed =
                            [this, listed = number] { workersWithListedEnds_.insert(listed); },
                        .onAvailabilityChanged = [] {},
                        .onFenced = [this] { isFenced_ = true; },
                        .maySendOrders = [this] { return isConfirmed_ && !isFenced_; },
                        .onTicketRefused = [](const StepTaskRef &) {},
                        .onStartGivenUp = [this](const StepTaskRef &task,
                                              uint32_t run) { giveUpGang(task, run); },
                        .hasNewestListedEndsSince =
                            [this, asking = number](Millis time) {
                                const auto *newest = options_.table.newestIncarnation(
                                    sessions_.at(asking)->endpoint().id);
                                if (newest == nullptr || newest->number() == asking.value())
                                    return true;
                                const auto session = sessions_.find(WorkerNumber(newest->number()));
                                if (session == sessions_.end())
                                    return false;
                                session->second->requestEndsSince(time, options_.time.now());
                                return session->second->hasListedEndsSince(time);
                            },
                        .isMissingOnNewestSince =
                            [this, asking = number](const state::RunRef &run, Millis time) {
                                const auto *newest = options_.table.newestIncarnation(
                                    sessions_.at(asking)->endpoint().id);
                                if (newest == nullptr || newest->number() == asking.value())
                                    return false;
                                const auto session = sessions_.find(WorkerNumber(newest->number()));
                                if (session == sessions_.end())
                                    return false;
                                session->second->requestEndsSince(time, options_.time.now());
                                return session->second->isMissingSince(run, time);
                            },
                        .onEarlierLeasesOver = [this, number = number] { settleRestart(number); },
                    },
                    .clock = [this] { return options_.time.now(); },
                    .wallClock = [this] { return options_.time.now(); },
                },
                options_.time.now());
        }
        const schema::WorkerLife *newest = options_.table.newestIncarnation(incarnation.id());
        if (incarnation.gone() || newest == nullptr || newest->number() != incarnation.number())
            sessions_.at(number)->supersede(
                fencingTokenOf(options_.term,
                    WorkerNumber(newest == nullptr ? number.value() : newest->number())),
                options_.time.now());
        // As in WorkDispatcher, except that a worker keeps its address.
        const bool isSuccessorDropped =
            incarnation.gone() && newest != nullptr && newest->number() == incarnation.number();
        if (newest == nullptr || isSuccessorDropped)
            sessions_.at(number)->releaseMovedRuns();
    }
    callLoss_.setSessionCount(sessions_.size());
}

// In a record of its own after a fixed time, so that no random number is drawn for it.
void ModelLeader::settleRestart(WorkerNumber worker)
{
    const schema::WorkerLife *incarnation = options_.table.findIncarnation(worker);
    if (incarnation == nullptr || !incarnation->restarted())
        return;
    options_.time.after(Millis(MaxCommitMs), [this, worker] {
        if (isRetired_ || isFrozen_)
            return;
        schema::RunBatch batch;
        batch.add_settled_restarts(worker.value());
        options_.table.apply(batch, static_cast<uint64_t>(options_.time.now().count()));
        settledRestarts_++;
    });
}

void ModelLeader::recordEnd(const EndedRun &ended)
{
    const StepTaskRef &task = ended.task;
    schema::RunEnd &end = pendingEnds_.emplace_back();
    end.set_work(task.step.work.value());
    end.set_occurrence(task.step.occurrence);
    end.set_step(task.step.step);
    end.set_index(task.index);
    end.set_run(ended.run);
    end.set_outcome(ended.outcome);
    end.set_worker_loss(ended.workerLoss);
    scheduleProposal();
}

void ModelLeader::applyOtherEnd(
    WorkerNumber worker, const StepTaskRef &task, const EndReport &report)
{
    const state::WorkTask *state = options_.table.find(task);
    if (state->phase != state::RunPhase::Running || state->run != report.run)
        return;
    const auto session = sessions_.find(state->worker);
    if (session != sessions_.end()
        && session->second->endpoint().id == sessions_.at(worker)->endpoint().id)
        session->second->applyEnd(task, report);
}

void ModelLeader::handleCanceled()
{
    for (const auto &[number, session] : sessions_)
        session->checkStops();
}

void ModelLeader::giveUpGang(const StepTaskRef &member, uint32_t run)
{
    const state::Work &work = *options_.table.find(member.step.work);
    const auto &tasks = work.stepAt(member.step).tasks;
    for (uint32_t i = 0; work.specOf(member.step).gang() && i < tasks.size(); i++) {
        const auto session = sessions_.find(tasks[i].worker);
        if (tasks[i].phase == state::RunPhase::Running && session != sessions_.end())
            session->second->giveUp({ member.step, i }, run);
    }
}

void ModelLeader::preempt(const state::StepTaskRef &task)
{
    const auto session = sessions_.find(options_.table.find(task)->worker);
    if (session != sessions_.end() && isConfirmed_ && !isFrozen_)
        session->second->stop(task, options_.time.now());
}

void ModelLeader::tick()
{
    if (isRetired_)
        return;
    options_.time.after(TickInterval, [this] { tick(); });
    if (isFrozen_)
        return;
    port_.tick(options_.time.now());
    if (isConfirmed_ && !isFenced_) {
        for (const auto &[number, session] : sessions_)
            session->tick(options_.time.now());
        if (options_.dropsSilentWorkers && options_.time.now() >= nextDrop_)
            dropSilentWorkers();
    }
    propose();
}

void ModelLeader::dropSilentWorkers()
{
    const Millis now = options_.time.now();
    nextDrop_ = now + DropInterval;
    std::vector<schema::WorkerLife> dropped;
    for (const auto &[number, session] : sessions_) {
        const schema::WorkerLife *incarnation = options_.table.findIncarnation(number);
        if (incarnation == nullptr || incarnation->gone() || !session->isSuspect()
            || !session->runs().empty())
            continue;
        const Millis maxSilence =
            std::max(MaxWorkerSilence, WorkerSession::longestEarlierLease({}, *incarnation));
        if (now - session->lastAnswerAt() > maxSilence
            && workersBeingDropped_.insert(number).second)
            dropped.push_back(*incarnation);
    }
    if (dropped.empty())
        return;
    options_.time.after(nextCommitDelay(), [this, dropped] {
        if (isRetired_ || isFrozen_)
            return;
        schema::RunBatch batch;
        for (const schema::WorkerLife &life : dropped) {
            workersBeingDropped_.erase(WorkerNumber(life.number()));
            schema::WorkerLife *gone = batch.add_workers();
            *gone = life;
            gone->set_gone(true);
            droppedWorkers_++;
        }
        options_.table.apply(batch, static_cast<uint64_t>(options_.time.now().count()));
        reconcile();
    });
}

Millis ModelLeader::nextCommitDelay()
{
    const Millis now = options_.time.now();
    const int64_t maxMs = options_.dropsSilentWorkers ? MaxSlowCommitMs : MaxCommitMs;
    lastCommitAt_ = std::max(lastCommitAt_, now + options_.time.millisBetween(MinCommitMs, maxMs));
    return lastCommitAt_ - now;
}

void ModelLeader::propose()
{
    if (isBatchPending_ || isFenced_ || !isConfirmed_)
        return;
    std::map<WorkerNumber, uint64_t> ends;
    for (const WorkerNumber number : std::exchange(workersWithListedEnds_, {})) {
        if (sessions_.contains(number))
            ends[number] = sessions_.at(number)->highestEndSequence();
    }
    schema::RunBatch batch;
    for (const schema::RunEnd &end : std::exchange(pendingEnds_, {}))
        *batch.add_ends() = end;
    planStarts(&batch);
    if (batch.ends_size() == 0 && batch.starts_size() == 0)
        return ackEnds(ends);
    isBatchPending_ = true;
    options_.time.after(nextCommitDelay(), [this, batch, ends] { commit(batch, ends); });
}

// The room of ends in the same record counts as free only in the next round.
void ModelLeader::planStarts(schema::RunBatch *batch)
{
    const auto pending = scheduling::collectPendingRunEnds(options_.table, *batch);
    std::map<WorkerNumber, int64_t> planned;
    for (const state::WorkSerial serial : options_.table.active())
        planStep({ serial, 0, 0 }, pending, &planned, batch);
}

void ModelLeader::planStep(const state::StepRef &step, const scheduling::PendingRunEnds &pending,
    std::map<WorkerNumber, int64_t> *planned, schema::RunBatch *batch)
{
    const state::Work &work = *options_.table.find(step.work);
    const bool isGang = work.specOf(step).gang();
    if (isGang && work.stepAt(step).running > 0)
        return;
    const auto &tasks = work.stepAt(step).tasks;
    uint32_t gangRun = 0;
    for (const state::WorkTask &task : tasks)
        gangRun = std::max(gangRun, task.run);
    std::map<WorkerNumber, int64_t> plannedHere = *planned;
    schema::RunBatch starts;
    for (uint32_t i = 0; i < tasks.size(); i++) {
        const StepTaskRef task{ step, i };
        if (!pending.isWaiting(work, task))
            continue;
        const auto worker = findRoom(options_.millicoresOf(task), plannedHere);
        if (!worker && isGang)
            return;
        if (!worker)
            continue;
        plannedHere[*worker] += options_.millicoresOf(task);
        schema::RunStart *start = starts.add_starts();
        start->set_work(step.work.value());
        start->set_index(i);
        start->set_run((isGang ? gangRun : tasks[i].run) + 1);
        start->set_worker(worker->value());
    }
    *planned = plannedHere;
    batch->MergeFrom(starts);
}

std::optional<WorkerNumber> ModelLeader::findRoom(
    int64_t millicores, const std::map<WorkerNumber, int64_t> &planned) const
{
    for (const auto &[number, session] : sessions_) {
        const schema::WorkerLife *incarnation = options_.table.findIncarnation(number);
        const auto here = planned.find(number);
        const int64_t used = options_.table.reservedOn(number).millicores
            + session->lingeringReservation().millicores
            + (here == planned.end() ? 0 : here->second) + millicores;
        if (incarnation != nullptr && !incarnation->gone() && session->isUsable()
            && used <= static_cast<int64_t>(incarnation->millicores()))
            return number;
    }
    return std::nullopt;
}

// The record of a leader that has lost its role is lost.
void ModelLeader::commit(
    const schema::RunBatch &batch, const std::map<WorkerNumber, uint64_t> &ends)
{
    isBatchPending_ = false;
    if (isRetired_ || isFrozen_)
        return;
    options_.table.apply(batch, static_cast<uint64_t>(options_.time.now().count()));
    handleApplied(batch);
    ackEnds(ends);
    sendStarts(batch);
    scheduleProposal();
}

void ModelLeader::scheduleProposal()
{
    options_.time.after(Millis(), [this] {
        if (!isRetired_ && !isFrozen_)
            propose();
    });
}

void ModelLeader::handleApplied(const schema::RunBatch &batch)
{
    // The end of one member of a gang may end all of its runs.
    for (const auto &end : batch.ends()) {
        const state::StepRef step = taskOf(end).step;
        const auto &tasks = options_.table.find(step.work)->stepAt(step).tasks;
        for (uint32_t i = 0; i < tasks.size(); i++) {
            const auto session = sessions_.find(tasks[i].worker);
            if (tasks[i].phase != state::RunPhase::Running && session != sessions_.end())
                session->second->removeRun({ step, i }, tasks[i].run);
        }
    }
    handleCanceled();
}

void ModelLeader::ackEnds(const std::map<WorkerNumber, uint64_t> &ends)
{
    for (const auto &[number, end] : ends) {
        if (sessions_.contains(number))
            sessions_.at(number)->ackEnds(end);
    }
}

void ModelLeader::endStrandedRun(const StepTaskRef &task, uint32_t run)
{
    recordEnd({ .task = task, .run = run, .outcome = schema::RUN_LOST });
}

void ModelLeader::sendStarts(const schema::RunBatch &batch)
{
    for (const auto &start : batch.starts()) {
        const StepTaskRef task = taskOf(start);
        const state::WorkTask *state = options_.table.find(task);
        const WorkerNumber worker(start.worker());
        const bool isCurrent = state->phase == state::RunPhase::Running && state->run == start.run()
            && state->worker == worker;
        const auto session = sessions_.find(worker);
        if (!isCurrent)
            continue;
        if (session == sessions_.end()) {
            endStrandedRun(task, start.run());
            continue;
        }
        const std::string ticket = options_.usesTickets
            ? std::to_string(
                options_.workers.at(session->second->endpoint().id)->incarnationStartMs())
            : std::string();
        session->second->start(task, start.run(), ticket, options_.time.now());
    }
}

} // namespace basilgap::dispatch
