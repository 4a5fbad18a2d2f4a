#include <algorithm>
#include <deque>
#include <map>
#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Scheduling/AccountShares.h"
#include "Basilgap/Scheduling/AdmissionForecast.h"

namespace basilgap::scheduling {

namespace {

using state::AccountName;
using state::QueueId;
using state::WorkSerial;

const QueueId Queue("queue");
constexpr Millis Start{ 1'000'000 };
constexpr Millis Round{ 50 };
constexpr uint64_t TaskMs = 800;
constexpr uint64_t TaskMillicores = 1000;

// A full cell without network. As in the planner, jobs that can meet their objective go first, then
// late ones, then those that are too late; older ones first among these. The account that holds
// least for its weight goes first.
class LoadedCell
{
public:
    LoadedCell(size_t accounts, int64_t cores, double estimateFactor = 1)
        : cores_(cores)
        , estimateMs_(static_cast<uint64_t>(static_cast<double>(TaskMs) * estimateFactor))
    {
        queue_.set_name(Queue.value());
        queue_.set_slack_factor(1.5);
        queue_.set_target_latency_ms(300);
        for (size_t i = 0; i < accounts; i++)
            accounts_.emplace_back().name = AccountName("account" + std::to_string(i));
    }

    struct Account
    {
        AccountName name;
        double weight = 1;
        // Jobs of ten tasks that are submitted in a second.
        double jobsPerSecond = 0;
        double due = 0;
        uint32_t refused = 0;
        uint32_t accepted = 0;
        uint32_t done = 0;
        // Done within three times the objective, by the true durations.
        uint32_t useful = 0;
        std::deque<WorkSerial> waiting;
        int64_t running = 0;
    };

    Account &account(size_t i) { return accounts_[i]; }

    void setRates(double jobsPerSecond)
    {
        for (Account &account : accounts_)
            account.jobsPerSecond = jobsPerSecond;
    }

    // Jobs per second that one account can run in its equal share of the cell.
    double fairRate() const
    {
        return static_cast<double>(cores_) / static_cast<double>(accounts_.size())
            / (static_cast<double>(TaskMs) / 1000 * TasksPerJob);
    }

    void clearCounts()
    {
        for (Account &account : accounts_)
            account.refused = account.accepted = account.done = account.useful = 0;
    }

    void run(Millis time)
    {
        for (const Millis end = now_ + time; now_ < end;) {
            now_ += Round;
            endRuns();
            startRuns();
            updateShares();
            submitJobs();
        }
    }

    // Leads on without the figures of the predecessor.
    void changeLeader()
    {
        forecast_ = AdmissionForecast(now_);
        shares_ = AccountShares();
        for (const WorkSerial serial : table_.active())
            forecast_.refresh(*table_.find(serial), &queue_, durations_, now_);
        updateShares();
    }

    // Of all other accounts than the given one.
    uint32_t refusedOthers(size_t than) const
    {
        uint32_t refused = 0;
        for (size_t i = 0; i < accounts_.size(); i++)
            refused += i == than ? 0 : accounts_[i].refused;
        return refused;
    }

    double backlogOf(size_t i) const { return forecast_.backlogCoreMs(Queue, accounts_[i].name); }

private:
    static constexpr uint32_t TasksPerJob = 10;

    struct Run
    {
        WorkSerial work;
        uint32_t index = 0;
        Millis endsAt;
    };

    uint64_t stampMs() const { return static_cast<uint64_t>(now_.count()); }

    void refresh(WorkSerial serial)
    {
        forecast_.refresh(*table_.find(serial), &queue_, durations_, now_);
    }

    void apply(const schema::RunBatch &batch)
    {
        table_.apply(batch, stampMs());
        std::set<WorkSerial> changed;
        for (const auto &end : batch.ends())
            changed.insert(WorkSerial(end.work()));
        for (const auto &start : batch.starts())
            changed.insert(WorkSerial(start.work()));
        for (const WorkSerial serial : changed)
            refresh(serial);
    }

