#include "Basilgap/Dispatch/WorkerSession.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::dispatch {

namespace {

// Added to the end of a lease to allow for the resolution of clocks and timers.
constexpr Millis LeaseMargin{ 60 };

// Changes that require a stop are reported as they happen; this finds what was missed.
constexpr Millis StopCheckInterval{ 500 };

// Longest time from the reading of a worker's clock to the arrival of the answer.
constexpr Millis MaxClockSampleDelay{ 1000 };

// Assumed speed limit, in percent, of a backfill task that an earlier leader started. Throttling
// continues from this value.
constexpr uint32_t AdoptedSpeedPercent = 50;

} // namespace

const char *toText(LeaseSource source)
{
    switch (source) {
    case LeaseSource::None:
        return "none";
    case LeaseSource::Start:
        return "start";
    case LeaseSource::Poll:
        return "poll";
    case LeaseSource::EarlierCall:
        return "earlier-call";
    }
    return "unknown";
}

const char *toText(KnownRunState state)
{
    switch (state) {
    case KnownRunState::Sent:
        return "sent";
    case KnownRunState::Confirmed:
        return "confirmed";
    case KnownRunState::Indeterminate:
        return "indeterminate";
    case KnownRunState::Stopped:
        return "stopped";
    }
    return "unknown";
}

WorkerSession::WorkerSession(Options options, Millis now)
    : options_(std::move(options))
    , nextPollAt_(now)
    , lastAnswerAt_(now)
    , openedAt_(now)
{
    adoptRuns(now);
}

Millis WorkerSession::longestEarlierLease(const SessionTimes &times, const schema::WorkerLife &life)
{
    return longestEarlierLease(times, life.restarted());
}

Millis WorkerSession::longestEarlierLease(const SessionTimes &times, bool isRestart)
{
    const Millis lease =
        isRestart ? std::max(times.leaseDuration, times.maxLease) : times.leaseDuration;
    return Millis(
        static_cast<int64_t>(static_cast<double>(lease.count()) / (1.0 - times.maxClockDrift)));
}

// Adopts runs that an earlier leader has logged. It is not known whether they have started.
void WorkerSession::adoptRuns(Millis now)
{
    for (const auto &[task, run] : options_.table.runsOn(options_.number)) {
        SessionRun &known = runs_[task];
        known.run = run;
        known.knownStateSince = now;
        known.lastProgressAt = now;
        const Millis loggedAt(static_cast<int64_t>(options_.table.find(task)->phaseSinceMs));
        known.startedAt = now - std::max(Millis(0), options_.wallClock() - loggedAt);
        // The speed limit set by an earlier leader is not known.
        setBackfillMillicores(task, &known);
        if (known.backfillMillicores > 0)
            known.speedPercent = AdoptedSpeedPercent;
        known.latestStartAt = now + options_.times.startTimeout + options_.times.maxCallDelay;
    }
}

