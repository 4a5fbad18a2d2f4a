#include <gtest/gtest.h>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::state {
namespace {

// Guards against BUDGET: a task that crashed its workers was started again without limit, since a
// worker that crashes reports no failed run.
class WorkTableCrashTest : public testing::Test
{
protected:
    void submit(bool isService = false)
    {
        schema::SubmitWork command;
        command.set_id("a");
        command.set_max_attempts(2);
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(2);
        step->set_service(isService);
        table.submit(command, 1);
    }

    static schema::WorkerLife life(
        uint32_t number, const std::string &id, const std::string &address)
    {
        schema::WorkerLife life;
        life.set_number(number);
        life.set_id(id);
        life.set_address(address);
        life.set_born_ms(1000 * number);
        return life;
    }

    void registerWorker(uint32_t number, const std::string &id, const std::string &address)
    {
        schema::RunBatch batch;
        *batch.add_workers() = life(number, id, address);
        table.apply(batch, 5);
    }

    void dropWorker(uint32_t number, const std::string &id, const std::string &address)
    {
        schema::RunBatch batch;
        *batch.add_workers() = life(number, id, address);
        batch.mutable_workers(0)->set_gone(true);
        table.apply(batch, 5);
    }

    void start(uint32_t worker, uint32_t index = 0)
    {
        schema::RunBatch batch;
        schema::RunStart *start = batch.add_starts();
        start->set_work(1);
        start->set_index(index);
        start->set_run(task(index).run + 1);
        start->set_worker(worker);
        table.apply(batch, 6);
    }

    void end(schema::WorkerLoss loss, schema::RunOutcome outcome = schema::RUN_LAPSED,
        uint32_t index = 0)
    {
        schema::RunBatch batch;
        schema::RunEnd *end = batch.add_ends();
        end->set_work(1);
        end->set_index(index);
        end->set_run(task(index).run);
        end->set_outcome(outcome);
        end->set_worker_loss(loss);
        table.apply(batch, 7);
    }

    // Worker `number` is lost at the given moment of the run, and a new life comes at its address.
    void loseWorkerUnderTask(uint32_t number, schema::WorkerLoss loss)
    {
        const std::string address = "address" + std::to_string(number);
        registerWorker(2 * number, "id" + std::to_string(2 * number), address);
        start(2 * number);
        end(loss);
        registerWorker(2 * number + 1, "id" + std::to_string(2 * number + 1), address);
    }

    const WorkTask &task(uint32_t index = 0) const { return *table.find({ step, index }); }
    WorkPhase phase() const { return table.find("a")->phase; }

