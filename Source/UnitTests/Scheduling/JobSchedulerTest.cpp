#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "UnitTests/Scheduling/ReferenceScheduler.h"
#include "UnitTests/Scheduling/SchedulerFixture.h"

namespace basilgap::scheduling {

namespace {

const Resources Worker{ 16000, 32000, 0 };

uint32_t runningOf(const SchedulerFixture &cell, JobId job)
{
    return cell.state().jobs().find(job)->runningTasks;
}

Resources randomNeed()
{
    return { *rc::gen::inRange<int64_t>(1, 9) * 1000, *rc::gen::inRange<int64_t>(1, 9) * 1000, 0 };
}

} // namespace

RC_GTEST_PROP(JobSchedulerDifferential, placesAsMuchAsReferenceAndKeepsInvariants, ())
{
    SchedulerFixture cell({ { "a", 1 }, { "b", 2 }, { "c", 4 } });
    const int workers = *rc::gen::inRange(1, 8);
    for (int i = 0; i < workers; i++)
        cell.addWorker(Worker);
    const int jobs = *rc::gen::inRange(1, 12);
    for (int i = 0; i < jobs; i++)
        cell.submit(*rc::gen::element<std::string>("a", "b", "c"), schema::BATCH,
            *rc::gen::inRange<uint32_t>(1, 10), randomNeed());
    ReferenceScheduler reference(cell.workers());
    const auto expected = reference.plan(cell.state().jobs(), cell.state().config(), 500);
    Resources referenceSum;
    for (const PlannedStart &start : expected)
        referenceSum += cell.state().jobs().find(start.task.job)->reservation({});
    const auto plan = cell.plan();
    RC_ASSERT(cell.violatedInvariant() == "");
    Resources sum;
    for (const PlannedStart &start : plan.starts)
        sum += cell.state().jobs().find(start.task.job)->reservation({});
    // One plan may pack worse for some inputs, but no task that still fits may be left.
    RC_ASSERT(cell.plan().starts.empty());
    RC_ASSERT(reference.plan(cell.state().jobs(), cell.state().config(), 500).empty());
    RC_ASSERT(sum.millicores * 100 >= referenceSum.millicores * 70);
}

RC_GTEST_PROP(JobSchedulerProperty, keepsInvariantsWhileJobsComeAndGo, ())
{
    SchedulerFixture cell(
        { { "a", 1, { 40000, 60000, 2 } }, { "b", 2, { 30000, 1'000'000, 10 } }, { "c", 4 } });
    for (int i = 0; i < 5; i++)
        cell.addWorker({ 16000, 32000, i % 2 });
    for (int round = 0; round < 25; round++) {
        cell.nowMs += *rc::gen::inRange<uint64_t>(10, 5000);
        const auto jobClass = *rc::gen::element(schema::BATCH, schema::SERVICE, schema::GANG);
        cell.submit(*rc::gen::element<std::string>("a", "b", "c"), jobClass,
            *rc::gen::inRange<uint32_t>(1, 6), randomNeed(), *rc::gen::inRange(0, 4) == 0,
            *rc::gen::arbitrary<bool>());
        cell.plan();
        RC_ASSERT(cell.violatedInvariant() == "");
        for (const auto &[id, job] : cell.state().jobs().jobs()) {
            // A gang runs all of its remaining tasks or none.
            if (job.isGang() && job.runningTasks > 0 && !cell.stopping().contains({ id, 0 }))
                RC_ASSERT(job.waitingTasks == 0U || !cell.stopping().empty());
        }
        if (*rc::gen::arbitrary<bool>())
            cell.endStopping();
        for (const auto &[worker, tasks] : cell.state().jobs().runningByWorker()) {
            if (*rc::gen::inRange(0, 3) == 0) {
                cell.end(*tasks.begin(), schema::TASK_DONE);
                break;
            }
        }
    }
}

TEST(JobScheduler, dividesASaturatedCellByShares)
{
    SchedulerFixture cell({ { "small", 1 }, { "large", 3 } });
    for (int i = 0; i < 10; i++)
        cell.addWorker(Worker);
    const JobId small = cell.submit("small", schema::BATCH, 200, { 1000, 1000, 0 });
    const JobId large = cell.submit("large", schema::BATCH, 200, { 1000, 1000, 0 });
    cell.plan();
    EXPECT_EQ(runningOf(cell, small), 40U);
    EXPECT_EQ(runningOf(cell, large), 120U);
}

TEST(JobScheduler, neverGoesAboveATeamsLimit)
{
    SchedulerFixture cell({ { "a", 1, { 5000, 1'000'000, 0 } } });
    cell.addWorker(Worker);
    const JobId job = cell.submit("a", schema::BATCH, 10, { 1000, 100, 0 });
    cell.plan();
    EXPECT_EQ(runningOf(cell, job), 5U);
    EXPECT_EQ(cell.scheduler.waitReason(job), "the team is at its limit");
}

TEST(JobScheduler, infeasibleJobDoesNotBlockOthers)
{
    SchedulerFixture cell({ { "a" } });
    cell.addWorker(Worker);
    const JobId never = cell.submit("a", schema::BATCH, 1, { 99000, 100, 0 });
    const JobId later = cell.submit("a", schema::BATCH, 2, { 1000, 100, 0 });
    cell.plan();
    EXPECT_EQ(runningOf(cell, later), 2U);
    EXPECT_EQ(cell.scheduler.waitReason(never), "no known worker could hold a task");
}

TEST(JobScheduler, gangStartsAllOrNothing)
{
    SchedulerFixture cell({ { "a" } });
    cell.addWorker(Worker);
    cell.addWorker(Worker);
    const JobId gang = cell.submit("a", schema::GANG, 5, { 8000, 100, 0 });
    cell.plan();
    EXPECT_EQ(runningOf(cell, gang), 0U);
    cell.addWorker(Worker);
    cell.plan();
    EXPECT_EQ(runningOf(cell, gang), 5U);
}

TEST(JobScheduler, gangIsNotStarvedBySmallTasks)
{
    SchedulerFixture cell({ { "a" }, { "b" } });
    cell.addWorker(Worker);
    cell.addWorker(Worker);
    const JobId small = cell.submit("a", schema::BATCH, 1000, { 4000, 100, 0 });
    cell.plan();
    const JobId gang = cell.submit("b", schema::GANG, 2, { 16000, 100, 0 });
    // Small tasks end one by one; without a reservation the next small task takes each free slot.
    for (int i = 0; i < 200 && runningOf(cell, gang) == 0; i++) {
        cell.nowMs += 500;
        cell.plan();
        const state::Job &job = *cell.state().jobs().find(small);
        for (uint32_t index = 0; index < job.tasks.size(); index++) {
            if (job.tasks[index].phase != schema::TaskState::RUNNING)
                continue;
            cell.end({ small, index }, schema::TASK_DONE);
            break;
        }
    }
    EXPECT_EQ(runningOf(cell, gang), 2U);
}

TEST(JobScheduler, twoGangsDoNotDeadlock)
{
    SchedulerFixture cell({ { "a" }, { "b" } });
    for (int i = 0; i < 3; i++)
        cell.addWorker(Worker);
    const JobId one = cell.submit("a", schema::GANG, 2, { 16000, 100, 0 });
    const JobId two = cell.submit("b", schema::GANG, 2, { 16000, 100, 0 });
    cell.plan();
    EXPECT_EQ(runningOf(cell, one) + runningOf(cell, two), 2U);
}

TEST(JobScheduler, gangThatLostATaskStopsItsOtherTasksFirst)
{
    SchedulerFixture cell({ { "a" } });
    cell.addWorker(Worker);
    cell.addWorker(Worker);
    const JobId gang = cell.submit("a", schema::GANG, 2, { 10000, 100, 0 });
    cell.plan();
    cell.end({ gang, 0 }, schema::TASK_LOST);
    const auto plan = cell.plan();
    EXPECT_TRUE(plan.starts.empty());
    ASSERT_EQ(plan.preemptions.size(), 1U);
    cell.endStopping();
    cell.plan();
    EXPECT_EQ(runningOf(cell, gang), 2U);
}

TEST(JobScheduler, urgentJobPreemptsTeamsAboveTheirShare)
{
    SchedulerFixture cell({ { "batch", 1 }, { "desk", 1 } });
    cell.addWorker(Worker);
    const JobId batch = cell.submit("batch", schema::BATCH, 16, { 1000, 100, 0 }, false, true);
    cell.plan();
    EXPECT_EQ(runningOf(cell, batch), 16U);
    const JobId urgent = cell.submit("desk", schema::BATCH, 1, { 2000, 100, 0 }, true);
    EXPECT_EQ(cell.plan().preemptions.size(), 2U);
    EXPECT_EQ(runningOf(cell, urgent), 0U);
    // The freed capacity must not go back to batch work while one of the two tasks is still
    // stopping.
    cell.end(*cell.stopping().begin(), schema::TASK_CHECKPOINTED);
    EXPECT_TRUE(cell.plan().starts.empty());
    cell.endStopping();
    cell.plan();
    EXPECT_EQ(runningOf(cell, urgent), 1U);
    EXPECT_EQ(cell.violatedInvariant(), "");
}

TEST(JobScheduler, urgentJobDoesNotPreemptServices)
{
    SchedulerFixture cell({ { "services", 1 }, { "desk", 1 } });
    cell.addWorker(Worker);
    cell.submit("services", schema::SERVICE, 16, { 1000, 100, 0 });
    cell.plan();
    cell.submit("desk", schema::BATCH, 1, { 2000, 100, 0 }, true);
    EXPECT_TRUE(cell.plan().preemptions.empty());
}

TEST(JobScheduler, servicesSpreadOverZones)
{
    SchedulerFixture cell({ { "a" } });
    for (const char *zone : { "z1", "z1", "z2", "z3" })
        cell.addWorker(Worker, zone, std::string(zone) + "-r1");
    schema::Command command;
    const JobId job = cell.submit("a", schema::SERVICE, 3, { 1000, 100, 0 });
    const_cast<state::Job *>(cell.state().jobs().find(job))->spec.set_spread(schema::SPREAD_ZONE);
    std::set<ZoneName> zones;
    for (const PlannedStart &start : cell.plan().starts)
        zones.insert(cell.workers()[start.worker.value() - 1].zone);
    EXPECT_EQ(zones.size(), 3U);
}

TEST(JobScheduler, agedJobGoesFirst)
{
    SchedulerFixture cell({ { "poor", 1 }, { "rich", 1000 } });
    cell.addWorker(Worker);
    const JobId old = cell.submit("poor", schema::BATCH, 1, { 16000, 100, 0 });
    cell.nowMs += 70'000;
    cell.submit("rich", schema::BATCH, 1, { 16000, 100, 0 });
    cell.plan();
    EXPECT_EQ(runningOf(cell, old), 1U);
}

} // namespace basilgap::scheduling
