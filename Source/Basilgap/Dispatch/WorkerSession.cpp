#include "Basilgap/Dispatch/WorkerSession.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::dispatch {

namespace {

// Added to every computed end of a lease, for the coarseness of clocks and timers.
constexpr Millis LeaseMargin{ 60 };

// Taken for the pace of a filling task that an earlier leader started, in percent: it is set anew
// from there.
constexpr uint32_t AdoptedPace = 50;

} // namespace

WorkerSession::WorkerSession(Options options, Millis now)
    : options_(std::move(options))
    , nextHold_(now)
    , lastAnswer_(now)
{
    adoptRuns(now);
}

// Runs that an earlier leader has logged: whether they began is not known.
void WorkerSession::adoptRuns(Millis now)
{
    for (const auto &[task, run] : options_.table.runsOn(options_.number)) {
        SessionRun &known = runs_[task];
        known.run = run;
        known.since = now;
        known.progressAt = now;
        // How far an earlier leader has slowed it down is not known.
        noteFilling(task, &known);
        if (known.fillingMillicores > 0)
            known.pace = AdoptedPace;
    }
}

void WorkerSession::noteFilling(const StepTaskRef &task, SessionRun *known) const
{
    const state::Work *work = options_.table.find(task.step.work);
    if (work != nullptr && work->specOf(task.step).backfill())
        known->fillingMillicores = static_cast<int64_t>(work->specOf(task.step).millicores());
}

std::optional<TaskName> WorkerSession::nameOf(const StepTaskRef &task) const
{
    const state::Work *work = options_.table.find(task.step.work);
    if (work == nullptr)
        return std::nullopt;
    return TaskName{ work->id, task.step.occurrence, task.step.step, task.index };
}

std::optional<StepTaskRef> WorkerSession::taskOf(const TaskName &name) const
{
    const state::Work *work = options_.table.find(name.work);
    if (work == nullptr)
        return std::nullopt;
    return StepTaskRef{ { work->serial, name.occurrence, name.step }, name.index };
}

int64_t WorkerSession::fillingMillicores() const
{
    int64_t sum = 0;
    for (const auto &[task, known] : runs_)
        sum += known.fillingMillicores;
    return sum;
}

void WorkerSession::noteOldClock(Millis workerClock, Millis now)
{
    if (!workerClock_)
        noteClock(workerClock, now);
}

void WorkerSession::noteClock(Millis workerClock, Millis now)
{
    workerClock_ = workerClock;
    workerClockAt_ = now;
}

void WorkerSession::setAddress(const std::string &address)
{
    options_.endpoint.address = address;
}

std::optional<Millis> WorkerSession::nextLeaseEnd(Millis now) const
{
    if (!workerClock_)
        return std::nullopt;
    return *workerClock_ + (now - workerClockAt_) + options_.times.lease;
}

void WorkerSession::noteLease(Millis leaseEnd)
{
    leaseEnd_ = std::max(leaseEnd_, leaseEnd);
}

// True once no lease that this or an earlier leader gave can still hold.
bool WorkerSession::isLeaseOver(Millis now) const
{
    if (now < options_.graceEnd)
        return false;
    if (!workerClock_)
        return true;
    const double elapsed =
        static_cast<double>((now - workerClockAt_).count()) * (1.0 - options_.times.clockDrift);
    return *workerClock_ + Millis(static_cast<int64_t>(elapsed)) > leaseEnd_ + LeaseMargin;
}

void WorkerSession::setSuspect(bool suspect)
{
    if (suspect == suspect_)
        return;
    suspect_ = suspect;
    LogEvent(suspect ? "worker-silent" : "worker-back")
        .with("worker", options_.endpoint.id)
        .with("runs", runs_.size());
    options_.events.onChanged();
}

void WorkerSession::start(
    const StepTaskRef &task, uint32_t run, const std::string &ticket, Millis now)
{
    SessionRun &known = runs_[task];
    known = SessionRun{};
    known.run = run;
    known.since = now;
    known.progressAt = now;
    known.ticket = ticket;
    noteFilling(task, &known);
    sendStart(task, &known, now);
}

