#pragma once

#include <set>
#include <string>
#include <vector>

#include "Basilgap/Scheduling/JobScheduler.h"
#include "Basilgap/State/CellState.h"

namespace basilgap::scheduling {

// A cell state with workers; plans are applied to it at once.
class SchedulerFixture
{
public:
    struct Team
    {
        std::string name;
        uint32_t share = 1;
        Resources limit{ 1'000'000'000, 1'000'000'000, 1'000'000 };
    };

    explicit SchedulerFixture(const std::vector<Team> &teams);

    void addWorker(const Resources &capacity, const std::string &zone = "z1",
        const std::string &rack = "z1-r1");
    JobId submit(const std::string &team, schema::JobClass jobClass, uint32_t tasks,
        const Resources &reservation, bool urgent = false, bool checkpointable = false);

    // Plans, applies the starts, and records the preemptions as stopping.
    SchedulePlan plan();
    // Ends a running task.
    void end(TaskId task, schema::TaskEnd end);
    // Ends every task that was ordered to stop.
    void endStopping();

    // First invariant that the state violates: worker capacity or team limit; empty if all hold.
    std::string violatedInvariant() const;

    const state::CellState &state() const { return state_; }
    const std::vector<PoolWorker> &workers() const { return workers_; }
    std::set<TaskId> &stopping() { return stopping_; }
    uint64_t nowMs = 1'000'000;
    JobScheduler scheduler;

private:
    void apply(schema::Command command);

    state::CellState state_;
    std::vector<PoolWorker> workers_;
    std::set<TaskId> stopping_;
    uint64_t index_ = 0;
};

} // namespace basilgap::scheduling
