#include "Basilgap/Scheduling/WorkerHealth.h"

#include <algorithm>

namespace basilgap::scheduling {

namespace {

constexpr int MaxDoublings = 5;

} // namespace

WorkerHealth::FailureCause WorkerHealth::recordFailure(
    state::WorkerNumber worker, JobId job, Millis now)
{
    Record &record = records_[worker];
    const bool othersFailed =
        record.failedJobs.size() > (record.failedJobs.contains(job) ? 1U : 0U);
    record.failedJobs.insert(job);
    failedOn_[job].insert(worker);
    const bool confirmed = record.failedJobs.size() >= options_.minFailedJobs || record.onProbation;
    if (confirmed && now >= record.quarantinedUntil) {
        const int doublings = std::min(record.quarantines, MaxDoublings);
        record.quarantinedUntil = now
            + std::min(
                options_.initialQuarantine * (int64_t(1) << doublings), options_.maxQuarantine);
        record.quarantines++;
        record.onProbation = true;
    }
    return othersFailed ? FailureCause::Worker : FailureCause::Job;
}

void WorkerHealth::recordSuccess(state::WorkerNumber worker)
{
    records_.erase(worker);
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

bool WorkerHealth::isOnProbation(state::WorkerNumber worker) const
{
    const auto found = records_.find(worker);
    return found != records_.end() && found->second.onProbation;
}

bool WorkerHealth::mayStart(state::WorkerNumber worker, size_t running, Millis now) const
{
    const auto found = records_.find(worker);
    if (found == records_.end())
        return true;
    if (now < found->second.quarantinedUntil)
        return false;
    return !found->second.onProbation || running == 0;
}

} // namespace basilgap::scheduling