    void endRuns()
    {
        schema::RunBatch batch;
        std::set<WorkSerial> works;
        while (!runs_.empty() && runs_.front().endsAt <= now_) {
            schema::RunEnd *end = batch.add_ends();
            end->set_work(runs_.front().work.value());
            end->set_index(runs_.front().index);
            end->set_run(1);
            works.insert(runs_.front().work);
            owner_[runs_.front().work]->running--;
            runs_.pop_front();
        }
        apply(batch);
        for (const WorkSerial serial : works) {
            const state::Work &work = *table_.find(serial);
            if (work.isActive())
                continue;
            const Millis limit = Millis(static_cast<int64_t>(TaskMs) * 3 / 2 + 300) * 3;
            owner_[serial]->done++;
            owner_[serial]->useful +=
                now_ - Millis(static_cast<int64_t>(work.submittedMs)) <= limit;
        }
        table_.expire(stampMs(), 1000);
    }

    std::deque<WorkSerial>::iterator mostUrgent(std::deque<WorkSerial> *waiting) const
    {
        const Millis objective(static_cast<int64_t>(estimateMs_) * 3 / 2 + 300);
        for (const Millis maxAge :
            { objective - Millis(static_cast<int64_t>(estimateMs_)), objective * 3 }) {
            const auto found =
                std::partition_point(waiting->begin(), waiting->end(), [&](WorkSerial serial) {
                    const Millis submitted(static_cast<int64_t>(table_.find(serial)->submittedMs));
                    return now_ - submitted > maxAge;
                });
            if (found != waiting->end())
                return found;
        }
        return waiting->begin();
    }

    void startRuns()
    {
        schema::RunBatch batch;
        auto free = cores_ - static_cast<int64_t>(runs_.size());
        while (free > 0) {
            Account *next = nullptr;
            for (Account &account : accounts_) {
                if (!account.waiting.empty()
                    && (next == nullptr
                        || static_cast<double>(account.running) / account.weight
                            < static_cast<double>(next->running) / next->weight))
                    next = &account;
            }
            if (next == nullptr)
                break;
            const auto chosen = mostUrgent(&next->waiting);
            const WorkSerial serial = *chosen;
            const uint32_t index = startedTasks_[serial]++;
            if (startedTasks_[serial] == TasksPerJob)
                next->waiting.erase(chosen);
            schema::RunStart *start = batch.add_starts();
            start->set_work(serial.value());
            start->set_index(index);
            start->set_run(1);
            start->set_worker(1);
            runs_.push_back({ serial, index, now_ + Millis(TaskMs) });
            next->running++;
            free--;
        }
        apply(batch);
    }

    void updateShares()
    {
        SharesView view;
        view.capacity = { cores_ * 1000, cores_ * 1000, 0 };
        view.now = now_;
        for (const Account &account : accounts_) {
            const auto waiting = forecast_.waitingByAccount().find(account.name);
            view.accounts.push_back({ .account = account.name,
                .weight = account.weight,
                .cap = {},
                .usage = table_.usageOf(account.name),
                .waiting = waiting == forecast_.waitingByAccount().end() ? state::Resources()
                                                                         : waiting->second });
        }
        shares_.update(view);
    }

    void submitJobs()
    {
        for (Account &account : accounts_) {
            account.due += account.jobsPerSecond * static_cast<double>(Round.count()) / 1000;
            for (; account.due >= 1; account.due--)
                submit(&account);
        }
    }

    void submit(Account *account)
    {
        schema::SubmitWork command;
        command.set_id("job" + std::to_string(nextId_++));
        command.set_queue(Queue.value());
        command.set_account(account->name.value());
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(TasksPerJob);
        step->set_millicores(TaskMillicores);
        step->set_memory_mb(1);
        step->set_estimate_ms(estimateMs_);
        const AdmissionJob job{
            .id = command.id(),
            .queue = Queue,
            .account = account->name,
            .objective = latencyObjective(command.spec(), queue_, state::AccountName(), nullptr),
            .isExempt = isExemptFromAdmission(command.spec()),
            .entitledCores = shares_.entitlement(account->name) * static_cast<double>(cores_),
            .isDemandBeyondShare = shares_.isDemandBeyondShare(account->name),
        };
        if (forecast_.decide(job, now_)) {
            account->refused++;
            return;
        }
        account->accepted++;
        const WorkSerial serial(table_.submit(command, stampMs()).job());
        account->waiting.push_back(serial);
        owner_[serial] = account;
        refresh(serial);
    }