void WorkerSession::setBackfillMillicores(const StepTaskRef &task, SessionRun *known) const
{
    const state::Work *work = options_.table.find(task.step.work);
    if (work != nullptr && work->specOf(task.step).backfill())
        known->backfillMillicores = static_cast<int64_t>(work->specOf(task.step).millicores());
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

int64_t WorkerSession::backfillMillicores() const
{
    int64_t sum = 0;
    for (const auto &[task, known] : runs_)
        sum += known.backfillMillicores;
    return sum;
}

void WorkerSession::seedClock(Millis workerClock, Millis now)
{
    if (!workerClock_)
        setClock(workerClock, now, now);
}

// Takes a clock that was read between the two moments.
void WorkerSession::setClock(Millis workerClock, Millis sentAt, Millis now)
{
    workerClock_ = workerClock;
    workerClockAt_ = now;
    workerClockDelay_ = now - sentAt;
}

void WorkerSession::noteHeard(const OrderAnswer &answer, Millis now)
{
    // Another worker or incarnation at the address has a clock of its own, and only answers to
    // polls name theirs.
    if (!answer.workerClock || answer.result == OrderResult::WrongWorker || superseded_
        || !isOwnClock(*answer.workerClock, now, now))
        return;
    lastHeardAt_ = now;
}

// Whether the time, read from a worker's clock between the two moments, fits the incarnation's
// clock as it was last read.
bool WorkerSession::isOwnClock(Millis workerClock, Millis earliest, Millis latest) const
{
    const auto from = workerTime(earliest);
    const auto to = workerTime(latest);
    if (!from || !to)
        return true;
    const Millis drift(static_cast<int64_t>(
        static_cast<double>((latest - workerClockAt_).count()) * options_.times.maxClockDrift));
    return workerClock <= *to + workerClockDelay_ + MaxClockSampleDelay
        && workerClock + drift + MaxClockSampleDelay >= *from;
}

bool WorkerSession::hasFreshRun(Millis now) const
{
    return std::any_of(runs_.begin(), runs_.end(), [&](const auto &entry) {
        return now - entry.second.startedAt < options_.times.startLossWindow;
    });
}

void WorkerSession::setAddress(const std::string &address)
{
    options_.endpoint.address = address;
}

std::optional<Millis> WorkerSession::workerTime(Millis now) const
{
    if (!workerClock_)
        return std::nullopt;
    return *workerClock_ + (now - workerClockAt_);
}

std::optional<Millis> WorkerSession::nextLeaseEnd(Millis now) const
{
    const auto time = workerTime(now);
    if (!time)
        return std::nullopt;
    return *time + options_.times.leaseDuration;
}

void WorkerSession::recordLeaseEnd(Millis leaseEnd, LeaseSource source, Millis now)
{
    if (leaseEnd <= latestLeaseEnd_)
        return;
    latestLeaseEnd_ = leaseEnd;
    leaseSource_ = source;
    leaseSentAt_ = now;
}

void WorkerSession::logLeaseExpiry(Millis now) const
{
    LogEvent("lease-expired")
        .with("worker", options_.endpoint.id)
        .with("born", options_.incarnationStartMs)
        .with("runs", runs_.size())
        .with("clock", workerTime(now).value_or(Millis()))
        .with("clockAgeMs", now - workerClockAt_)
        .with("leaseEnd", latestLeaseEnd_)
        .with("source", toText(leaseSource_))
        .with("sourceAgeMs", now - leaseSentAt_)
        .with("silentMs", now - lastAnswerAt_);
}

uint32_t WorkerSession::unansweredStarts() const
{
    uint32_t sum = 0;
    for (const auto &[task, known] : runs_)
        sum += known.unansweredSends;
    return sum;
}

// True once no lease granted by this or an earlier leader can still be valid.
bool WorkerSession::hasLeaseExpired(Millis now) const
{
    if (now < options_.graceEnd)
        return false;
    if (!workerClock_)
        return true;
    const double elapsed =
        static_cast<double>((now - workerClockAt_).count()) * (1.0 - options_.times.maxClockDrift);
    return *workerClock_ + Millis(static_cast<int64_t>(elapsed)) > latestLeaseEnd_ + LeaseMargin;
}

void WorkerSession::setSuspect(bool suspect)
{
    if (suspect == suspect_)
        return;
    suspect_ = suspect;
    LogEvent(suspect ? "worker-silent" : "worker-back")
        .with("worker", options_.endpoint.id)
        .with("runs", runs_.size());
    options_.events.onAvailabilityChanged();
}

void WorkerSession::start(
    const StepTaskRef &task, uint32_t run, const std::string &ticket, Millis now)
{
    SessionRun &known = runs_[task];
    known = SessionRun{};
    known.run = run;
    known.knownStateSince = now;
    known.startedAt = now;
    known.lastProgressAt = now;
    known.ticket = ticket;
    setBackfillMillicores(task, &known);
    const state::WorkTask *state = options_.table.find(task);
    if (state != nullptr && state->isCrashSuspect())
        survivalCheckAt_ = now + options_.times.startLossWindow;
    sendStart(task, &known, now);
}

void WorkerSession::sendStart(const StepTaskRef &task, SessionRun *known, Millis now)
{
    const state::Work *work = options_.table.find(task.step.work);
    const state::WorkTask *state = options_.table.find(task);
    const auto leaseEnd = nextLeaseEnd(now);
    known->isStartPending = false;
    if (state == nullptr || mustStop(task, *known) || !leaseEnd || superseded_)
        return abandonStart(task, known, now);
    known->isStartPending = !options_.events.maySendOrders();
    if (known->isStartPending) {
        hasPendingStarts_ = true;
        return;
    }
    if (!fitsCapacity(task))
        return withholdStart(task, known, now);
    recordLeaseEnd(*leaseEnd, LeaseSource::Start, now);
    known->checkpoint = state->checkpoint;
    known->sendCount++;
    known->latestStartAt = now + options_.times.startTimeout + options_.times.maxCallDelay;
    const uint32_t run = known->run;
    options_.port.start(options_.endpoint,
        StartOrder{
            .task = *nameOf(task),
            .run = run,
            .payload = work->spec.payload(),
            .leaseEnd = *leaseEnd,
            .fencingToken = options_.fencingToken,
            .checkpoint = state->checkpoint,
            .ticket = known->ticket,
            .isStillWanted = [this, alive = std::weak_ptr<bool>(alive_), task,
                                 run] { return !alive.expired() && isStartWanted(task, run); },
        },
        options_.times.startTimeout, guarded([this, task, run, now](const OrderAnswer &answer) {
            handleStartAnswer(task, run, answer, now);
        }));
}

// Ends a run whose start is no longer wanted. If an earlier send may still be carried out, the run
// is stopped first.
void WorkerSession::abandonStart(const StepTaskRef &task, SessionRun *known, Millis now)
{
    if (known->unansweredSends > 0)
        return stopIndeterminateRun(task, known, now);
    endRun(task, schema::RUN_LOST);
}

// Whether the worker's present capacity has room for the task beside all runs that may be on it.
// The capacity may have shrunk since the start was planned.
bool WorkerSession::fitsCapacity(const StepTaskRef &task) const
{
    const schema::WorkerLife *worker = options_.table.findIncarnation(options_.number);
    if (worker == nullptr)
        return true;
    const state::Resources capacity = state::capacityOf(*worker);
    state::Resources used = lingeringReservation();
    if ((used + options_.table.reservedOn(options_.number)).fitsIn(capacity))
        return true;
    for (const auto &[other, known] : runs_) {
        const state::Work *work = options_.table.find(other.step.work);
        const bool isUnsent = known.isStartPending && known.sendCount == 0;
        if (work != nullptr && (other == task || !isUnsent))
            used += state::reservationOf(work->specOf(other.step));
    }
    return used.fitsIn(capacity);
}

void WorkerSession::withholdStart(const StepTaskRef &task, SessionRun *known, Millis now)
{
    LogEvent("start-withheld")
        .with("work", nameOf(task) ? nameOf(task)->work : "")
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", known->run)
        .with("worker", options_.endpoint.id)
        .with("reason", "capacity");
    abandonStart(task, known, now);
}

// Stops a run that may have started, so that its task can be released.
void WorkerSession::stopIndeterminateRun(const StepTaskRef &task, SessionRun *known, Millis now)
{
    const bool wasWanted = !mustStop(task, *known);
    const uint32_t run = known->run;
    known->knownState = KnownRunState::Indeterminate;
    known->knownStateSince = now;
    nextStopCheck_ = now;
    stop(task, now);
    if (wasWanted)
        options_.events.onStartGivenUp(task, run);
}

void WorkerSession::giveUp(const StepTaskRef &task, uint32_t run)
{
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.run != run)
        return;
    found->second.isGivenUp = true;
    checkStops();
}

