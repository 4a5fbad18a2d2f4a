#include <gtest/gtest.h>

#include "Basilgap/Scheduling/DurationEstimator.h"
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

TEST(StragglerDetection, aRunThatStandsStillIsHanging)
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

// Tasks of a step differ up to three times: giving up the long ones made a calm day worse.
TEST(StragglerDetection, oneLongTaskSaysNothingOfItsWorker)
{
    std::vector<RunObservation> runs;
    for (uint32_t i = 0; i < 5; i++)
        runs.push_back(runOf(1, i, i + 1, i == 0 ? 10 : 60, 1000));
    const StragglerFindings findings = detectStragglers(runs);
    EXPECT_TRUE(findings.slowWorkers.empty());
    EXPECT_TRUE(findings.stragglers.empty());
}

TEST(StragglerDetection, aWorkerOnWhichSeveralStepsCrawlIsSlow)
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
    EXPECT_TRUE(detectStragglers(runs).stragglers.empty()) << "a task is moved once at most";
}

// A worker on which nothing moves tells so with each report; tasks of a second can't wait three.
TEST(StragglerDetection, severalReportsWithoutProgressAreEnough)
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
        << "a percent of it takes a while";
}

// Seen on a calm day: a hundred runs were given up on workers that were as fast as all others.
TEST(StragglerDetection, siblingsThatHappenToBeShortDoNotMakeAWorkerSlow)
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

TEST(DurationEstimator, learnsWorkersFromSiblingsDespiteRoughEstimates)
{
    DurationEstimator speeds;
    for (uint64_t number = 1; number <= 20; number++) {
        state::Work work;
        work.serial = state::WorkSerial(number);
        work.queue = state::QueueName("queue");
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
