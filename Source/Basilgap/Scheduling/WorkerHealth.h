#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/JobTable.h"

namespace basilgap::scheduling {

// A run that has ended as failed.
struct FailedRun
{
    JobId job;
    // From its start until it failed; 0: unknown.
    Millis age;
    // A run of a service, which has no end as done.
    bool isService = false;
};

// Distinguishes faulty workers from faulty jobs. A worker on which several different jobs failed in
// a row is quarantined, for longer each time, and then put on probation: its tasks start one at a
// time until one is done or runs for long enough. So is a worker that restarts again and again.
// Load pattern: grey failures, where a worker accepts tasks and fails them all, and crash loops.
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
        // A task that starts on probation is a trial. It keeps the next one back for this long,
        // unless it is done before: services never are, and other tasks may take hours.
        Millis maxTrialTime{ 2000 };
        // A worker is also quarantined if this many of its lives in a row were shorter than
        // shortLifetime, without a success.
        int minShortLives = 2;
        Millis shortLifetime{ 5000 };
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

    FailureCause recordFailure(state::WorkerNumber worker, const FailedRun &run, Millis now);
    void recordSuccess(state::WorkerNumber worker);
    void recordStart(state::WorkerNumber worker, Millis now);
    // A run of this age is still at work. It counts as a success if it began after the last failure
    // and has outlived all runs that failed on the worker. Returns whether it does.
    bool recordSurvival(state::WorkerNumber worker, Millis age, Millis now);

    // The worker has restarted after a life of this length; absent: unknown. Its new incarnation
    // begins with the count of short lives, and otherwise without failures.
    void recordRestart(state::WorkerNumber earlier, state::WorkerNumber later,
        std::optional<Millis> lifetime, Millis now);
    void retainWorkers(const std::function<bool(state::WorkerNumber)> &isNeeded);

    bool isQuarantined(state::WorkerNumber worker, Millis now) const;
    // No task has failed there since the last success.
    bool hasNoFailures(state::WorkerNumber worker) const { return !records_.contains(worker); }
    // Quarantined before, without a success since.
    bool isOnProbation(state::WorkerNumber worker) const;
    // How many tasks may start on the worker at present, apart from a quarantine.
    uint32_t remainingStarts(state::WorkerNumber worker, Millis now) const;
    // Only what isQuarantined() and remainingStarts() say of these changes with time.
    std::vector<state::WorkerNumber> workersOnProbation() const;
    std::vector<state::WorkerNumber> workersWithFailures() const;

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
        Millis lastFailureAt;
        // The greatest age of a run that failed.
        Millis longestFailure;
        Millis nextTrialAt;
        int shortLives = 0;
    };

    void quarantine(Record *record, Millis now) const;

    Options options_;
    std::map<state::WorkerNumber, Record> records_;
    std::map<JobId, std::set<state::WorkerNumber>> failedOn_;
};

} // namespace basilgap::scheduling
