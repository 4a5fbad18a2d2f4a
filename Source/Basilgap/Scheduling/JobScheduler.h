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
    // Running tasks to be checkpointed, or stopped where they can't be.
    std::vector<TaskId> preemptions;
    std::vector<PlannedFailure> failures;

    bool isEmpty() const { return starts.empty() && preemptions.empty() && failures.empty(); }
};

struct ScheduleInput
{
    const state::JobTable &jobs;
    const state::ConfigState &config;
    // Usable workers with what is reserved on them; changed by the planning.
    WorkerPool &pool;
    // Largest capacity of any known worker, usable or not, resource by resource.
    Resources largestWorker;
    // Workers on which tasks of a job failed.
    const std::map<JobId, std::set<WorkerNumber>> &failedOn;
    // Tasks that were told to stop.
    const std::set<TaskId> &stopping;
    // Milliseconds since 1970.
    uint64_t nowMs = 0;
};

struct ScheduleOptions
{
    size_t maxStarts = 500;
    size_t maxPreemptionSearches = 8;
};

// Decides which waiting tasks start where. Between teams: weighted dominant resource fairness below
// the hard limits, urgent work first, then jobs that have waited longer than the ageing time. Gangs
// start whole or not at all.
class JobScheduler
{
public:
    explicit JobScheduler(ScheduleOptions options = {});

    SchedulePlan plan(const ScheduleInput &input);

    // Why a job with waiting tasks did not start in the last planning, for its owner; may be empty.
    std::string waitReason(JobId job) const;

private:
    friend class ScheduleRound;

    // Room that will become free for an urgent task on a worker.
    struct CapacityReservation
    {
        WorkerNumber worker;
        Resources resources;
        uint64_t untilMs = 0;
    };

    // Workers held for one gang.
    struct GangReservation
    {
        JobId job;
        std::set<WorkerNumber> workers;
        uint64_t untilMs = 0;
    };

    ScheduleOptions options_;
    std::map<TaskId, CapacityReservation> capacityReservations_;
    std::optional<GangReservation> gangReservation_;
    // Gangs whose reservation ran out go behind the others.
    std::map<JobId, uint64_t> lastGangReservationMs_;
    std::map<JobId, std::string> waitReasons_;
};

} // namespace basilgap::scheduling