void WorkerSession::sendStart(const StepTaskRef &task, SessionRun *known, Millis now)
{
    const state::Work *work = options_.table.find(task.step.work);
    const state::WorkTask *state = options_.table.find(task);
    const auto leaseEnd = nextLeaseEnd(now);
    if (work == nullptr || state == nullptr || !work->isActive() || !leaseEnd || superseded_)
        return end(task, schema::RUN_LOST);
    known->isDue = !options_.events.mayOrder();
    if (known->isDue)
        return;
    noteLease(*leaseEnd);
    known->checkpoint = state->checkpoint;
    known->sends++;
    const uint32_t run = known->run;
    options_.port.start(options_.endpoint,
        StartOrder{
            .task = *nameOf(task),
            .run = run,
            .payload = work->spec.payload(),
            .leaseEnd = *leaseEnd,
            .fence = options_.fence,
            .checkpoint = state->checkpoint,
            .ticket = known->ticket,
        },
        options_.times.startTimeout,
        guarded([this, task, run](const OrderAnswer &answer) { started(task, run, answer); }));
}

void WorkerSession::started(const StepTaskRef &task, uint32_t run, const OrderAnswer &answer)
{
    const Millis now = options_.clock();
    if (answer.workerClock)
        noteClock(*answer.workerClock, now);
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.run != run)
        return;
    SessionRun &known = found->second;
    if (known.knowledge == RunKnowledge::Confirmed && answer.result == OrderResult::Unanswered)
        return;
    // An earlier sending without an answer may still be carried out, whatever this one got.
    const bool isOpen = known.sends > 1 && answer.result != OrderResult::Accepted
        && answer.result != OrderResult::Fenced;
    switch (isOpen ? OrderResult::Unanswered : answer.result) {
    case OrderResult::Accepted:
        if (known.knowledge == RunKnowledge::Sent) {
            known.knowledge = RunKnowledge::Confirmed;
            known.since = now;
            // Without a checkpoint it begins at the beginning.
            if (known.checkpoint.empty()) {
                known.firstPercent = 0;
                known.firstAt = now;
            }
        }
        return;
    case OrderResult::Unanswered: {
        options_.trouble.note(now);
        const state::Work *work = options_.table.find(task.step.work);
        const bool mayRepeat = known.knowledge == RunKnowledge::Sent && !suspect_ && !superseded_
            && work != nullptr && work->isActive();
        const bool isWorthwhile =
            answer.result == OrderResult::Unanswered || answer.result == OrderResult::NotSent;
        if (mayRepeat && isWorthwhile && known.sends < options_.times.startSends)
            return sendStart(task, &known, now);
        LogEvent("start-unanswered")
            .with("work", nameOf(task) ? nameOf(task)->work : "")
            .with("step", task.step.step)
            .with("task", task.index)
            .with("run", run)
            .with("worker", options_.endpoint.id);
        known.knowledge = RunKnowledge::Doubtful;
        known.since = now;
        stop(task, now);
        return setSuspect(true);
    }
    case OrderResult::Fenced:
        fenced_ = true;
        options_.events.onFenced();
        return;
    case OrderResult::NoTicket:
        options_.events.onTicketRefused(task);
        break;
    default:
        break;
    }
    LogEvent("start-refused")
        .with("work", nameOf(task) ? nameOf(task)->work : "")
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", run)
        .with("worker", options_.endpoint.id)
        .with("reason", toText(answer.result));
    end(task, schema::RUN_LOST);
}

void WorkerSession::pace(const StepTaskRef &task, uint32_t percent)
{
    const auto found = runs_.find(task);
    const auto name = nameOf(task);
    if (found == runs_.end() || !name || found->second.pace == percent)
        return;
    const uint32_t before = found->second.pace;
    found->second.pace = percent;
    LogEvent("paced")
        .with("work", name->work)
        .with("task", task.index)
        .with("worker", options_.endpoint.id)
        .with("percent", percent);
    options_.port.pace(options_.endpoint,
        PaceOrder{ *name, found->second.run, options_.fence, percent }, options_.times.orderTimeout,
        guarded([this, task, before, run = found->second.run](const OrderAnswer &answer) {
            const auto again = runs_.find(task);
            if (answer.result != OrderResult::Accepted && again != runs_.end()
                && again->second.run == run)
                again->second.pace = before;
        }));
}

