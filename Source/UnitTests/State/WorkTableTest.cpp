#include <gtest/gtest.h>

#include <numeric>
#include <random>
#include <set>

#include "Basilgap/State/CellState.h"

namespace basilgap::state {
namespace {

schema::SubmitWork submitWorkCommand(const std::string &id, const std::vector<uint32_t> &counts)
{
    schema::SubmitWork command;
    command.set_id(id);
    command.set_queue("queue");
    command.set_account("team");
    command.set_max_attempts(2);
    for (size_t i = 0; i < counts.size(); i++) {
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(counts[i]);
        step->set_millicores(1000);
        step->set_memory_mb(100);
        if (i > 0)
            step->add_after(static_cast<uint32_t>(i) - 1);
    }
    return command;
}

schema::RunBatch runStartBatch(uint64_t work, uint32_t step, uint32_t index, uint32_t run)
{
    schema::RunBatch batch;
    schema::RunStart *start = batch.add_starts();
    start->set_work(work);
    start->set_step(step);
    start->set_index(index);
    start->set_run(run);
    start->set_worker(1);
    return batch;
}

schema::RunBatch runEndBatch(uint64_t work, uint32_t step, uint32_t index, uint32_t run,
    schema::RunOutcome outcome, const std::string &checkpoint = {})
{
    schema::RunBatch batch;
    schema::RunEnd *end = batch.add_ends();
    end->set_work(work);
    end->set_step(step);
    end->set_index(index);
    end->set_run(run);
    end->set_outcome(outcome);
    end->set_checkpoint(checkpoint);
    return batch;
}

TEST(WorkTable, resentSubmissionIsAcceptedOnce)
{
    WorkTable table;
    EXPECT_FALSE(table.submit(submitWorkCommand("a", { 1 }), 1).again());
    EXPECT_TRUE(table.submit(submitWorkCommand("a", { 5 }), 2).again());
    EXPECT_EQ(table.works().size(), 1U);
    EXPECT_EQ(table.find("a")->occurrences[0][0].tasks.size(), 1U);
}

TEST(WorkTable, completesWhenEveryTaskIsDone)
{
    WorkTable table;
    table.submit(submitWorkCommand("a", { 1, 2 }), 1);
    table.apply(runStartBatch(1, 0, 0, 1), 2);
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_DONE), 3);
    EXPECT_TRUE(table.find("a")->isReady({ WorkSerial(1), 0, 1 }));
    table.apply(runStartBatch(1, 1, 0, 1), 4);
    table.apply(runStartBatch(1, 1, 1, 1), 4);
    table.apply(runEndBatch(1, 1, 0, 1, schema::RUN_DONE), 5);
    EXPECT_EQ(table.find("a")->phase, WorkPhase::Active);
    table.apply(runEndBatch(1, 1, 1, 1, schema::RUN_DONE), 6);
    EXPECT_EQ(table.find("a")->phase, WorkPhase::Completed);
    EXPECT_EQ(table.runningTasks(), 0U);
    EXPECT_TRUE(table.active().empty());
}

TEST(WorkTable, onlyFailedRunsCountAsAttempts)
{
    WorkTable table;
    table.submit(submitWorkCommand("a", { 1 }), 1);
    uint32_t run = 0;
    for (const schema::RunOutcome outcome : { schema::RUN_LAPSED, schema::RUN_STOPPED,
             schema::RUN_LOST, schema::RUN_FAILED, schema::RUN_BROKEN }) {
        table.apply(runStartBatch(1, 0, 0, ++run), 2);
        table.apply(runEndBatch(1, 0, 0, run, outcome), 3);
        EXPECT_EQ(table.find("a")->phase, WorkPhase::Active);
    }
    table.apply(runStartBatch(1, 0, 0, ++run), 4);
    table.apply(runEndBatch(1, 0, 0, run, schema::RUN_FAILED), 5);
    EXPECT_EQ(table.find("a")->phase, WorkPhase::Failed);
}

