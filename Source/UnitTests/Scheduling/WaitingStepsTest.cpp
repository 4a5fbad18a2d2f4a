#include <gtest/gtest.h>
#include <random>

#include "Basilgap/Scheduling/WaitingSteps.h"

namespace basilgap::scheduling {
namespace {

constexpr uint64_t StartMs = 1000000;

class WaitingStepsTest : public testing::Test
{
protected:
    void SetUp() override { configure(1, 2); }

    void configure(uint64_t version, double slackFactor)
    {
        schema::PutWorkConfig command;
        command.set_version(version);
        for (const char *name : { "urgent", "deferrable" }) {
            schema::QueueConfig *queue = command.mutable_config()->add_queues();
            queue->set_name(name);
            queue->set_prefix(name);
            queue->set_priority(name == std::string("urgent") ? 0 : 2);
            queue->set_slack_factor(slackFactor);
            queue->set_target_latency_ms(100);
        }
        config.apply(command);
    }

    void submit(const std::function<void(schema::SubmitWork *)> &change = [](auto *) {})
    {
        schema::SubmitWork command;
        command.set_id("job" + std::to_string(++submitted));
        command.set_queue(submitted % 2 == 0 ? "urgent" : "deferrable");
        command.set_max_attempts(2);
        for (int i = 0; i < 2; i++) {
            schema::StepSpec *step = command.mutable_spec()->add_steps();
            step->set_count(2);
            step->set_estimate_ms(100 * (1 + submitted % 7));
        }
        command.mutable_spec()->mutable_steps(1)->add_after(0);
        change(&command);
        table.submit(command, nowMs);
    }

    void start(const WaitingStep &step, uint32_t index)
    {
        schema::RunBatch batch;
        schema::RunStart *run = batch.add_starts();
        run->set_work(step.ref.work.value());
        run->set_step(step.ref.step);
        run->set_index(index);
        run->set_run(table.find(state::StepTaskRef{ step.ref, index })->run + 1);
        run->set_worker(1);
        table.apply(batch, nowMs);
    }

    void end(const state::StepTaskRef &task, schema::RunOutcome outcome)
    {
        schema::RunBatch batch;
        schema::RunEnd *run = batch.add_ends();
        run->set_work(task.step.work.value());
        run->set_step(task.step.step);
        run->set_index(task.index);
        run->set_run(table.find(task)->run);
        run->set_outcome(outcome);
        table.apply(batch, nowMs);
    }

    static std::vector<std::tuple<state::StepRef, uint32_t, int, int64_t>> listOf(
        const WaitingSteps &steps)
    {
        std::vector<std::tuple<state::StepRef, uint32_t, int, int64_t>> list;
        for (const WaitingStep &step : steps.ordered())
            list.emplace_back(step.ref, step.priority, step.latenessBand, step.orderMs);
        return list;
    }

    state::WorkTable table;
    state::WorkConfigState config;
    WaitingSteps waiting;
    uint64_t nowMs = StartMs;
    uint64_t submitted = 0;
};

// Guards against entries of jobs that have ended, or are missing after a change: what is kept
// between rounds must equal what a new reader finds.
TEST_F(WaitingStepsTest, whatIsKeptEqualsWhatANewReaderFinds)
{
    std::mt19937 random(20261206);
    for (int round = 0; round < 2000; round++) {
        nowMs += random() % 40;
        if (random() % 3 == 0)
            submit([&](schema::SubmitWork *command) {
                // Guards against jobs that need no processor, which add nothing to what waits.
                command->mutable_spec()->mutable_steps(0)->set_millicores(random() % 3 * 1000);
                command->set_account("account" + std::to_string(random() % 2));
                command->mutable_spec()->mutable_steps(0)->set_service(random() % 6 == 0);
                if (random() % 5 == 0) {
                    command->mutable_spec()->set_occurrences(2);
                    command->mutable_spec()->set_first_due_ms(nowMs + random() % 300);
                    command->mutable_spec()->set_interval_ms(50);
                }
            });
        if (!waiting.ordered().empty() && random() % 2 == 0) {
            const WaitingStep step = *waiting.ordered().begin();
            for (uint32_t i = 0; i < 2; i++)
                start(step, i);
        }
        const auto &running = table.runsOn(state::WorkerNumber(1));
        if (!running.empty() && random() % 2 == 0)
            end(running.begin()->first, random() % 4 == 0 ? schema::RUN_FAILED : schema::RUN_DONE);
        if (submitted > 0 && random() % 10 == 0) {
            schema::CancelWork cancel;
            cancel.set_id("job" + std::to_string(1 + random() % submitted));
            table.cancel(cancel, nowMs);
        }
        if (random() % 50 == 0)
            table.expire(nowMs, 100);
        if (random() % 200 == 0)
            configure(static_cast<uint64_t>(round) + 2, 1 + random() % 4);
        waiting.refresh(table, config, nowMs);
        WaitingSteps anew;
        anew.refresh(table, config, nowMs);
        ASSERT_EQ(listOf(waiting), listOf(anew)) << "round " << round;
        ASSERT_EQ(waiting.waitingMillicores(), anew.waitingMillicores()) << "round " << round;
    }
    EXPECT_GT(submitted, 500U);
}

// Guards against jobs that keep their place although they can no longer meet their objective.
TEST_F(WaitingStepsTest, timeMovesAJobBehindThoseThatCanMeetTheirObjective)
{
    submit();
    submit();
    waiting.refresh(table, config, nowMs);
    const state::StepRef first = waiting.ordered().begin()->ref;
    nowMs += 2000;
    submit();
    submit();
    waiting.refresh(table, config, nowMs);
    EXPECT_NE(waiting.ordered().begin()->ref, first);
    EXPECT_EQ(waiting.ordered().rbegin()->latenessBand, 1);
    waiting.refresh(table, config, StartMs);
    EXPECT_EQ(waiting.ordered().rbegin()->latenessBand, 0) << "the clock was set back";
}

// Guards against a follower that begins to lead with what it has kept from before a snapshot.
TEST_F(WaitingStepsTest, aRestoredTableIsReadAnew)
{
    submit();
    waiting.refresh(table, config, nowMs);
    state::WorkTable other;
    table.restore(other.save());
    for (int i = 0; i < 3; i++)
        submit();
    waiting.refresh(table, config, nowMs);
    EXPECT_EQ(waiting.ordered().size(), 3U);
}

// Guards against use of freed jobs and queues: a leader that goes on from its disk builds the state
// anew, and the same records lead to the same number of changes and the same version.
TEST_F(WaitingStepsTest, aTableThatWasBuiltAnewIsReadAnew)
{
    const auto build = [this] {
        submitted = 0;
        table = state::WorkTable();
        config = state::WorkConfigState();
        configure(1, 2);
        for (int i = 0; i < 3; i++)
            submit();
        waiting.refresh(table, config, nowMs);
    };
    build();
    build();
    ASSERT_EQ(waiting.ordered().size(), 3U);
    for (const WaitingStep &step : waiting.ordered()) {
        EXPECT_EQ(step.work, table.find(step.ref.work));
        EXPECT_EQ(step.queue, config.findQueue(step.work->queue));
    }
}

// Guards against readers that fall behind the changes that are kept.
TEST_F(WaitingStepsTest, aReaderThatFellBehindReadsAllJobs)
{
    waiting.refresh(table, config, nowMs);
    for (int i = 0; i < 10000; i++)
        submit();
    waiting.refresh(table, config, nowMs);
    EXPECT_EQ(waiting.ordered().size(), 10000U);
}

} // namespace
} // namespace basilgap::scheduling
