#include <gtest/gtest.h>

#include "Basilgap/Scheduling/RunWatch.h"
#include "Basilgap/Scheduling/SpeedBook.h"

namespace basilgap::scheduling {
namespace {

WatchedRun runOf(uint64_t work, uint32_t index, uint32_t worker, int percent, int64_t elapsedMs)
{
    WatchedRun run;
    run.task = { { state::WorkSerial(work), 0, 0 }, index };
    run.worker = state::WorkerNumber(worker);
    run.percent = percent;
    run.elapsed = Millis(elapsedMs);
    return run;
}

TEST(RunWatch, aRunThatStandsStillIsHanging)
{
    WatchedRun still = runOf(1, 0, 1, 40, 400);
    still.sinceProgress = Millis(3000);
    WatchedRun done = runOf(1, 1, 1, 100, 400);
    done.sinceProgress = Millis(3000);
    const WatchFindings findings = watchRuns({ still, done, runOf(1, 2, 1, 40, 400) });
    ASSERT_EQ(findings.troubled.size(), 1U);
    EXPECT_EQ(findings.troubled[0].trouble, RunTrouble::Hanging);
    EXPECT_EQ(findings.troubled[0].task.index, 0U);
}

// Tasks of a step differ up to three times: giving up the long ones made a calm day worse.
TEST(RunWatch, oneLongTaskSaysNothingOfItsWorker)
{
    std::vector<WatchedRun> runs;
    for (uint32_t i = 0; i < 5; i++)
        runs.push_back(runOf(1, i, i + 1, i == 0 ? 10 : 60, 1000));
    const WatchFindings findings = watchRuns(runs);
    EXPECT_TRUE(findings.slow.empty());
    EXPECT_TRUE(findings.troubled.empty());
}

TEST(RunWatch, aWorkerOnWhichSeveralStepsCrawlIsSlow)
{
    std::vector<WatchedRun> runs;
    for (uint64_t work = 1; work <= 3; work++) {
        runs.push_back(runOf(work, 0, 9, 8, 1000));
        runs.push_back(runOf(work, 1, 2, 50, 1000));
        runs.push_back(runOf(work, 2, 3, 60, 1000));
    }
    const WatchFindings findings = watchRuns(runs);
    ASSERT_EQ(findings.slow.size(), 1U);
    EXPECT_GT(findings.slow.at(state::WorkerNumber(9)), 3.0);
    EXPECT_EQ(findings.troubled.size(), 3U);
    for (WatchedRun &run : runs)
        run.wasGivenUp = true;
    EXPECT_TRUE(watchRuns(runs).troubled.empty()) << "a task is moved once at most";
}

// A worker on which nothing moves tells so with each report; tasks of a second can't wait three.
TEST(RunWatch, severalReportsWithoutProgressAreEnough)
{
    WatchedRun still = runOf(1, 0, 1, 40, 400);
    still.estimated = Millis(800);
    still.sinceProgress = Millis(1000);
    still.stalledReports = 2;
    EXPECT_TRUE(watchRuns({ still }).troubled.empty());
    still.stalledReports = 3;
    ASSERT_EQ(watchRuns({ still }).troubled.size(), 1U);
    EXPECT_EQ(watchRuns({ still }).troubled[0].trouble, RunTrouble::Hanging);
    still.estimated = Millis(12000);
    EXPECT_TRUE(watchRuns({ still }).troubled.empty()) << "a percent of it takes a while";
}

// Seen on a calm day: a hundred runs were given up on workers that were as fast as all others.
TEST(RunWatch, siblingsThatHappenToBeShortDoNotMakeAWorkerSlow)
{
    std::vector<WatchedRun> runs;
    for (uint64_t work = 1; work <= 3; work++) {
        runs.push_back(runOf(work, 0, 9, 20, 1000));
        runs.push_back(runOf(work, 1, 2, 70, 1000));
        runs.push_back(runOf(work, 2, 3, 80, 1000));
    }
    EXPECT_EQ(watchRuns(runs).slow.size(), 1U);
    for (WatchedRun &run : runs)
        run.estimated = Millis(4500);
    EXPECT_TRUE(watchRuns(runs).slow.empty());
    for (WatchedRun &run : runs)
        run.estimated = Millis(1300);
    EXPECT_EQ(watchRuns(runs).slow.size(), 1U);
}

TEST(SpeedBook, learnsWorkersFromSiblingsDespiteRoughEstimates)
{
    SpeedBook speeds;
    for (uint64_t number = 1; number <= 20; number++) {
        state::Work work;
        work.serial = state::WorkSerial(number);
        work.queue = state::QueueName("queue");
        schema::StepSpec *step = work.spec.add_steps();
        step->set_estimate_ms(number % 2 == 0 ? 300 : 3000);
        const state::StepRef ref{ work.serial, 0, 0 };
        for (uint32_t worker = 1; worker <= 5; worker++)
            speeds.noteDone(
                work, ref, state::WorkerNumber(worker), Millis(worker == 5 ? 2000 : 1000));
    }
    EXPECT_NEAR(speeds.slowness(state::WorkerNumber(2)), 1.0, 0.3);
    EXPECT_GT(
        speeds.slowness(state::WorkerNumber(5)) / speeds.slowness(state::WorkerNumber(2)), 1.5);
}

} // namespace
} // namespace basilgap::scheduling
