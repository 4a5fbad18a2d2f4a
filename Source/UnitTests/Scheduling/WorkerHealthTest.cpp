#include "Basilgap/Scheduling/WorkerHealth.h"

#include <gtest/gtest.h>

namespace basilgap::scheduling {
namespace {

constexpr Millis Now{ 100000 };
constexpr Millis Quarantine{ 2000 };
constexpr Millis MaxQuarantine{ 8000 };
constexpr Millis TrialTime{ 2000 };

class WorkerHealthTest : public testing::Test
{
protected:
    // Two different jobs fail in a row.
    void quarantine(Millis now, Millis age = Millis())
    {
        health.recordFailure(worker, { .job = JobId(1), .age = age }, now);
        health.recordFailure(worker, { .job = JobId(2), .age = age }, now);
    }

    const state::WorkerNumber worker{ 1 };
    WorkerHealth health{ { .minFailedJobs = 2,
        .initialQuarantine = Quarantine,
        .maxQuarantine = MaxQuarantine,
        .maxTrialTime = TrialTime } };
};

// Guards against a worker that stays on probation for good, because the task that tests it is a
// service, which never ends as done.
TEST_F(WorkerHealthTest, aTrialThatDoesNotEndDoesNotHoldTheNextOneBackForGood)
{
    quarantine(Now);
    const Millis trialAt = Now + Quarantine;
    ASSERT_FALSE(health.isQuarantined(worker, trialAt));
    EXPECT_EQ(health.remainingStarts(worker, trialAt), 1U);
    health.recordStart(worker, trialAt);
    EXPECT_EQ(health.remainingStarts(worker, trialAt + TrialTime - Millis(1)), 0U);
    EXPECT_EQ(health.remainingStarts(worker, trialAt + TrialTime), 1U);
}

// Guards against a worker that stays on probation for good, although what has started there since
// its last failure goes on.
TEST_F(WorkerHealthTest, aRunThatOutlivesAllFailedOnesEndsTheProbation)
{
    const Millis failedAge(5000);
    quarantine(Now, failedAge);
    const Millis startedAt = Now + Quarantine;
    health.recordStart(worker, startedAt);
    EXPECT_FALSE(health.recordSurvival(worker, failedAge, startedAt + failedAge));
    EXPECT_TRUE(health.isOnProbation(worker));
    const Millis longer = failedAge + Millis(1);
    EXPECT_TRUE(health.recordSurvival(worker, longer, startedAt + longer));
    EXPECT_FALSE(health.isOnProbation(worker));
    EXPECT_EQ(health.remainingStarts(worker, startedAt + longer), UINT32_MAX);
}

TEST_F(WorkerHealthTest, aRunFromBeforeTheLastFailureShowsNothing)
{
    quarantine(Now);
    const Millis later = Now + Millis(20000);
    EXPECT_FALSE(health.recordSurvival(worker, later - Now + Millis(1), later));
    EXPECT_TRUE(health.isOnProbation(worker));
}

TEST_F(WorkerHealthTest, aRunThatIsYoungerThanATrialShowsNothing)
{
    quarantine(Now);
    EXPECT_FALSE(health.recordSurvival(worker, TrialTime, Now + TrialTime));
    EXPECT_TRUE(health.isOnProbation(worker));
}

// Guards against the quarantine of sound workers: a service may fail at any time.
TEST_F(WorkerHealthTest, servicesThatFailAfterTheyHaveWorkedSayNothingAboutTheirWorker)
{
    for (uint64_t job = 1; job <= 5; job++)
        health.recordFailure(
            worker, { .job = JobId(job), .age = TrialTime + Millis(1), .isService = true }, Now);
    EXPECT_TRUE(health.hasNoFailures(worker));
    for (uint64_t job = 1; job <= 2; job++)
        health.recordFailure(
            worker, { .job = JobId(job), .age = TrialTime, .isService = true }, Now);
    EXPECT_TRUE(health.isQuarantined(worker, Now));
}

// A faulty worker gets a single try after each quarantine, however often that is asked for.
TEST_F(WorkerHealthTest, aFaultyWorkerGetsFewTries)
{
    quarantine(Now);
    int tries = 0;
    for (Millis now = Now; now < Now + Millis(60000); now += Millis(100)) {
        if (health.isQuarantined(worker, now) || health.remainingStarts(worker, now) == 0)
            continue;
        tries++;
        health.recordStart(worker, now);
        health.recordFailure(worker, { .job = JobId(3), .age = Millis(50) }, now + Millis(50));
    }
    // 2 s, 4 s, then 8 s each.
    EXPECT_LE(tries, 9);
    EXPECT_GE(tries, 7);
}

// While its quarantine is suspended, a worker still gets no more than one task in each trial time.
TEST_F(WorkerHealthTest, aFailureHoldsTheNextTrialBack)
{
    quarantine(Now);
    EXPECT_EQ(health.remainingStarts(worker, Now), 0U);
    EXPECT_EQ(health.remainingStarts(worker, Now + TrialTime), 1U);
}

// Guards against tasks that are lost one after the other on a worker that crashes soon after each
// start.
TEST_F(WorkerHealthTest, aWorkerThatRestartsAgainAfterShortLivesIsQuarantined)
{
    Millis now = Now;
    uint32_t life = 1;
    const auto restart = [&](std::optional<Millis> lifetime) {
        health.recordRestart(
            state::WorkerNumber(life), state::WorkerNumber(life + 1), lifetime, now);
        life++;
        return health.isQuarantined(state::WorkerNumber(life), now);
    };
    EXPECT_FALSE(restart(Millis(60000)));
    EXPECT_FALSE(restart(Millis(250)));
    EXPECT_FALSE(health.hasNoFailures(state::WorkerNumber(life)));
    for (const Millis quarantine : { Quarantine, Quarantine * 2, MaxQuarantine, MaxQuarantine }) {
        now += Millis(1250);
        EXPECT_TRUE(restart(Millis(250)));
        const state::WorkerNumber newest(life);
        EXPECT_TRUE(health.isQuarantined(newest, now + quarantine - Millis(1)));
        EXPECT_FALSE(health.isQuarantined(newest, now + quarantine));
    }
    EXPECT_TRUE(restart(std::nullopt)) << "a life of unknown length changes nothing";
    EXPECT_FALSE(restart(Millis(5000)));
    EXPECT_TRUE(health.hasNoFailures(state::WorkerNumber(life)));
}

TEST_F(WorkerHealthTest, aSuccessEndsTheSeriesOfShortLives)
{
    health.recordRestart(state::WorkerNumber(1), state::WorkerNumber(2), Millis(250), Now);
    health.recordSuccess(state::WorkerNumber(2));
    health.recordRestart(state::WorkerNumber(2), state::WorkerNumber(3), Millis(250), Now);
    EXPECT_FALSE(health.isQuarantined(state::WorkerNumber(3), Now));
}

TEST_F(WorkerHealthTest, aRestartEndsAQuarantineForFailures)
{
    quarantine(Now);
    health.recordRestart(worker, state::WorkerNumber(2), Millis(60000), Now);
    EXPECT_TRUE(health.hasNoFailures(state::WorkerNumber(2)));
    EXPECT_TRUE(health.hasNoFailures(worker));
}

} // namespace
} // namespace basilgap::scheduling
