#include "StepPlannerFixture.h"

#include <cmath>

#include "Basilgap/Scheduling/DurationForecast.h"
#include "Basilgap/Scheduling/StragglerDetection.h"

namespace basilgap::scheduling {
namespace {

// Runs whole tasks of one step in the table, with durations as in the records of their ends.
class DurationForecastTest : public StepPlannerTest
{
protected:
    void finishTasks(
        const char *queue, uint32_t count, uint64_t durationMs,
        const std::function<void(schema::StepSpec *)> &change = [](schema::StepSpec *) {})
    {
        for (uint32_t i = 0; i < count; i++) {
            const StepRef step = submit(queue, 1, 1000, change);
            schema::RunBatch batch;
            schema::RunStart *start = batch.add_starts();
            start->set_work(step.work.value());
            start->set_run(1);
            start->set_worker(1);
            table.apply(batch, Wall);
            batch.Clear();
            schema::RunEnd *end = batch.add_ends();
            end->set_work(step.work.value());
            end->set_run(1);
            end->set_duration_ms(durationMs);
            table.apply(batch, Wall + durationMs);
        }
    }

    const state::Work &workOf(const StepRef &step) const { return *table.find(step.work); }

    DurationForecast forecast{ table };
};

double asDouble(Millis time)
{
    return static_cast<double>(time.count());
}

TEST_F(DurationForecastTest, expectedDurationUsesTheForecastOnlyIfTold)
{
    const StepRef step = submit("urgent", 3, 1000);
    durations.useForecast(&forecast);
    EXPECT_EQ(durations.expectedDuration(workOf(step), step), Millis(1000)) << "nothing is known";
    finishTasks("urgent", 60, 3000);
    EXPECT_NEAR(asDouble(durations.expectedDuration(workOf(step), step)), 3000, 400);
    durations.useForecast(nullptr);
    EXPECT_EQ(durations.expectedDuration(workOf(step), step), Millis(1000));
}

// Guards against a forecast that outweighs the step's own tasks.
TEST_F(DurationForecastTest, finishedTasksOfTheStepOutweighTheForecast)
{
    const StepRef step = submit("urgent", 40, 1000);
    finishTasks("urgent", 60, 3000);
    durations.useForecast(&forecast);
    for (int i = 0; i < 20; i++)
        durations.recordDuration(workOf(step), step, WorkerNumber(1), Millis(500));
    EXPECT_NEAR(asDouble(durations.expectedDuration(workOf(step), step)), 550, 100);
}

// The answers are kept for a while; they must still follow the runs.
TEST_F(DurationForecastTest, answersFollowNewRuns)
{
    const StepRef step = submit("urgent", 1, 1000);
    EXPECT_FALSE(forecast.forecast(workOf(step), step));
    finishTasks("urgent", 1, 2000);
    EXPECT_TRUE(forecast.forecast(workOf(step), step));
    finishTasks("urgent", 200, 2000);
    EXPECT_NEAR(static_cast<double>(forecast.forecast(workOf(step), step)->median), 2000, 300);
    finishTasks("urgent", 80, 9000);
    EXPECT_NEAR(static_cast<double>(forecast.forecast(workOf(step), step)->median), 9000, 1200);
}

TEST_F(DurationForecastTest, answersDependOnTheEstimateOfTheStep)
{
    for (uint64_t estimate = 100; estimate <= 10000; estimate += 100)
        finishTasks("urgent", 1, estimate * 2,
            [estimate](schema::StepSpec *step) { step->set_estimate_ms(estimate); });
    for (const uint64_t estimate : { 300U, 5000U }) {
        const StepRef step = submit(
            "urgent", 1, 1000, [=](schema::StepSpec *spec) { spec->set_estimate_ms(estimate); });
        EXPECT_NEAR(static_cast<double>(forecast.forecast(workOf(step), step)->median),
            static_cast<double>(estimate) * 2, static_cast<double>(estimate) * 0.3);
    }
}

TEST(IsAboutToEnd, onlyAroundTheExpectedEnd)
{
    const Millis stopTime(500);
    EXPECT_TRUE(isAboutToEnd(Millis(10400), Millis(10000), stopTime));
    EXPECT_TRUE(isAboutToEnd(Millis(9600), Millis(10000), stopTime));
    EXPECT_FALSE(isAboutToEnd(Millis(10600), Millis(10000), stopTime));
    // Guards against starvation of urgent work by a run that was expected to end long ago.
    EXPECT_FALSE(isAboutToEnd(Millis(9400), Millis(10000), stopTime));
}

// Guards against stopping tasks that take as long as one in ten of their kind does.
TEST(StragglerForecast, aRunBelowItsNinetiethPercentileIsNoStraggler)
{
    RunObservation run;
    run.task = { { state::WorkSerial(1), 0, 0 }, 0 };
    run.worker = WorkerNumber(1);
    run.percent = 40;
    run.elapsed = Millis(400);
    run.sinceProgress = Millis(3000);
    run.age = Millis(3400);
    run.forecastHigh = Millis(5000);
    EXPECT_TRUE(detectStragglers({ run }).stragglers.empty());
    run.age = Millis(5000);
    EXPECT_EQ(detectStragglers({ run }).stragglers.size(), 1U);
    run.age = Millis(3400);
    run.forecastHigh = std::nullopt;
    EXPECT_EQ(detectStragglers({ run }).stragglers.size(), 1U);
}

// Forecasts that are wrong by ten times either way may cost time, but every job still ends, no
// worker is overcommitted, the account stays within its cap, a gang starts as a whole and no task
// runs twice.
class WrongForecastTest : public DurationForecastTest, public testing::WithParamInterface<double>
{
protected:
    static constexpr int64_t CapMillicores = 40000;

