#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

// Guards against BUDGET: tasks that were ordered together with one that crashes its worker were
// ordered together with it again and again, and nothing told them apart.
class StepPlannerCrashTest : public StepPlannerTest
{
protected:
    void registerWorker(uint32_t number, const std::string &address)
    {
        schema::RunBatch batch;
        schema::WorkerLife *life = batch.add_workers();
        life->set_number(number);
        life->set_id("w" + std::to_string(number));
        life->set_address(address);
        life->set_born_ms(number);
        table.apply(batch, Wall);
    }

    // The worker of the task is lost just after the start.
    void loseWorkerOf(const StepRef &step, uint32_t index, uint64_t atMs = Wall)
    {
        addEnd(step, index, schema::RUN_LAPSED);
        ends.mutable_ends(ends.ends_size() - 1)->set_worker_loss(schema::WORKER_LOST_AT_START);
        lossMs = atMs;
    }

    void applyEnds()
    {
        table.apply(ends, lossMs);
        ends.Clear();
    }

    uint64_t lossMs = Wall;
};

TEST_F(StepPlannerCrashTest, suspectsStartAloneOnDifferentWorkers)
{
    addWorkers(4, 8000);
    registerWorker(1, "a");
    const StepRef step = submit("urgent", 3, 1000);
    apply(plan());
    for (uint32_t i = 0; i < 3; i++)
        loseWorkerOf(step, i);
    EXPECT_EQ(startsOf(plan(), step), 0U) << "the record of the loss comes first";
    applyEnds();
    const StepRef other = submit("urgent", 6, 1000);
    const StepPlan planned = plan();
    std::map<WorkerNumber, int> suspects;
    std::set<WorkerNumber> others;
    for (const PlannedRun &start : planned.starts) {
        if (start.task.step == step)
            suspects[start.worker]++;
        else
            others.insert(start.worker);
    }
    EXPECT_EQ(startsOf(planned, other), 6U);
    EXPECT_EQ(suspects.size(), 3U);
    for (const auto &[worker, count] : suspects) {
        EXPECT_EQ(count, 1);
        EXPECT_FALSE(others.contains(worker));
    }
}

TEST_F(StepPlannerCrashTest, suspectGoesWhereNoTaskHasJustStarted)
{
    addWorkers(3, 8000);
    registerWorker(1, "a");
    const StepRef step = submit("urgent", 1, 1000);
    apply(plan());
    loseWorkerOf(step, 0);
    applyEnds();
    freshWorkers = { WorkerNumber(1), WorkerNumber(3) };
    const StepPlan planned = plan();
    ASSERT_EQ(startsOf(planned, step), 1U);
    EXPECT_EQ(planned.starts[0].worker, WorkerNumber(2));
}

// A worker on which tasks fail is often an empty one; attempts are limited for suspects too.
TEST_F(StepPlannerCrashTest, suspectAvoidsWorkersOnWhichTasksFail)
{
    addWorkers(3, 8000);
    registerWorker(1, "a");
    const StepRef step = submit("urgent", 1, 1000);
    apply(plan());
    loseWorkerOf(step, 0);
    applyEnds();
    workers[1].reserved.millicores = 4000;
    health.recordFailure(WorkerNumber(1), { .job = JobId(99) }, Now);
    health.recordFailure(WorkerNumber(3), { .job = JobId(99) }, Now);
    const StepPlan planned = plan();
    ASSERT_EQ(startsOf(planned, step), 1U);
    EXPECT_EQ(planned.starts[0].worker, WorkerNumber(2));
}

TEST_F(StepPlannerCrashTest, taskWaitsForTheFateOfItsWorkersBeforeItsLastStart)
{
    addWorkers(4, 8000);
    for (uint32_t number = 1; number <= 4; number++)
        registerWorker(number, std::to_string(number));
    const StepRef step = submit("urgent", 1, 1000);
    // Nothing is known of any of the workers yet.
    for (uint32_t crash = 1; crash <= state::MaxStartCrashes; crash++) {
        apply(plan());
        const state::WorkTask &task = *table.find(StepTaskRef{ step, 0 });
        ASSERT_EQ(task.phase, state::RunPhase::Running) << crash;
        workers[task.worker.value() - 1].schedulable = false;
        loseWorkerOf(step, 0, Wall - (crash < state::MaxStartCrashes ? 20000 : 1000));
        applyEnds();
    }
    for (StepWorker &worker : workers)
        worker.schedulable = true;
    const StepPlan waiting = plan();
    EXPECT_EQ(startsOf(waiting, step), 0U);
    EXPECT_EQ(waiting.capacityDemand, CapacityDemand::None);
    EXPECT_EQ(startsOf(planAt(Wall + 10000), step), 1U) << "it waits for a few seconds only";
}

TEST_F(StepPlannerCrashTest, gangOfSuspectsIsStillPlacedAsAWhole)
{
    addWorkers(2, 8000);
    registerWorker(1, "a");
    const StepRef step =
        submit("urgent", 6, 1000, [](schema::StepSpec *spec) { spec->set_gang(true); });
    apply(plan());
    ASSERT_EQ(table.runningTasks(), 6U);
    for (uint32_t i = 0; i < 6; i++)
        loseWorkerOf(step, i);
    applyEnds();
    EXPECT_EQ(startsOf(plan(), step), 6U);
}

} // namespace
} // namespace basilgap::scheduling
