// How a session learns from its worker's lists what runs there and what has ended.

#include <algorithm>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Dispatch/WorkerSession.h"

namespace basilgap::dispatch {

namespace {

// Stray runs whose stops are remembered, so that each is not stopped with every list.
constexpr size_t MaxStrayStops = 1000;

// Reports closer together say nothing of a run that shows the same percent in both.
constexpr Millis ReportSpacing{ 200 };

} // namespace

Millis WorkerSession::retryAfter(Millis now) const
{
    return std::clamp(
        (now - lastAnswer_) / 8, options_.times.retryInterval, options_.times.longestRetry);
}

void WorkerSession::hold(Millis now)
{
    if (fenced_ || superseded_ || !options_.events.mayOrder())
        return;
    holding_++;
    lastHoldAt_ = now;
    // A call that stays unanswered may still renew the lease: a silent worker is given no more, so
    // that the end of its lease comes.
    const auto leaseEnd = suspect_ ? std::nullopt : nextLeaseEnd(now);
    if (leaseEnd)
        noteLease(*leaseEnd);
    const bool hurry = suspect_ || !synced_ || awaitsStops();
    const Millis usual = options_.trouble.isOn(now) ? options_.times.troubledHoldWait
                                                    : options_.times.holdWait - rested_;
    const Millis patient =
        hasStalledRun() ? std::min(usual, options_.times.stalledHoldWait) : usual;
    const Millis wait = hurry ? Millis(0) : patient;
    options_.port.hold(options_.endpoint, HoldOrder{ options_.fence, ackedEnd_, leaseEnd, wait },
        wait + options_.times.holdTimeout,
        guarded([this, now, number = ++lastHold_](
                    HoldAnswer answer) { held(std::move(answer), now, number); }));
}

// Whether a run was stopped and its end is not told of yet.
bool WorkerSession::awaitsStops() const
{
    return std::any_of(runs_.begin(), runs_.end(),
        [](const auto &entry) { return entry.second.knowledge == RunKnowledge::Stopped; });
}

void WorkerSession::held(HoldAnswer answer, Millis sentAt, uint64_t number)
{
    const Millis now = options_.clock();
    holding_--;
    rested_ = Millis(0);
    nextHold_ = std::max(now, sentAt + options_.times.holdGap);
    if (answer.result == OrderResult::Fenced) {
        fenced_ = true;
        return options_.events.onFenced();
    }
    const bool sameLife =
        !answer.bornMs || options_.bornMs == 0 || *answer.bornMs == options_.bornMs;
    if (answer.result != OrderResult::Accepted || !sameLife) {
        // A worker that stays silent is no sign of answers that get lost.
        if (answer.result == OrderResult::Unanswered && !suspect_)
            options_.trouble.note(now);
        nextHold_ = now + retryAfter(now);
        return setSuspect(true);
    }
    lastAnswer_ = now;
    if (answer.workerClock)
        noteClock(*answer.workerClock, now);
    takeEnds(answer);
    if (number > newestAnswered_) {
        newestAnswered_ = number;
        takeRunning(answer, sentAt, now);
    }
    const bool wasSynced = synced_;
    synced_ = true;
    setSuspect(false);
    if (!wasSynced)
        options_.events.onChanged();
    if (awaitsStops())
        return;
    rested_ = std::min(options_.events.restBeforeHold(), options_.times.longestRest);
    nextHold_ = std::max(nextHold_, now + rested_);
}

void WorkerSession::takeEnds(const HoldAnswer &answer)
{
    for (const EndReport &report : answer.ended) {
        highestEnd_ = std::max(highestEnd_, report.number);
        const auto task = taskOf(report.task);
        if (!task)
            continue;
        const auto found = runs_.find(*task);
        if (found == runs_.end() || found->second.run != report.run)
            continue;
        if (!report.checkpoint.empty())
            found->second.checkpoint = report.checkpoint;
        end(*task, report.outcome);
    }
}

void WorkerSession::noteProgress(SessionRun *known, int percent, Millis now)
{
    if (percent > known->percent || !known->firstPercent) {
        known->progressAt = now;
        known->stalledAt = now;
        known->stalledReports = 0;
    } else if (now - known->stalledAt >= ReportSpacing) {
        known->stalledAt = now;
        known->stalledReports++;
    }
}

bool WorkerSession::hasStalledRun() const
{
    return std::any_of(runs_.begin(), runs_.end(), [](const auto &entry) {
        return entry.second.stalledReports > 0 && entry.second.percent < 100;
    });
}

void WorkerSession::takeRunning(const HoldAnswer &answer, Millis sentAt, Millis now)
{
    std::set<StepTaskRef> listed;
    for (const RunningReport &report : answer.running) {
        const auto task = taskOf(report.task);
        const auto found = task ? runs_.find(*task) : runs_.end();
        if (found == runs_.end() || found->second.run != report.run) {
            const bool ending = task && ending_.contains({ *task, report.run });
            if (!ending)
                stopStray(report.task, report.run, now);
            continue;
        }
        listed.insert(*task);
        SessionRun &known = found->second;
        if (known.knowledge == RunKnowledge::Sent) {
            known.knowledge = RunKnowledge::Confirmed;
            known.since = now;
        }
        if (!report.checkpoint.empty() && report.checkpoint != known.checkpoint) {
            known.checkpoint = report.checkpoint;
            known.checkpointAt = now;
        }
        noteProgress(&known, report.percent, now);
        if (!known.firstPercent) {
            known.firstPercent = report.percent;
            known.firstAt = now;
        }
        known.percent = report.percent;
        known.figure = report.figure;
    }
    std::vector<StepTaskRef> gone;
    for (const auto &[task, known] : runs_) {
        if (listed.contains(task) || known.since >= sentAt)
            continue;
        // An answer that is outstanding may still bring it to life; one of an earlier leader can't,
        // since this call has shown the worker a higher fence.
        const bool surelyGone = known.knowledge == RunKnowledge::Confirmed
            || known.knowledge == RunKnowledge::Stopped
            || (known.knowledge == RunKnowledge::Sent && !synced_);
        if (surelyGone)
            gone.push_back(task);
    }
    for (const StepTaskRef &task : gone)
        end(task, schema::RUN_LOST);
}

void WorkerSession::stopStray(const TaskName &name, uint32_t run, Millis now)
{
    if (strayStops_.size() > MaxStrayStops)
        strayStops_.clear();
    Millis &last = strayStops_[name];
    if (last != Millis() && now - last < options_.times.stopRepeat)
        return;
    last = now;
    LogEvent("stray-run-stopped")
        .with("work", name.work)
        .with("step", name.step)
        .with("task", name.index)
        .with("run", run)
        .with("worker", options_.endpoint.id);
    options_.port.stop(options_.endpoint, StopOrder{ name, run, options_.fence },
        options_.times.orderTimeout, guarded([](const OrderAnswer &) {}));
}

} // namespace basilgap::dispatch
