#include <gtest/gtest.h>

#include <map>
#include <random>

#include "Basilgap/Scheduling/StepPlanner.h"

namespace basilgap::scheduling {
namespace {

constexpr Millis Now{ 50000 };
constexpr uint64_t Wall = 1000000;

// A small cell with an urgent queue and a patient one, and workers that are all alike.
class StepPlannerTest : public testing::Test
{
protected:
    void SetUp() override
    {
        put.set_version(1);
        schema::WorkConfig &config = *put.mutable_config();
        config.add_pools()->set_name("pool");
        for (const char *name : { "urgent", "patient" }) {
            schema::QueueConfig *queue = config.add_queues();
            queue->set_name(name);
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

    StepPlan plan()
    {
        config.apply(put);
        std::vector<StepWorker> current = workers;
        for (StepWorker &worker : current)
            worker.reserved += table.reservedOn(worker.number);
        urgent.observe(table, config, Now);
        return StepPlanner({
                               .table = table,
                               .config = config,
                               .permits = permits,
                               .health = health,
                               .speeds = speeds,
                               .urgent = urgent,
                               .workers = current,
                               .now = Now,
                               .wallMs = Wall,
                               .freeAdvisers = 4,
                               .endingSteps = ending,
                               .stoppable = [this] { return stoppable; },
                               .ahead = endsAhead(table, ends),
                           })
            .run();
    }

    void apply(const StepPlan &plan)
    {
        schema::RunBatch batch;
        for (const PlannedStart &planned : plan.starts) {
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
        end->set_run(table.find(StepTask{ step, index })->run);
        end->set_outcome(outcome);
    }

    static size_t startsOf(const StepPlan &plan, const StepRef &step)
    {
        size_t count = 0;
        for (const PlannedStart &start : plan.starts)
            count += start.task.step == step ? 1 : 0;
        return count;
    }

    schema::PutWorkConfig put;
    state::WorkTable table;
    state::WorkConfigState config;
    PermitBook permits;
    WorkerHealth health;
    SpeedBook speeds;
    UrgentDemand urgent{ PatientPriority };
    std::vector<StepWorker> workers;
    std::set<StepRef> ending;
    std::vector<StoppableRun> stoppable;
    // Ends that will go into the record of the plan.
    schema::RunBatch ends;

private:
    uint64_t next_ = 1;
};

TEST_F(StepPlannerTest, neverOvercommitsAWorkerNorAnAccount)
{
    std::mt19937 random(20261204);
    addWorkers(6, 8000);
    put.mutable_config()->mutable_accounts(0)->set_millicores_cap(30000);
    for (int i = 0; i < 40; i++)
        submit(i % 2 == 0 ? "urgent" : "patient", 1 + random() % 6, 500 + random() % 5000);
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

TEST_F(StepPlannerTest, aStepWaitsForTheStepsBeforeIt)
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

// Short steps in a row: the next one goes into the record that ends the one before it.
TEST_F(StepPlannerTest, theNextStepIsPlannedWithTheEndsBeforeIt)
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
    EXPECT_EQ(startsOf(plan(), next), 0U) << "one task still runs";
    addEnd(before, 1, schema::RUN_DONE);
    const StepPlan both = plan();
    EXPECT_EQ(startsOf(both, next), 2U);
    EXPECT_EQ(startsOf(both, first), 0U);
}

TEST_F(StepPlannerTest, aTaskWhoseRunFailsIsPlannedWithThatEndUnlessItWasTheLast)
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

TEST_F(StepPlannerTest, anOccurrenceDoesNotStartBeforeItsTime)
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

TEST_F(StepPlannerTest, aGangStartsWholeOrNotAtAll)
{
    addWorkers(2, 4000);
    const auto gang = [](schema::StepSpec *step) { step->set_gang(true); };
    const StepRef large = submit("patient", 3, 3000, gang);
    const StepRef small = submit("patient", 2, 3000, gang);
    const StepPlan planned = plan();
    EXPECT_EQ(startsOf(planned, large), 0U);
    EXPECT_EQ(startsOf(planned, small), 2U);
}

TEST_F(StepPlannerTest, labelAndAntiAffinityAreKept)
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
    for (const PlannedStart &start : planned.starts)
        EXPECT_NE(start.worker, WorkerNumber(1));
}

TEST_F(StepPlannerTest, withoutATicketAdviceIsAskedAndNothingStarts)
{
    addWorkers(3, 8000);
    put.mutable_config()->mutable_queues(0)->mutable_advice()->set_validity_ms(2000);
    const StepRef step = submit("urgent", 2, 500);
    const StepPlan asked = plan();
    EXPECT_TRUE(asked.starts.empty());
    ASSERT_EQ(asked.wishes.size(), 1U);
    EXPECT_EQ(asked.wishes[0].workers.size(), 3U);
    permits.noteAsked(step);
    EXPECT_TRUE(plan().wishes.empty());
    permits.noteAnswer(
        step, asked.wishes[0].workers, { { WorkerNumber(2), "t2" } }, Now + Millis(1000));
    const StepPlan granted = plan();
    ASSERT_EQ(granted.starts.size(), 2U);
    for (const PlannedStart &start : granted.starts) {
        EXPECT_EQ(start.worker, WorkerNumber(2));
        EXPECT_EQ(start.ticket, "t2");
    }
    EXPECT_TRUE(granted.wishes.empty());
}

// Load pattern: a burst of urgent jobs on an account whose limit is full of patient work.
// While a job is being logged nothing is known of its steps but what its body says.
TEST_F(StepPlannerTest, aJobThatIsBeingLoggedIsAskedAboutWorkersThatCouldRunIt)
{
    addWorkers(40, 8000);
    for (StepWorker &worker : workers) {
        const uint32_t number = worker.number.value();
        worker.labels = { number % 2 == 0 ? "even" : "odd" };
        worker.usable = number > 4;
        worker.reserved = { number > 30 ? 7500 : 0, 0, 0 };
    }
    schema::StepSpec spec;
    spec.set_count(3);
    spec.set_millicores(1000);
    spec.set_required_label("even");
    const auto asked = workersToAskFirst(spec, "pool", workers);
    EXPECT_EQ(asked.size(), 13U);
    for (const WorkerNumber number : asked) {
        EXPECT_EQ(number.value() % 2, 0U);
        EXPECT_GT(number.value(), 4U);
        EXPECT_LE(number.value(), 30U);
    }
    EXPECT_TRUE(workersToAskFirst(spec, "other", workers).empty());
}

TEST_F(StepPlannerTest, urgentWorkUnderAFullLimitStopsItsOwnPatientRuns)
{
    addWorkers(4, 8000);
    put.mutable_config()->mutable_accounts(0)->set_millicores_cap(8000);
    const StepRef patient = submit("patient", 4, 2000);
    apply(plan());
    ASSERT_EQ(table.runningTasks(), 4U);
    for (uint32_t i = 0; i < 4; i++) {
        const StepTask task{ patient, i };
        stoppable.push_back({ task, table.find(task)->worker, state::AccountName("team"),
            { 2000, 10, 0 }, 100 * (i + 1), false });
    }
    submit("urgent", 1, 2500);
    const StepPlan planned = plan();
    EXPECT_TRUE(planned.starts.empty());
    ASSERT_EQ(planned.stops.size(), 2U);
    EXPECT_EQ(planned.stops[0].index, 0U) << "the run that loses least goes first";
    for (StoppableRun &run : stoppable)
        run.isStopping = run.task == planned.stops[0] || run.task == planned.stops[1];
    EXPECT_TRUE(plan().stops.empty()) << "what is on its way out is counted";
}

// The same against a plain version that knows no reserve: bursts come back to a full limit.
TEST_F(StepPlannerTest, patientWorkLeavesWhatUrgentWorkLatelyNeeded)
{
    addWorkers(4, 8000);
    put.mutable_config()->mutable_accounts(0)->set_millicores_cap(10000);
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
    const StepRef patient = submit("patient", 10, 1000);
    const StepPlan reserved = plan();
    EXPECT_EQ(startsOf(reserved, patient), 7U);
    urgent = UrgentDemand(PatientPriority);
    EXPECT_EQ(startsOf(plan(), patient), 10U) << "the plain version fills the limit";
}

// Load pattern: a full cell; urgent work needs a worker where a patient run can make way.
TEST_F(StepPlannerTest, urgentWorkInAFullCellStopsOneRunThatMakesEnoughRoom)
{
    addWorkers(2, 4000);
    const StepRef patient = submit("patient", 2, 4000);
    apply(plan());
    for (uint32_t i = 0; i < 2; i++) {
        const StepTask task{ patient, i };
        stoppable.push_back({ task, table.find(task)->worker, state::AccountName("other"),
            { 4000, 10, 0 }, 100, false });
    }
    submit("urgent", 1, 3000);
    EXPECT_EQ(plan().stops.size(), 1U);
}

// Load pattern: overload; jobs that can still be in time go before those that are late already.
TEST_F(StepPlannerTest, whatCanStillBeInTimeGoesFirst)
{
    addWorkers(1, 1000);
    submit(
        "urgent", 1, 1000, [](schema::StepSpec *) {}, 60000);
    const StepRef fresh = submit("urgent", 1, 1000);
    EXPECT_EQ(startsOf(plan(), fresh), 1U);
}

// Load pattern: grey and slow workers.
TEST_F(StepPlannerTest, avoidsWorkersWhereTheJobFailedAndSlowOnes)
{
    addWorkers(3, 8000);
    const StepRef step = submit("urgent", 1, 500);
    health.taskFailed(WorkerNumber(1), JobId(step.work.value()), Now);
    workers[1].slowness = 4;
    const StepPlan planned = plan();
    ASSERT_EQ(planned.starts.size(), 1U);
    EXPECT_EQ(planned.starts[0].worker, WorkerNumber(3));
}

TEST_F(StepPlannerTest, adviceIsAskedAheadForAStepThatFollowsSoon)
{
    addWorkers(2, 8000);
    put.mutable_config()->mutable_queues(0)->mutable_advice()->set_validity_ms(2000);
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
    permits.noteAnswer(first, { WorkerNumber(1) }, { { WorkerNumber(1), "t" } }, Now + Millis(900));
    apply(plan());
    EXPECT_TRUE(plan().wishes.empty());
    ending.insert(first);
    const StepPlan ahead = plan();
    ASSERT_EQ(ahead.wishes.size(), 1U);
    EXPECT_EQ(ahead.wishes[0].step.step, 1U);
}

} // namespace
} // namespace basilgap::scheduling
