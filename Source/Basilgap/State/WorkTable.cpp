#include "Basilgap/State/WorkTable.h"

#include <algorithm>
#include <utility>

namespace basilgap::state {

uint64_t Work::dueMs(uint32_t occurrence) const
{
    if (spec.occurrences() == 0)
        return 0;
    return spec.first_due_ms() + occurrence * spec.interval_ms();
}

bool Work::isReady(const StepRef &ref) const
{
    for (const uint32_t before : specOf(ref).after()) {
        if (!occurrences[ref.occurrence][before].isDone())
            return false;
    }
    return true;
}

bool Work::hasBrokenGang(const StepRef &ref) const
{
    const WorkStep &step = stepAt(ref);
    return specOf(ref).gang() && step.waiting > 0 && step.running > 0;
}

DurationSubject durationSubjectOf(const Work &work, const StepRef &step)
{
    return { work.queue.value(), work.account.value(), work.specOf(step) };
}

QueueId queueIdOf(const schema::QueueConfig &queue)
{
    return QueueId(queue.host() + queue.prefix());
}

Resources reservationOf(const schema::StepSpec &step)
{
    Resources need;
    need.millicores = step.backfill() ? 0 : static_cast<int64_t>(step.millicores());
    need.memoryMb = static_cast<int64_t>(step.memory_mb());
    need.accelerators = static_cast<int64_t>(step.accelerators());
    return need;
}

schema::CommandOutcome WorkTable::submit(const schema::SubmitWork &command, uint64_t stampMs)
{
    schema::CommandOutcome outcome;
    if (byId_.contains(command.id())) {
        outcome.set_again(true);
        return outcome;
    }
    Work work;
    work.serial = WorkSerial(nextSerial_++);
    work.id = command.id();
    work.queue = QueueId(command.queue_id().empty() ? command.queue() : command.queue_id());
    work.account = AccountName(command.account());
    work.spec = command.spec();
    work.maxAttempts = std::max(1U, command.max_attempts());
    work.submittedMs = stampMs;
    buildSteps(&work);
    byId_[work.id] = work.serial;
    outcome.set_job(work.serial.value());
    const WorkSerial serial = work.serial;
    Work &stored = works_.emplace(serial, std::move(work)).first->second;
    addToIndex(&stored);
    if (earlyCancellations_.remove(stored.id))
        finish(&stored, WorkPhase::Canceled, stampMs);
    else
        updateIndexes(stored);
    return outcome;
}

void WorkTable::addToIndex(Work *work)
{
    if (bySerial_.empty())
        firstIndexed_ = work->serial.value();
    bySerial_.resize(work->serial.value() - firstIndexed_ + 1, nullptr);
    bySerial_.back() = work;
}

void WorkTable::buildSteps(Work *work)
{
    const uint32_t occurrences = std::max(1U, work->spec.occurrences());
    work->occurrences.resize(occurrences);
    work->waitingTasks = 0;
    for (auto &steps : work->occurrences) {
        steps.resize(static_cast<size_t>(work->spec.steps_size()));
        for (size_t i = 0; i < steps.size(); i++) {
            const uint32_t count = work->spec.steps(static_cast<int>(i)).count();
            steps[i].tasks.resize(count);
            steps[i].waiting = count;
            work->waitingTasks += count;
        }
    }
}

schema::CommandOutcome WorkTable::cancel(const schema::CancelWork &command, uint64_t stampMs)
{
    schema::CommandOutcome outcome;
    const auto found = byId_.find(command.id());
    if (found == byId_.end()) {
        const bool isKept = !command.covers_later_submission()
            || earlyCancellations_.add(command.id(), AccountName(command.account()), stampMs);
        outcome.set_code(isKept ? schema::NOT_FOUND : schema::LIMIT_REACHED);
        return outcome;
    }
    Work &work = works_.at(found->second);
    outcome.set_job(work.serial.value());
    if (work.isActive())
        finish(&work, WorkPhase::Canceled, stampMs);
    return outcome;
}

void WorkTable::apply(const schema::RunBatch &batch, uint64_t stampMs)
{
    for (const auto &incarnation : batch.workers())
        registerIncarnation(incarnation, stampMs);
    for (const uint32_t number : batch.returned())
        dismissCrash(lostWorkers_.take(WorkerNumber(number)));
    for (const uint32_t number : batch.settled_restarts()) {
        const auto incarnation = workers_.find(WorkerNumber(number));
        if (incarnation != workers_.end())
            incarnation->second.set_restarted(false);
    }
    for (const auto &end : batch.ends())
        endRun(end, stampMs);
    for (const auto &start : batch.starts())
        startRun(start, stampMs);
}

void WorkTable::registerIncarnation(const schema::WorkerLife &incarnation, uint64_t stampMs)
{
    const WorkerNumber number(incarnation.number());
    const schema::WorkerLife *newest = newestIncarnation(incarnation.id());
    if (newest != nullptr && newest->number() > incarnation.number() && !incarnation.gone())
        return;
    // A record that was made before a newer announcement of the same incarnation was applied.
    const auto known = workers_.find(number);
    if (known != workers_.end() && !incarnation.gone()
        && incarnation.announced_sequence() < known->second.announced_sequence()) {
        known->second.set_leaving(known->second.leaving() || incarnation.leaving());
        return;
    }
    nextWorker_ = std::max(nextWorker_, incarnation.number() + 1);
    if (newest == nullptr || newest->number() <= incarnation.number())
        newestIncarnations_[incarnation.id()] = number;
    schema::WorkerLife stored = incarnation;
    // Later records of an incarnation may have been made before its mark was removed.
    const bool follows = newest != nullptr && newest->number() < incarnation.number();
    stored.set_restarted(
        known == workers_.end() ? incarnation.restarted() || follows : known->second.restarted());
    storeIncarnation(stored);
    if (!incarnation.gone())
        return confirmCrash(lostWorkers_.takeReplacedBy(incarnation), stampMs);
    // A worker that does not come back counts as crashed.
    confirmCrash(lostWorkers_.take(number), stampMs);
    // The runs on this incarnation are ended by their own records; it is kept until then.
    if (!runs_.contains(number))
        removeIncarnation(workers_.find(number));
}

void WorkTable::storeIncarnation(const schema::WorkerLife &incarnation)
{
    const WorkerNumber number(incarnation.number());
    const auto known = workers_.find(number);
    if (known != workers_.end())
        removeFromAddress(known->second);
    workers_[number] = incarnation;
    byAddress_.emplace(incarnation.address(), number);
}

void WorkTable::removeFromAddress(const schema::WorkerLife &incarnation)
{
    auto [it, end] = byAddress_.equal_range(incarnation.address());
    while (it != end && it->second.value() != incarnation.number())
        ++it;
    if (it != end)
        byAddress_.erase(it);
}

void WorkTable::removeIncarnation(std::map<WorkerNumber, schema::WorkerLife>::iterator incarnation)
{
    const WorkerNumber number = incarnation->first;
    const std::string id = incarnation->second.id();
    removeFromAddress(incarnation->second);
    workers_.erase(incarnation);
    if (newestIncarnations_.at(id) != number)
        return;
    // An earlier incarnation whose runs have not all ended is the newest then.
    const auto earlier = std::find_if(workers_.rbegin(), workers_.rend(),
        [&id](const auto &entry) { return entry.second.id() == id; });
    if (earlier == workers_.rend())
        newestIncarnations_.erase(id);
    else
        newestIncarnations_[id] = earlier->first;
}

// Whether another incarnation has taken the worker's id or address.
bool WorkTable::isReplaced(const schema::WorkerLife &life) const
{
    const schema::WorkerLife *newest = newestIncarnation(life.id());
    if (newest != nullptr && replaces(*newest, life))
        return true;
    const auto [first, last] = byAddress_.equal_range(life.address());
    return std::any_of(
        first, last, [&](const auto &entry) { return replaces(workers_.at(entry.second), life); });
}

void WorkTable::startRun(const schema::RunStart &start, uint64_t stampMs)
{
    const auto found = works_.find(WorkSerial(start.work()));
    if (found == works_.end() || !found->second.isActive())
        return;
    Work &work = found->second;
    if (start.occurrence() >= work.occurrences.size()
        || start.step() >= work.occurrences[start.occurrence()].size())
        return;
    WorkStep &step = work.occurrences[start.occurrence()][start.step()];
    if (start.index() >= step.tasks.size())
        return;
    WorkTask &task = step.tasks[start.index()];
    if (task.phase != RunPhase::Waiting || start.run() <= task.run)
        return;
    const StepTaskRef ref{ { work.serial, start.occurrence(), start.step() }, start.index() };
    const WorkerNumber worker(start.worker());
    task.phase = RunPhase::Running;
    task.worker = worker;
    task.run = start.run();
    task.phaseSinceMs = stampMs;
    step.waiting--;
    step.running++;
    work.waitingTasks--;
    work.runningTasks++;
    work.started = true;
    // Only a worker that answers is given new runs.
    dismissCrash(lostWorkers_.take(worker));
    const schema::StepSpec &spec = work.specOf(ref.step);
    runs_[worker][ref] = start.run();
    runsByAccount_[work.account].insert(ref);
    reserved_[worker] += reservationOf(spec);
    usage_[work.account] += Resources{ static_cast<int64_t>(spec.millicores()),
        static_cast<int64_t>(spec.memory_mb()), static_cast<int64_t>(spec.accelerators()) };
    running_++;
    updateIndexes(work);
}

void WorkTable::releaseRun(Work *work, const StepTaskRef &ref, WorkTask *task)
{
    WorkStep &step = work->occurrences[ref.step.occurrence][ref.step.step];
    const schema::StepSpec &spec = work->specOf(ref.step);
    const auto runs = runs_.find(task->worker);
    if (runs != runs_.end()) {
        runs->second.erase(ref);
        reserved_[task->worker] -= reservationOf(spec);
        if (runs->second.empty()) {
            runs_.erase(runs);
            reserved_.erase(task->worker);
            const auto incarnation = workers_.find(task->worker);
            if (incarnation != workers_.end() && incarnation->second.gone())
                removeIncarnation(incarnation);
        }
    }
    const auto ofAccount = runsByAccount_.find(work->account);
    ofAccount->second.erase(ref);
    if (ofAccount->second.empty())
        runsByAccount_.erase(ofAccount);
    usage_[work->account] -= Resources{ static_cast<int64_t>(spec.millicores()),
        static_cast<int64_t>(spec.memory_mb()), static_cast<int64_t>(spec.accelerators()) };
    step.running--;
    work->runningTasks--;
    running_--;
}

void WorkTable::endRun(const schema::RunEnd &end, uint64_t stampMs)
{
    const auto found = works_.find(WorkSerial(end.work()));
    if (found == works_.end())
        return;
    Work &work = found->second;
    const StepTaskRef ref{ { work.serial, end.occurrence(), end.step() }, end.index() };
    if (end.occurrence() >= work.occurrences.size()
        || end.step() >= work.occurrences[end.occurrence()].size()
        || end.index() >= work.stepAt(ref.step).tasks.size())
        return;
    WorkTask &task = work.occurrences[end.occurrence()][end.step()].tasks[end.index()];
    if (task.phase != RunPhase::Running || task.run != end.run())
        return;
    recordDuration(work, ref, end, stampMs);
    const bool isGang = work.specOf(ref.step).gang();
    if (isGang && end.outcome() == schema::RUN_DONE)
        return completeGang(&work, ref.step, end.run(), stampMs);
    const schema::WorkerLife *incarnation = findIncarnation(task.worker);
    const schema::WorkerLife life = incarnation == nullptr ? schema::WorkerLife() : *incarnation;
    releaseRun(&work, ref, &task);
    task.phaseSinceMs = stampMs;
    applyRunOutcome(&work, ref.step, &task, end);
    recordWorkerLoss(&work, ref, life, end, stampMs);
    finishIfDone(&work, stampMs);
    updateIndexes(work);
}

// Counts a run that has just ended in the forecast of durations. A run that resumed from a
// checkpoint did only part of its task, and a backfill task runs at whatever speed is left.
void WorkTable::recordDuration(
    const Work &work, const StepTaskRef &ref, const schema::RunEnd &end, uint64_t stampMs)
{
    const schema::StepSpec &spec = work.specOf(ref.step);
    const WorkTask &task = work.stepAt(ref.step).tasks[ref.index];
    if (spec.service() || spec.backfill() || !task.checkpoint.empty())
        return;
    const bool isDone = end.outcome() == schema::RUN_DONE;
    const bool isCensored = end.outcome() == schema::RUN_STOPPED
        || end.outcome() == schema::RUN_LAPSED || end.outcome() == schema::RUN_LOST;
    // The members of a gang are stopped together, which is one observation at most.
    if (!isDone && (!isCensored || spec.gang()))
        return;
    uint64_t duration = end.duration_ms();
    // Records of earlier versions. Nothing is known there of a run that was ended before it was
    // done: its worker may have been gone for long.
    if (!end.has_duration_ms() && isDone && stampMs > task.phaseSinceMs)
        duration = stampMs - task.phaseSinceMs;
    if (duration == 0)
        return;
    const schema::WorkerLife *worker = findIncarnation(task.worker);
    const bool hasKind = worker != nullptr && worker->labels_size() > 0;
    durations_.record({ .subject = durationSubjectOf(work, ref.step),
        .workerKind = hasKind ? std::string_view(worker->labels(0)) : std::string_view(),
        .work = work.serial.value(),
        .duration = duration,
        .isCensored = isCensored });
}

// The members of a gang complete together: one RUN_DONE marks the tasks of all members as done.
void WorkTable::completeGang(Work *work, const StepRef &ref, uint32_t run, uint64_t stampMs)
{
    WorkStep &step = work->occurrences[ref.occurrence][ref.step];
    for (uint32_t i = 0; i < step.tasks.size(); i++) {
        WorkTask &task = step.tasks[i];
        if (task.run != run || task.phase == RunPhase::Done)
            continue;
        if (task.phase == RunPhase::Running) {
            releaseRun(work, { ref, i }, &task);
        } else {
            step.waiting--;
            work->waitingTasks--;
        }
        task.phase = RunPhase::Done;
        task.phaseSinceMs = stampMs;
        step.done++;
    }
    finishIfDone(work, stampMs);
    updateIndexes(*work);
}

void WorkTable::applyRunOutcome(
    Work *work, const StepRef &ref, WorkTask *task, const schema::RunEnd &end)
{
    WorkStep &step = work->occurrences[ref.occurrence][ref.step];
    const schema::StepSpec &spec = work->specOf(ref);
    if (end.outcome() == schema::RUN_DONE && !spec.service()) {
        task->phase = RunPhase::Done;
        step.done++;
        return;
    }
    task->phase = RunPhase::Waiting;
    step.waiting++;
    work->waitingTasks++;
    if (!end.checkpoint().empty()) {
        task->checkpoint = end.checkpoint();
        // All members of a gang resume from the same checkpoint.
        for (WorkTask &other : step.tasks) {
            if (spec.gang())
                other.checkpoint = end.checkpoint();
        }
    }
    if (end.outcome() != schema::RUN_FAILED || spec.service() || !work->isActive())
        return;
    if (spec.gang()) {
        if (step.lastFailedRun >= end.run())
            return;
        step.lastFailedRun = end.run();
        for (WorkTask &other : step.tasks)
            other.failures++;
    } else {
        task->failures++;
    }
    if (task->failures >= work->maxAttempts)
        finish(work, WorkPhase::Failed, task->phaseSinceMs);
}

void WorkTable::recordWorkerLoss(Work *work, const StepTaskRef &ref, const schema::WorkerLife &life,
    const schema::RunEnd &end, uint64_t stampMs)
{
    WorkTask &task = *findMutable(ref);
    const bool hasOutlivedStart = end.worker_loss() == schema::WORKER_LOST_LATER
        || end.outcome() == schema::RUN_DONE || end.outcome() == schema::RUN_FAILED;
    if (hasOutlivedStart)
        return clearStartCrashes(ref, &task);
    // A leaving worker ends as announced, with all that runs on it.
    if (end.worker_loss() == schema::WORKER_NOT_LOST || life.number() == 0 || life.leaving()
        || !work->isActive())
        return;
    const LostRun run{ ref, end.worker_loss() == schema::WORKER_LOST_AT_START };
    if (isReplaced(life))
        return addStartCrash(work, &task, run, stampMs);
    task.unconfirmedStartCrashes += run.crash();
    lostWorkers_.add(life, run);
}

void WorkTable::confirmCrash(const std::vector<LostRun> &runs, uint64_t stampMs)
{
    dismissCrash(runs);
    for (const LostRun &run : runs) {
        if (WorkTask *task = findMutable(run.task))
            addStartCrash(&works_.at(run.task.step.work), task, run, stampMs);
    }
}

void WorkTable::dismissCrash(const std::vector<LostRun> &runs)
{
    for (const LostRun &run : runs) {
        if (WorkTask *task = findMutable(run.task))
            task->unconfirmedStartCrashes -= run.crash();
    }
}

void WorkTable::addStartCrash(Work *work, WorkTask *task, const LostRun &run, uint64_t stampMs)
{
    task->startCrashes += run.crash();
    if (task->startCrashes.areConclusive() && work->isActive())
        finish(work, WorkPhase::Failed, stampMs);
}

// A run has outlived its start, so that the crashes before had other causes.
void WorkTable::clearStartCrashes(const StepTaskRef &ref, WorkTask *task)
{
    if (task->unconfirmedStartCrashes.total > 0)
        lostWorkers_.dismiss(ref);
    task->startCrashes = {};
    task->unconfirmedStartCrashes = {};
}

WorkTask *WorkTable::findMutable(const StepTaskRef &ref)
{
    return const_cast<WorkTask *>(std::as_const(*this).find(ref));
}

void WorkTable::finish(Work *work, WorkPhase phase, uint64_t stampMs)
{
    work->phase = phase;
    work->finishedMs = stampMs;
    releasePayload(work);
    finished_.emplace(stampMs, work->serial);
    updateIndexes(*work);
}

// Only starts need the payload, and a finished job has no more of them.
void WorkTable::releasePayload(Work *work)
{
    // Clearing the field would keep its memory.
    std::string().swap(*work->spec.mutable_payload());
}

void WorkTable::finishIfDone(Work *work, uint64_t stampMs)
{
    if (work->isActive() && work->waitingTasks == 0 && work->runningTasks == 0)
        finish(work, WorkPhase::Completed, stampMs);
}

void WorkTable::updateIndexes(const Work &work)
{
    changes_.record(work.serial);
    if (work.isActive())
        active_.insert(work.serial);
    else
        active_.erase(work.serial);
    const bool isWaiting = work.isActive() && work.waitingTasks > 0;
    if (isWaiting)
        waiting_.insert(work.serial);
    else
        waiting_.erase(work.serial);
    if (isWaiting && !work.started) {
        unstarted_[work.queue].insert(work.serial);
        return;
    }
    const auto unstarted = unstarted_.find(work.queue);
    if (unstarted != unstarted_.end() && unstarted->second.erase(work.serial) > 0
        && unstarted->second.empty())
        unstarted_.erase(unstarted);
}

void WorkTable::expire(uint64_t nowMs, uint64_t retentionMs)
{
    std::vector<std::pair<uint64_t, WorkSerial>> withRuns;
    while (!finished_.empty() && finished_.begin()->first + retentionMs < nowMs) {
        const auto found = works_.find(finished_.begin()->second);
        finished_.erase(finished_.begin());
        if (found == works_.end())
            continue;
        // A run that has not ended still holds a reservation on its worker. The job is kept for as
        // long again.
        if (found->second.runningTasks > 0) {
            found->second.finishedMs = nowMs;
            withRuns.emplace_back(nowMs, found->first);
            continue;
        }
        byId_.erase(found->second.id);
        bySerial_[found->first.value() - firstIndexed_] = nullptr;
        works_.erase(found);
        while (!bySerial_.empty() && bySerial_.front() == nullptr) {
            bySerial_.pop_front();
            firstIndexed_++;
        }
    }
    finished_.insert(withRuns.begin(), withRuns.end());
    earlyCancellations_.expire(nowMs, retentionMs);
}

bool WorkTable::hasExpired(uint64_t nowMs, uint64_t retentionMs) const
{
    const uint64_t oldestCancellationMs = earlyCancellations_.oldestMs();
    return (!finished_.empty() && finished_.begin()->first + retentionMs < nowMs)
        || (oldestCancellationMs != 0 && oldestCancellationMs + retentionMs < nowMs);
}

const Work *WorkTable::find(const std::string &id) const
{
    const auto found = byId_.find(id);
    return found == byId_.end() ? nullptr : find(found->second);
}

const Work *WorkTable::find(WorkSerial serial) const
{
    const uint64_t position = serial.value() - firstIndexed_;
    return serial.value() < firstIndexed_ || position >= bySerial_.size() ? nullptr
                                                                          : bySerial_[position];
}

const WorkTask *WorkTable::find(const StepTaskRef &task) const
{
    const Work *work = find(task.step.work);
    if (work == nullptr || task.step.occurrence >= work->occurrences.size()
        || task.step.step >= work->occurrences[task.step.occurrence].size()
        || task.index >= work->stepAt(task.step).tasks.size())
        return nullptr;
    return &work->stepAt(task.step).tasks[task.index];
}

std::set<QueueId> WorkTable::activeQueues() const
{
    std::set<QueueId> queues;
    for (const WorkSerial serial : active_)
        queues.insert(works_.at(serial).queue);
    return queues;
}

uint64_t WorkTable::unstartedCount(const QueueId &queue) const
{
    const auto found = unstarted_.find(queue);
    return found == unstarted_.end() ? 0 : found->second.size();
}

const schema::WorkerLife *WorkTable::findIncarnation(WorkerNumber number) const
{
    const auto found = workers_.find(number);
    return found == workers_.end() ? nullptr : &found->second;
}

const schema::WorkerLife *WorkTable::newestIncarnation(const std::string &id) const
{
    const auto found = newestIncarnations_.find(id);
    return found == newestIncarnations_.end() ? nullptr : findIncarnation(found->second);
}

const std::map<StepTaskRef, uint32_t> &WorkTable::runsOn(WorkerNumber worker) const
{
    static const std::map<StepTaskRef, uint32_t> none;
    const auto found = runs_.find(worker);
    return found == runs_.end() ? none : found->second;
}

std::vector<RunRef> WorkTable::strandedRuns() const
{
    std::vector<RunRef> stranded;
    for (const auto &[worker, runs] : runs_) {
        if (workers_.contains(worker))
            continue;
        for (const auto &[task, run] : runs)
            stranded.push_back({ task, run });
    }
    return stranded;
}

Resources WorkTable::reservedOn(WorkerNumber worker) const
{
    const auto found = reserved_.find(worker);
    return found == reserved_.end() ? Resources() : found->second;
}

const std::set<StepTaskRef> &WorkTable::runsOf(const AccountName &account) const
{
    static const std::set<StepTaskRef> none;
    const auto found = runsByAccount_.find(account);
    return found == runsByAccount_.end() ? none : found->second;
}

Resources WorkTable::usageOf(const AccountName &account) const
{
    const auto found = usage_.find(account);
    return found == usage_.end() ? Resources() : found->second;
}

} // namespace basilgap::state
