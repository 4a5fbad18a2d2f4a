// Workers whose capacity shrinks and grows while tasks run on them.

#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

class StepPlannerCapacityTest : public StepPlannerTest
{
protected:
    Resources freeOn(const StepWorker &worker) const
    {
        return worker.capacity - table.reservedOn(worker.number);
    }

    // Offers each running task of the step for preemption.
    void addPreemptibleRuns(const StepRef &step)
    {
        const state::Work &work = *table.find(step.work);
        for (uint32_t i = 0; i < work.stepAt(step).tasks.size(); i++) {
            const state::WorkTask &task = work.stepAt(step).tasks[i];
            if (task.phase == state::RunPhase::Running)
                preemptibleRuns.push_back({ { step, i }, task.worker, work.account,
                    state::reservationOf(work.specOf(step)), 100, false });
        }
    }
};

} // namespace

// Capacities change at random between rounds; tasks end at random.
TEST_F(StepPlannerCapacityTest, noStartBringsAWorkerOverItsPresentCapacity)
{
    std::mt19937 random(20261205);
    addWorkers(6, 8000);
    std::vector<StepRef> steps;
    size_t starts = 0;
    size_t roundsOverCapacity = 0;
    for (int round = 0; round < 300; round++) {
        for (StepWorker &worker : workers) {
            if (random() % 4 == 0)
                worker.capacity = { static_cast<int64_t>(random() % 9) * 1000,
                    static_cast<int64_t>(random() % 5) * 100, static_cast<int64_t>(random() % 3) };
        }
        steps.push_back(submit(round % 2 == 0 ? "urgent" : "deferrable", 1 + random() % 4,
            500 + random() % 3000, [&](schema::StepSpec *step) {
                step->set_accelerators(random() % 4 == 0 ? 1 : 0);
                step->set_backfill(random() % 5 == 0);
                step->set_gang(random() % 5 == 0);
                step->set_max_per_worker(random() % 3);
            }));
        const StepPlan planned = plan();
        apply(planned);
        starts += planned.starts.size();
        std::set<WorkerNumber> started;
        for (const PlannedRun &start : planned.starts)
            started.insert(start.worker);
        for (const StepWorker &worker : workers) {
            const bool fits = Resources().fitsIn(freeOn(worker));
            roundsOverCapacity += fits ? 0 : 1;
            EXPECT_TRUE(fits || !started.contains(worker.number)) << "round " << round;
        }
        ends.Clear();
        for (const StepRef &step : steps) {
            const state::Work &work = *table.find(step.work);
            for (uint32_t i = 0; i < work.stepAt(step).tasks.size(); i++) {
                if (work.stepAt(step).tasks[i].phase == state::RunPhase::Running
                    && random() % 8 == 0)
                    addEnd(step, i, schema::RUN_DONE);
            }
        }
        table.apply(ends, Wall);
        ends.Clear();
    }
    EXPECT_GT(starts, 300U);
    EXPECT_GT(roundsOverCapacity, 100U);
}

TEST_F(StepPlannerCapacityTest, deferrableWorkUsesTheRoomBesideAWorkerOverItsCapacity)
{
    addWorkers(2, 8000);
    const StepRef running = submit("deferrable", 8, 1000);
    apply(plan());
    ASSERT_EQ(freeOn(workers[0]).millicores, 0);
    workers[0].capacity.millicores = 0;
    const StepRef waiting = submit("deferrable", 4, 1000);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, running), 0U);
    EXPECT_EQ(startsOf(planned, waiting), 4U);
    for (const PlannedRun &start : planned.starts)
        EXPECT_EQ(start.worker, workers[1].number);
}

// Runs that were stopped for it would start again and be stopped again, without end.
TEST_F(StepPlannerCapacityTest, nothingIsPreemptedForATaskThatNoWorkerCanHold)
{
    addWorkers(4, 8000);
    configCommand.mutable_config()->mutable_accounts(0)->set_millicores_cap(12000);
    const StepRef running = submit("deferrable", 8, 1000);
    apply(plan());
    ASSERT_EQ(table.runningTasks(), 8U);
    addPreemptibleRuns(running);
    const StepRef large = submit("urgent", 2, 6000);
    EXPECT_FALSE(plan().preemptions.empty()) << "a worker could hold the task";
    for (StepWorker &worker : workers)
        worker.capacity.millicores = 4000;
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, large), 0U);
    EXPECT_TRUE(planned.preemptions.empty());
}

