#pragma once

#include <gtest/gtest.h>
#include <map>
#include <random>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {

constexpr Millis Now{ 50000 };
constexpr uint64_t Wall = 1000000;

// A small cell with an urgent and a deferrable queue, and identical workers.
class StepPlannerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        configCommand.set_version(1);
        schema::WorkConfig &config = *configCommand.mutable_config();
        config.add_pools()->set_name("pool");
        for (const char *name : { "urgent", "deferrable" }) {
            schema::QueueConfig *queue = config.add_queues();
            queue->set_name(name);
            queue->set_prefix(name);
            queue->set_pool("pool");
            queue->set_priority(name == std::string("urgent") ? 0 : 2);
            queue->set_slack_factor(2);
            queue->set_target_latency_ms(500);
        }
        config.add_accounts()->set_name("team");
    }

    void addWorkers(int count, int64_t millicores)
    {
        for (int i = 0; i < count; i++) {
            StepWorker worker;
            worker.number = WorkerNumber(static_cast<uint32_t>(workers.size()) + 1);
            worker.pool = "pool";
            worker.rack = "r" + std::to_string(i / 2);
            worker.capacity = { millicores, 1000000, 0 };
            workers.push_back(worker);
        }
    }

    // Submits a job with one step and returns that step.
    StepRef submit(
        const char *queue, uint32_t count, uint64_t millicores,
        const std::function<void(schema::StepSpec *)> &change = [](schema::StepSpec *) {},
        uint64_t ageMs = 0)
    {
        schema::SubmitWork command;
        command.set_id("job" + std::to_string(next_));
        command.set_queue(queue);
        command.set_account("team");
        command.set_max_attempts(3);
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(count);
        step->set_millicores(millicores);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        change(step);
        table.submit(command, Wall - ageMs);
        return { state::WorkSerial(next_++), 0, 0 };
    }

    StepPlan plan() { return planAt(Wall); }

    StepPlan planAt(uint64_t stateMs)
    {
        config.apply(configCommand);
        std::vector<StepWorker> current = workers;
        for (StepWorker &worker : current)
            worker.reserved += table.reservedOn(worker.number);
        urgent.reset();
        urgent.update(table, config, EmptyCapacity(workers), Now, Wall);
        waiting.refresh(table, config, Wall);
        return StepPlanner(
            {
                .table = table,
                .config = config,
                .waiting = waiting,
                .permits = permits,
                .health = health,
                .durations = durations,
                .urgent = urgent,
                .shares = shares,
                .workers = current,
                .now = Now,
                .wallMs = Wall,
                .stateMs = stateMs,
                .adviceClaims = adviceClaims,
                .advisors = advisors,
                .freeAdvisors = freeAdvisors,
                .endingSteps = endingSteps,
                .preemptibleRunsOn =
                    [this](WorkerNumber worker) {
                        return preemptibleRunsWith(
                            [&](const PreemptibleRun &run) { return run.worker == worker; });
                    },
                .preemptibleRunsOf =
                    [this](const state::AccountName &account) {
                        return preemptibleRunsWith(
                            [&](const PreemptibleRun &run) { return run.account == account; });
                    },
                .hasFreshRun = [this](
                                   WorkerNumber worker) { return freshWorkers.contains(worker); },
                .pendingEnds = collectPendingRunEnds(table, ends),
                .maxStarts = maxStarts,
            })
            .run();
    }

    std::vector<PreemptibleRun> preemptibleRunsWith(
        const std::function<bool(const PreemptibleRun &)> &matches) const
    {
        std::vector<PreemptibleRun> matching;
        std::copy_if(
            preemptibleRuns.begin(), preemptibleRuns.end(), std::back_inserter(matching), matches);
        return matching;
    }

    void apply(const StepPlan &plan)
    {
        schema::RunBatch batch;
        for (const PlannedRun &planned : plan.starts) {
            schema::RunStart *start = batch.add_starts();
            start->set_work(planned.task.step.work.value());
            start->set_step(planned.task.step.step);
            start->set_index(planned.task.index);
            start->set_run(planned.run);
            start->set_worker(planned.worker.value());
        }
        table.apply(batch, Wall);
    }

    void addEnd(const StepRef &step, uint32_t index, schema::RunOutcome outcome)
    {
        schema::RunEnd *end = ends.add_ends();
        end->set_work(step.work.value());
        end->set_step(step.step);
        end->set_index(index);
        end->set_run(table.find(StepTaskRef{ step, index })->run);
        end->set_outcome(outcome);
    }

    static size_t startsOf(const StepPlan &plan, const StepRef &step)
    {
        size_t count = 0;
        for (const PlannedRun &start : plan.starts)
            count += start.task.step == step ? 1 : 0;
        return count;
    }

    size_t maxStarts = SIZE_MAX;
    // Workers on which a task has just started.
    std::set<WorkerNumber> freshWorkers;
    schema::PutWorkConfig configCommand;
    state::WorkTable table;
    state::WorkConfigState config;
    PermitCache permits;
    AdviceClaims adviceClaims;
    size_t advisors = 4;
    size_t freeAdvisors = 4;
    WorkerHealth health;
    DurationEstimator durations;
    WaitingSteps waiting;
    StartShares shares;
    UrgentDemand urgent{ DeferrablePriority };
    std::vector<StepWorker> workers;
    std::set<StepRef> endingSteps;
    std::vector<PreemptibleRun> preemptibleRuns;
    // Run ends that go into the same log record as the plan.
    schema::RunBatch ends;

private:
    uint64_t next_ = 1;
};

} // namespace basilgap::scheduling
