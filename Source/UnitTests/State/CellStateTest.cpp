#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/State/CellState.h"
#include "Basilgap/State/ConfigDelta.h"
#include "UnitTests/State/Commands.h"

namespace basilgap::state {

namespace {

schema::CommandOutcome applyConfig(CellState &state, uint64_t version, const std::string &hash)
{
    return state.apply(LogIndex(version), applyCellCommand(version, hash));
}

} // namespace

TEST(ConfigState, comparesVersionAndHash)
{
    CellState state;
    EXPECT_EQ(applyConfig(state, 1, "a").code(), schema::ACCEPTED);
    EXPECT_EQ(applyConfig(state, 5, "b").code(), schema::ACCEPTED);
    const auto again = applyConfig(state, 5, "b");
    EXPECT_EQ(again.code(), schema::ACCEPTED);
    EXPECT_TRUE(again.again());
    const auto conflicting = applyConfig(state, 5, "c");
    EXPECT_EQ(conflicting.code(), schema::CONFLICT);
    EXPECT_EQ(conflicting.hash(), "b");
    EXPECT_EQ(applyConfig(state, 4, "d").code(), schema::STALE);
    EXPECT_EQ(state.config().config().version(), 5U);
}

TEST(ConfigState, resentZoneCommandDoesNotUndoALaterOne)
{
    CellState state;
    applyConfig(state, 1, "a");
    state.apply(LogIndex(2), zoneCommand("z1", true, "first"));
    state.apply(LogIndex(3), zoneCommand("z1", false, "second"));
    const auto resent = state.apply(LogIndex(4), zoneCommand("z1", true, "first"));
    EXPECT_EQ(resent.code(), schema::ACCEPTED);
    EXPECT_TRUE(resent.again());
    EXPECT_FALSE(state.config().isZoneOut(ZoneName("z1")));
    EXPECT_EQ(state.apply(LogIndex(5), zoneCommand("z9", true, "third")).code(), schema::NOT_FOUND);
    EXPECT_EQ(state.apply(LogIndex(6), zoneCommand("z2", true, "first")).code(), schema::CONFLICT);
}

TEST(ClaimTable, keyHasOneOwner)
{
    CellState state;
    state.apply(LogIndex(1), openSessionCommand("e1", 11));
    EXPECT_EQ(
        state.apply(LogIndex(2), claimCommand("key", "body", "e1", 11)).code(), schema::ACCEPTED);
    const auto second = state.apply(LogIndex(3), claimCommand("key", "body", "e2", 22));
    EXPECT_EQ(second.code(), schema::CLAIMED);
    EXPECT_EQ(second.owner(), "e1");
    EXPECT_EQ(
        state.apply(LogIndex(4), claimCommand("key", "other", "e2", 22)).code(), schema::CONFLICT);
    // A new incarnation of the owner does not know the outcome of the request.
    state.apply(LogIndex(5), openSessionCommand("e1", 12));
    EXPECT_EQ(state.apply(LogIndex(6), claimCommand("key", "body", "e1", 12)).code(),
        schema::OUTCOME_UNKNOWN);
}

TEST(ClaimTable, nonceDistinguishesARepeatedProposalFromAnotherRequest)
{
    CellState state;
    state.apply(LogIndex(1), openSessionCommand("e1", 11));
    schema::Command claim = claimCommand("key", "body", "e1", 11);
    claim.mutable_claim_open()->set_nonce(77);
    EXPECT_EQ(state.apply(LogIndex(2), claim).code(), schema::ACCEPTED);
    EXPECT_EQ(state.apply(LogIndex(3), claim).code(), schema::ACCEPTED);
    // The same entry claims the key for another request. The first one may have run.
    claim.mutable_claim_open()->set_nonce(78);
    EXPECT_EQ(state.apply(LogIndex(4), claim).code(), schema::CLAIMED);
}

// Guards against a request that runs twice because a late ClaimEnd released the key meanwhile.
TEST(ClaimTable, repeatedEndDoesNotEndALaterClaimOfTheKey)
{
    CellState state;
    state.apply(LogIndex(1), openSessionCommand("e1", 11));
    schema::Command open = claimCommand("key", "body", "e1", 11);
    schema::Command end = claimEndCommand("key", "e1");
    open.mutable_claim_open()->set_nonce(77);
    end.mutable_claim_end()->set_nonce(77);
    ASSERT_EQ(state.apply(LogIndex(2), open).code(), schema::ACCEPTED);
    state.apply(LogIndex(3), end);
    open.mutable_claim_open()->set_nonce(78);
    ASSERT_EQ(state.apply(LogIndex(4), open).code(), schema::ACCEPTED);
    state.apply(LogIndex(5), end);
    const schema::Command elsewhere = claimCommand("key", "body", "e2", 22);
    EXPECT_EQ(state.apply(LogIndex(6), elsewhere).code(), schema::CLAIMED);
    end.mutable_claim_end()->set_nonce(78);
    state.apply(LogIndex(7), end);
    EXPECT_EQ(state.apply(LogIndex(8), elsewhere).code(), schema::ACCEPTED);
}

TEST(ClaimTable, endWithoutANonceEndsAnyClaimOfItsEntry)
{
    CellState state;
    state.apply(LogIndex(1), openSessionCommand("e1", 11));
    schema::Command open = claimCommand("key", "body", "e1", 11);
    open.mutable_claim_open()->set_nonce(77);
    ASSERT_EQ(state.apply(LogIndex(2), open).code(), schema::ACCEPTED);
    state.apply(LogIndex(3), claimEndCommand("key", "e1"));
    EXPECT_EQ(
        state.apply(LogIndex(4), claimCommand("key", "body", "e2", 22)).code(), schema::ACCEPTED);
}

TEST(ClaimTable, jobWithAKeyIsSubmittedOnce)
{
    CellState state;
    const auto first = state.apply(LogIndex(1), submitCommand("ghat", 3, "key"));
    const auto second = state.apply(LogIndex(2), submitCommand("ghat", 3, "key"));
    EXPECT_EQ(first.job(), second.job());
    EXPECT_EQ(state.jobs().jobs().size(), 1U);
    EXPECT_EQ(state.apply(LogIndex(3), submitCommand("ghat", 4, "key")).code(), schema::CONFLICT);
}

TEST(JobTable, failsTheJobWhenATaskExceedsItsRetryLimit)
{
    CellState state;
    state.apply(LogIndex(1), submitCommand("ghat", 2, "key"));
    for (int attempt = 0; attempt < 3; attempt++) {
        state.apply(LogIndex(2), startCommand(1, 0, 1));
        state.apply(LogIndex(3), endCommand(1, 0, schema::TASK_FAILED));
    }
    const Job &job = *state.jobs().find(JobId(1));
    EXPECT_EQ(job.phase, schema::JobState::FAILED);
    EXPECT_EQ(job.tasks[0].epoch, 3U);
    EXPECT_EQ(state.jobs().waitingTasks(), 0U);
}

TEST(JobTable, lostTaskIsRequeuedWithoutCountingATry)
{
    CellState state;
    state.apply(LogIndex(1), submitCommand("ghat", 1, "key"));
    state.apply(LogIndex(2), startCommand(1, 0, 1));
    state.apply(LogIndex(3), endCommand(1, 0, schema::TASK_LOST));
    const Task &task = state.jobs().find(JobId(1))->tasks[0];
    EXPECT_EQ(task.phase, schema::TaskState::WAITING);
    EXPECT_EQ(task.tries, 0U);
    EXPECT_EQ(state.jobs().reservedOn(WorkerNumber(1)), Resources{});
}

TEST(JobTable, snapshotKeepsTheIncarnationOfAWorker)
{
    CellState state;
    schema::Command command;
    schema::WorkerRegistration *worker = command.mutable_tasks()->add_workers();
    worker->set_number(1);
    worker->set_worker("w1");
    worker->set_incarnation(5);
    worker = command.mutable_tasks()->add_workers();
    worker->set_number(2);
    worker->set_worker("w2");
    state.apply(LogIndex(1), command);
    JobTable restored;
    restored.restore(state.jobs().save());
    EXPECT_EQ(restored.incarnationOf(WorkerNumber(1)), Incarnation(5));
    EXPECT_EQ(restored.incarnationOf(WorkerNumber(2)), std::nullopt);
}

RC_GTEST_PROP(CellStateProperty, restoredReplicaStaysEqual, ())
{
    CellState state;
    CellState other;
    const int count = *rc::gen::inRange(1, 120);
    for (int i = 1; i <= count; i++) {
        const schema::Command command = randomCommand();
        state.apply(LogIndex(static_cast<uint64_t>(i)), command);
        other.apply(LogIndex(static_cast<uint64_t>(i)), command);
        // A replica restored from a snapshot in between must stay equal to one that was not.
        if (i % 17 == 0) {
            CellState restored;
            RC_ASSERT(restored.restore(other.save()));
            other = std::move(restored);
        }
        RC_ASSERT(other.save() == state.save());
    }
}

RC_GTEST_PROP(CellStateProperty, indexesMatchARecount, ())
{
    CellState state;
    const int count = *rc::gen::inRange(1, 200);
    for (int i = 1; i <= count; i++)
        state.apply(LogIndex(static_cast<uint64_t>(i)), randomCommand());
    std::map<WorkerNumber, Resources> reserved;
    std::map<TeamName, Resources> usage;
    size_t waiting = 0;
    for (const auto &[id, job] : state.jobs().jobs()) {
        for (const Task &task : job.tasks) {
            waiting += task.phase == schema::TaskState::WAITING ? 1 : 0;
            if (task.phase != schema::TaskState::RUNNING)
                continue;
            reserved[task.worker] += job.reservation(task);
            usage[job.team] += job.reservation(task);
        }
    }
    RC_ASSERT(state.jobs().waitingTasks() == waiting);
    for (const auto &[worker, sum] : reserved)
        RC_ASSERT(state.jobs().reservedOn(worker) == sum);
    for (const auto &[team, sum] : usage)
        RC_ASSERT(state.jobs().usageOf(team) == sum);
}

RC_GTEST_PROP(CellStateProperty, survivesRandomSnapshots, (const std::string &bytes))
{
    google::protobuf::SetLogHandler(nullptr);
    CellState state;
    state.restore(bytes);
    schema::Command command;
    if (command.ParseFromString(bytes))
        state.apply(LogIndex(1), command);
    RC_SUCCEED("no crash");
}

RC_GTEST_PROP(CellStateProperty, survivesMutatedSnapshots, ())
{
    google::protobuf::SetLogHandler(nullptr);
    CellState state;
    for (int i = 1; i <= 60; i++)
        state.apply(LogIndex(static_cast<uint64_t>(i)), randomCommand());
    std::string bytes = state.save();
    for (int i = 0; i < 8; i++)
        bytes[*rc::gen::inRange<size_t>(0, bytes.size())] = *rc::gen::arbitrary<char>();
    CellState restored;
    if (restored.restore(bytes))
        restored.apply(LogIndex(100), randomCommand());
    RC_SUCCEED("no crash");
}

RC_GTEST_PROP(ConfigDeltaProperty, deltaTurnsTheBaseIntoTheTarget, ())
{
    const auto randomConfig = [] {
        schema::CellConfig config;
        config.set_version(*rc::gen::inRange<uint64_t>(1, 100));
        for (int name = 0; name < 12; name++) {
            if (*rc::gen::arbitrary<bool>())
                continue;
            schema::TeamConfig *team = config.add_teams();
            team->set_name("team" + std::to_string(name));
            team->set_share(*rc::gen::inRange<uint32_t>(0, 3));
        }
        return config;
    };
    const schema::CellConfig base = randomConfig();
    const schema::CellConfig target = randomConfig();
    schema::View view;
    fillConfigDelta(base, target, &view);
    const auto merged = applyConfigDelta(base, view);
    RC_ASSERT(merged.has_value());
    std::map<std::string, uint32_t> expected;
    std::map<std::string, uint32_t> got;
    for (const auto &team : target.teams())
        expected[team.name()] = team.share();
    for (const auto &team : merged->teams())
        got[team.name()] = team.share();
    RC_ASSERT(got == expected);
    RC_ASSERT(merged->version() == target.version());
}

namespace {

schema::Command configureRoute(uint64_t version, const std::string &name, const std::string &prefix)
{
    schema::Command command;
    command.mutable_put_work_config()->set_version(version);
    schema::WorkConfig *config = command.mutable_put_work_config()->mutable_config();
    if (name.empty())
        return command;
    schema::QueueConfig *queue = config->add_queues();
    queue->set_name(name);
    queue->set_host("desk.example");
    queue->set_prefix(prefix);
    return command;
}

schema::Command submitWork(const std::string &id)
{
    schema::Command command;
    command.mutable_submit_work()->set_id(id);
    command.mutable_submit_work()->mutable_spec()->add_steps()->set_count(1);
    return command;
}

const schema::QueueConfig *queueOf(const CellState &state, const std::string &work)
{
    return state.workConfig().findQueue(state.works().find(work)->queue);
}

} // namespace

// Records of earlier versions name the route of a job, and not its queue.
TEST(CellState, aJobFromAnOldLogFollowsItsPath)
{
    CellState state;
    state.apply(LogIndex(1), configureRoute(1, "plans", "/plan/"));
    schema::Command submit = submitWork("old");
    submit.mutable_submit_work()->set_queue("plans");
    state.apply(LogIndex(2), submit);
    state.apply(LogIndex(3), configureRoute(2, "depot", "/plan/"));
    ASSERT_NE(queueOf(state, "old"), nullptr);
    EXPECT_EQ(queueOf(state, "old")->name(), "depot");
}

TEST(CellState, aJobFromAnOldLogWhoseRouteIsGoneWaitsForItsName)
{
    CellState state;
    schema::Command submit = submitWork("old");
    submit.mutable_submit_work()->set_queue("plans");
    state.apply(LogIndex(1), submit);
    EXPECT_EQ(queueOf(state, "old"), nullptr);
    state.apply(LogIndex(2), configureRoute(1, "plans", "/plan/"));
    EXPECT_NE(queueOf(state, "old"), nullptr);
}

TEST(CellState, aJobFromAnOldSnapshotFollowsItsPath)
{
    CellState state;
    state.apply(LogIndex(1), configureRoute(1, "plans", "/plan/"));
    schema::Command submit = submitWork("old");
    submit.mutable_submit_work()->set_queue("plans");
    state.apply(LogIndex(2), submit);
    schema::CellSnapshot snapshot;
    ASSERT_TRUE(snapshot.ParseFromString(state.save()));
    schema::WorkState *work = snapshot.mutable_works()->mutable_works(0);
    work->clear_queue_id();
    work->set_queue("plans");
    CellState restored;
    ASSERT_TRUE(restored.restore(snapshot.SerializeAsString()));
    restored.apply(LogIndex(3), configureRoute(2, "depot", "/plan/"));
    ASSERT_NE(queueOf(restored, "old"), nullptr);
    EXPECT_EQ(queueOf(restored, "old")->name(), "depot");
    EXPECT_EQ(restored.works().unstartedCount(queueIdOf(*queueOf(restored, "old"))), 1U);
}

TEST(CellState, aRemovedQueueIsKeptWhileItHasJobs)
{
    CellState state;
    state.apply(LogIndex(1), configureRoute(1, "plans", "/plan/"));
    schema::Command submit = submitWork("job");
    submit.mutable_submit_work()->set_queue_id("desk.example/plan/");
    EXPECT_EQ(state.apply(LogIndex(2), submit).code(), schema::ACCEPTED);
    state.apply(LogIndex(3), configureRoute(2, "", ""));
    CellState restored;
    ASSERT_TRUE(restored.restore(state.save()));
    ASSERT_NE(queueOf(restored, "job"), nullptr);
    EXPECT_EQ(queueOf(restored, "job")->name(), "plans");
    EXPECT_EQ(restored.workConfig().route("desk.example", "/plan/x"), nullptr);
    EXPECT_EQ(restored.save(), state.save());
    schema::Command cancel;
    cancel.mutable_cancel_work()->set_id("job");
    restored.apply(LogIndex(4), cancel);
    restored.apply(LogIndex(5), configureRoute(3, "", ""));
    EXPECT_TRUE(restored.workConfig().retiredQueues().empty());
}

// Guards against a job that is accepted and never runs: its submission is logged after the record
// that removes its queue.
TEST(CellState, aJobWhoseQueueIsGoneIsNotAccepted)
{
    CellState state;
    state.apply(LogIndex(1), configureRoute(1, "plans", "/plan/"));
    schema::Command early = submitWork("early");
    early.mutable_submit_work()->set_queue_id("desk.example/plan/");
    EXPECT_EQ(state.apply(LogIndex(2), early).code(), schema::ACCEPTED);
    state.apply(LogIndex(3), configureRoute(2, "", ""));
    schema::Command late = submitWork("late");
    late.mutable_submit_work()->set_queue_id("desk.example/plan/");
    EXPECT_EQ(state.apply(LogIndex(4), late).code(), schema::NOT_FOUND);
    EXPECT_EQ(state.works().find("late"), nullptr);
    EXPECT_EQ(state.apply(LogIndex(5), early).code(), schema::ACCEPTED) << "sent again";
}

} // namespace basilgap::state
