#include "ModelLeader.h"

#include <utility>

#include "Basilgap/Scheduling/PendingRunEnds.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis TickInterval{ 25 };
constexpr int64_t MinCommitMs = 5;
constexpr int64_t MaxCommitMs = 40;
// As in WorkDispatcher: leases that an earlier leader granted have expired by then.
constexpr Millis GraceTime{ 4072 };

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
    , leaderSince_(options_.time.now())
{
    reconcile();
    options_.time.after(TickInterval, [this] { tick(); });
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
                    .endpoint = { incarnation.id(), "" },
                    .incarnationStartMs = incarnation.born_ms(),
                    .fencingToken = options_.fencingToken,
                    .graceEnd = leaderSince_ + GraceTime,
                    .times = {},
                    .callLoss = callLoss_,
                    .port = network_,
                    .table = options_.table,
                    .events = {
                        .onRunEnd =
                            [this](const StepTaskRef &task, uint32_t run,
                                schema::RunOutcome outcome, const std::string &) {
                                schema::RunEnd &end = pendingEnds_.emplace_back();
                                end.set_work(task.step.work.value());
                                end.set_occurrence(task.step.occurrence);
                                end.set_step(task.step.step);
                                end.set_index(task.index);
                                end.set_run(run);
                                end.set_outcome(outcome);
                            },
                        .onEndsListed =
                            [this, listed = number] { workersWithListedEnds_.insert(listed); },
                        .onAvailabilityChanged = [] {},
                        .onFenced = [this] { isFenced_ = true; },
                        .maySendOrders = [this] { return isConfirmed_ && !isFenced_; },
                        .onTicketRefused = [](const StepTaskRef &) {},
                    },
                    .clock = [this] { return options_.time.now(); },
                },
                options_.time.now());
        }
        const schema::WorkerLife *newest = options_.table.newestIncarnation(incarnation.id());
        if (incarnation.gone() || newest == nullptr || newest->number() != incarnation.number())
            sessions_.at(number)->supersede(options_.time.now());
    }
    callLoss_.setSessionCount(sessions_.size());
}

void ModelLeader::handleCanceled()
{
    for (const auto &[number, session] : sessions_)
        session->checkStops();
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
    if (isConfirmed_ && !isFenced_) {
        for (const auto &[number, session] : sessions_)
            session->tick(options_.time.now());
    }
    propose();
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
    isBatchPending_ = true;
    options_.time.after(options_.time.millisBetween(MinCommitMs, MaxCommitMs),
        [this, batch, ends] { commit(batch, ends); });
}

// The room of ends in the same record counts as free only in the next round.
void ModelLeader::planStarts(schema::RunBatch *batch)
{
    const auto pending = scheduling::collectPendingRunEnds(options_.table, *batch);
    std::map<WorkerNumber, int64_t> planned;
    for (const state::WorkSerial serial : options_.table.active()) {
        const state::Work &work = *options_.table.find(serial);
        const StepTaskRef first{ { serial, 0, 0 }, 0 };
        for (uint32_t i = 0; i < work.stepAt(first.step).tasks.size(); i++) {
            const StepTaskRef task{ first.step, i };
            if (!pending.isWaiting(work, task))
                continue;
            const int64_t need = options_.millicoresOf(task);
            for (const auto &[number, session] : sessions_) {
                const schema::WorkerLife *incarnation = options_.table.findIncarnation(number);
                const int64_t used =
                    options_.table.reservedOn(number).millicores + planned[number] + need;
                if (incarnation == nullptr || incarnation->gone() || !session->isUsable()
                    || used > static_cast<int64_t>(incarnation->millicores()))
                    continue;
                planned[number] += need;
                schema::RunStart *start = batch->add_starts();
                start->set_work(serial.value());
                start->set_index(i);
                start->set_run(options_.table.find(task)->run + 1);
                start->set_worker(number.value());
                break;
            }
        }
    }
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
    for (const auto &[number, end] : ends) {
        if (sessions_.contains(number))
            sessions_.at(number)->ackEnds(end);
    }
    sendStarts(batch);
}

void ModelLeader::handleApplied(const schema::RunBatch &batch)
{
    for (const auto &end : batch.ends()) {
        const state::WorkTask *task = options_.table.find(taskOf(end));
        if (task->phase == state::RunPhase::Running)
            continue;
        for (const auto &[number, session] : sessions_) {
            if (number == task->worker)
                session->removeRun(taskOf(end), task->run);
        }
    }
    handleCanceled();
}

void ModelLeader::sendStarts(const schema::RunBatch &batch)
{
    for (const auto &start : batch.starts()) {
        const StepTaskRef task = taskOf(start);
        const state::WorkTask *state = options_.table.find(task);
        const WorkerNumber worker(start.worker());
        const bool isCurrent = state->phase == state::RunPhase::Running && state->run == start.run()
            && state->worker == worker;
        if (isCurrent && sessions_.contains(worker))
            sessions_.at(worker)->start(task, start.run(), "", options_.time.now());
    }
}

} // namespace basilgap::dispatch
