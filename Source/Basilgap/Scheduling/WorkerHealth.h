#pragma once

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/JobTable.h"

namespace basilgap::scheduling {

// Distinguishes faulty workers from faulty jobs. A worker on which several different jobs failed in
// a row is quarantined, for longer each time, and then put on probation with one task. Load
// pattern: grey failures, where a worker accepts tasks and fails them all.
class WorkerHealth
{
public:
    struct Options
    {
        // Number of different jobs that must fail in a row on a worker before it is quarantined.
        size_t minFailedJobs = 3;
        // Doubled with each further quarantine.
        Millis initialQuarantine{ 30000 };
        Millis maxQuarantine{ 600000 };
    };

    WorkerHealth() = default;
    explicit WorkerHealth(Options options)
        : options_(options)
    {}

    enum class FailureCause {
        // The failure is counted against the job.
        Job,
        // The worker has failed other jobs before, so the failure is no evidence against the job.
        Worker,
    };

    FailureCause recordFailure(state::WorkerNumber worker, JobId job, Millis now);
    void recordSuccess(state::WorkerNumber worker);

    // Whether another task may start on the worker, given the number that it runs.
    bool mayStart(state::WorkerNumber worker, size_t running, Millis now) const;
    bool isQuarantined(state::WorkerNumber worker, Millis now) const;
    // No task has failed there since the last success.
    bool hasNoFailures(state::WorkerNumber worker) const { return !records_.contains(worker); }
    // Quarantined before, without a success since.
    bool isOnProbation(state::WorkerNumber worker) const;
    // Only what mayStart() says of these changes with time.
    std::vector<state::WorkerNumber> workersOnProbation() const;

    // For each job, the workers on which it failed.
    const std::map<JobId, std::set<state::WorkerNumber>> &failedOn() const { return failedOn_; }
    void retainJobs(const std::function<bool(JobId)> &isNeeded);

private:
    struct Record
    {
        std::set<JobId> failedJobs;
        int quarantines = 0;
        Millis quarantinedUntil;
        bool onProbation = false;
    };

    Options options_;
    std::map<state::WorkerNumber, Record> records_;
    std::map<JobId, std::set<state::WorkerNumber>> failedOn_;
};

} // namespace basilgap::scheduling