// Guards against a state that grows for as long as one run of a canceled job doesn't end: all jobs
// that finished later were kept as well.
TEST(WorkTable, canceledJobWhoseRunGoesOnKeepsNoOtherJob)
{
    constexpr uint64_t Retention = 100;
    WorkTable table;
    table.submit(submitWorkCommand("going-on", { 1 }), 1);
    table.submit(submitWorkCommand("ended", { 1 }), 1);
    table.apply(runStartBatch(1, 0, 0, 1), 2);
    for (const char *id : { "going-on", "ended" }) {
        schema::CancelWork cancel;
        cancel.set_id(id);
        table.cancel(cancel, 3);
    }
    table.expire(3 + Retention + 1, Retention);
    EXPECT_EQ(table.find("ended"), nullptr);
    ASSERT_NE(table.find("going-on"), nullptr);
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_STOPPED), 200);
    table.expire(400, Retention);
    EXPECT_EQ(table.find("going-on"), nullptr);
    EXPECT_TRUE(table.works().empty());
}

TEST(WorkTable, ignoresTheEndOfAnEarlierRun)
{
    WorkTable table;
    table.submit(submitWorkCommand("a", { 1 }), 1);
    table.apply(runStartBatch(1, 0, 0, 1), 2);
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_LAPSED, "c"), 3);
    table.apply(runStartBatch(1, 0, 0, 2), 4);
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_DONE), 5);
    const WorkTask *task = table.find({ { WorkSerial(1), 0, 0 }, 0 });
    EXPECT_EQ(task->phase, RunPhase::Running);
    EXPECT_EQ(task->checkpoint, "c");
    // A start with a run number that is not higher has no effect.
    table.apply(runEndBatch(1, 0, 0, 2, schema::RUN_LOST), 6);
    table.apply(runStartBatch(1, 0, 0, 2), 7);
    EXPECT_EQ(task->phase, RunPhase::Waiting);
}

TEST(WorkTable, oneDoneEndCompletesTheWholeGang)
{
    WorkTable table;
    schema::SubmitWork command = submitWorkCommand("a", { 3 });
    command.mutable_spec()->mutable_steps(0)->set_gang(true);
    table.submit(command, 1);
    for (uint32_t i = 0; i < 3; i++)
        table.apply(runStartBatch(1, 0, i, 1), 2);
    table.apply(runEndBatch(1, 0, 1, 1, schema::RUN_DONE), 3);
    EXPECT_EQ(table.find("a")->phase, WorkPhase::Completed);
    EXPECT_EQ(table.runningTasks(), 0U);
}

TEST(WorkTable, aGangIsBrokenWhileSomeOfItsMembersRunAndOthersDoNot)
{
    WorkTable table;
    schema::SubmitWork command = submitWorkCommand("a", { 2, 2 });
    command.mutable_spec()->mutable_steps(0)->set_gang(true);
    command.mutable_spec()->mutable_steps(1)->clear_after();
    table.submit(command, 1);
    const StepRef gang{ WorkSerial(1), 0, 0 };
    const StepRef other{ WorkSerial(1), 0, 1 };
    const Work *work = table.find("a");
    schema::RunBatch starts;
    for (const uint32_t step : { 0, 1 }) {
        for (const uint32_t index : { 0, 1 })
            starts.MergeFrom(runStartBatch(1, step, index, 1));
    }
    EXPECT_FALSE(work->hasBrokenGang(gang));
    table.apply(starts, 2);
    EXPECT_FALSE(work->hasBrokenGang(gang));
    for (const uint32_t step : { 0, 1 })
        table.apply(runEndBatch(1, step, 1, 1, schema::RUN_LOST), 3);
    EXPECT_TRUE(work->hasBrokenGang(gang));
    EXPECT_FALSE(work->hasBrokenGang(other));
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_STOPPED), 4);
    EXPECT_FALSE(work->hasBrokenGang(gang));
    EXPECT_EQ(table.find({ gang, 0 })->failures + table.find({ gang, 1 })->failures, 0U);
}

TEST(WorkTable, gangCountsOneFailurePerRunAndSharesTheCheckpoint)
{
    WorkTable table;
    schema::SubmitWork command = submitWorkCommand("a", { 2 });
    command.mutable_spec()->mutable_steps(0)->set_gang(true);
    table.submit(command, 1);
    for (uint32_t i = 0; i < 2; i++)
        table.apply(runStartBatch(1, 0, i, 1), 2);
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_FAILED, "c"), 3);
    table.apply(runEndBatch(1, 0, 1, 1, schema::RUN_FAILED), 3);
    EXPECT_EQ(table.find("a")->phase, WorkPhase::Active);
    for (uint32_t i = 0; i < 2; i++) {
        EXPECT_EQ(table.find({ { WorkSerial(1), 0, 0 }, i })->failures, 1U);
        EXPECT_EQ(table.find({ { WorkSerial(1), 0, 0 }, i })->checkpoint, "c");
    }
}

