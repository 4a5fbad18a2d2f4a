// Polls the worker and applies its reports of running and ended runs.

#include <algorithm>
#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkerSession.h"

namespace basilgap::dispatch {

namespace {

// Stray runs for which the time of the last stop is kept, so that a stop is not sent with every
// poll answer.
constexpr size_t MaxStrayStops = 1000;

// Two reports with the same percent count as no progress only if they are at least this far apart.
constexpr Millis MinReportInterval{ 200 };

} // namespace

Millis WorkerSession::retryAfter(Millis now) const
{
    return std::clamp((now - lastAnswerAt_) / 8, options_.times.minRetryInterval,
        options_.times.maxRetryInterval);
}

bool WorkerSession::isPollDue(Millis now) const
{
    const bool isAckDue = highestEndSequence_ > ackedEndSequence_ && now < ackWaitEnd_;
    return now >= nextPollAt_ && !isAckDue;
}

// The worker answers an immediate poll at once, even if no run has ended.
void WorkerSession::poll(Millis now, bool isImmediate)
{
    if (fenced_ || superseded_ || !options_.events.maySendOrders())
        return;
    pendingPolls_++;
    lastPollAt_ = now;
    // An unanswered poll may still renew the lease. A suspect worker gets no renewal, so that its
    // lease expires.
    const auto leaseEnd = suspect_ ? std::nullopt : nextLeaseEnd(now);
    if (leaseEnd)
        recordLeaseEnd(*leaseEnd, LeaseSource::Poll, now);
    isImmediate = isImmediate || suspect_ || !synced_ || hasStoppedRun() || hasStrayRun_;
    const Millis normalWait = options_.callLoss.isLossy(now)
        ? std::min(
            options_.callLoss.lossyWait(options_.times.lossyPollWait), options_.times.pollWait)
        : options_.times.pollWait - pollDelay_;
    const Millis longPollWait =
        hasStalledRun() ? std::min(normalWait, options_.times.stalledPollWait) : normalWait;
    const Millis wait = isImmediate ? Millis(0) : longPollWait;
    const SentPoll sent{ ++lastPollNumber_, now, endsToAck() };
    options_.port.poll(options_.endpoint,
        PollRequest{
            .fencingToken = options_.fencingToken,
            .ackedEndSequence = sent.ackedEndSequence,
            .leaseEnd = leaseEnd,
            .wait = wait,
            .isStillWanted =
                [this, alive = std::weak_ptr<bool>(alive_)] {
                    return !alive.expired() && !fenced_ && !superseded_
                        && options_.events.maySendOrders();
                },
        },
        wait + options_.times.pollTimeoutMargin,
        guarded([this, sent](PollAnswer answer) { handlePollAnswer(std::move(answer), sent); }));
}

// A later incarnation that receives an acknowledgement for this one forgets ends of its own, so
// none is repeated, and none is sent while the worker may have restarted.
uint64_t WorkerSession::endsToAck() const
{
    return suspect_ || ackedEndSequence_ == confirmedEndSequence_ ? 0 : ackedEndSequence_;
}

void WorkerSession::requestEndsSince(Millis time, Millis now)
{
    if (now > time && lastPollAt_ <= time)
        poll(now, true);
}

// Whether a run was stopped whose end the worker has not reported yet.
bool WorkerSession::hasStoppedRun() const
{
    return std::any_of(runs_.begin(), runs_.end(),
        [](const auto &entry) { return entry.second.knownState == KnownRunState::Stopped; });
}

// Until its first answer, a worker may have taken calls that were meant for its earlier
// incarnation. From then on it refuses them, those of earlier and later leaders too, so that its
// lease depends on them for one longest lease more, by its own clock.
void WorkerSession::checkEarlierLeases(Millis workerClock, Millis now)
{
    if (!options_.isRestart || areEarlierLeasesOver_)
        return;
    if (!earlierLeasesEnd_) {
        earlierLeasesEnd_ = workerClock + options_.times.maxLease;
        return recordLeaseEnd(*earlierLeasesEnd_, LeaseSource::EarlierCall, now);
    }
    if (workerClock <= *earlierLeasesEnd_)
        return;
    areEarlierLeasesOver_ = true;
    options_.events.onEarlierLeasesOver();
}

void WorkerSession::handlePollAnswer(PollAnswer answer, const SentPoll &poll)
{
    const Millis now = options_.clock();
    pendingPolls_--;
    pollDelay_ = Millis(0);
    nextPollAt_ = std::max(now, poll.sentAt + options_.times.minPollInterval);
    if (answer.result == OrderResult::Dropped)
        return;
    if (answer.result == OrderResult::Fenced)
        return noteFenced();
    const bool isSameIncarnation = options_.incarnationStartMs == 0
        || answer.incarnationStartMs == options_.incarnationStartMs;
    if (answer.result != OrderResult::Accepted || !isSameIncarnation) {
        if (answer.result == OrderResult::Accepted)
            noteOtherIncarnation(answer);
        // A worker that was already suspect does not count: its silence does not mean that
        // answers get lost.
        if (answer.result == OrderResult::Unanswered && !suspect_)
            options_.callLoss.recordLoss(now);
        nextPollAt_ = now + retryAfter(now);
        return setSuspect(true);
    }
    if (newestAnsweredPoll_ == 0)
        logFirstAnswer(answer);
    lastAnswerAt_ = now;
    lastHeardAt_ = now;
    confirmedEndSequence_ = std::max(confirmedEndSequence_, poll.ackedEndSequence);
    if (answer.workerClock) {
        setClock(*answer.workerClock, poll.sentAt, now);
        checkEarlierLeases(*answer.workerClock, now);
    }
    const size_t lingeringRuns = lingeringRuns_.size();
    const bool hadStrayRun = hasStrayRun_;
    applyEnds(answer);
    const bool wasSynced = synced_;
    if (poll.number > newestAnsweredPoll_) {
        newestAnsweredPoll_ = poll.number;
        applyRunning(answer, poll.sentAt, now);
        // Until all ends are listed, it is not known which runs of an earlier leader have ended.
        synced_ = synced_ || (!answer.mayHaveMoreEnds && answer.workerClock);
        if (!answer.mayHaveMoreEnds)
            allRunsAskedAt_ = poll.sentAt;
    }
    if (!answer.mayHaveMoreEnds)
        allEndsAskedAt_ = std::max(allEndsAskedAt_, poll.sentAt);
    setSuspect(false);
    if (!wasSynced || hadStrayRun != hasStrayRun_ || lingeringRuns != lingeringRuns_.size())
        options_.events.onAvailabilityChanged();
    if (hasStoppedRun() || hasStrayRun_)
        return;
    pollDelay_ = std::min(options_.events.pollDelay(), options_.times.maxPollDelay);
    nextPollAt_ = std::max(nextPollAt_, now + pollDelay_);
}

void WorkerSession::logFirstAnswer(const PollAnswer &answer) const
{
    LogEvent("worker-heard")
        .with("worker", options_.endpoint.id)
        .with("born", options_.incarnationStartMs)
        .with("clock", answer.workerClock.value_or(Millis()))
        .with("runs", runs_.size())
        .with("running", answer.running.size())
        .with("ended", answer.ended.size());
}

// A worker that restarts under its id receives the calls that were meant for its earlier
// incarnation.
void WorkerSession::noteOtherIncarnation(const PollAnswer &answer)
{
    if (std::exchange(hasSeenOtherIncarnation_, true))
        return;
    LogEvent("other-incarnation")
        .with("worker", options_.endpoint.id)
        .with("born", options_.incarnationStartMs)
        .with("answeredBorn", answer.incarnationStartMs.value_or(0))
        .with("clock", answer.workerClock.value_or(Millis()))
        .with("running", answer.running.size());
}

void WorkerSession::applyEnds(const PollAnswer &answer)
{
    for (const EndReport &report : answer.ended) {
        if (report.sequence > highestEndSequence_) {
            highestEndSequence_ = report.sequence;
            ackWaitEnd_ = options_.clock() + options_.times.maxAckWait;
            options_.events.onEndsListed();
        }
        const auto task = taskOf(report.task);
        if (!task)
            continue;
        lingeringRuns_.erase({ *task, report.run });
        const auto found = runs_.find(*task);
        if (found != runs_.end() && found->second.run == report.run)
            applyEnd(*task, report);
        else
            options_.events.onOtherEnd(*task, report);
    }
}

void WorkerSession::recordProgress(SessionRun *known, int percent, Millis now)
{
    if (percent > known->progressPercent || !known->firstPercent) {
        known->lastProgressAt = now;
        known->lastStalledReportAt = now;
        known->stalledReports = 0;
    } else if (now - known->lastStalledReportAt >= MinReportInterval) {
        known->lastStalledReportAt = now;
        known->stalledReports++;
    }
}

bool WorkerSession::hasStalledRun() const
{
    return std::any_of(runs_.begin(), runs_.end(), [](const auto &entry) {
        return entry.second.stalledReports > 0 && entry.second.progressPercent < 100;
    });
}

void WorkerSession::applyRunning(const PollAnswer &answer, Millis sentAt, Millis now)
{
    std::set<StepTaskRef> listed;
    std::set<state::RunRef> listedLingering;
    hasStrayRun_ = false;
    strayRuns_.clear();
    for (const RunningReport &report : answer.running) {
        const auto task = taskOf(report.task);
        const auto found = task ? runs_.find(*task) : runs_.end();
        if (found == runs_.end() || found->second.run != report.run) {
            if (task)
                strayRuns_.insert({ *task, report.run });
            const bool lingering = task && lingeringRuns_.contains({ *task, report.run });
            if (lingering)
                listedLingering.insert({ *task, report.run });
            const bool ending =
                lingering || (task && unappliedEnds_.contains({ *task, report.run }));
            hasStrayRun_ = hasStrayRun_ || !ending;
            if (!ending)
                stopStrayRun(report.task, report.run, now);
            continue;
        }
        listed.insert(*task);
        SessionRun &known = found->second;
        known.isListed = true;
        known.hasBegun = true;
        // The only send has been carried out.
        if (known.sendCount == 1)
            known.settleStarts(now);
        if (known.knownState == KnownRunState::Sent) {
            known.knownState = KnownRunState::Confirmed;
            known.knownStateSince = now;
        }
        if (!report.checkpoint.empty() && report.checkpoint != known.checkpoint) {
            known.checkpoint = report.checkpoint;
            known.checkpointAt = now;
        }
        recordProgress(&known, report.progressPercent, now);
        if (!known.firstPercent) {
            known.firstPercent = report.progressPercent;
            known.firstPercentAt = now;
        }
        known.progressPercent = report.progressPercent;
        known.latencyMsOrMillicores = report.latencyMsOrMillicores;
    }
    removeGoneLingeringRuns(listedLingering, sentAt);
    if (!answer.mayHaveMoreEnds)
        endMissingRuns(listed, sentAt);
}

// Ends the runs that the worker neither runs nor has ended.
void WorkerSession::endMissingRuns(const std::set<StepTaskRef> &listed, Millis sentAt)
{
    std::vector<StepTaskRef> gone;
    for (const auto &[task, known] : runs_) {
        if (listed.contains(task) || known.knownStateSince >= sentAt)
            continue;
        // A start that this leader has sent may still be carried out. A start of an earlier leader
        // can't, since this poll has shown the worker a higher fencing token.
        const bool cannotRun = known.knownState == KnownRunState::Confirmed
            || known.knownState == KnownRunState::Stopped
            || (known.knownState == KnownRunState::Sent && !synced_);
        if (cannotRun)
            gone.push_back(task);
    }
    for (const StepTaskRef &task : gone)
        endRun(task, schema::RUN_LOST);
}

void WorkerSession::removeGoneLingeringRuns(const std::set<state::RunRef> &listed, Millis sentAt)
{
    std::erase_if(lingeringRuns_, [&](const auto &entry) {
        return !listed.contains(entry.first) && entry.second.since < sentAt;
    });
}

void WorkerSession::stopStrayRun(const TaskName &name, uint32_t run, Millis now)
{
    if (strayStops_.size() > MaxStrayStops)
        strayStops_.clear();
    Millis &last = strayStops_[name];
    if (last != Millis() && now - last < options_.times.stopRetryInterval)
        return;
    last = now;
    LogEvent("stray-run-stopped")
        .with("work", name.work)
        .with("step", name.step)
        .with("task", name.index)
        .with("run", run)
        .with("worker", options_.endpoint.id);
    options_.port.stop(options_.endpoint, StopOrder{ name, run, options_.fencingToken },
        options_.times.orderTimeout, guarded([](const OrderAnswer &) {}));
}

} // namespace basilgap::dispatch
