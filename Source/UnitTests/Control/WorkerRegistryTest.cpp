#include <gtest/gtest.h>

#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Control/WorkerRegistry.h"

namespace basilgap::control {

namespace {

constexpr Millis LeaderChange{ 100'000 };
constexpr uint64_t ManyPolls = 8;

schema::WorkerReport reportOf(uint64_t incarnation, uint64_t sequence)
{
    schema::WorkerReport report;
    report.set_id("w1");
    report.set_incarnation(incarnation);
    report.set_sequence(sequence);
    return report;
}

ReportId idOf(const schema::WorkerReport &report)
{
    return { .worker = WorkerId(report.id()),
        .incarnation = Incarnation(report.incarnation()),
        .sequence = report.sequence() };
}

schema::Command submitTask()
{
    schema::Command command;
    schema::SubmitJob *submit = command.mutable_submit_job();
    submit->set_team("ghat");
    submit->mutable_spec()->set_name("job");
    submit->mutable_spec()->set_tasks(1);
    return command;
}

// An earlier leader has started a task on incarnation 1 of a worker; then another leader takes over
// with a registry of its own.
class WorkerRegistryTest : public testing::Test
{
protected:
    WorkerRegistryTest()
    {
        WorkerRegistry earlierLeader(state_, Millis(0));
        EXPECT_TRUE(earlierLeader.recordReport(reportOf(1, 1), nullptr, Millis(0)).has_value());
        apply(submitTask());
        schema::Command start;
        for (const auto &registration : earlierLeader.newRegistrations())
            *start.mutable_tasks()->add_workers() = registration;
        start.mutable_tasks()->mutable_starts()->add_job(1);
        start.mutable_tasks()->mutable_starts()->add_task(0);
        start.mutable_tasks()->mutable_starts()->add_worker(1);
        apply(start);
        EXPECT_EQ(state_.jobs().runningOn(state_.jobs().numberOf(WorkerId("w1"))).size(), 1U);
    }

    void apply(const schema::Command &command) { state_.apply(LogIndex(++index_), command); }

    // Logs what a leader logs about the workers of its registry.
    void logRegistrations()
    {
        schema::Command command;
        for (const auto &registration : registry_.newRegistrations())
            *command.mutable_tasks()->add_workers() = registration;
        apply(command);
    }

    int lostTasks(Millis now) { return registry_.collectEnds({}, &health_, now).end_size(); }

    // Incarnation 1 polls without the task until that counts as lost. Returns the last sequence.
    uint64_t reportUntilTheTaskIsLost(Millis now)
    {
        uint64_t poll = 1;
        while (lostTasks(now) == 0 && poll < ManyPolls)
            EXPECT_TRUE(registry_.recordReport(reportOf(1, ++poll), nullptr, now).has_value());
        return poll;
    }

    state::CellState state_;
    uint64_t index_ = 0;
    scheduling::WorkerHealth health_;
    WorkerRegistry registry_{ state_, LeaderChange };
};

} // namespace

TEST(WorkerRegistry, ordersNameTheIncarnationThatReported)
{
    const state::CellState state;
    WorkerRegistry registry(state, Millis(1000));
    const auto worker = registry.recordReport(reportOf(2, 1), nullptr, Millis(1000));
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    const schema::WorkerOrders orders = registry.ordersFor(**worker, {});
    EXPECT_TRUE(orders.has_incarnation());
    EXPECT_EQ(orders.incarnation(), 2U);
}

// Guards against two runs of a task at the same time after a change of leader.
TEST_F(WorkerRegistryTest, laterIncarnationGetsNoTaskOfTheEarlierOneBeforeItsLeaseIsOver)
{
    for (uint64_t poll = 1; poll <= ManyPolls; poll++) {
        const Millis now = LeaderChange + Millis(100 * poll);
        const auto worker = registry_.recordReport(reportOf(2, poll), nullptr, now);
        if (worker) {
            EXPECT_EQ(registry_.ordersFor(**worker, {}).start_size(), 0) << "poll " << poll;
        }
        EXPECT_EQ(lostTasks(now), 0) << "poll " << poll;
        logRegistrations();
    }
    const Millis leaseEnd = LeaderChange + WorkerLease + WorkerLeaseMargin;
    EXPECT_EQ(lostTasks(leaseEnd - Millis(1)), 0);
    EXPECT_EQ(lostTasks(leaseEnd), 1);
    EXPECT_TRUE(registry_.recordReport(reportOf(2, ManyPolls + 1), nullptr, leaseEnd).has_value());
}

// The log has to name an incarnation before it runs tasks, or the next leader would not know of it.
TEST_F(WorkerRegistryTest, laterIncarnationGetsStartsOnceItIsRegistered)
{
    const Millis leaseEnd = LeaderChange + WorkerLease + WorkerLeaseMargin;
    const auto worker = registry_.recordReport(reportOf(2, 1), nullptr, leaseEnd);
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    registry_.extendLease(idOf(reportOf(2, 1)), leaseEnd);
    EXPECT_EQ(registry_.ordersFor(**worker, {}).start_size(), 0);
    EXPECT_EQ(registry_.usablePool(health_, leaseEnd).size(), 0U);
    logRegistrations();
    EXPECT_EQ(registry_.newRegistrations().size(), 0U);
    EXPECT_EQ(registry_.ordersFor(**worker, {}).start_size(), 1);
    EXPECT_EQ(registry_.usablePool(health_, leaseEnd).size(), 1U);

    WorkerRegistry nextLeader(state_, leaseEnd);
    EXPECT_FALSE(nextLeader.recordReport(reportOf(1, 9), nullptr, leaseEnd).has_value());
    EXPECT_TRUE(nextLeader.recordReport(reportOf(2, 2), nullptr, leaseEnd).has_value());
}

TEST_F(WorkerRegistryTest, incarnationThatRunsTheTaskGoesOnAfterAChangeOfLeader)
{
    schema::WorkerReport report = reportOf(1, 2);
    report.add_tasks()->set_job(1);
    report.mutable_tasks(0)->set_epoch(1);
    const auto worker = registry_.recordReport(report, nullptr, LeaderChange + Millis(100));
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    const schema::WorkerOrders orders = registry_.ordersFor(**worker, {});
    EXPECT_EQ(orders.start_size() + orders.stop_size(), 0);
    EXPECT_EQ(lostTasks(LeaderChange + Millis(100)), 0);
}

// Guards against a worker that gets no lease after a change of leader, because a report of its
// earlier incarnation came late.
TEST_F(WorkerRegistryTest, lateReportOfTheEarlierIncarnationDoesNotKeepTheRegisteredOneOut)
{
    const Millis leaseEnd = LeaderChange + WorkerLease + WorkerLeaseMargin;
    ASSERT_TRUE(registry_.recordReport(reportOf(2, 1), nullptr, leaseEnd).has_value());
    logRegistrations();
    WorkerRegistry nextLeader(state_, leaseEnd);
    const Millis late = leaseEnd + WorkerLease + WorkerLeaseMargin;
    EXPECT_FALSE(nextLeader.recordReport(reportOf(1, 9), nullptr, late).has_value());
    nextLeader.extendLease(idOf(reportOf(1, 9)), late);
    EXPECT_TRUE(nextLeader.newRegistrations().empty());
    EXPECT_TRUE(nextLeader.recordReport(reportOf(2, 2), nullptr, late).has_value());
}

// Guards against two runs of a task: its run counts as lost, but a start of that run goes out
// before the log says so.
TEST_F(WorkerRegistryTest, runThatItsWorkerDidNotReportIsNotStartedOnceItCountsAsLost)
{
    const Millis now = LeaderChange + Millis(100);
    const uint64_t missing = reportUntilTheTaskIsLost(now);
    EXPECT_EQ(registry_.ordersFor(*registry_.find(WorkerId("w1")), {}).start_size(), 0);
    ASSERT_EQ(lostTasks(now), 1);
    const auto worker = registry_.recordReport(reportOf(1, missing + 1), nullptr, now);
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    EXPECT_EQ(registry_.ordersFor(**worker, {}).start_size(), 0);
}

TEST_F(WorkerRegistryTest, runWhoseLeaseRanOutIsNotStartedWhileThatIsBeingRecorded)
{
    const Millis leaseEnd = LeaderChange + WorkerLease + WorkerLeaseMargin;
    ASSERT_TRUE(registry_.recordReport(reportOf(1, 2), nullptr, LeaderChange).has_value());
    ASSERT_EQ(lostTasks(leaseEnd), 1);
    const auto worker = registry_.recordReport(reportOf(1, 3), nullptr, leaseEnd);
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    EXPECT_EQ(registry_.ordersFor(**worker, {}).start_size(), 0);
}

// Guards against two runs of a task: polls without its earlier run counted against the next one on
// the same worker, which was given up at once although its start was under way.
TEST_F(WorkerRegistryTest, pollsWithoutTheEarlierRunDoNotCountAgainstTheNextOneOnTheSameWorker)
{
    const Millis now = LeaderChange + Millis(100);
    const uint64_t missing = reportUntilTheTaskIsLost(now);
    schema::Command restart;
    *restart.mutable_tasks()->mutable_ends() = registry_.collectEnds({}, &health_, now);
    restart.mutable_tasks()->mutable_starts()->add_job(1);
    restart.mutable_tasks()->mutable_starts()->add_task(0);
    restart.mutable_tasks()->mutable_starts()->add_worker(1);
    apply(restart);
    EXPECT_EQ(lostTasks(now), 0);
    const auto worker = registry_.recordReport(reportOf(1, missing + 1), nullptr, now);
    ASSERT_TRUE(worker.has_value()) << worker.error().text();
    EXPECT_EQ(registry_.ordersFor(**worker, {}).start_size(), 1);
    EXPECT_EQ(lostTasks(now), 0);
}

// Guards against two runs of a task: a worker counts its lease from its last poll, so the leader
// must not take that for confirmed when it has confirmed an earlier one only.
TEST_F(WorkerRegistryTest, confirmationOfAPollExtendsNoLeaseAfterALaterOne)
{
    const Millis first = LeaderChange + Millis(100);
    const Millis second = first + Millis(3000);
    ASSERT_TRUE(registry_.recordReport(reportOf(1, 2), nullptr, first).has_value());
    ASSERT_TRUE(registry_.recordReport(reportOf(1, 3), nullptr, second).has_value());
    EXPECT_EQ(registry_.extendLease(idOf(reportOf(1, 2)), first), nullptr);
    const Worker *worker = registry_.extendLease(idOf(reportOf(1, 3)), second);
    ASSERT_NE(worker, nullptr);
    EXPECT_EQ(worker->leaseEnd, second + WorkerLease + WorkerLeaseMargin);
}

TEST_F(WorkerRegistryTest, confirmationOfAPollExtendsNoLeaseOfALaterIncarnation)
{
    const Millis leaseEnd = LeaderChange + WorkerLease + WorkerLeaseMargin;
    ASSERT_TRUE(registry_.recordReport(reportOf(1, 1), nullptr, leaseEnd).has_value());
    ASSERT_TRUE(registry_.recordReport(reportOf(2, 1), nullptr, leaseEnd).has_value());
    EXPECT_EQ(registry_.extendLease(idOf(reportOf(1, 1)), leaseEnd), nullptr);
    EXPECT_EQ(registry_.find(WorkerId("w1"))->leaseEnd, leaseEnd);
    EXPECT_NE(registry_.extendLease(idOf(reportOf(2, 1)), leaseEnd), nullptr);
}

// Guards against a task that counts as lost before the answer that orders its start: polls were
// counted while the record of the worker's registration was under way.
TEST_F(WorkerRegistryTest, aTaskIsNotLostBeforeItsStartWasOrderedOften)
{
    Millis now = LeaderChange + WorkerLease + WorkerLeaseMargin;
    int startOrders = 0;
    for (uint64_t poll = 1; poll <= ManyPolls; poll++) {
        now += Millis(100);
        if (poll == ManyPolls / 2 + 1)
            logRegistrations();
        const auto worker = registry_.recordReport(reportOf(2, poll), nullptr, now);
        ASSERT_TRUE(worker.has_value()) << worker.error().text();
        registry_.extendLease(idOf(reportOf(2, poll)), now);
        EXPECT_EQ(lostTasks(now), poll == ManyPolls ? 1 : 0) << "poll " << poll;
        startOrders += registry_.ordersFor(**worker, {}).start_size();
    }
    EXPECT_EQ(startOrders, ManyPolls / 2 - 1) << "none once it counts as lost";
}

} // namespace basilgap::control