    void checkUsage()
    {
        ASSERT_LE(table.usageOf(state::AccountName("team")).millicores, CapMillicores);
        for (const StepWorker &worker : workers)
            ASSERT_TRUE(table.reservedOn(worker.number).fitsIn(worker.capacity));
    }

    void checkPlan(const StepPlan &plan)
    {
        std::set<StepTaskRef> started;
        for (const PlannedRun &start : plan.starts) {
            ASSERT_EQ(table.find(start.task)->phase, state::RunPhase::Waiting);
            ASSERT_TRUE(started.insert(start.task).second);
        }
        for (const PlannedRun &start : plan.starts) {
            const StepRef &step = start.task.step;
            const size_t tasks = table.find(step.work)->stepAt(step).tasks.size();
            const bool isGang = table.find(step.work)->specOf(step).gang();
            ASSERT_TRUE(!isGang || startsOf(plan, step) == tasks);
        }
    }

    // Ends runs that have lasted long enough.
    void endRuns(int round)
    {
        schema::RunBatch batch;
        std::erase_if(ends_, [&](const auto &entry) {
            if (entry.second > round)
                return false;
            const state::WorkTask *task = table.find(entry.first);
            schema::RunEnd *end = batch.add_ends();
            end->set_work(entry.first.step.work.value());
            end->set_index(entry.first.index);
            end->set_run(task->run);
            end->set_duration_ms(1000);
            return true;
        });
        table.apply(batch, Wall);
    }

    std::map<StepTaskRef, int> ends_;
};

TEST_P(WrongForecastTest, everyJobEnds)
{
    const auto wrong = static_cast<uint64_t>(1000 * GetParam());
    finishTasks("urgent", 200, wrong);
    finishTasks("deferrable", 200, GetParam() > 1 ? 100 : 10000);
    durations.useForecast(&forecast);
    configCommand.mutable_config()->mutable_accounts(0)->set_millicores_cap(CapMillicores);
    addWorkers(8, 8000);
    std::mt19937 random(11);
    std::vector<StepRef> steps;
    for (int i = 0; i < 120; i++) {
        const bool isGang = i % 10 == 0;
        steps.push_back(submit(i % 3 == 0 ? "deferrable" : "urgent", isGang ? 4 : 6,
            1000 + random() % 3000, [&](schema::StepSpec *step) {
                step->set_gang(isGang);
                step->set_estimate_ms(1000);
            }));
    }
    int round = 0;
    for (; !table.active().empty() && round < 400; round++) {
        endRuns(round);
        const StepPlan planned = plan();
        checkPlan(planned);
        apply(planned);
        checkUsage();
        for (const PlannedRun &start : planned.starts)
            ends_[start.task] = round + 3;
    }
    RecordProperty("rounds", round);
    for (const StepRef &step : steps)
        EXPECT_EQ(workOf(step).phase, state::WorkPhase::Completed) << step.work.value();
}

INSTANTIATE_TEST_SUITE_P(BothWays, WrongForecastTest, testing::Values(0.1, 1.0, 10.0));

} // namespace
} // namespace basilgap::scheduling