TEST(WorkTable, serviceStepNeverFailsAndNeverCompletes)
{
    WorkTable table;
    schema::SubmitWork command = submitWorkCommand("a", { 1 });
    command.mutable_spec()->mutable_steps(0)->set_service(true);
    table.submit(command, 1);
    for (uint32_t run = 1; run < 8; run++) {
        table.apply(runStartBatch(1, 0, 0, run), 2);
        table.apply(
            runEndBatch(1, 0, 0, run, run % 2 == 0 ? schema::RUN_FAILED : schema::RUN_DONE), 3);
    }
    EXPECT_EQ(table.find("a")->phase, WorkPhase::Active);
    EXPECT_EQ(table.find("a")->waitingTasks, 1U);
}

// Applies random commands and compares the counters with a recount of all tasks, in the table
// itself and in one restored from its snapshot.
TEST(WorkTable, countersMatchRecountBeforeAndAfterRestore)
{
    std::mt19937 random(20261204);
    CellState cell;
    LogIndex index(0);
    const auto apply = [&](schema::Command command) {
        command.set_stamp_ms(1000 + index.value());
        index = LogIndex(index.value() + 1);
        cell.apply(index, command);
    };
    for (int round = 0; round < 2000; round++) {
        schema::Command command;
        const auto choice = random() % 10;
        const uint64_t work = 1 + random() % 30;
        if (choice == 0)
            *command.mutable_submit_work() =
                submitWorkCommand(std::to_string(random() % 60), { 2, 3 });
        else if (choice == 1)
            command.mutable_cancel_work()->set_id(std::to_string(random() % 60));
        else if (choice < 6)
            *command.mutable_runs() =
                runStartBatch(work, random() % 3, random() % 4, 1 + random() % 6);
        else
            *command.mutable_runs() = runEndBatch(work, random() % 3, random() % 4,
                1 + random() % 6, static_cast<schema::RunOutcome>(random() % 7));
        apply(command);
        if (round % 100 != 0)
            continue;
        CellState copy;
        ASSERT_TRUE(copy.restore(cell.save()));
        EXPECT_EQ(copy.save(), cell.save());
        for (const CellState *state : { &cell, &copy }) {
            size_t running = 0;
            std::set<WorkSerial> waiting;
            for (const auto &[serial, found] : state->works().works()) {
                size_t waitingTasks = 0;
                for (const auto &steps : found.occurrences) {
                    for (const WorkStep &step : steps) {
                        for (const WorkTask &task : step.tasks) {
                            running += task.phase == RunPhase::Running ? 1 : 0;
                            waitingTasks += task.phase == RunPhase::Waiting ? 1 : 0;
                        }
                    }
                }
                if (found.isActive() && waitingTasks > 0)
                    waiting.insert(serial);
            }
            EXPECT_EQ(state->works().runningTasks(), running);
            EXPECT_EQ(state->works().runsOn(WorkerNumber(1)).size(), running);
            EXPECT_EQ(state->works().reservedOn(WorkerNumber(1)).millicores,
                static_cast<int64_t>(running) * 1000);
            EXPECT_EQ(state->works().usageOf(AccountName("team")).memoryMb,
                static_cast<int64_t>(running) * 100);
            EXPECT_EQ(state->works().runsOf(AccountName("team")).size(), running);
            EXPECT_EQ(state->works().waiting(), waiting);
        }
    }
}

// Load pattern: thousands of jobs a minute, of which the finished ones are removed in an order that
// is not that of their submission.
// Guards against replicas that disagree: jobs that finish at the same time expired in another order
// after a restore.
TEST(WorkTable, jobsThatFinishTogetherExpireAlikeAfterARestore)
{
    WorkTable table;
    table.submit(submitWorkCommand("a", { 1 }), 1);
    table.submit(submitWorkCommand("b", { 1 }), 1);
    table.apply(runStartBatch(2, 0, 0, 1), 2);
    schema::CancelWork cancel;
    for (const char *id : { "b", "a" }) {
        cancel.set_id(id);
        table.cancel(cancel, 10);
    }
    WorkTable restored;
    restored.restore(table.save());
    table.expire(1000, 100);
    restored.expire(1000, 100);
    EXPECT_EQ(restored.save().SerializeAsString(), table.save().SerializeAsString());
}

