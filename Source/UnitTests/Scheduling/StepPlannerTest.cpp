#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

TEST_F(StepPlannerTest, neverOvercommitsAWorkerNorAnAccount)
{
    std::mt19937 random(20261204);
    addWorkers(6, 8000);
    configCommand.mutable_config()->mutable_accounts(0)->set_millicores_cap(30000);
    for (int i = 0; i < 40; i++)
        submit(i % 2 == 0 ? "urgent" : "deferrable", 1 + random() % 6, 500 + random() % 5000);
    for (int round = 0; round < 5; round++) {
        apply(plan());
        int64_t sum = 0;
        for (const StepWorker &worker : workers) {
            const Resources reserved = table.reservedOn(worker.number);
            EXPECT_LE(reserved.millicores, worker.capacity.millicores);
            sum += reserved.millicores;
        }
        EXPECT_LE(sum, 30000);
    }
    EXPECT_GT(table.runningTasks(), 0U);
}

TEST_F(StepPlannerTest, stepWaitsForItsPredecessors)
{
    addWorkers(2, 8000);
    schema::SubmitWork command;
    command.set_id("chain");
    command.set_queue("urgent");
    for (int i = 0; i < 2; i++) {
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(1);
        step->set_millicores(1000);
    }
    command.mutable_spec()->mutable_steps(1)->add_after(0);
    table.submit(command, Wall);
    const StepPlan first = plan();
    ASSERT_EQ(first.starts.size(), 1U);
    EXPECT_EQ(first.starts[0].task.step.step, 0U);
}

// Load pattern: chains of short steps. The starts of a step must go into the log record that ends
// its predecessor.
TEST_F(StepPlannerTest, nextStepIsPlannedWithTheEndsOfItsPredecessor)
{
    addWorkers(2, 8000);
    const StepRef first = submit("urgent", 2, 1000, [](schema::StepSpec *) {});
    schema::SubmitWork command;
    command.set_id("chain");
    command.set_queue("urgent");
    for (int i = 0; i < 2; i++) {
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(2);
        step->set_millicores(1000);
    }
    command.mutable_spec()->mutable_steps(1)->add_after(0);
    table.submit(command, Wall);
    apply(plan());
    const StepRef before{ state::WorkSerial(2), 0, 0 };
    const StepRef next{ state::WorkSerial(2), 0, 1 };
    addEnd(before, 0, schema::RUN_DONE);
    EXPECT_EQ(startsOf(plan(), next), 0U) << "one task is still running";
    addEnd(before, 1, schema::RUN_DONE);
    const StepPlan both = plan();
    EXPECT_EQ(startsOf(both, next), 2U);
    EXPECT_EQ(startsOf(both, first), 0U);
}

TEST_F(StepPlannerTest, failedTaskIsRetriedWithItsEndUnlessAttemptsAreExhausted)
{
    addWorkers(2, 8000);
    const StepRef step = submit("urgent", 2, 1000);
    for (uint32_t attempt = 1; attempt <= 3; attempt++) {
        apply(plan());
        ends.Clear();
        addEnd(step, 0, schema::RUN_FAILED);
        const StepPlan again = plan();
        ASSERT_EQ(startsOf(again, step), attempt < 3 ? 1U : 0U);
        if (attempt < 3) {
            EXPECT_EQ(again.starts[0].run, attempt + 1);
        }
        table.apply(ends, Wall);
        ends.Clear();
    }
}

TEST_F(StepPlannerTest, occurrenceDoesNotStartBeforeItIsDue)
{
    addWorkers(1, 8000);
    schema::SubmitWork command;
    command.set_id("timed");
    command.set_queue("urgent");
    command.mutable_spec()->set_occurrences(3);
    command.mutable_spec()->set_first_due_ms(Wall - 100);
    command.mutable_spec()->set_interval_ms(90);
    command.mutable_spec()->add_steps()->set_count(1);
    table.submit(command, Wall - 200);
    EXPECT_EQ(plan().starts.size(), 2U);
}

TEST_F(StepPlannerTest, gangStartsAllOrNothing)
{
    addWorkers(2, 4000);
    const auto gang = [](schema::StepSpec *step) { step->set_gang(true); };
    const StepRef large = submit("deferrable", 3, 3000, gang);
    const StepRef small = submit("deferrable", 2, 3000, gang);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, large), 0U);
    EXPECT_EQ(startsOf(planned, small), 2U);
}

TEST_F(StepPlannerTest, labelAndAntiAffinityAreRespected)
{
    addWorkers(3, 8000);
    workers[1].labels = { "b" };
    workers[2].labels = { "b" };
    const StepRef step = submit("urgent", 4, 500, [](schema::StepSpec *spec) {
        spec->set_required_label("b");
        spec->set_max_per_worker(1);
    });
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, step), 2U);
    for (const PlannedRun &start : planned.starts)
        EXPECT_NE(start.worker, WorkerNumber(1));
}

// Load pattern: overload; jobs that can still meet their objective go before jobs that are already
// late.
TEST_F(StepPlannerTest, stepThatCanMeetItsObjectiveGoesFirst)
{
    addWorkers(1, 1000);
    submit(
        "urgent", 1, 1000, [](schema::StepSpec *) {}, 60000);
    const StepRef fresh = submit("urgent", 1, 1000);
    EXPECT_EQ(startsOf(plan(), fresh), 1U);
}

// Load pattern: grey failures and slow workers.
TEST_F(StepPlannerTest, avoidsSlowWorkersAndWorkersWhereTheJobFailed)
{
    addWorkers(3, 8000);
    const StepRef step = submit("urgent", 1, 500);
    health.recordFailure(WorkerNumber(1), { .job = JobId(step.work.value()) }, Now);
    workers[1].slowdown = 4;
    const StepPlan planned = plan();
    ASSERT_EQ(planned.starts.size(), 1U);
    EXPECT_EQ(planned.starts[0].worker, WorkerNumber(3));
}

// Guards against a leader that can't keep up: the orders of a burst, all in one record, kept its
// event loop for so long that its other duties, and its own confirmation, ran out of time.
TEST_F(StepPlannerTest, burstIsSpreadOverSeveralRounds)
{
    addWorkers(20, 8000);
    maxStarts = 5;
    std::vector<StepRef> steps;
    for (int i = 0; i < 10; i++)
        steps.push_back(submit("urgent", 3, 1000));
    size_t rounds = 0;
    bool isCutShort = true;
    while (isCutShort) {
        ASSERT_LT(++rounds, 20U);
        const StepPlan planned = plan();
        isCutShort = planned.isCutShort;
        // A step is not split, so a round plans fewer starts than the bound and one more step.
        EXPECT_LT(planned.starts.size(), maxStarts + 3);
        apply(planned);
    }
    EXPECT_GT(rounds, 1U);
    EXPECT_EQ(table.runningTasks(), 30U);
}

// A gang has to start as a whole, however large it is.
TEST_F(StepPlannerTest, gangThatIsLargerThanARoundStartsAsAWhole)
{
    addWorkers(20, 8000);
    maxStarts = 5;
    const StepRef gang =
        submit("urgent", 12, 1000, [](schema::StepSpec *step) { step->set_gang(true); });
    EXPECT_EQ(startsOf(plan(), gang), 12U);
}

} // namespace
} // namespace basilgap::scheduling