void WorkerSession::stop(const StepTaskRef &task, Millis now)
{
    const auto found = runs_.find(task);
    const auto name = nameOf(task);
    if (found == runs_.end() || !name || found->second.stopInFlight || fenced_)
        return;
    found->second.stopInFlight = true;
    found->second.lastStop = now;
    sendStop(task, found->second.run, *name);
}

void WorkerSession::sendStop(const StepTaskRef &task, uint32_t run, const TaskName &name)
{
    options_.port.stop(options_.endpoint, StopOrder{ name, run, options_.fence },
        options_.times.orderTimeout, guarded([this, task, run](const OrderAnswer &answer) {
            const Millis now = options_.clock();
            if (answer.workerClock)
                noteClock(*answer.workerClock, now);
            const auto found = runs_.find(task);
            if (found == runs_.end() || found->second.run != run)
                return;
            found->second.stopInFlight = false;
            if (answer.result == OrderResult::Fenced) {
                fenced_ = true;
                return options_.events.onFenced();
            }
            if (answer.result != OrderResult::Accepted)
                return;
            // Whether it had begun is told by a list that is asked for from now on.
            if (superseded_)
                return end(task, schema::RUN_LOST);
            if (found->second.knowledge != RunKnowledge::Stopped) {
                found->second.knowledge = RunKnowledge::Stopped;
                found->second.since = now;
            }
            hold(now);
        }));
}

void WorkerSession::tick(Millis now)
{
    if (fenced_)
        return;
    if (superseded_) {
        for (const auto &[task, known] : std::map(runs_)) {
            if (!known.stopInFlight && now - known.lastStop >= options_.times.stopRepeat)
                stop(task, now);
        }
        return;
    }
    // The hold that waits may be lost as well.
    const bool hurry = suspect_ && now - lastHoldAt_ >= retryAfter(now);
    if ((holding_ == 0 && now >= nextHold_) || (holding_ == 1 && hurry))
        hold(now);
    std::vector<StepTaskRef> due;
    for (const auto &[task, known] : runs_) {
        if (known.isDue)
            due.push_back(task);
    }
    for (const StepTaskRef &task : due)
        sendStart(task, &runs_.at(task), now);
    for (auto &[task, known] : runs_) {
        const state::Work *work = options_.table.find(task.step.work);
        const bool unwanted =
            known.knowledge == RunKnowledge::Doubtful || work == nullptr || !work->isActive();
        if (unwanted && !known.stopInFlight && known.knowledge != RunKnowledge::Stopped
            && now - known.lastStop >= options_.times.stopRepeat)
            stop(task, now);
    }
    const Millis answerDue =
        lastAnswer_ + options_.times.holdWait + options_.times.holdTimeout + options_.times.holdGap;
    if (now <= answerDue || !isLeaseOver(now))
        return;
    for (const auto &[task, known] : std::map(runs_))
        end(task, schema::RUN_LAPSED);
}

void WorkerSession::end(const StepTaskRef &task, schema::RunOutcome outcome)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    const uint32_t run = found->second.run;
    const std::string checkpoint = found->second.checkpoint;
    runs_.erase(found);
    ending_.insert({ task, run });
    options_.events.onEnd(task, run, outcome, checkpoint);
}

void WorkerSession::ackEnds(uint64_t number)
{
    ackedEnd_ = std::max(ackedEnd_, number);
}

void WorkerSession::forgetRun(const StepTaskRef &task, uint32_t run)
{
    ending_.erase({ task, run });
    const auto found = runs_.find(task);
    if (found != runs_.end() && found->second.run == run)
        runs_.erase(found);
}

void WorkerSession::supersede(Millis now)
{
    if (superseded_)
        return;
    superseded_ = true;
    LogEvent("worker-reborn").with("worker", options_.endpoint.id).with("runs", runs_.size());
    for (const auto &[task, known] : std::map(runs_)) {
        // An order without an answer may reach the new life: it is stopped there first.
        if (known.knowledge == RunKnowledge::Confirmed)
            end(task, schema::RUN_LOST);
        else
            stop(task, now);
    }
}

} // namespace basilgap::dispatch