bool WorkerSession::mayStillStart(const SessionRun &known, Millis now)
{
    return known.latestStartAt && now < *known.latestStartAt;
}

bool WorkerSession::mustStop(const StepTaskRef &task, const SessionRun &known) const
{
    const state::Work *work = options_.table.find(task.step.work);
    return known.knownState == KnownRunState::Indeterminate || known.isGivenUp || work == nullptr
        || !work->isActive() || work->hasBrokenGang(task.step);
}

bool WorkerSession::isStartWanted(const StepTaskRef &task, uint32_t run) const
{
    const auto known = runs_.find(task);
    return known != runs_.end() && known->second.run == run && !mustStop(task, known->second)
        && !superseded_ && !fenced_ && options_.events.maySendOrders() && fitsCapacity(task);
}

void WorkerSession::handleStartAnswer(
    const StepTaskRef &task, uint32_t run, const OrderAnswer &answer, Millis sentAt)
{
    const Millis now = options_.clock();
    noteHeard(answer, now);
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.run != run)
        return;
    SessionRun &known = found->second;
    if (known.knownState == KnownRunState::Confirmed && answer.result == OrderResult::Unanswered)
        return;
    if (answer.result == OrderResult::Dropped) {
        known.sendCount--;
        if (known.unansweredSends == 0)
            known.settleStarts(now);
        known.isStartPending = known.knownState == KnownRunState::Sent;
        hasPendingStarts_ = hasPendingStarts_ || known.isStartPending;
        return;
    }
    if (answer.result == OrderResult::Accepted && answer.workerClock
        && !isOwnClock(*answer.workerClock, sentAt, now))
        return handleAcceptanceElsewhere(task, &known, now);
    known.unansweredSends += answer.result == OrderResult::Unanswered ? 1 : 0;
    if (known.unansweredSends == 0)
        known.settleStarts(now);
    else if (known.latestStartAt)
        known.latestStartAt = now + options_.times.maxCallDelay;
    // An earlier unanswered send may still be carried out, whatever the answer to this one.
    const bool mayStillRun = known.unansweredSends > 0 && answer.result != OrderResult::Accepted
        && answer.result != OrderResult::Fenced;
    switch (mayStillRun ? OrderResult::Unanswered : answer.result) {
    case OrderResult::Accepted:
        known.hasBegun = true;
        if (known.knownState == KnownRunState::Sent) {
            known.knownState = KnownRunState::Confirmed;
            known.knownStateSince = now;
            options_.events.onStartAccepted(task, now - known.startedAt);
            // Without a checkpoint the run starts from 0 percent.
            if (known.checkpoint.empty()) {
                known.firstPercent = 0;
                known.firstPercentAt = now;
            }
        }
        return;
    case OrderResult::Unanswered: {
        options_.callLoss.recordLoss(now);
        const bool mayRepeat = known.knownState == KnownRunState::Sent && !suspect_ && !superseded_
            && !mustStop(task, known);
        const bool isWorthwhile =
            answer.result == OrderResult::Unanswered || answer.result == OrderResult::NotSent;
        if (mayRepeat && isWorthwhile && known.sendCount < options_.times.maxStartSends)
            return sendStart(task, &known, now);
        LogEvent("start-unanswered")
            .with("work", nameOf(task) ? nameOf(task)->work : "")
            .with("step", task.step.step)
            .with("task", task.index)
            .with("run", run)
            .with("worker", options_.endpoint.id)
            .with("born", options_.incarnationStartMs)
            .with("sends", known.unansweredSends);
        stopIndeterminateRun(task, &known, now);
        return setSuspect(true);
    }
    case OrderResult::Fenced:
        return noteFenced();
    case OrderResult::NoTicket:
        options_.events.onTicketRefused(task);
        break;
    case OrderResult::ConnectionRefused:
        // The answer to a poll shows whether the worker is there.
        nextPollAt_ =
            std::min(nextPollAt_, std::max(now, lastPollAt_ + options_.times.minPollInterval));
        setSuspect(true);
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
    endRun(task, schema::RUN_LOST);
}