// Load pattern: 200 jobs a second with long payloads and many tasks. Finished jobs are kept for
// three minutes, so that snapshots hold 36,000 of them.
TEST(WorkTable, finishedJobsTakeLittleOfASnapshot)
{
    constexpr uint64_t Jobs = 100;
    constexpr size_t KeptJobs = 36000;
    constexpr size_t DiskBytes = 320 * 1000 * 1000;
    const std::string checkpoint(64, 'c');
    WorkTable table;
    for (uint64_t work = 1; work <= Jobs; work++) {
        schema::SubmitWork command =
            submitWorkCommand(std::to_string(work), { 10, 10, 10, 10, 10 });
        command.mutable_spec()->set_payload(std::string(4000, 'p'));
        table.submit(command, 1);
        for (uint32_t step = 0; step < 5; step++) {
            for (uint32_t index = 0; index < 10; index++) {
                table.apply(runStartBatch(work, step, index, 1), 2);
                table.apply(runEndBatch(work, step, index, 1, schema::RUN_STOPPED, checkpoint), 3);
                table.apply(runStartBatch(work, step, index, 2), 4);
                table.apply(runEndBatch(work, step, index, 2, schema::RUN_DONE), 5);
            }
        }
        ASSERT_EQ(table.find(WorkSerial(work))->phase, WorkPhase::Completed);
    }
    EXPECT_LT(table.save().ByteSizeLong() / Jobs * KeptJobs, DiskBytes / 20);
}

TEST(WorkTable, finishedJobHoldsNoPayloadEvenFromAnOlderSnapshot)
{
    WorkTable table;
    schema::SubmitWork command = submitWorkCommand("a", { 2 });
    command.mutable_spec()->set_payload("payload");
    table.submit(command, 1);
    table.apply(runStartBatch(1, 0, 0, 1), 2);
    EXPECT_EQ(table.find("a")->spec.payload(), "payload");
    schema::CancelWork cancel;
    cancel.set_id("a");
    table.cancel(cancel, 3);
    EXPECT_EQ(table.find("a")->spec.payload(), "");

    schema::WorkSnapshot snapshot = table.save();
    snapshot.mutable_works(0)->mutable_spec()->set_payload("payload");
    WorkTable restored;
    restored.restore(snapshot);
    EXPECT_EQ(restored.save().SerializeAsString(), table.save().SerializeAsString());
    EXPECT_EQ(restored.runsOn(WorkerNumber(1)).size(), 1U);
    for (WorkTable *each : { &table, &restored })
        each->apply(runEndBatch(1, 0, 0, 1, schema::RUN_STOPPED), 4);
    EXPECT_TRUE(restored.runsOn(WorkerNumber(1)).empty());
    EXPECT_EQ(restored.save().SerializeAsString(), table.save().SerializeAsString());
    EXPECT_TRUE(restored.submit(command, 5).again());
}

