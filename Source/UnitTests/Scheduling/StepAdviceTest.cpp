#include <gtest/gtest.h>

#include "StepPlannerFixture.h"

namespace basilgap::scheduling {
namespace {

using StepAdviceTest = StepPlannerTest;

TEST_F(StepAdviceTest, withoutATicketAdviceIsRequestedAndNothingStarts)
{
    addWorkers(3, 8000);
    configCommand.mutable_config()->mutable_queues(0)->mutable_advice()->set_validity_ms(2000);
    const StepRef step = submit("urgent", 2, 500);
    const StepPlan requested = plan();
    EXPECT_TRUE(requested.starts.empty());
    ASSERT_EQ(requested.adviceRequests.size(), 1U);
    EXPECT_EQ(requested.adviceRequests[0].workers.size(), 3U);
    permits.markRequested(step);
    EXPECT_TRUE(plan().adviceRequests.empty());
    permits.recordReply(step, requested.adviceRequests[0].workers, { { WorkerNumber(2), "t2" } },
        Now + Millis(1000));
    const StepPlan granted = plan();
    ASSERT_EQ(granted.starts.size(), 2U);
    for (const PlannedRun &start : granted.starts) {
        EXPECT_EQ(start.worker, WorkerNumber(2));
        EXPECT_EQ(start.ticket, "t2");
    }
    EXPECT_TRUE(granted.adviceRequests.empty());
}

// Load pattern: a burst of urgent jobs on an account whose limit is full of deferrable work. While
// a job is being written to the log, only its specification is known.
TEST_F(StepAdviceTest, firstAdviceRequestNamesOnlyWorkersThatCouldRunTheStep)
{
    addWorkers(40, 8000);
    for (StepWorker &worker : workers) {
        const uint32_t number = worker.number.value();
        worker.labels = { number % 2 == 0 ? "even" : "odd" };
        worker.schedulable = number > 4;
        worker.reserved = { number > 30 ? 7500 : 0, 0, 0 };
    }
    schema::StepSpec spec;
    spec.set_count(3);
    spec.set_millicores(1000);
    spec.set_required_label("even");
    const auto requested = selectInitialAdviceWorkers(spec, "pool", workers, adviceClaims).workers;
    EXPECT_EQ(requested.size(), 13U);
    for (const WorkerNumber number : requested) {
        EXPECT_EQ(number.value() % 2, 0U);
        EXPECT_GT(number.value(), 4U);
        EXPECT_LE(number.value(), 30U);
    }
    EXPECT_TRUE(selectInitialAdviceWorkers(spec, "other", workers, adviceClaims).workers.empty());
}

TEST_F(StepAdviceTest, urgentWorkAtTheAccountLimitPreemptsItsOwnDeferrableRuns)
{
    addWorkers(4, 8000);
    configCommand.mutable_config()->mutable_accounts(0)->set_millicores_cap(8000);
    const StepRef deferrable = submit("deferrable", 4, 2000);
    apply(plan());
    ASSERT_EQ(table.runningTasks(), 4U);
    for (uint32_t i = 0; i < 4; i++) {
        const StepTaskRef task{ deferrable, i };
        preemptibleRuns.push_back({ task, table.find(task)->worker, state::AccountName("team"),
            { 2000, 10, 0 }, 100 * (i + 1), false });
    }
    submit("urgent", 1, 2500);
    const StepPlan planned = plan();
    EXPECT_TRUE(planned.starts.empty());
    ASSERT_EQ(planned.preemptions.size(), 2U);
    EXPECT_EQ(planned.preemptions[0].index, 0U)
        << "the run that loses the least progress is preempted first";
    for (PreemptibleRun &run : preemptibleRuns)
        run.isStopping = run.task == planned.preemptions[0] || run.task == planned.preemptions[1];
    EXPECT_TRUE(plan().preemptions.empty()) << "capacity of stopping runs is counted";
}

// Guards against deferrable work filling the limit between two bursts of urgent jobs; a planner
// without headroom is the comparison.
TEST_F(StepAdviceTest, deferrableWorkLeavesHeadroomForUrgentBursts)
{
    addWorkers(4, 8000);
    configCommand.mutable_config()->mutable_accounts(0)->set_millicores_cap(10000);
    submit("urgent", 3, 1000);
    apply(plan());
    schema::RunBatch done;
    for (uint32_t i = 0; i < 3; i++) {
        schema::RunEnd *end = done.add_ends();
        end->set_work(1);
        end->set_index(i);
        end->set_run(1);
        end->set_outcome(schema::RUN_DONE);
    }
    table.apply(done, Wall);
    const StepRef deferrable = submit("deferrable", 10, 1000);
    const StepPlan reserved = plan();
    EXPECT_EQ(startsOf(reserved, deferrable), 7U);
    urgent = UrgentDemand(DeferrablePriority);
    EXPECT_EQ(startsOf(plan(), deferrable), 10U) << "without headroom the limit is filled";
}

// Load pattern: a full cell; urgent work needs a worker where one preempted deferrable run frees
// enough.
TEST_F(StepAdviceTest, urgentWorkInAFullCellPreemptsOneSufficientRun)
{
    addWorkers(2, 4000);
    const StepRef deferrable = submit("deferrable", 2, 4000);
    apply(plan());
    for (uint32_t i = 0; i < 2; i++) {
        const StepTaskRef task{ deferrable, i };
        preemptibleRuns.push_back({ task, table.find(task)->worker, state::AccountName("other"),
            { 4000, 10, 0 }, 100, false });
    }
    submit("urgent", 1, 3000);
    EXPECT_EQ(plan().preemptions.size(), 1U);
}

TEST_F(StepAdviceTest, advicePrefetchedForAStepThatFollowsSoon)
{
    addWorkers(2, 8000);
    configCommand.mutable_config()->mutable_queues(0)->mutable_advice()->set_validity_ms(2000);
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
    const StepRef first{ state::WorkSerial(1), 0, 0 };
    permits.recordReply(
        first, { WorkerNumber(1) }, { { WorkerNumber(1), "t" } }, Now + Millis(900));
    apply(plan());
    EXPECT_TRUE(plan().adviceRequests.empty());
    endingSteps.insert(first);
    const StepPlan prefetched = plan();
    ASSERT_EQ(prefetched.adviceRequests.size(), 1U);
    EXPECT_EQ(prefetched.adviceRequests[0].step.step, 1U);
}

// Load pattern: overload. Many steps wait for capacity; each request for advice takes long, and its
// tickets expire. Asking for every step would keep all advisors busy for nothing.
TEST_F(StepAdviceTest, requestsFollowTheFreeCapacityNotTheNumberOfWaitingSteps)
{
    constexpr size_t FullSteps = 20;
    addWorkers(40, 4000);
    configCommand.mutable_config()->mutable_queues(0)->mutable_advice()->set_validity_ms(2000);
    advisors = freeAdvisors = 1000;
    for (int i = 0; i < 500; i++)
        submit("urgent", 4, 2000);
    const StepPlan first = plan();
    EXPECT_GE(first.adviceRequests.size(), FullSteps);
    EXPECT_LE(first.adviceRequests.size(), 2 * FullSteps);
    // While these are pending, a later plan asks for little more.
    size_t requests = first.adviceRequests.size();
    for (const AdviceRequest &request : first.adviceRequests) {
        permits.markRequested(request.step);
        adviceClaims.add(request.claims);
    }
    requests += plan().adviceRequests.size();
    EXPECT_LE(requests, 2 * FullSteps);
    // Once they are answered, their claims are free again.
    for (const AdviceRequest &request : first.adviceRequests)
        adviceClaims.remove(request.claims);
    EXPECT_GE(plan().adviceRequests.size(), FullSteps);
}

// Load pattern: many steps are submitted at once. Without claims all would ask for the same
// workers, those with the most free capacity.
TEST_F(StepAdviceTest, firstRequestsOfABurstAreSpreadOverTheWorkers)
{
    addWorkers(200, 8000);
    schema::StepSpec spec;
    spec.set_count(8);
    spec.set_millicores(4000);
    std::set<WorkerNumber> named;
    for (int step = 0; step < 40; step++) {
        const AdviceSelection selection =
            selectInitialAdviceWorkers(spec, "pool", workers, adviceClaims);
        named.insert(selection.workers.begin(), selection.workers.end());
        adviceClaims.add(selection.claims);
    }
    EXPECT_EQ(named.size(), 200U);
}

TEST_F(StepAdviceTest, deferrableStepsLeaveAdvisorsToUrgentOnes)
{
    addWorkers(100, 64000);
    for (int queue = 0; queue < 2; queue++)
        configCommand.mutable_config()->mutable_queues(queue)->mutable_advice()->set_validity_ms(
            2000);
    advisors = freeAdvisors = 16;
    for (int i = 0; i < 40; i++)
        submit("deferrable", 1, 1000);
    EXPECT_EQ(plan().adviceRequests.size(), 12U);
    freeAdvisors = 4;
    EXPECT_TRUE(plan().adviceRequests.empty());
    const StepRef urgentStep = submit("urgent", 1, 1000);
    const StepPlan urgentPlan = plan();
    ASSERT_EQ(urgentPlan.adviceRequests.size(), 1U);
    EXPECT_EQ(urgentPlan.adviceRequests[0].step, urgentStep);
}

// Guards against rounds that take longer the longer steps wait: each reads all tickets of all
// waiting steps, and those that had expired were kept.
TEST(PermitCache, expiredTicketsAreDroppedAndTheirWorkersRemembered)
{
    const StepRef step{ state::WorkSerial(1), 0, 0 };
    PermitCache permits;
    permits.recordReply(
        step, { WorkerNumber(1), WorkerNumber(2) }, { { WorkerNumber(1), "t1" } }, Now);
    permits.recordReply(step, { WorkerNumber(3) }, { { WorkerNumber(3), "t3" } }, Now + Millis(2));
    permits.dropExpired(Now + Millis(1));
    const StepPermits &known = permits.permitsFor(step);
    EXPECT_EQ(known.tickets().size(), 1U);
    EXPECT_NE(known.validTicket(WorkerNumber(3), Now + Millis(1)), nullptr);
    EXPECT_TRUE(known.wasGranted(WorkerNumber(1)));
    EXPECT_FALSE(known.isRefused(WorkerNumber(1)));
    EXPECT_TRUE(known.isRefused(WorkerNumber(2)));
}

} // namespace
} // namespace basilgap::scheduling
