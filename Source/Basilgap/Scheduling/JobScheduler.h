#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Scheduling/WorkerPool.h"
#include "Basilgap/State/ConfigState.h"
#include "Basilgap/State/JobTable.h"

namespace basilgap::scheduling {

struct PlannedStart
{
    TaskId task;
    WorkerNumber worker;
};

struct PlannedFailure
{
    JobId job;
    std::string reason;
};

struct SchedulePlan
{
    std::vector<PlannedStart> starts;
    // Running tasks to checkpoint, or to stop where they don't support checkpoints.
    std::vector<TaskId> preemptions;
    std::vector<PlannedFailure> failures;

    bool isEmpty() const { return starts.empty() && preemptions.empty() && failures.empty(); }
};

struct ScheduleInput
{
    const state::JobTable &jobs;
    const state::ConfigState &config;
    // Workers that may be given tasks, with their reservations; planned starts are reserved in
    // place.
    WorkerPool &pool;
    // Largest capacity of all known workers, resource by resource, whether they may be given tasks
    // or not.
    Resources largestWorker;
    // For each job, the workers on which its tasks failed.
    const std::map<JobId, std::set<WorkerNumber>> &failedOn;
    // Running tasks that were ordered to stop.
    const std::set<TaskId> &stopping;
    // Unix time in milliseconds.
    uint64_t nowMs = 0;
};

struct ScheduleOptions
{
    size_t maxStarts = 500;
    size_t maxPreemptionSearches = 8;
};

// Decides which waiting tasks start on which workers. Urgent jobs go first, then jobs that have
// waited longer than the ageing time, then teams by weighted dominant resource fairness, all below
// the teams' limits. Gangs are scheduled all or nothing. Load pattern: a saturated cell shared by
// teams with batch, service, gang and urgent jobs.
class JobScheduler
{
public:
    explicit JobScheduler(ScheduleOptions options = {});

    SchedulePlan plan(const ScheduleInput &input);

    // Tells the owner why a job's tasks did not start in the last round; may be empty.
    std::string waitReason(JobId job) const;

private:
    friend class ScheduleRound;

    // Capacity of a worker that is reserved for an urgent task while preempted tasks stop there.
    struct CapacityReservation
    {
        WorkerNumber worker;
        Resources resources;
        uint64_t untilMs = 0;
    };

    // Workers reserved for one gang.
    struct GangReservation
    {
        JobId job;
        std::set<WorkerNumber> workers;
        uint64_t untilMs = 0;
    };

    ScheduleOptions options_;
    std::map<TaskId, CapacityReservation> capacityReservations_;
    std::optional<GangReservation> gangReservation_;
    // End of the last reservation of each gang, in Unix milliseconds. Gangs whose reservation
    // expired go behind the others.
    std::map<JobId, uint64_t> lastGangReservationMs_;
    std::map<JobId, std::string> waitReasons_;
};

} // namespace basilgap::scheduling