    const StepRef step{ WorkSerial(1), 0, 0 };
    WorkTable table;
};

TEST_F(WorkTableCrashTest, jobFailsAfterFourCrashesInARowAtTheStartOfOneTask)
{
    submit();
    for (uint32_t worker = 1; worker <= 3; worker++) {
        loseWorkerUnderTask(worker, schema::WORKER_LOST_AT_START);
        EXPECT_EQ(phase(), WorkPhase::Active);
        EXPECT_TRUE(task().isCrashSuspect());
    }
    loseWorkerUnderTask(4, schema::WORKER_LOST_AT_START);
    EXPECT_EQ(phase(), WorkPhase::Failed);
}

// Guards against LOST: workers that crashed by themselves failed the jobs of tasks that had just
// started there twice.
TEST_F(WorkTableCrashTest, aRunThatOutlivesItsStartShowsThatTheTaskCrashesNoWorker)
{
    submit();
    for (uint32_t round = 0; round < 4; round++) {
        for (uint32_t worker = 1; worker <= 3; worker++)
            loseWorkerUnderTask(10 * round + worker, schema::WORKER_LOST_AT_START);
        EXPECT_EQ(task().startCrashes.total, 3U);
        loseWorkerUnderTask(10 * round + 4, schema::WORKER_LOST_LATER);
        EXPECT_EQ(task().startCrashes.total, 0U);
        EXPECT_FALSE(task().isCrashSuspect());
    }
    EXPECT_EQ(phase(), WorkPhase::Active);
}

// Guards against LOST: four crashes of workers during the runs of a long task failed its job.
TEST_F(WorkTableCrashTest, laterCrashesDoNotCount)
{
    submit();
    for (uint32_t worker = 1; worker <= 12; worker++)
        loseWorkerUnderTask(worker, schema::WORKER_LOST_LATER);
    EXPECT_EQ(phase(), WorkPhase::Active);
    EXPECT_FALSE(task().isCrashSuspect());
}

// Guards against LOST: a job failed although no run of its task had begun, since its workers had
// crashed before the orders reached them.
TEST_F(WorkTableCrashTest, jobDoesNotFailUnlessTwoRunsAreKnownToHaveBegun)
{
    submit();
    for (uint32_t worker = 1; worker <= 6; worker++)
        loseWorkerUnderTask(worker, schema::WORKER_LOST_BEFORE_ANSWER);
    EXPECT_EQ(phase(), WorkPhase::Active);
    EXPECT_TRUE(task().isCrashSuspect());
    loseWorkerUnderTask(7, schema::WORKER_LOST_AT_START);
    EXPECT_EQ(phase(), WorkPhase::Active);
    loseWorkerUnderTask(8, schema::WORKER_LOST_AT_START);
    EXPECT_EQ(phase(), WorkPhase::Failed);
}

// A start counts whose answer was lost, so that lost answers don't keep such a task going.
TEST_F(WorkTableCrashTest, unansweredStartsCountBesideTwoThatHaveBegun)
{
    submit();
    loseWorkerUnderTask(1, schema::WORKER_LOST_AT_START);
    loseWorkerUnderTask(2, schema::WORKER_LOST_BEFORE_ANSWER);
    loseWorkerUnderTask(3, schema::WORKER_LOST_BEFORE_ANSWER);
    EXPECT_EQ(phase(), WorkPhase::Active);
    loseWorkerUnderTask(4, schema::WORKER_LOST_AT_START);
    EXPECT_EQ(phase(), WorkPhase::Failed);
}

// A worker that falls silent and crashes late must not bring back what a later run has cleared.
TEST_F(WorkTableCrashTest, crashesThatAreConfirmedAfterTheTaskWasClearedDoNotCount)
{
    submit();
    for (uint32_t worker = 1; worker <= 3; worker++) {
        registerWorker(worker, "id" + std::to_string(worker), std::to_string(worker));
        start(worker);
        end(schema::WORKER_LOST_AT_START);
    }
    EXPECT_EQ(task().unconfirmedStartCrashes.total, 3U);
    loseWorkerUnderTask(10, schema::WORKER_LOST_LATER);
    EXPECT_EQ(task().unconfirmedStartCrashes.total, 0U);
    for (uint32_t worker = 1; worker <= 3; worker++)
        dropWorker(worker, "id" + std::to_string(worker), std::to_string(worker));
    EXPECT_EQ(task().startCrashes.total, 0U);
    EXPECT_EQ(task().unconfirmedStartCrashes.total, 0U);
}

TEST_F(WorkTableCrashTest, crashOfOtherTasksIsNotCounted)
{
    submit();
    loseWorkerUnderTask(1, schema::WORKER_LOST_AT_START);
    registerWorker(10, "other", "other");
    start(10, 1);
    end(schema::WORKER_LOST_AT_START, schema::RUN_LAPSED, 1);
    registerWorker(11, "another", "other");
    EXPECT_EQ(phase(), WorkPhase::Active);
    EXPECT_EQ(task(0).startCrashes.total, 1U);
    EXPECT_EQ(task(1).startCrashes.total, 1U);
}

TEST_F(WorkTableCrashTest, workerThatWasOnlyCutOffDoesNotCount)
{
    submit();
    registerWorker(1, "w", "address");
    for (int i = 0; i < 5; i++) {
        start(1);
        end(schema::WORKER_LOST_AT_START);
        EXPECT_EQ(task().unconfirmedStartCrashes.total, 1U);
    }
    // The worker answers, since it is given another run.
    start(1, 1);
    EXPECT_EQ(task().unconfirmedStartCrashes.total, 0U);
    EXPECT_EQ(task().startCrashes.total, 0U);
    EXPECT_EQ(phase(), WorkPhase::Active);
}

// Guards against LOST: a worker that was cut off, answered again without getting work, and left
// later was taken for crashed.
TEST_F(WorkTableCrashTest, workerThatAnswersAgainHasNotCrashed)
{
    submit();
    registerWorker(1, "w", "address");
    start(1);
    end(schema::WORKER_LOST_AT_START);
    schema::RunBatch batch;
    batch.add_returned(1);
    table.apply(batch, 7);
    EXPECT_EQ(task().unconfirmedStartCrashes.total, 0U);
    registerWorker(2, "next", "address");
    EXPECT_EQ(task().startCrashes.total, 0U);
}

TEST_F(WorkTableCrashTest, crashThatIsKnownBeforeTheLeaseEndsCounts)
{
    submit();
    for (uint32_t worker = 1; worker <= MaxStartCrashes; worker++) {
        EXPECT_EQ(phase(), WorkPhase::Active);
        const std::string address = "address" + std::to_string(worker);
        registerWorker(2 * worker, "id" + std::to_string(2 * worker), address);
        start(2 * worker);
        registerWorker(2 * worker + 1, "id" + std::to_string(2 * worker + 1), address);
        end(schema::WORKER_LOST_AT_START);
    }
    EXPECT_EQ(phase(), WorkPhase::Failed);
}

TEST_F(WorkTableCrashTest, workerThatRestartsUnderItsIdCounts)
{
    submit();
    registerWorker(1, "w", "address");
    start(1);
    schema::RunBatch restart;
    *restart.add_workers() = life(2, "w", "elsewhere");
    *restart.add_workers() = life(1, "w", "address");
    restart.mutable_workers(1)->set_gone(true);
    table.apply(restart, 5);
    end(schema::WORKER_LOST_AT_START, schema::RUN_LOST);
    EXPECT_EQ(task().startCrashes.total, 1U);
}

// Guards against BUDGET: a task that crashed its workers was started again without limit if they
// came back late or never.
TEST_F(WorkTableCrashTest, workerThatNeverComesBackCounts)
{
    submit();
    registerWorker(1, "w", "address");
    start(1, 0);
    start(1, 1);
    end(schema::WORKER_LOST_AT_START, schema::RUN_LAPSED, 0);
    end(schema::WORKER_LOST_LATER, schema::RUN_LAPSED, 1);
    dropWorker(1, "w", "address");
    EXPECT_EQ(task(0).startCrashes.total, 1U);
    EXPECT_EQ(task(0).unconfirmedStartCrashes.total, 0U);
    EXPECT_EQ(task(1).startCrashes.total, 0U);
}

TEST_F(WorkTableCrashTest, earlierLifeAtTheAddressIsNoCrash)
{
    submit();
    registerWorker(5, "new", "address");
    start(5);
    // A delayed announcement of the life before registers late.
    schema::RunBatch late;
    *late.add_workers() = life(6, "old", "address");
    late.mutable_workers(0)->set_born_ms(10);
    table.apply(late, 6);
    end(schema::WORKER_LOST_AT_START);
    EXPECT_EQ(task().startCrashes.total, 0U);
    EXPECT_EQ(task().unconfirmedStartCrashes.total, 1U);
}

// Guards against LOST: a sound job was shown as failed after workers had left one after the other.
TEST_F(WorkTableCrashTest, workersThatLeaveAreNotCrashed)
{
    submit();
    for (uint32_t number = 1; number <= 6; number++) {
        const std::string address = "address" + std::to_string(number);
        registerWorker(2 * number, "id" + std::to_string(number), address);
        start(2 * number);
        schema::RunBatch leaves;
        *leaves.add_workers() = life(2 * number, "id" + std::to_string(number), address);
        leaves.mutable_workers(0)->set_leaving(true);
        table.apply(leaves, 6);
        end(schema::WORKER_LOST_AT_START);
        registerWorker(2 * number + 1, "next" + std::to_string(number), address);
    }
    EXPECT_EQ(phase(), WorkPhase::Active);
    EXPECT_EQ(task().startCrashes.total, 0U);
}

// A service runs on many workers in its life, and workers crash now and then.
TEST_F(WorkTableCrashTest, servicesAreJudgedByCrashesAtTheirStartInARowOnly)
{
    submit(true);
    for (uint32_t worker = 1; worker <= 6; worker++) {
        loseWorkerUnderTask(2 * worker, schema::WORKER_LOST_AT_START);
        loseWorkerUnderTask(2 * worker + 1, schema::WORKER_LOST_LATER);
    }
    EXPECT_EQ(phase(), WorkPhase::Active);
    for (uint32_t worker = 20; worker < 20 + MaxStartCrashes; worker++)
        loseWorkerUnderTask(worker, schema::WORKER_LOST_AT_START);
    EXPECT_EQ(phase(), WorkPhase::Failed);
}

// Guards against replicas that disagree: one that restored a snapshot took another incarnation for
// the newest one of a worker.
TEST_F(WorkTableCrashTest, newestIncarnationIsTheSameAfterASnapshot)
{
    submit();
    registerWorker(1, "w", "a");
    start(1, 0);
    registerWorker(2, "w", "b");
    start(2, 1);
    registerWorker(3, "w", "c");
    for (uint32_t number = 1; number <= 3; number++)
        dropWorker(number, "w", std::string(1, static_cast<char>('a' + number - 1)));
    WorkTable restored;
    restored.restore(table.save());
    ASSERT_NE(table.newestIncarnation("w"), nullptr);
    EXPECT_EQ(table.newestIncarnation("w")->number(), 2U);
    EXPECT_EQ(restored.newestIncarnation("w")->number(), 2U);
}

TEST_F(WorkTableCrashTest, countsSurviveASnapshot)
{
    submit();
    loseWorkerUnderTask(1, schema::WORKER_LOST_AT_START);
    loseWorkerUnderTask(2, schema::WORKER_LOST_BEFORE_ANSWER);
    loseWorkerUnderTask(3, schema::WORKER_LOST_BEFORE_ANSWER);
    registerWorker(10, "w", "address");
    start(10);
    end(schema::WORKER_LOST_AT_START);
    const schema::WorkSnapshot snapshot = table.save();
    WorkTable restored;
    restored.restore(snapshot);
    EXPECT_EQ(restored.save().SerializeAsString(), snapshot.SerializeAsString());
    EXPECT_EQ(restored.find({ step, 0 })->startCrashes.total, 3U);
    EXPECT_EQ(restored.find({ step, 0 })->startCrashes.begun, 1U);
    EXPECT_EQ(restored.find({ step, 0 })->unconfirmedStartCrashes.total, 1U);
    EXPECT_TRUE(restored.find({ step, 0 })->awaitsCrashVerdict());
    schema::RunBatch batch;
    *batch.add_workers() = life(11, "next", "address");
    restored.apply(batch, 8);
    EXPECT_EQ(restored.find("a")->phase, WorkPhase::Failed);
}

} // namespace
} // namespace basilgap::state