// An incarnation that is not registered yet runs the task. Once it is registered, this session is
// superseded and stops the run there.
void WorkerSession::handleAcceptanceElsewhere(
    const StepTaskRef &task, SessionRun *known, Millis now)
{
    LogEvent("start-accepted-elsewhere")
        .with("work", nameOf(task) ? nameOf(task)->work : "")
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", known->run)
        .with("worker", options_.endpoint.id)
        .with("born", options_.incarnationStartMs);
    known->unansweredSends++;
    known->latestStartAt = now + options_.times.maxCallDelay;
    hasSeenOtherIncarnation_ = true;
    setSuspect(true);
}

void WorkerSession::throttle(const StepTaskRef &task, uint32_t percent)
{
    const auto found = runs_.find(task);
    const auto name = nameOf(task);
    if (found == runs_.end() || !name || found->second.speedPercent == percent)
        return;
    const uint32_t previousPercent = found->second.speedPercent;
    found->second.speedPercent = percent;
    LogEvent("paced")
        .with("work", name->work)
        .with("task", task.index)
        .with("worker", options_.endpoint.id)
        .with("percent", percent);
    options_.port.throttle(options_.endpoint,
        ThrottleOrder{ *name, found->second.run, options_.fencingToken, percent },
        options_.times.orderTimeout,
        guarded([this, task, previousPercent, run = found->second.run](const OrderAnswer &answer) {
            const auto current = runs_.find(task);
            if (answer.result != OrderResult::Accepted && current != runs_.end()
                && current->second.run == run)
                current->second.speedPercent = previousPercent;
        }));
}