TEST_F(StepPlannerCapacityTest, aTaskThatNoWorkerCanHoldWaitsAndHoldsUpNoOther)
{
    addWorkers(3, 4000);
    const StepRef large = submit("urgent", 2, 6000);
    const StepRef gang =
        submit("urgent", 3, 6000, [](schema::StepSpec *step) { step->set_gang(true); });
    const StepRef small = submit("urgent", 6, 2000);
    const StepRef deferrable = submit("deferrable", 3, 1000);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, large) + startsOf(planned, gang), 0U);
    EXPECT_EQ(startsOf(planned, small), 6U);
    apply(planned);
    // Urgent work that waits has at most 40 % of the cell kept free.
    addEnd(small, 0, schema::RUN_DONE);
    addEnd(small, 1, schema::RUN_DONE);
    addEnd(small, 2, schema::RUN_DONE);
    addEnd(small, 3, schema::RUN_DONE);
    table.apply(ends, Wall);
    ends.Clear();
    EXPECT_EQ(startsOf(plan(), deferrable), 3U);
    workers[1].capacity.millicores = 14000;
    EXPECT_EQ(startsOf(plan(), large), 2U) << "the capacity has grown";
}

TEST_F(StepPlannerCapacityTest, urgentWorkPreemptsOnlyWhereThatBringsTheWorkerUnderItsCapacity)
{
    addWorkers(1, 8000);
    const StepRef running = submit("deferrable", 8, 1000);
    apply(plan());
    addPreemptibleRuns(running);
    workers[0].capacity.millicores = 3000;
    const StepRef urgentStep = submit("urgent", 1, 2000);
    const StepPlan planned = plan();
    EXPECT_TRUE(planned.starts.empty());
    EXPECT_EQ(planned.preemptions.size(), 7U) << "one of the eight may stay";
    workers[0].capacity.millicores = 1000;
    EXPECT_TRUE(plan().preemptions.empty()) << "the task does not fit even on the empty worker";
    workers[0].capacity.millicores = 10000;
    EXPECT_EQ(startsOf(plan(), urgentStep), 1U);
}

// A shrink by itself stops nothing.
TEST_F(StepPlannerCapacityTest, runsOnAWorkerOverItsCapacityAreLeftAlone)
{
    addWorkers(2, 8000);
    submit("urgent", 4, 1000);
    const StepRef deferrable = submit("deferrable", 4, 1000);
    apply(plan());
    addPreemptibleRuns(deferrable);
    for (StepWorker &worker : workers)
        worker.capacity = {};
    const StepPlan planned = plan();
    EXPECT_TRUE(planned.starts.empty());
    EXPECT_TRUE(planned.preemptions.empty());
}

// A backfill task uses no counted processor time, yet its start must find the worker within its
// capacity.
TEST_F(StepPlannerCapacityTest, anyKindOfCapacityThatIsExceededHoldsStartsBack)
{
    addWorkers(1, 8000);
    workers[0].capacity = { 8000, 100, 2 };
    submit("urgent", 2, 1000, [](schema::StepSpec *step) { step->set_accelerators(1); });
    apply(plan());
    ASSERT_EQ(table.reservedOn(workers[0].number), (Resources{ 2000, 20, 2 }));
    submit("urgent", 1, 1000);
    submit("urgent", 1, 1000, [](schema::StepSpec *step) { step->set_backfill(true); });
    for (const Resources &shrunk :
        { Resources{ 1000, 100, 2 }, Resources{ 8000, 10, 2 }, Resources{ 8000, 100, 1 } }) {
        workers[0].capacity = shrunk;
        EXPECT_TRUE(plan().starts.empty())
            << shrunk.millicores << ' ' << shrunk.memoryMb << ' ' << shrunk.accelerators;
    }
    workers[0].capacity = { 3000, 40, 2 };
    EXPECT_EQ(plan().starts.size(), 2U);
}

// Advice costs its service time, so it is not asked for workers that could not take the task.
TEST_F(StepPlannerCapacityTest, noAdviceIsRequestedForWorkersWithoutRoom)
{
    configCommand.mutable_config()->mutable_queues(0)->mutable_advice()->set_decision_ms(10);
    addWorkers(3, 8000);
    submit("deferrable", 6, 4000);
    apply(plan());
    ASSERT_EQ(table.runningTasks(), 6U);
    const StepRef step = submit("urgent", 2, 2000);
    workers[0].capacity.millicores = 4000;
    EXPECT_TRUE(plan().adviceRequests.empty());
    workers[0].capacity.millicores = 0;
    workers[1].capacity.millicores = 12000;
    const StepPlan planned = plan();
    ASSERT_EQ(planned.adviceRequests.size(), 1U);
    EXPECT_EQ(planned.adviceRequests[0].step, step);
    EXPECT_EQ(planned.adviceRequests[0].workers, std::vector{ workers[1].number });
}

} // namespace basilgap::scheduling