    int64_t cores_;
    uint64_t estimateMs_;
    schema::QueueConfig queue_;
    std::deque<Account> accounts_;
    state::WorkTable table_;
    DurationEstimator durations_;
    AdmissionForecast forecast_{ Start };
    AccountShares shares_;
    std::deque<Run> runs_;
    std::map<WorkSerial, Account *> owner_;
    std::map<WorkSerial, uint32_t> startedTasks_;
    uint64_t nextId_ = 1;
    Millis now_ = Start;
};

// Jobs of one account in a table, and the forecast of these.
class AdmissionForecastTest : public testing::Test
{
protected:
    void SetUp() override
    {
        queue.set_name(Queue.value());
        queue.set_slack_factor(2);
        queue.set_target_latency_ms(500);
    }

    WorkSerial submit(
        uint32_t tasks,
        const std::function<void(schema::WorkSpec *)> &change = [](schema::WorkSpec *) {})
    {
        schema::SubmitWork command;
        command.set_id("job" + std::to_string(++count));
        command.set_queue(Queue.value());
        command.set_account("team");
        command.set_max_attempts(2);
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(tasks);
        step->set_millicores(2000);
        step->set_memory_mb(10);
        step->set_estimate_ms(1000);
        change(command.mutable_spec());
        const WorkSerial serial(table.submit(command, stampMs()).job());
        refresh(serial);
        return serial;
    }

    void refresh(WorkSerial serial)
    {
        forecast.refresh(*table.find(serial), &queue, durations, now);
    }

    void cancel(WorkSerial serial)
    {
        schema::CancelWork command;
        command.set_id(table.find(serial)->id);
        table.cancel(command, stampMs());
        refresh(serial);
    }

    uint64_t stampMs() const { return static_cast<uint64_t>(now.count()); }

    AdmissionJob job() const
    {
        return { .id = "new",
            .queue = Queue,
            .account = team,
            .objective = Millis(2500),
            .isExempt = false,
            .entitledCores = 1,
            .isDemandBeyondShare = true };
    }