void WorkerSession::stop(const StepTaskRef &task, Millis now)
{
    const auto found = runs_.find(task);
    const auto name = nameOf(task);
    if (found == runs_.end() || !name || found->second.isStopPending || fenced_)
        return;
    found->second.isStopPending = true;
    found->second.lastStopAt = now;
    sendStop(task, found->second.run, *name);
}

void WorkerSession::sendStop(const StepTaskRef &task, uint32_t run, const TaskName &name)
{
    options_.port.stop(options_.endpoint, StopOrder{ name, run, options_.fencingToken },
        options_.times.orderTimeout,
        guarded([this, task, run, token = options_.fencingToken](const OrderAnswer &answer) {
            const Millis now = options_.clock();
            noteHeard(answer, now);
            const auto found = runs_.find(task);
            if (found == runs_.end() || found->second.run != run)
                return;
            found->second.isStopPending = false;
            if (answer.result == OrderResult::Fenced)
                return noteFenced();
            // No start for this worker can be carried out at an address that another one has.
            if (superseded_ && answer.result == OrderResult::WrongWorker)
                return endLostRun(task, schema::RUN_LOST);
            // A stop that an earlier incarnation has taken holds no start back on a later one.
            if (answer.result != OrderResult::Accepted || token != options_.fencingToken)
                return;
            // Only the answer to a poll sent after the stop shows whether the run had started.
            if (found->second.knownState != KnownRunState::Stopped) {
                found->second.knownState = KnownRunState::Stopped;
                found->second.knownStateSince = now;
            }
            poll(now);
        }));
}

void WorkerSession::tick(Millis now)
{
    if (fenced_)
        return;
    if (superseded_)
        return releaseSupersededRuns(now);
    // A suspect worker gets a second poll, because the pending long poll may be lost as well.
    const bool needsSecondPoll = suspect_ && now - lastPollAt_ >= retryAfter(now);
    if ((pendingPolls_ == 0 && isPollDue(now)) || (pendingPolls_ == 1 && needsSecondPoll))
        poll(now);
    if (survivalCheckAt_ && now >= *survivalCheckAt_)
        checkSurvival(now);
    if (hasPendingStarts_)
        sendPendingStarts(now);
    if (now >= nextStopCheck_)
        sendDueStops(now);
    const Millis answerDue = lastAnswerAt_ + options_.times.pollWait
        + options_.times.pollTimeoutMargin + options_.times.minPollInterval;
    if (now <= answerDue || !hasLeaseExpired(now))
        return;
    lingeringRuns_.clear();
    std::vector<StepTaskRef> lapsed;
    for (const auto &[task, known] : runs_) {
        // A worker that has restarted may carry out the start, and is registered soon.
        if (!hasSeenOtherIncarnation_
            || !mayStillStart(known, now - options_.times.maxRegistrationDelay))
            lapsed.push_back(task);
    }
    if (!lapsed.empty())
        logLeaseExpiry(now);
    for (const StepTaskRef &task : lapsed)
        endLostRun(task, schema::RUN_LAPSED);
}

// A pending poll may be answered much later. The answer to this one shows that the worker has
// outlived the start, so that a later crash is not put down to it.
void WorkerSession::checkSurvival(Millis now)
{
    const Millis due = *survivalCheckAt_;
    survivalCheckAt_.reset();
    if (!lastHeardAt_ || *lastHeardAt_ < due)
        poll(now, true);
}

// Releases the runs that are over or that the new incarnation has stopped, and repeats the other
// stops.
void WorkerSession::releaseSupersededRuns(Millis now)
{
    for (const auto &[task, known] : std::map(runs_)) {
        const bool isStopped = known.knownState == KnownRunState::Stopped;
        if (isOver(task, known, now) || (isStopped && isStoppedOnNewestIncarnation(known, now)))
            endLostRun(task, schema::RUN_LOST);
        else if (!isStopped && !known.isStopPending
            && now - known.lastStopAt >= options_.times.stopRetryInterval)
            stop(task, now);
    }
}

