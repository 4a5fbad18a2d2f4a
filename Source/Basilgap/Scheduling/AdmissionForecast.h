#pragma once

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/State/Resources.h"
#include "Basilgap/State/WorkTable.h"

namespace basilgap::scheduling {

// A job that a caller submits. The figures of its account are those of the last round
// (AccountShares).
struct AdmissionJob
{
    std::string id;
    state::QueueId queue;
    state::AccountName account;
    // 0: the job has no estimate.
    Millis objective;
    // Services and scheduled jobs are always accepted.
    bool isExempt = false;
    // Cores that the account may use at any time.
    double entitledCores = 0;
    // Whether the account asks for more than that.
    bool isDemandBeyondShare = false;
};

// Why a job is refused.
struct AdmissionRefusal
{
    uint32_t retryAfterSeconds = 1;
    // Waiting work of the account in the queue, in core-milliseconds by the forecast.
    double backlogCoreMs = 0;
    // Cores of work by the forecast that are finished at a time.
    double drainCores = 0;
    Millis wait;
    Millis objective;
};

// Latency objective of a job that is not in the table, by the expected durations of its steps, or
// by the estimates in the job without an estimator.
Millis latencyObjective(const schema::WorkSpec &spec, const schema::QueueConfig &queue,
    const state::AccountName &account, const DurationEstimator *durations);

// Whether admission never refuses such a job.
bool isExemptFromAdmission(const schema::WorkSpec &spec);

// Keeps the waiting work of each queue and account, and the rate at which it is finished, and
// decides whether a new job could still be of use to its caller. Jobs that are too late to earn
// anything don't count as ahead of a new one, because the planner places them last. All times are
// on the clock of the state. Load pattern: an account that submits more than its share of a full
// cell for longer than its latency objectives allow.
class AdmissionForecast
{
public:
    explicit AdmissionForecast(Millis now);

    // Takes over the state of a job after a record that concerns it was applied; repeating this has
    // no further effect. Takes time in proportion to the steps of this job. A job of an unknown
    // queue (null) is not counted as backlog.
    void refresh(const state::Work &work, const schema::QueueConfig *queue,
        const DurationEstimator &durations, Millis now);
    // Forgets a job that is no longer in the table.
    void remove(state::WorkSerial work);
    // Takes the jobs that have become too late out of the backlog.
    void advance(Millis now);
    // Removes the figures of queues and accounts that have had no job for long.
    void dropIdle(Millis now);

    // Empty: the job is accepted.
    std::optional<AdmissionRefusal> decide(const AdmissionJob &job, Millis now) const;

    // Resources of the tasks that could start now, of each account that has jobs.
    const std::map<state::AccountName, state::Resources> &waitingByAccount() const
    {
        return waiting_;
    }
    double backlogCoreMs(const state::QueueId &queue, const state::AccountName &account) const;
    double backlogCoreMs(const state::AccountName &account) const;
    // Cores of work by the forecast that are finished at a time.
    double drainCores(
        const state::QueueId &queue, const state::AccountName &account, Millis now) const;
    double drainCores(const state::AccountName &account, Millis now) const;

    // The next known jobs, in turn. Checking these against the table now and then finds the few
    // that end without a record of their own, such as one whose task has crashed its workers.
    std::vector<state::WorkSerial> nextForAudit(size_t count);
    size_t size() const { return jobs_.size(); }

private:
    // Of one queue and account.
    struct Key
    {
        state::AccountName account;
        state::QueueId queue;

        auto operator<=>(const Key &) const = default;
    };

    struct Backlog
    {
        size_t jobs = 0;
        // Without jobs that are too late.
        double waitingCoreMs = 0;
        // Finished work, decaying from the time of the last change on.
        double finishedCoreMs = 0;
        Millis finishedAt;
    };

    struct Job
    {
        Key key;
        // Work of one task of each step. It stays the same, so that all that is added to the
        // backlog is subtracted again.
        std::vector<double> taskCoreMs;
        double waitingCoreMs = 0;
        double doneCoreMs = 0;
        state::Resources waiting;
        Millis expiresAt;
        // Too late to earn anything, or exempt.
        bool isLeftOut = false;
    };

    Job &track(const state::Work &work, const schema::QueueConfig *queue,
        const DurationEstimator &durations);
    void addFinished(Backlog *backlog, double coreMs, Millis now) const;
    double drainCores(const Backlog &backlog, Millis now) const;
    void setWaiting(Job *job, double coreMs, const state::Resources &waiting);
    uint32_t retryAfterSeconds(const std::string &id, double excessMs) const;

    std::map<state::WorkSerial, Job> jobs_;
    std::map<Key, Backlog> backlogs_;
    std::map<state::AccountName, state::Resources> waiting_;
    std::map<state::AccountName, size_t> jobsOf_;
    // Jobs of the backlog by the time at which they become too late.
    std::set<std::pair<Millis, state::WorkSerial>> expiries_;
    state::WorkSerial auditedUpTo_;
    Millis startedAt_;
};

} // namespace basilgap::scheduling