    const AccountName team{ "team" };
    uint64_t count = 0;
    Millis now = Start;
    schema::QueueConfig queue;
    state::WorkTable table;
    DurationEstimator durations;
    AdmissionForecast forecast{ Start };
};

} // namespace

// Guards against an objective that differs from the one by which jobs are late.
TEST(AdmissionObjective, followsTheLongestChainOfSteps)
{
    schema::QueueConfig queue;
    queue.set_slack_factor(1.5);
    queue.set_target_latency_ms(300);
    schema::WorkSpec spec;
    for (const uint64_t ms : { 1000, 3000, 500 })
        spec.add_steps()->set_estimate_ms(ms);
    EXPECT_EQ(latencyObjective(spec, queue, state::AccountName(), nullptr), Millis(4800));
    spec.mutable_steps(2)->add_after(0);
    spec.mutable_steps(2)->add_after(1);
    EXPECT_EQ(latencyObjective(spec, queue, state::AccountName(), nullptr), Millis(5550));
    EXPECT_EQ(latencyObjective({}, queue, state::AccountName(), nullptr), Millis(300));
}

// Guards against refusals in a cell that serves its load, or that is only just full.
TEST(AdmissionLoad, nothingIsRefusedInACellThatIsNotOverloaded)
{
    LoadedCell cell(20, 400);
    cell.setRates(cell.fairRate() * 0.95);
    cell.run(Millis(30000));
    EXPECT_EQ(cell.refusedOthers(SIZE_MAX), 0U);
    // One account uses what the others leave.
    cell.setRates(cell.fairRate() * 0.5);
    cell.account(3).jobsPerSecond = cell.fairRate() * 7;
    cell.run(Millis(30000));
    EXPECT_EQ(cell.refusedOthers(SIZE_MAX), 0U);
}

// Guards against refusing the jobs of accounts within their shares because of one that floods the
// cell, and against accepting jobs of that one whose results come too late.
TEST(AdmissionLoad, onlyTheAccountThatFloodsAFullCellIsRefused)
{
    LoadedCell cell(20, 400);
    cell.setRates(cell.fairRate() * 0.9);
    cell.run(Millis(10000));
    cell.account(3).jobsPerSecond = cell.fairRate() * 7;
    cell.run(Millis(15000));
    EXPECT_EQ(cell.refusedOthers(3), 0U);
    EXPECT_GT(cell.account(3).refused, 0U);
    // In the steady state its share is used in full, for jobs that are still of use.
    cell.clearCounts();
    cell.run(Millis(20000));
    EXPECT_EQ(cell.refusedOthers(3), 0U);
    EXPECT_GE(cell.account(3).done, cell.fairRate() * 20 * 0.95);
    EXPECT_GE(cell.account(3).useful, cell.account(3).done * 0.95);
    // Once the flood has ended, its jobs are accepted again.
    cell.account(3).jobsPerSecond = cell.fairRate() * 0.5;
    cell.run(Millis(10000));
    cell.clearCounts();
    cell.run(Millis(10000));
    EXPECT_EQ(cell.refusedOthers(SIZE_MAX), 0U);
}

// Guards against refusing an account of large weight that floods the cell less than its weight
// allows, and against forgetting that another one floods it too.
TEST(AdmissionLoad, skewedWeightsAreFollowedInABurstOnABurst)
{
    LoadedCell cell(20, 390);
    cell.account(0).weight = 20;
    cell.setRates(cell.fairRate() * 0.3);
    cell.run(Millis(5000));
    cell.account(0).jobsPerSecond = cell.fairRate() * 9;
    cell.run(Millis(10000));
    EXPECT_EQ(cell.refusedOthers(SIZE_MAX), 0U);
    cell.account(7).jobsPerSecond = cell.fairRate() * 12;
    cell.run(Millis(20000));
    EXPECT_EQ(cell.refusedOthers(7), 0U);
    EXPECT_GT(cell.account(7).refused, 0U);
}

// Guards against wrong refusals, and idle capacity, when the estimates are wrong by a factor of
// ten.
TEST(AdmissionLoad, wrongEstimatesRefuseNoAccountWithinItsShare)
{
    for (const double factor : { 0.1, 10.0 }) {
        LoadedCell cell(20, 400, factor);
        cell.setRates(cell.fairRate() * 0.9);
        cell.run(Millis(10000));
        cell.account(3).jobsPerSecond = cell.fairRate() * 7;
        cell.run(Millis(15000));
        cell.clearCounts();
        cell.run(Millis(30000));
        EXPECT_EQ(cell.refusedOthers(3), 0U) << factor;
        EXPECT_GE(cell.account(3).done, cell.fairRate() * 30 * 0.95) << factor;
    }
}

// Guards against refusals by a leader that has not yet seen anything end, and against one that
// loses the backlog of its predecessor.
TEST(AdmissionLoad, aNewLeaderRefusesNothingForTwoSecondsAndKeepsTheBacklog)
{
    LoadedCell cell(20, 400);
    cell.setRates(cell.fairRate() * 0.9);
    cell.account(3).jobsPerSecond = cell.fairRate() * 7;
    cell.run(Millis(20000));
    EXPECT_GT(cell.account(3).refused, 0U);
    const double backlog = cell.backlogOf(3);
    cell.changeLeader();
    EXPECT_DOUBLE_EQ(cell.backlogOf(3), backlog);
    cell.clearCounts();
    cell.run(Millis(1900));
    EXPECT_EQ(cell.account(3).refused, 0U);
    cell.run(Millis(2000));
    EXPECT_GT(cell.account(3).refused, 0U);
    EXPECT_EQ(cell.refusedOthers(3), 0U);
}

// Guards against refusals of jobs that must always be accepted, and when the figures say nothing.
TEST_F(AdmissionForecastTest, refusesOnlyWhereTheWaitIsKnownAndTooLong)
{
    now += Millis(1000);
    submit(10);
    // 20 core-seconds wait and one core is entitled; the limit is 7.5 s.
    EXPECT_FALSE(forecast.decide(job(), Start + Millis(1999))) << "too early";
    now = Start + Millis(2000);
    const auto refusal = forecast.decide(job(), now);
    ASSERT_TRUE(refusal);
    EXPECT_DOUBLE_EQ(refusal->backlogCoreMs, 20000);
    EXPECT_EQ(refusal->wait, Millis(20000));
    EXPECT_EQ(refusal->objective, Millis(2500));
    EXPECT_GE(refusal->retryAfterSeconds, 12U);
    AdmissionJob other = job();
    other.isExempt = true;
    EXPECT_FALSE(forecast.decide(other, now));
    other = job();
    other.isDemandBeyondShare = false;
    EXPECT_FALSE(forecast.decide(other, now));
    other = job();
    other.account = AccountName("other");
    EXPECT_FALSE(forecast.decide(other, now)) << "the backlog is another account's";
    other = job();
    other.queue = QueueId("other");
    EXPECT_FALSE(forecast.decide(other, now)) << "the backlog is another queue's";
    other = job();
    other.entitledCores = 0;
    EXPECT_FALSE(forecast.decide(other, now)) << "no capacity is known";
    other = job();
    other.objective = Millis(0);
    EXPECT_FALSE(forecast.decide(other, now)) << "there is no objective";
    other = job();
    other.objective = Millis(20000) / 3 + Millis(1);
    EXPECT_FALSE(forecast.decide(other, now)) << "it would be in time";
}

// Guards against counting the tasks of services and of occurrences that are not due as backlog.
TEST_F(AdmissionForecastTest, servicesAndScheduledJobsAreNoBacklog)
{
    const auto makeService = [](schema::WorkSpec *spec) {
        spec->mutable_steps(0)->set_service(true);
    };
    const auto schedule = [this](schema::WorkSpec *spec) {
        spec->set_occurrences(1000);
        spec->set_first_due_ms(stampMs());
        spec->set_interval_ms(1000);
    };
    submit(10, makeService);
    submit(10, schedule);
    EXPECT_EQ(forecast.backlogCoreMs(team), 0);
    // The service and the first occurrence could start.
    EXPECT_EQ(forecast.waitingByAccount().at(team).millicores, 40000);
    schema::WorkSpec spec;
    spec.add_steps();
    EXPECT_FALSE(isExemptFromAdmission(spec));
    spec.mutable_steps(0)->set_service(true);
    EXPECT_TRUE(isExemptFromAdmission(spec));
    spec.mutable_steps(0)->set_service(false);
    spec.set_occurrences(1);
    EXPECT_TRUE(isExemptFromAdmission(spec));
}

// Guards against refusing new jobs because of old ones that earn nothing any more, which the
// planner places last.
TEST_F(AdmissionForecastTest, jobsThatAreTooLateAreNotAhead)
{
    const WorkSerial serial = submit(10);
    now += Millis(7499);
    forecast.advance(now);
    EXPECT_EQ(forecast.backlogCoreMs(team), 20000);
    now += Millis(1);
    forecast.advance(now);
    EXPECT_EQ(forecast.backlogCoreMs(team), 0);
    submit(3);
    cancel(serial);
    EXPECT_EQ(forecast.backlogCoreMs(team), 6000);
}

// Guards against callers that all return at the same moment, and against waits out of bounds.
TEST_F(AdmissionForecastTest, retriesAreSpreadAndBounded)
{
    submit(2000);
    now += Millis(2000);
    std::map<uint32_t, int> counts;
    for (int i = 0; i < 2000; i++) {
        AdmissionJob other = job();
        other.id = "id" + std::to_string(i);
        counts[forecast.decide(other, now)->retryAfterSeconds]++;
    }
    EXPECT_GE(counts.begin()->first, 20U);
    EXPECT_LE(counts.rbegin()->first, 30U);
    EXPECT_GE(counts.size(), 10U);
    // The wait is 1 ms too long.
    counts.clear();
    for (int i = 0; i < 2000; i++) {
        AdmissionJob other = job();
        other.id = "id" + std::to_string(i);
        other.entitledCores = 4'000'000 / 7501.0;
        counts[forecast.decide(other, now)->retryAfterSeconds]++;
    }
    EXPECT_EQ(counts.begin()->first, 1U);
    EXPECT_LE(counts.rbegin()->first, 2U);
    EXPECT_GT(counts[2], 200);
    EXPECT_EQ(forecast.decide(job(), now)->retryAfterSeconds,
        forecast.decide(job(), now)->retryAfterSeconds);
}

// Guards against a rate that lags behind after a leader change or never decays.
TEST_F(AdmissionForecastTest, theDrainRateFollowsWhatIsFinished)
{
    const WorkSerial serial = submit(1000);
    for (uint32_t i = 0; i < 400; i++) {
        now += Millis(50);
        schema::RunBatch batch;
        schema::RunStart *start = batch.add_starts();
        start->set_work(serial.value());
        start->set_index(i);
        start->set_run(1);
        start->set_worker(1);
        table.apply(batch, stampMs());
        batch.Clear();
        schema::RunEnd *end = batch.add_ends();
        end->set_work(serial.value());
        end->set_index(i);
        end->set_run(1);
        table.apply(batch, stampMs());
        refresh(serial);
        // 20 tasks of two core-seconds a second.
        if (i >= 20) {
            EXPECT_NEAR(forecast.drainCores(team, now), 40, 5) << i;
        }
    }
    EXPECT_NEAR(forecast.drainCores(Queue, team, now + Millis(5000)), 40 / 2.718, 2);
    EXPECT_LT(forecast.drainCores(team, now + Millis(60000)), 0.1);
    cancel(serial);
    EXPECT_EQ(forecast.size(), 0U);
    forecast.dropIdle(now + Millis(61000));
    EXPECT_EQ(forecast.drainCores(team, now), 0);
}

// Guards against refusals by a rate that decays while no worker is left.
TEST_F(AdmissionForecastTest, nothingIsRefusedWhileNoCapacityIsKnown)
{
    const WorkSerial serial = submit(10);
    schema::RunBatch batch;
    schema::RunStart *start = batch.add_starts();
    start->set_work(serial.value());
    start->set_run(1);
    start->set_worker(1);
    schema::RunBatch ends;
    schema::RunEnd *end = ends.add_ends();
    end->set_work(serial.value());
    end->set_run(1);
    table.apply(batch, stampMs());
    table.apply(ends, stampMs());
    refresh(serial);
    now += Millis(7000);
    AdmissionJob other = job();
    EXPECT_TRUE(forecast.decide(other, now));
    other.entitledCores = 0;
    EXPECT_FALSE(forecast.decide(other, now));
}

// Guards against jobs that end without a record of their own and would count for ever.
TEST_F(AdmissionForecastTest, theAuditVisitsEveryJobInTurn)
{
    for (int i = 0; i < 7; i++)
        submit(1);
    std::multiset<WorkSerial> visited;
    for (int i = 0; i < 3; i++) {
        for (const WorkSerial serial : forecast.nextForAudit(3))
            visited.insert(serial);
    }
    EXPECT_EQ(visited.size(), 7U);
    EXPECT_EQ(std::set<WorkSerial>(visited.begin(), visited.end()).size(), 7U);
    EXPECT_EQ(forecast.nextForAudit(3).front(), WorkSerial(1));
    for (uint64_t serial = 1; serial <= 7; serial++)
        forecast.remove(WorkSerial(serial));
    EXPECT_TRUE(forecast.nextForAudit(3).empty());
    EXPECT_EQ(forecast.backlogCoreMs(team), 0);
}

// Guards against figures that drift from the table: after any records, those kept by increments are
// the same as those of a new leader, which are made from the table alone.
RC_GTEST_PROP(AdmissionForecastDifferential, incrementsGiveTheSameAsANewLeader, ())
{
    schema::QueueConfig queue;
    queue.set_name(Queue.value());
    queue.set_slack_factor(1);
    queue.set_target_latency_ms(2000);
    const DurationEstimator durations;
    state::WorkTable table;
    AdmissionForecast forecast(Start);
    Millis now = Start;
    std::vector<state::StepTaskRef> tasks;
    uint64_t jobs = 0;
    const auto stamp = [&now] { return static_cast<uint64_t>(now.count()); };
    const auto refresh = [&](WorkSerial serial) {
        forecast.refresh(*table.find(serial), &queue, durations, now);
    };
    const auto account = [](uint64_t i) { return AccountName("account" + std::to_string(i % 3)); };
    for (int i = 0; i < 60; i++) {
        now += Millis(*rc::gen::inRange(0, 300));
        const int kind = *rc::gen::inRange(0, 10);
        if (kind < 3 || tasks.empty()) {
            schema::SubmitWork command;
            command.set_id(std::to_string(++jobs));
            command.set_queue(Queue.value());
            command.set_account(account(jobs).value());
            command.set_max_attempts(2);
            for (int step = 0; step < 2; step++) {
                schema::StepSpec *spec = command.mutable_spec()->add_steps();
                spec->set_count(*rc::gen::inRange<uint32_t>(1, 5));
                spec->set_millicores(*rc::gen::inRange<uint64_t>(0, 5000));
                spec->set_estimate_ms(*rc::gen::inRange<uint64_t>(0, 1000));
                spec->set_gang(*rc::gen::inRange(0, 4) == 0);
                spec->set_service(*rc::gen::inRange(0, 8) == 0);
                if (step == 1)
                    spec->add_after(0);
            }
            const WorkSerial serial(table.submit(command, stamp()).job());
            refresh(serial);
            for (uint32_t step = 0; step < 2; step++) {
                for (uint32_t k = 0; k < command.spec().steps(static_cast<int>(step)).count(); k++)
                    tasks.push_back({ { serial, 0, step }, k });
            }
        } else if (kind == 9) {
            schema::CancelWork command;
            command.set_id(std::to_string(*rc::gen::inRange<uint64_t>(1, jobs + 1)));
            const WorkSerial serial(table.cancel(command, stamp()).job());
            refresh(serial);
        } else {
            const state::StepTaskRef &task = tasks[*rc::gen::inRange<size_t>(0, tasks.size())];
            const state::WorkTask &known = *table.find(task);
            schema::RunBatch batch;
            const auto name = [&task](auto *record) {
                record->set_work(task.step.work.value());
                record->set_step(task.step.step);
                record->set_index(task.index);
            };
            if (known.phase == state::RunPhase::Running) {
                schema::RunEnd *end = batch.add_ends();
                name(end);
                end->set_run(known.run);
                end->set_outcome(*rc::gen::element(
                    schema::RUN_DONE, schema::RUN_DONE, schema::RUN_FAILED, schema::RUN_STOPPED));
            } else {
                schema::RunStart *start = batch.add_starts();
                name(start);
                start->set_run(known.run + 1);
                start->set_worker(1);
            }
            table.apply(batch, stamp());
            refresh(task.step.work);
        }
        forecast.advance(now);
        AdmissionForecast rebuilt(now);
        for (const WorkSerial serial : table.active())
            rebuilt.refresh(*table.find(serial), &queue, durations, now);
        RC_ASSERT(forecast.size() == rebuilt.size());
        RC_ASSERT(forecast.waitingByAccount() == rebuilt.waitingByAccount());
        for (uint64_t k = 0; k < 3; k++)
            RC_ASSERT(std::abs(forecast.backlogCoreMs(Queue, account(k))
                          - rebuilt.backlogCoreMs(Queue, account(k)))
                < 1e-3);
    }
}

} // namespace basilgap::scheduling
