#include <gtest/gtest.h>

#include "Basilgap/Scheduling/DurationEstimator.h"
#include "Basilgap/Scheduling/StallHistory.h"
#include "Basilgap/Scheduling/StragglerDetection.h"

namespace basilgap::scheduling {
namespace {

RunObservation runOf(uint64_t work, uint32_t index, uint32_t worker, int percent, int64_t elapsedMs)
{
    RunObservation run;
    run.task = { { state::WorkSerial(work), 0, 0 }, index };
    run.worker = state::WorkerNumber(worker);
    run.percent = percent;
    run.elapsed = Millis(elapsedMs);
    return run;
}

TEST(StragglerDetection, runWithoutProgressIsStalled)
{
    RunObservation stalled = runOf(1, 0, 1, 40, 400);
    stalled.sinceProgress = Millis(3000);
    RunObservation done = runOf(1, 1, 1, 100, 400);
    done.sinceProgress = Millis(3000);
    const StragglerFindings findings = detectStragglers({ stalled, done, runOf(1, 2, 1, 40, 400) });
    ASSERT_EQ(findings.stragglers.size(), 1U);
    EXPECT_EQ(findings.stragglers[0].kind, StragglerKind::Stalled);
    EXPECT_EQ(findings.stragglers[0].task.index, 0U);
}

// Guards against false positives: tasks of one step differ in length up to three times, and
// stopping the long ones slowed down a cell without faults.
TEST(StragglerDetection, oneLongTaskDoesNotMakeItsWorkerSlow)
{
    std::vector<RunObservation> runs;
    for (uint32_t i = 0; i < 5; i++)
        runs.push_back(runOf(1, i, i + 1, i == 0 ? 10 : 60, 1000));
    const StragglerFindings findings = detectStragglers(runs);
    EXPECT_TRUE(findings.slowWorkers.empty());
    EXPECT_TRUE(findings.stragglers.empty());
}

TEST(StragglerDetection, workerWithSeveralSlowStepsIsSlow)
{
    std::vector<RunObservation> runs;
    for (uint64_t work = 1; work <= 3; work++) {
        runs.push_back(runOf(work, 0, 9, 8, 1000));
        runs.push_back(runOf(work, 1, 2, 50, 1000));
        runs.push_back(runOf(work, 2, 3, 60, 1000));
    }
    const StragglerFindings findings = detectStragglers(runs);
    ASSERT_EQ(findings.slowWorkers.size(), 1U);
    EXPECT_GT(findings.slowWorkers.at(state::WorkerNumber(9)), 3.0);
    EXPECT_EQ(findings.stragglers.size(), 3U);
    for (RunObservation &run : runs)
        run.wasStoppedAsSlow = true;
    EXPECT_TRUE(detectStragglers(runs).stragglers.empty())
        << "a task is restarted elsewhere at most once";
}

// A stalled worker shows no progress in every report; tasks of one second must not wait three
// seconds for the timeout.
TEST(StragglerDetection, severalReportsWithoutProgressMakeARunStalled)
{
    RunObservation stalled = runOf(1, 0, 1, 40, 400);
    stalled.correctedEstimate = Millis(800);
    stalled.sinceProgress = Millis(1000);
    stalled.stalledReports = 2;
    EXPECT_TRUE(detectStragglers({ stalled }).stragglers.empty());
    stalled.stalledReports = 3;
    ASSERT_EQ(detectStragglers({ stalled }).stragglers.size(), 1U);
    EXPECT_EQ(detectStragglers({ stalled }).stragglers[0].kind, StragglerKind::Stalled);
    stalled.correctedEstimate = Millis(12000);
    EXPECT_TRUE(detectStragglers({ stalled }).stragglers.empty())
        << "one percent of a long task takes a while";
}

// Guards against LOST: a task of which one percent takes longer than the timeout was stopped again
// and again, and never done.
TEST(StragglerDetection, aTaskThatWasStoppedAsStalledGetsTwiceTheTime)
{
    RunObservation run = runOf(1, 0, 1, 40, 400);
    run.correctedEstimate = Millis(800);
    run.sinceProgress = Millis(3000);
    EXPECT_EQ(detectStragglers({ run }).stragglers.size(), 1U);
    run.earlierStalls = 1;
    EXPECT_TRUE(detectStragglers({ run }).stragglers.empty());
    run.sinceProgress = Millis(6000);
    EXPECT_EQ(detectStragglers({ run }).stragglers.size(), 1U);
    run.sinceProgress = Millis(1500);
    run.stalledReports = 3;
    EXPECT_TRUE(detectStragglers({ run }).stragglers.empty());
    run.sinceProgress = Millis(2000);
    EXPECT_EQ(detectStragglers({ run }).stragglers.size(), 1U);
}

// A stalled run is found again until its stop is answered.
TEST(StallHistory, countsEachRunOnce)
{
    const state::StepTaskRef task{ { state::WorkSerial(1), 0, 0 }, 0 };
    StallHistory history;
    EXPECT_EQ(history.earlierStalls(task, 1), 0U);
    history.record(task, 1);
    history.record(task, 1);
    EXPECT_EQ(history.earlierStalls(task, 1), 0U) << "its stop is repeated after the same time";
    EXPECT_EQ(history.earlierStalls(task, 2), 1U);
    history.record(task, 3);
    history.record(task, 3);
    EXPECT_EQ(history.earlierStalls(task, 3), 1U);
    EXPECT_EQ(history.earlierStalls(task, 4), 2U);
    history.eraseIf([&task](const state::StepTaskRef &other) { return other == task; });
    EXPECT_EQ(history.earlierStalls(task, 4), 0U);
}

// Guards against false positives: without any fault, a hundred runs were stopped on workers that
// were as fast as all others.
TEST(StragglerDetection, shortSiblingsDoNotMakeAWorkerSlow)
{
    std::vector<RunObservation> runs;
    for (uint64_t work = 1; work <= 3; work++) {
        runs.push_back(runOf(work, 0, 9, 20, 1000));
        runs.push_back(runOf(work, 1, 2, 70, 1000));
        runs.push_back(runOf(work, 2, 3, 80, 1000));
    }
    EXPECT_EQ(detectStragglers(runs).slowWorkers.size(), 1U);
    for (RunObservation &run : runs)
        run.correctedEstimate = Millis(4500);
    EXPECT_TRUE(detectStragglers(runs).slowWorkers.empty());
    for (RunObservation &run : runs)
        run.correctedEstimate = Millis(1300);
    EXPECT_EQ(detectStragglers(runs).slowWorkers.size(), 1U);
}

TEST(DurationEstimator, learnsSlowdownFromSiblingsDespiteInexactEstimates)
{
    DurationEstimator speeds;
    for (uint64_t number = 1; number <= 20; number++) {
        state::Work work;
        work.serial = state::WorkSerial(number);
        work.queue = state::QueueId("queue");
        schema::StepSpec *step = work.spec.add_steps();
        step->set_estimate_ms(number % 2 == 0 ? 300 : 3000);
        const state::StepRef ref{ work.serial, 0, 0 };
        for (uint32_t worker = 1; worker <= 5; worker++)
            speeds.recordDuration(
                work, ref, state::WorkerNumber(worker), Millis(worker == 5 ? 2000 : 1000));
    }
    EXPECT_NEAR(speeds.slowdown(state::WorkerNumber(2)), 1.0, 0.3);
    EXPECT_GT(
        speeds.slowdown(state::WorkerNumber(5)) / speeds.slowdown(state::WorkerNumber(2)), 1.5);
}

} // namespace
} // namespace basilgap::scheduling
