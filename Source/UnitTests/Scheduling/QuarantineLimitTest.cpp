#include "Basilgap/Scheduling/QuarantineLimit.h"

#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

TEST(QuarantineLimit, holdsUpToHalfOfThePoolAndOfEachLabel)
{
    const std::vector<std::string> big{ "rack", "big" };
    const std::vector<std::string> small{ "small" };
    QuarantineLimit limit;
    limit.add({ .pool = "pool", .labels = big, .millicores = 8000, .isQuarantined = true });
    limit.add({ .pool = "pool", .labels = big, .millicores = 8000 });
    limit.add({ .pool = "pool", .labels = small, .millicores = 2000, .isQuarantined = true });
    limit.add({ .pool = "pool", .millicores = 2000 });
    limit.add({ .pool = "other", .millicores = 1000, .isQuarantined = true });
    for (int i = 0; i < 2; i++) {
        EXPECT_TRUE(limit.holds("pool", ""));
        EXPECT_TRUE(limit.holds("pool", "big"));
        EXPECT_FALSE(limit.holds("pool", "small"));
        EXPECT_FALSE(limit.holds("other", ""));
        EXPECT_TRUE(limit.holds("pool", "unknown"));
    }
}

TEST(QuarantineLimit, isSuspendedOnceQuarantinesTakeMost)
{
    QuarantineLimit limit;
    limit.add({ .pool = "pool", .millicores = 8000, .isQuarantined = true });
    limit.add({ .pool = "pool", .millicores = 8000, .isQuarantined = true });
    limit.add({ .pool = "pool", .millicores = 8000 });
    EXPECT_FALSE(limit.holds("pool", ""));
}

class QuarantinePlanTest : public StepPlannerTest
{
protected:
    void quarantineWorker(size_t index)
    {
        workers[index].isQuarantined = true;
        workers[index].remainingStarts = 1;
        health.recordFailure(workers[index].number, { .job = JobId(99) }, Now);
    }
};

TEST_F(QuarantinePlanTest, tasksStayOffQuarantinedWorkers)
{
    addWorkers(4, 8000);
    quarantineWorker(0);
    quarantineWorker(1);
    const StepRef step = submit("urgent", 6, 4000);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, step), 4U);
    for (const PlannedRun &start : planned.starts)
        EXPECT_GT(start.worker.value(), 2U);
}

// Guards against a cell that takes no task any more, because most workers are in quarantine at the
// same time.
TEST_F(QuarantinePlanTest, quarantinesOfMostWorkersAreSuspended)
{
    addWorkers(4, 8000);
    for (size_t i = 0; i < 3; i++)
        quarantineWorker(i);
    const StepRef step = submit("urgent", 6, 4000);
    const StepPlan planned = plan();
    // Two on the sound worker, and one on each of the others.
    EXPECT_EQ(startsOf(planned, step), 5U);
    EXPECT_EQ(planned.starts[0].worker, WorkerNumber(4));
    EXPECT_EQ(planned.starts[1].worker, WorkerNumber(4));
}

// Guards against a task that waits although the only workers with its label are idle.
TEST_F(QuarantinePlanTest, aQuarantineDoesNotTakeTheOnlyWorkerWithALabel)
{
    addWorkers(4, 8000);
    workers[2].labels = { "gpu" };
    quarantineWorker(2);
    const StepRef labelled =
        submit("urgent", 2, 1000, [](schema::StepSpec *spec) { spec->set_required_label("gpu"); });
    const StepRef other = submit("urgent", 3, 8000);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, labelled), 1U);
    EXPECT_EQ(startsOf(planned, other), 3U);
    for (const PlannedRun &start : planned.starts)
        EXPECT_EQ(start.worker == WorkerNumber(3), start.task.step == labelled);
}

// Guards against a task that waits although the only worker that is large enough is idle.
TEST_F(QuarantinePlanTest, aQuarantineDoesNotTakeTheOnlyWorkerThatIsLargeEnough)
{
    addWorkers(3, 8000);
    workers[1].capacity.millicores = 10000;
    quarantineWorker(1);
    const StepRef large = submit("urgent", 1, 9000);
    const StepPlan planned = plan();
    ASSERT_EQ(startsOf(planned, large), 1U);
    EXPECT_EQ(planned.starts[0].worker, WorkerNumber(2));
}

} // namespace
} // namespace basilgap::scheduling
