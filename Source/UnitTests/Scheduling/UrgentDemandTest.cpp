#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

// Four workers, of which two are empty: less than half of the pool is in use. A deferrable task
// that fits either of the empty ones leaves less than the largest headroom for urgent work.
class UrgentDemandTest : public StepPlannerTest
{
protected:
    void SetUp() override
    {
        StepPlannerTest::SetUp();
        addWorkers(4, 32000);
        workers[0].reserved = { 32000, 100, 0 };
        workers[1].reserved = { 25600, 100, 0 };
        deferrable = submit("deferrable", 1, 24000);
    }

    // Submits a job of the urgent queue with one step.
    void submitUrgent(const std::function<void(schema::SubmitWork *, schema::StepSpec *)> &change)
    {
        schema::SubmitWork command;
        command.set_id("urgent" + std::to_string(table.works().size()));
        command.set_queue("urgent");
        command.set_account("team");
        command.set_max_attempts(3);
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(4);
        step->set_millicores(16000);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        change(&command, step);
        table.submit(command, Wall);
    }

    void expectNothingIsKeptFree()
    {
        const StepPlan planned = plan();
        EXPECT_EQ(startsOf(planned, deferrable), 1U);
        EXPECT_EQ(planned.starts.size(), 1U);
    }

    StepRef deferrable;
};

// Guards against LOST: urgent tasks that no worker can hold kept the largest headroom free for
// good, so that deferrable work did not start on empty workers.
TEST_F(UrgentDemandTest, tasksThatNoWorkerCanHoldKeepNothingFree)
{
    submitUrgent([](auto *, schema::StepSpec *step) { step->set_millicores(40000); });
    expectNothingIsKeptFree();
}

TEST_F(UrgentDemandTest, tasksWithALabelThatNoWorkerHasKeepNothingFree)
{
    submitUrgent([](auto *, schema::StepSpec *step) { step->set_required_label("none"); });
    expectNothingIsKeptFree();
}

TEST_F(UrgentDemandTest, aGangLargerThanThePoolKeepsNothingFree)
{
    submitUrgent([](auto *, schema::StepSpec *step) {
        step->set_gang(true);
        step->set_count(9);
    });
    expectNothingIsKeptFree();
}

TEST_F(UrgentDemandTest, tasksLargerThanTheLimitOfTheirAccountKeepNothingFree)
{
    schema::AccountConfig *small = configCommand.mutable_config()->add_accounts();
    small->set_name("small");
    small->set_millicores_cap(8000);
    submitUrgent([](schema::SubmitWork *work, auto *) { work->set_account("small"); });
    expectNothingIsKeptFree();
}

TEST_F(UrgentDemandTest, occurrencesThatAreNotDueKeepNothingFree)
{
    submitUrgent([](schema::SubmitWork *work, auto *) {
        work->mutable_spec()->set_occurrences(5);
        work->mutable_spec()->set_first_due_ms(Wall + 60000);
        work->mutable_spec()->set_interval_ms(1000);
    });
    expectNothingIsKeptFree();
}

// No more tasks of the step can run than there are workers.
TEST_F(UrgentDemandTest, tasksBeyondTheLimitPerWorkerKeepNothingFree)
{
    submitUrgent([](auto *, schema::StepSpec *step) {
        step->set_count(100);
        step->set_max_per_worker(1);
        step->set_millicores(1000);
        step->set_accelerators(0);
    });
    urgent.update(table, config, EmptyCapacity(workers), Now, Wall);
    config.apply(configCommand);
    urgent.update(table, config, EmptyCapacity(workers), Now, Wall);
    EXPECT_EQ(urgent.poolHeadroom("pool").millicores, 4000);
}

// An expired urgent task is placed like deferrable work, and must not wait for its own demand.
TEST_F(UrgentDemandTest, anExpiredTaskIsNotHeldUpByItsOwnDemand)
{
    const StepRef expired = submit(
        "urgent", 1, 24000, [](schema::StepSpec *) {}, 60000);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, expired) + startsOf(planned, deferrable), 2U);
}

// Workers of one pool are of no use to the tasks of another.
TEST_F(UrgentDemandTest, urgentWorkKeepsNoOtherPoolFree)
{
    configCommand.mutable_config()->add_pools()->set_name("other");
    schema::QueueConfig *queue = configCommand.mutable_config()->add_queues();
    *queue = configCommand.config().queues(0);
    queue->set_name("urgent-other");
    queue->set_prefix("urgent-other");
    queue->set_pool("other");
    addWorkers(1, 32000);
    workers.back().pool = "other";
    workers.back().reserved = { 32000, 100, 0 };
    submitUrgent([](schema::SubmitWork *work, schema::StepSpec *step) {
        work->set_queue("urgent-other");
        step->set_count(100);
    });
    expectNothingIsKeptFree();
}

TEST_F(UrgentDemandTest, tasksThatCanBePlacedKeepCapacityFree)
{
    workers[2].remainingStarts = 0;
    submitUrgent([](auto *, schema::StepSpec *step) { step->set_millicores(32000); });
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, deferrable), 0U);
    EXPECT_EQ(planned.starts.size(), 1U);
}

} // namespace
} // namespace basilgap::scheduling