// Whether no incarnation has the run, nor will have it. Whichever has carried out a start was born
// before startsOverAt(). The newest incarnation has answered a poll that was sent later, so that it
// is this one, or a later one, and this one's runs are gone.
bool WorkerSession::isOver(const StepTaskRef &task, const SessionRun &known, Millis now) const
{
    const Millis overAt = known.startsOverAt();
    return now > overAt && options_.events.isMissingOnNewestSince({ task, known.run }, overAt);
}

// Whether the run can neither begin nor go on, nor has it an end that is not listed yet.
bool WorkerSession::isStoppedOnNewestIncarnation(const SessionRun &known, Millis now) const
{
    const Millis stoppedAt = known.knownStateSince + options_.times.maxStopTime;
    return now > stoppedAt && options_.events.hasNewestListedEndsSince(stoppedAt);
}

void WorkerSession::sendPendingStarts(Millis now)
{
    hasPendingStarts_ = false;
    std::vector<StepTaskRef> pending;
    for (auto &[task, known] : runs_) {
        // A report may have listed the run since, or a stop may have been acknowledged.
        known.isStartPending = known.isStartPending && known.knownState == KnownRunState::Sent;
        if (known.isStartPending)
            pending.push_back(task);
    }
    for (const StepTaskRef &task : pending)
        sendStart(task, &runs_.at(task), now);
}

void WorkerSession::sendDueStops(Millis now)
{
    nextStopCheck_ = now + StopCheckInterval;
    for (auto &[task, known] : runs_) {
        if (!mustStop(task, known))
            continue;
        nextStopCheck_ = now;
        if (!known.isStopPending && known.knownState != KnownRunState::Stopped
            && now - known.lastStopAt >= options_.times.stopRetryInterval)
            stop(task, now);
    }
}

void WorkerSession::endRun(
    const StepTaskRef &task, schema::RunOutcome outcome, schema::WorkerLoss workerLoss)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    const EndedRun ended{ .task = task,
        .run = found->second.run,
        .outcome = outcome,
        .checkpoint = found->second.checkpoint,
        .workerLoss = workerLoss,
        .duration = durationOf(found->second, outcome) };
    runs_.erase(found);
    unappliedEnds_.insert({ task, ended.run });
    options_.events.onRunEnd(ended);
}

void WorkerSession::endLostRun(const StepTaskRef &task, schema::RunOutcome outcome)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    endRun(task, outcome, lossOf(found->second));
}

// A run of an earlier leader that this leader has not seen running may have ended at any time since
// its start was logged.
Millis WorkerSession::durationOf(const SessionRun &run, schema::RunOutcome outcome) const
{
    if (run.sendCount == 0 && !run.isListed)
        return Millis();
    if (outcome == schema::RUN_DONE)
        return std::max(Millis(1), options_.clock() - run.startedAt);
    return std::max(Millis(), run.lastProgressAt - run.startedAt);
}

// What the loss of the worker, at some time since it was last heard, says of a run.
schema::WorkerLoss WorkerSession::lossOf(const SessionRun &run) const
{
    if (run.isStartPending && run.sendCount == 0)
        return schema::WORKER_NOT_LOST;
    // A worker that this leader has never heard was lost at some time since the last lease that an
    // earlier leader can have granted.
    const Millis earliestStart = lastHeardAt_
        ? *lastHeardAt_ - options_.times.startLossWindow
        : openedAt_ - longestEarlierLease(options_.times, options_.isRestart);
    if (run.startedAt < earliestStart)
        return schema::WORKER_LOST_LATER;
    return run.hasBegun ? schema::WORKER_LOST_AT_START : schema::WORKER_LOST_BEFORE_ANSWER;
}

void WorkerSession::applyEnd(const StepTaskRef &task, const EndReport &report)
{
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.run != report.run)
        return;
    if (!report.checkpoint.empty())
        found->second.checkpoint = report.checkpoint;
    endRun(task, report.outcome);
}

