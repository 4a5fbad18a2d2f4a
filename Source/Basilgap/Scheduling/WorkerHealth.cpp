#include "Basilgap/Scheduling/WorkerHealth.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

constexpr int MaxDoublings = 5;

} // namespace

WorkerHealth::FailureCause WorkerHealth::recordFailure(
    state::WorkerNumber worker, const FailedRun &run, Millis now)
{
    // A service that fails after it has worked for a while says nothing about its worker.
    if (run.isService && run.age > options_.maxTrialTime)
        return FailureCause::Job;
    Record &record = records_[worker];
    const bool othersFailed =
        record.failedJobs.size() > (record.failedJobs.contains(run.job) ? 1U : 0U);
    record.failedJobs.insert(run.job);
    record.lastFailureAt = now;
    record.longestFailure = std::max(record.longestFailure, run.age);
    record.nextTrialAt = now + options_.maxTrialTime;
    failedOn_[run.job].insert(worker);
    const bool confirmed = record.failedJobs.size() >= options_.minFailedJobs || record.onProbation;
    if (confirmed && now >= record.quarantinedUntil)
        quarantine(&record, now);
    return othersFailed ? FailureCause::Worker : FailureCause::Job;
}

void WorkerHealth::quarantine(Record *record, Millis now) const
{
    const int doublings = std::min(record->quarantines, MaxDoublings);
    record->quarantinedUntil = now
        + std::min(options_.initialQuarantine * (int64_t(1) << doublings), options_.maxQuarantine);
    record->quarantines++;
    record->onProbation = true;
}

void WorkerHealth::recordRestart(state::WorkerNumber earlier, state::WorkerNumber later,
    std::optional<Millis> lifetime, Millis now)
{
    const auto former = records_.extract(earlier);
    int shortLives = former.empty() ? 0 : former.mapped().shortLives;
    if (lifetime)
        shortLives = *lifetime < options_.shortLifetime ? shortLives + 1 : 0;
    if (shortLives == 0)
        return;
    Record &record = records_[later];
    record.shortLives = shortLives;
    record.quarantines = former.empty() ? 0 : former.mapped().quarantines;
    record.lastFailureAt = now;
    record.longestFailure = lifetime.value_or(options_.shortLifetime);
    record.nextTrialAt = now + options_.maxTrialTime;
    if (shortLives >= options_.minShortLives)
        quarantine(&record, now);
}

void WorkerHealth::retainWorkers(const std::function<bool(state::WorkerNumber)> &isNeeded)
{
    std::erase_if(records_, [&isNeeded](const auto &entry) { return !isNeeded(entry.first); });
}

void WorkerHealth::recordSuccess(state::WorkerNumber worker)
{
    records_.erase(worker);
}

void WorkerHealth::recordStart(state::WorkerNumber worker, Millis now)
{
    const auto found = records_.find(worker);
    if (found != records_.end())
        found->second.nextTrialAt = now + options_.maxTrialTime;
}

bool WorkerHealth::recordSurvival(state::WorkerNumber worker, Millis age, Millis now)
{
    const auto found = records_.find(worker);
    if (found == records_.end())
        return false;
    const Record &record = found->second;
    const bool hasOutlivedFailures = age > std::max(options_.maxTrialTime, record.longestFailure);
    if (!hasOutlivedFailures || now - age < record.lastFailureAt)
        return false;
    records_.erase(found);
    return true;
}

void WorkerHealth::retainJobs(const std::function<bool(JobId)> &isNeeded)
{
    std::erase_if(failedOn_, [&isNeeded](const auto &entry) { return !isNeeded(entry.first); });
}

bool WorkerHealth::isQuarantined(state::WorkerNumber worker, Millis now) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && now < found->second.quarantinedUntil;
}

std::vector<state::WorkerNumber> WorkerHealth::workersOnProbation() const
{
    std::vector<state::WorkerNumber> workers;
    for (const auto &[worker, record] : records_) {
        if (record.onProbation)
            workers.push_back(worker);
    }
    return workers;
}

std::vector<state::WorkerNumber> WorkerHealth::workersWithFailures() const
{
    std::vector<state::WorkerNumber> workers;
    for (const auto &[worker, record] : records_)
        workers.push_back(worker);
    return workers;
}

bool WorkerHealth::isOnProbation(state::WorkerNumber worker) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.onProbation;
}

uint32_t WorkerHealth::remainingStarts(state::WorkerNumber worker, Millis now) const
{
    const auto found = records_.find(worker);
    if (found == records_.end() || !found->second.onProbation)
        return UINT32_MAX;
    return now >= found->second.nextTrialAt ? 1 : 0;
}

} // namespace basilgap::scheduling
