#pragma once

#include <functional>
#include <map>
#include <set>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/JobTable.h"

namespace basilgap::scheduling {

// Tells workers that fail whatever they are given from jobs that fail wherever they run. A worker
// on which several jobs failed in a row is quarantined, for longer each time, and then tried with
// one task.
class WorkerHealth
{
public:
    struct Options
    {
        // Different jobs that must fail in a row on a worker before it is quarantined.
        size_t minFailedJobs = 3;
        // Doubled with each quarantine that follows.
        Millis initialQuarantine{ 30000 };
        Millis maxQuarantine{ 600000 };
    };

    WorkerHealth() = default;
    explicit WorkerHealth(Options options)
        : options_(options)
    {}

    enum class FailureCause {
        // The failure speaks against the job.
        Job,
        // The worker has failed other jobs before: the failure says nothing about the job.
        Worker,
    };

    FailureCause recordFailure(state::WorkerNumber worker, JobId job, Millis now);
    void recordSuccess(state::WorkerNumber worker);

    // Whether the worker may be given another task, when it runs that many already.
    bool mayStart(state::WorkerNumber worker, size_t running, Millis now) const;
    bool isQuarantined(state::WorkerNumber worker, Millis now) const;
    // No task has failed there since the last one that succeeded.
    bool hasNoFailures(state::WorkerNumber worker) const { return !records_.contains(worker); }
    // Quarantined before, and not proved sound since.
    bool isOnProbation(state::WorkerNumber worker) const;

    // Workers on which the jobs failed.
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