// Guards against replicas that disagree: what a snapshot leaves out of finished jobs must have no
// effect on later records.
TEST(WorkTable, laterRecordsHaveTheSameEffectAfterARestore)
{
    std::mt19937 random(20261205);
    WorkTable table;
    WorkTable restored;
    const auto applyToBoth = [&](const schema::RunBatch &batch, uint64_t stampMs) {
        table.apply(batch, stampMs);
        restored.apply(batch, stampMs);
    };
    schema::RunBatch workers;
    for (uint32_t number = 1; number <= 3; number++) {
        schema::WorkerLife *life = workers.add_workers();
        life->set_number(number);
        life->set_id("worker" + std::to_string(number));
        life->set_address("10.0.0." + std::to_string(number));
    }
    applyToBoth(workers, 1);
    for (uint64_t round = 2; round < 4000; round++) {
        const auto choice = random() % 12;
        const uint64_t work = 1 + random() % 30;
        const std::string id = std::to_string(random() % 60);
        if (choice == 0) {
            schema::SubmitWork command = submitWorkCommand(id, { 2, 3 });
            command.mutable_spec()->mutable_steps(1)->set_gang(random() % 2 == 0);
            command.mutable_spec()->set_payload("payload");
            EXPECT_EQ(table.submit(command, round).SerializeAsString(),
                restored.submit(command, round).SerializeAsString());
        } else if (choice == 1) {
            schema::CancelWork cancel;
            cancel.set_id(id);
            EXPECT_EQ(table.cancel(cancel, round).SerializeAsString(),
                restored.cancel(cancel, round).SerializeAsString());
        } else if (choice == 2) {
            table.expire(round, 500);
            restored.expire(round, 500);
        } else if (choice < 7) {
            schema::RunBatch batch =
                runStartBatch(work, random() % 3, random() % 4, 1 + random() % 6);
            batch.mutable_starts(0)->set_worker(1 + random() % 3);
            applyToBoth(batch, round);
        } else {
            schema::RunBatch batch = runEndBatch(work, random() % 3, random() % 4, 1 + random() % 6,
                static_cast<schema::RunOutcome>(random() % 7));
            batch.mutable_ends(0)->set_worker_loss(static_cast<schema::WorkerLoss>(random() % 4));
            if (random() % 5 == 0)
                batch.add_returned(1 + random() % 3);
            applyToBoth(batch, round);
        }
        if (round % 50 == 0)
            restored.restore(table.save());
        ASSERT_EQ(restored.save().SerializeAsString(), table.save().SerializeAsString()) << round;
        ASSERT_EQ(restored.active(), table.active()) << round;
        ASSERT_EQ(restored.waiting(), table.waiting()) << round;
    }
}

TEST(WorkTable, findsJobsBySerialWhileOthersExpire)
{
    constexpr uint64_t Jobs = 200;
    constexpr uint64_t Retention = 100;
    WorkTable table;
    for (uint64_t i = 1; i <= Jobs; i++)
        table.submit(submitWorkCommand("job" + std::to_string(i), { 1 }), i);
    std::vector<uint64_t> order(Jobs);
    std::iota(order.begin(), order.end(), 1);
    std::shuffle(order.begin(), order.end(), std::mt19937(20261204));
    std::set<uint64_t> left(order.begin(), order.end());
    uint64_t now = 1000;
    for (const uint64_t serial : order) {
        schema::CancelWork cancel;
        cancel.set_id("job" + std::to_string(serial));
        table.cancel(cancel, now);
        table.expire(now + Retention + 1, Retention);
        now += Retention + 2;
        left.erase(serial);
        if (serial % 20 == 0)
            table.restore(table.save());
        for (uint64_t i = 0; i <= Jobs + 1; i++) {
            const Work *found = table.find(WorkSerial(i));
            ASSERT_EQ(found != nullptr, left.contains(i)) << i;
            if (found != nullptr) {
                ASSERT_EQ(found->serial, WorkSerial(i));
            }
        }
    }
    table.submit(submitWorkCommand("next", { 1 }), now);
    EXPECT_NE(table.find(WorkSerial(Jobs + 1)), nullptr);
}

TEST(WorkConfigState, keepsTheHighestVersion)
{
    WorkConfigState state;
    schema::PutWorkConfig put;
    put.set_version(7);
    put.set_document("seven");
    EXPECT_FALSE(state.apply(put).again());
    put.set_document("other content under the same version");
    EXPECT_TRUE(state.apply(put).again());
    put.set_version(6);
    EXPECT_TRUE(state.apply(put).again());
    EXPECT_EQ(state.version(), 7U);
    EXPECT_EQ(state.document(), "seven");
}

TEST(WorkConfigState, routesToTheLongestMatchingPrefix)
{
    WorkConfigState state;
    schema::PutWorkConfig put;
    put.set_version(1);
    for (const char *prefix : { "/a/", "/a/b/" }) {
        schema::QueueConfig *queue = put.mutable_config()->add_queues();
        queue->set_name(prefix);
        queue->set_host("host");
        queue->set_prefix(prefix);
    }
    state.apply(put);
    EXPECT_EQ(state.route("host", "/a/x")->name(), "/a/");
    EXPECT_EQ(state.route("host", "/a/b/x")->name(), "/a/b/");
    EXPECT_EQ(state.route("host", "/c"), nullptr);
    EXPECT_EQ(state.route("other", "/a/x"), nullptr);
}