void WorkerSession::ackEnds(uint64_t number)
{
    ackedEndSequence_ = std::max(ackedEndSequence_, number);
}

void WorkerSession::removeRun(const StepTaskRef &task, uint32_t run)
{
    unappliedEnds_.erase({ task, run });
    const auto found = runs_.find(task);
    if (found == runs_.end() || found->second.run != run)
        return;
    runs_.erase(found);
    const state::Work *work = options_.table.find(task.step.work);
    if (work == nullptr || superseded_)
        return;
    const Millis now = options_.clock();
    lingeringRuns_[{ task, run }] = { state::reservationOf(work->specOf(task.step)), now };
    pollDelay_ = Millis(0);
    nextPollAt_ =
        std::min(nextPollAt_, std::max(now, lastPollAt_ + options_.times.minPollInterval));
}

state::Resources WorkerSession::lingeringReservation() const
{
    state::Resources sum;
    for (const auto &[run, lingering] : lingeringRuns_)
        sum += lingering.reservation;
    return sum;
}

// A superseded session's calls are refused by the later incarnation, which has seen a higher token
// of the same leader.
void WorkerSession::noteFenced()
{
    if (superseded_)
        return;
    fenced_ = true;
    options_.events.onFenced();
}

void WorkerSession::supersede(uint64_t fencingToken, Millis now)
{
    const bool isLaterIncarnation = fencingToken > options_.fencingToken;
    options_.fencingToken = std::max(options_.fencingToken, fencingToken);
    if (superseded_) {
        // What the last incarnation has stopped may still start on this one.
        for (const auto &[task, known] : std::map(runs_)) {
            if (isLaterIncarnation)
                stopSupersededRun(task, now);
        }
        return;
    }
    superseded_ = true;
    LogEvent("worker-reborn")
        .with("worker", options_.endpoint.id)
        .with("runs", runs_.size())
        .with("born", options_.incarnationStartMs)
        .with("clock", workerTime(now).value_or(Millis()))
        .with("leaseEnd", latestLeaseEnd_)
        .with("source", toText(leaseSource_))
        .with("sourceAgeMs", now - leaseSentAt_)
        .with("pendingPolls", pendingPolls_)
        .with("unansweredStarts", unansweredStarts());
    for (const auto &[task, known] : std::map(runs_)) {
        // It is not known whether an earlier leader has sent a start more than once.
        const bool isStartSettled = known.sendCount > 0 && known.unansweredSends == 0;
        if (known.isListed && isStartSettled)
            endLostRun(task, schema::RUN_LOST);
        else
            stopSupersededRun(task, now);
    }
}

// A start may have reached the newest incarnation, or may still reach it, so the run is stopped
// there before it is released.
void WorkerSession::stopSupersededRun(const StepTaskRef &task, Millis now)
{
    const auto found = runs_.find(task);
    if (found == runs_.end())
        return;
    const bool wasWanted = !mustStop(task, found->second);
    const uint32_t run = found->second.run;
    logHeldRun(task, found->second, now);
    found->second.knownState = KnownRunState::Indeterminate;
    stop(task, now);
    if (wasWanted)
        options_.events.onStartGivenUp(task, run);
}

// Logs what is known of a run whose task waits until the run is certainly over.
void WorkerSession::logHeldRun(const StepTaskRef &task, const SessionRun &run, Millis now) const
{
    LogEvent("run-held")
        .with("work", nameOf(task) ? nameOf(task)->work : "")
        .with("step", task.step.step)
        .with("task", task.index)
        .with("run", run.run)
        .with("worker", options_.endpoint.id)
        .with("born", options_.incarnationStartMs)
        .with("ageMs", now - run.startedAt)
        .with("state", toText(run.knownState))
        .with("listed", run.isListed ? 1 : 0)
        .with("sends", run.sendCount)
        .with("unanswered", run.unansweredSends)
        .with("mayStartForMs",
            run.latestStartAt ? std::max(Millis(), *run.latestStartAt - now) : Millis());
}

void WorkerSession::releaseMovedRuns()
{
    if (!superseded_ || fenced_)
        return;
    for (const auto &[task, known] : std::map(runs_))
        endLostRun(task, schema::RUN_LOST);
}

} // namespace basilgap::dispatch