// Guards against TWICE: calls to an earlier incarnation reach a worker that has restarted under its
// id, so all leaders must know that it has.
TEST(WorkTable, aLaterIncarnationIsMarkedAsARestart)
{
    const auto registerLife = [](WorkTable *table, uint32_t number, const char *id, bool gone) {
        schema::RunBatch batch;
        schema::WorkerLife *life = batch.add_workers();
        life->set_number(number);
        life->set_id(id);
        life->set_address("address");
        life->set_born_ms(number);
        life->set_gone(gone);
        table->apply(batch, 1);
    };
    WorkTable table;
    registerLife(&table, 1, "w1", false);
    registerLife(&table, 2, "w2", false);
    registerLife(&table, 3, "w1", false);
    registerLife(&table, 1, "w1", true);
    EXPECT_FALSE(table.newestIncarnation("w2")->restarted());
    EXPECT_TRUE(table.newestIncarnation("w1")->restarted());
    registerLife(&table, 3, "w1", false);
    EXPECT_TRUE(table.newestIncarnation("w1")->restarted()) << "a later record keeps the mark";
    WorkTable restored;
    restored.restore(table.save());
    EXPECT_TRUE(restored.newestIncarnation("w1")->restarted());
}

// Guards against LOST: the mark stayed for good, so that each new leader waited for the longest
// lease.
TEST(WorkTable, theMarkOfARestartIsRemovedForGood)
{
    WorkTable table;
    schema::RunBatch registration;
    schema::WorkerLife *life = registration.add_workers();
    life->set_number(1);
    life->set_id("w1");
    life->set_born_ms(1);
    life->set_restarted(true);
    table.apply(registration, 1);
    ASSERT_TRUE(table.newestIncarnation("w1")->restarted());
    // Made before the mark is removed, and logged after that.
    schema::RunBatch announcement;
    *announcement.add_workers() = *table.newestIncarnation("w1");
    announcement.mutable_workers(0)->set_leaving(true);
    announcement.mutable_workers(0)->set_announced_sequence(2);
    schema::RunBatch settled;
    settled.add_settled_restarts(1);
    settled.add_settled_restarts(7);
    table.apply(settled, 2);
    EXPECT_FALSE(table.newestIncarnation("w1")->restarted());
    table.apply(announcement, 3);
    EXPECT_TRUE(table.newestIncarnation("w1")->leaving());
    EXPECT_FALSE(table.newestIncarnation("w1")->restarted());
    WorkTable restored;
    restored.restore(table.save());
    EXPECT_FALSE(restored.newestIncarnation("w1")->restarted());
    // A later incarnation has a mark of its own.
    life->set_number(2);
    life->set_born_ms(2);
    life->set_restarted(false);
    table.apply(registration, 4);
    EXPECT_TRUE(table.newestIncarnation("w1")->restarted());
}

// Callers ask for this number all the time, so it is kept and not counted.
TEST(WorkTable, unstartedCountFollowsStartsCancellationsAndSnapshots)
{
    const QueueId queue("queue");
    WorkTable table;
    for (const char *id : { "a", "b", "c" })
        table.submit(submitWorkCommand(id, { 2 }), 1);
    EXPECT_EQ(table.unstartedCount(queue), 3U);
    EXPECT_EQ(table.unstartedCount(QueueId("other")), 0U);
    // The first start counts, not the last end.
    table.apply(runStartBatch(1, 0, 0, 1), 2);
    EXPECT_EQ(table.unstartedCount(queue), 2U);
    table.apply(runEndBatch(1, 0, 0, 1, schema::RUN_LOST), 3);
    EXPECT_EQ(table.unstartedCount(queue), 2U);
    schema::CancelWork cancel;
    cancel.set_id("b");
    table.cancel(cancel, 4);
    EXPECT_EQ(table.unstartedCount(queue), 1U);
    WorkTable restored;
    restored.restore(table.save());
    EXPECT_EQ(restored.unstartedCount(queue), 1U);
}

} // namespace
} // namespace basilgap::state
