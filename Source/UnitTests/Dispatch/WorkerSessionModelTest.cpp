// Plays leaders against model workers over a network that delays, loses and reorders calls, and
// checks what runs on the workers.

#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <set>

#include "ModelLeader.h"

namespace basilgap::dispatch {
namespace {

constexpr int64_t WorkerMillicores = 8000;
constexpr Millis TroubledTime{ 30000 };
constexpr Millis CalmTime{ 40000 };
constexpr Millis LongCalmTime{ 200000 };
constexpr size_t MaxActiveJobs = 12;
constexpr Millis GangTimeout{ 3000 };
// Between the ends of a gang's members.
constexpr int64_t MaxGangSpreadMs = 20;
constexpr size_t MaxServices = 3;
constexpr Millis AnnounceInterval{ 300 };
// Time out of reach after which a worker may be dropped.
constexpr int64_t MinDropMs = 11000;
constexpr int64_t MaxDropMs = 18000;

struct Scenario
{
    NetworkTrouble trouble;
    bool changesLeader = false;
    bool losesConfirmation = false;
    bool cancelsJobs = false;
    bool preempts = false;
    bool restartsWorkers = false;
    bool cutsLinks = false;
    // Tasks may take longer than the longest lease.
    bool hasLongTasks = false;
    bool usesTickets = false;
    // Checks that no task starts again after a worker has forgotten an end of it as done.
    bool checksAcknowledgements = false;
    bool hasGangs = false;
    // Jobs whose tasks run until they are cancelled, and start again however they end.
    bool hasServices = false;
    // Workers may be out of reach for so long that they are dropped. They return under their ids,
    // as the same incarnation or another one.
    bool dropsWorkers = false;
    bool hasRelays = false;
    bool killsRelays = false;
    bool freezesRelays = false;
    // No trouble is long enough for a member of a gang to wait in vain for the others.
    bool forbidsLoneMembers = false;
};

// A cell with three workers and, at each time, one leader.
class ModelCell
{
public:
    ModelCell(const Scenario &scenario, uint64_t seed)
        : scenario_(scenario)
        , time_(seed)
    {
        for (const char *id : { "w1", "w2", "w3" }) {
            workers_[id] = std::make_unique<ModelWorker>(ModelWorker::Options{
                .time = time_,
                .id = id,
                .millicores = WorkerMillicores,
                .model = [this](const TaskName &task) { return modelOf(task); },
                .onStart = [this](const TaskName &task, uint32_t run) { checkStart(task, run); },
                .onEnd =
                    [this](const TaskName &task, uint32_t run, schema::RunOutcome outcome) {
                        if (outcome == schema::RUN_DONE && !isService(task))
                            doneEnds_[{ task, run }] = {};
                        breakGang(task, run, outcome);
                    },
                .onEndAcknowledged = [this](const TaskName &task,
                                         uint32_t run) { checkAcknowledgement(task, run); },
                .onViolation = [this](const std::string &text) { report(text); },
            });
            registerIncarnation(*workers_[id]);
        }
        if (scenario_.hasRelays)
            relays_ = std::make_unique<ModelRelays>(time_, workers_);
        lead();
        if (scenario_.dropsWorkers)
            announce();
    }

    void play()
    {
        const Millis troubleEnd = time_.now() + TroubledTime;
        while (time_.now() < troubleEnd && violations_.empty()) {
            time_.runUntil(time_.now() + time_.millisBetween(10, 200));
            act();
        }
        isCalm_ = true;
        leader().setTrouble({});
        if (relays_)
            relays_->setTrouble({});
        leader().setConfirmed(true);
        const Millis calmTime = scenario_.hasLongTasks ? LongCalmTime : CalmTime;
        time_.runUntil(time_.now() + calmTime);
        if (scenario_.hasServices) {
            checkServices();
            time_.runUntil(time_.now() + calmTime);
        }
        if (!violations_.empty())
            return;
        if (!table_.active().empty())
            report("jobs left over: " + std::to_string(table_.active().size()));
        if (table_.runningTasks() > 0)
            report("runs left over in the table: " + std::to_string(table_.runningTasks()));
        for (const auto &[id, worker] : workers_) {
            if (worker->runningCount() > 0)
                report("runs left over on " + id);
        }
    }

    const std::vector<std::string> &violations() const { return violations_; }
    size_t starts() const { return starts_; }
    size_t serviceStarts() const { return serviceStarts_; }
    uint64_t droppedWorkers() const
    {
        uint64_t workers = 0;
        for (const auto &leader : leaders_)
            workers += leader->droppedWorkers();
        return workers;
    }
    uint64_t settledRestarts() const
    {
        uint64_t restarts = 0;
        for (const auto &leader : leaders_)
            restarts += leader->settledRestarts();
        return restarts;
    }
    uint64_t relayedCalls() const
    {
        uint64_t calls = 0;
        for (const auto &leader : leaders_)
            calls += leader->relayedCalls();
        return calls;
    }

private:
    ModelLeader &leader() { return *leaders_.back(); }

    void report(const std::string &text)
    {
        violations_.push_back(std::to_string(time_.now().count()) + " ms: " + text);
    }

    void act()
    {
        if (table_.active().size() < MaxActiveJobs)
            submit();
        if (scenario_.cancelsJobs && time_.chance(30))
            cancelOne();
        if (scenario_.preempts && time_.chance(20))
            preemptOne();
        if (scenario_.losesConfirmation && time_.chance(10))
            loseConfirmation();
        if (scenario_.changesLeader && time_.chance(2))
            changeLeader();
        if (scenario_.restartsWorkers && time_.chance(3))
            restartOne();
        if (scenario_.cutsLinks && time_.chance(4))
            cutOne();
        if (scenario_.killsRelays && time_.chance(5))
            relays_->killOne();
        if (scenario_.freezesRelays && time_.chance(5))
            relays_->freezeOne();
        // The load of the leader varies.
        if (scenario_.hasRelays && time_.chance(5))
            leader().setRelaying(time_.chance(80));
    }

    void submit()
    {
        schema::SubmitWork submit;
        std::string id = std::to_string(++jobs_);
        id.insert(0, 16 - id.size(), '0');
        submit.set_id(id);
        submit.set_max_attempts(2);
        schema::StepSpec *step = submit.mutable_spec()->add_steps();
        step->set_count(static_cast<uint32_t>(time_.between(1, 5)));
        step->set_millicores(static_cast<uint32_t>(time_.between(500, 4000)));
        step->set_gang(scenario_.hasGangs && time_.chance(40));
        if (scenario_.hasServices && services_.size() < MaxServices && time_.chance(30)) {
            step->set_gang(false);
            step->set_service(true);
            step->set_millicores(1000);
            services_.insert(id);
        }
        table_.submit(submit, static_cast<uint64_t>(time_.now().count()));
    }

    std::optional<state::WorkSerial> randomJob()
    {
        if (table_.active().empty())
            return std::nullopt;
        auto job = table_.active().begin();
        std::advance(job, time_.between(0, static_cast<int64_t>(table_.active().size()) - 1));
        return *job;
    }

    void cancelOne()
    {
        const auto job = randomJob();
        if (!job)
            return;
        cancel(table_.find(*job)->id);
    }

    void cancel(const std::string &id)
    {
        services_.erase(id);
        schema::CancelWork cancel;
        cancel.set_id(id);
        table_.cancel(cancel, static_cast<uint64_t>(time_.now().count()));
        leader().handleCanceled();
    }

    // All tasks of services must be running. Cancels the services.
    void checkServices()
    {
        for (const std::string &id : std::set(services_)) {
            const state::Work *work = table_.find(id);
            const auto &tasks = work->occurrences[0][0].tasks;
            // Workers that restart just after each start of a task fail its job, as if it crashed
            // them.
            if (work->phase == state::WorkPhase::Failed
                && std::any_of(tasks.begin(), tasks.end(),
                    [](const state::WorkTask &task) { return task.startCrashes.areConclusive(); }))
                continue;
            for (uint32_t i = 0; i < tasks.size(); i++) {
                const bool isRunning =
                    std::any_of(workers_.begin(), workers_.end(), [&](const auto &entry) {
                        return entry.second->isRunning({ id, 0, 0, i });
                    });
                if (!isRunning)
                    report("service task " + id + "." + std::to_string(i) + " is not running");
            }
            cancel(id);
        }
    }

    void preemptOne()
    {
        const auto job = randomJob();
        if (!job)
            return;
        const state::StepRef step{ *job, 0, 0 };
        const auto &tasks = table_.find(*job)->stepAt(step).tasks;
        for (uint32_t i = 0; i < tasks.size(); i++) {
            if (tasks[i].phase == state::RunPhase::Running)
                return leader().preempt({ step, i });
        }
    }

    void loseConfirmation()
    {
        leader().setConfirmed(false);
        time_.after(time_.millisBetween(50, 900), [this, number = leaders_.size()] {
            if (leaders_.size() == number)
                leader().setConfirmed(true);
        });
    }

    void changeLeader()
    {
        ModelLeader &old = leader();
        const bool isFrozen = time_.chance(50);
        if (isFrozen)
            old.freeze();
        else
            old.retire();
        // Another replica is elected after a minimum silence.
        time_.runUntil(time_.now() + time_.millisBetween(400, 1500));
        lead();
        if (!isFrozen)
            return;
        time_.after(time_.millisBetween(0, 8000), [this, &old] {
            old.thaw();
            time_.after(Millis(200), [&old] { old.retire(); });
        });
    }

    void lead()
    {
        leaders_.push_back(std::make_unique<ModelLeader>(ModelLeader::Options{
            .time = time_,
            .workers = workers_,
            .table = table_,
            .term = leaders_.size() + 1,
            .millicoresOf =
                [this](const StepTaskRef &task) {
                    return static_cast<int64_t>(
                        table_.find(task.step.work)->specOf(task.step).millicores());
                },
            .usesTickets = scenario_.usesTickets,
            .relays = relays_.get(),
            .dropsSilentWorkers = scenario_.dropsWorkers,
        }));
        leader().setRelaying(scenario_.hasRelays);
        if (isCalm_)
            return;
        leader().setTrouble(scenario_.trouble);
        if (relays_)
            relays_->setTrouble(scenario_.trouble);
    }

    ModelWorker &randomWorker()
    {
        auto worker = workers_.begin();
        std::advance(worker, time_.between(0, static_cast<int64_t>(workers_.size()) - 1));
        return *worker->second;
    }

    void cutOne()
    {
        ModelWorker &target = randomWorker();
        target.setLinkUp(false);
        const Millis time = scenario_.dropsWorkers && time_.chance(30)
            ? time_.millisBetween(MinDropMs, MaxDropMs)
            : time_.millisBetween(500, 9000);
        time_.after(time, [&target] { target.setLinkUp(true); });
    }

    void restartOne()
    {
        ModelWorker &target = randomWorker();
        if (!target.isUp())
            return;
        // A crash ends the other members of gangs.
        for (const auto &[task, run] : target.runs())
            breakGang(task, run, schema::RUN_LOST);
        const Millis downtime = scenario_.dropsWorkers && time_.chance(30)
            ? time_.millisBetween(MinDropMs, MaxDropMs)
            : time_.millisBetween(1, 3000);
        target.restart(downtime, [this, &target] {
            // Its announcement takes a while to be logged.
            time_.after(time_.millisBetween(5, 1500), [this, &target] {
                if (target.isUp() && registerIncarnation(target))
                    leader().reconcile();
            });
        });
    }

    // Workers that have been dropped register again.
    void announce()
    {
        time_.after(AnnounceInterval, [this] { announce(); });
        for (const auto &[id, worker] : workers_) {
            if (worker->isUp() && worker->isLinkUp() && table_.newestIncarnation(id) == nullptr
                && registerIncarnation(*worker))
                leader().reconcile();
        }
    }

    // False if the incarnation is registered already.
    bool registerIncarnation(const ModelWorker &worker)
    {
        const schema::WorkerLife *previous = table_.newestIncarnation(worker.id());
        if (previous != nullptr && previous->born_ms() == worker.incarnationStartMs())
            return false;
        schema::RunBatch batch;
        schema::WorkerLife *incarnation = batch.add_workers();
        incarnation->set_number(table_.nextWorker().value());
        incarnation->set_id(worker.id());
        incarnation->set_address(worker.id());
        incarnation->set_born_ms(worker.incarnationStartMs());
        incarnation->set_millicores(static_cast<uint64_t>(worker.millicores()));
        if (previous != nullptr) {
            schema::WorkerLife *gone = batch.add_workers();
            *gone = *previous;
            gone->set_gone(true);
        }
        table_.apply(batch, static_cast<uint64_t>(time_.now().count()));
        return true;
    }

    ModelWorker::TaskModel modelOf(const TaskName &task)
    {
        const schema::StepSpec &step = table_.find(task.work)->spec.steps(0);
        ModelWorker::TaskModel model{ .millicores = static_cast<int64_t>(step.millicores()) };
        if (step.gang())
            return model;
        if (step.service()) {
            if (time_.chance(70))
                model.duration = time_.millisBetween(20, 15000);
            model.outcome = time_.chance(50) ? schema::RUN_FAILED : schema::RUN_DONE;
            return model;
        }
        model.duration = time_.millisBetween(20, scenario_.hasLongTasks ? 15000 : 4000);
        model.outcome = time_.chance(10) ? schema::RUN_FAILED : schema::RUN_DONE;
        return model;
    }

    bool isService(const TaskName &task) const
    {
        return table_.find(task.work)->spec.steps(0).service();
    }

    // A gang works once all of its members have started, and its members end at almost the same
    // time.
    void startMember(const TaskName &task, uint32_t run)
    {
        const schema::StepSpec &step = table_.find(task.work)->spec.steps(0);
        if (!step.gang())
            return;
        if (++startedMembers_[{ task.work, run }] == step.count())
            endGang(task, run, time_.millisBetween(20, scenario_.hasLongTasks ? 15000 : 4000),
                schema::RUN_DONE);
        time_.after(GangTimeout, [this, task, run] {
            if (startedMembers_[{ task.work, run }] < table_.find(task.work)->spec.steps(0).count())
                endGang(task, run, Millis(), schema::RUN_ALONE);
        });
    }

    void endGang(const TaskName &member, uint32_t run, Millis delay, schema::RunOutcome outcome)
    {
        const uint32_t count = table_.find(member.work)->spec.steps(0).count();
        for (uint32_t i = 0; i < count; i++) {
            const TaskName task{ member.work, 0, 0, i };
            time_.after(
                delay + time_.millisBetween(0, MaxGangSpreadMs), [this, task, run, outcome] {
                    for (const auto &[id, worker] : workers_)
                        worker->endRun(task, run, outcome);
                });
        }
    }

    // A member that ends alone ends the others.
    void breakGang(const TaskName &task, uint32_t run, schema::RunOutcome outcome)
    {
        if (scenario_.forbidsLoneMembers && outcome == schema::RUN_ALONE)
            report("GANG: run " + std::to_string(run) + " of " + task.work + "."
                + std::to_string(task.index) + " has waited in vain");
        const bool isCause = outcome == schema::RUN_STOPPED || outcome == schema::RUN_LAPSED
            || outcome == schema::RUN_LOST;
        if (table_.find(task.work)->spec.steps(0).gang() && isCause)
            endGang(task, run, Millis(), schema::RUN_BROKEN);
    }

    void checkStart(const TaskName &task, uint32_t run)
    {
        starts_++;
        serviceStarts_ += isService(task) ? 1 : 0;
        startMember(task, run);
        const std::string name = task.work + "." + std::to_string(task.index);
        for (const auto &[id, worker] : workers_) {
            if (worker->isUp() && worker->isRunning(task))
                report("TWICE: run " + std::to_string(run) + " of " + name
                    + " starts while it runs on " + id);
        }
        const state::Work *work = table_.find(task.work);
        if (work->occurrences[0][0].tasks[task.index].phase == state::RunPhase::Done)
            report("TWICE: " + name + " starts after its end was logged");
        for (auto done = doneEnds_.lower_bound({ task, 0 });
             done != doneEnds_.end() && done->first.first == task; ++done) {
            done->second.hasStartedSince = true;
            if (done->second.isAcknowledged)
                report("TWICE: " + name + " starts after its end was acknowledged");
        }
    }

    void checkAcknowledgement(const TaskName &task, uint32_t run)
    {
        const auto done = doneEnds_.find({ task, run });
        if (done == doneEnds_.end() || !scenario_.checksAcknowledgements)
            return;
        done->second.isAcknowledged = true;
        if (done->second.hasStartedSince)
            report("TWICE: the end of run " + std::to_string(run) + " of " + task.work + "."
                + std::to_string(task.index) + " is acknowledged after another start");
    }

    Scenario scenario_;
    SimulatedTime time_;
    state::WorkTable table_;
    ModelNetwork::Workers workers_;
    std::unique_ptr<ModelRelays> relays_;
    // The current one last; earlier ones may still be frozen.
    std::vector<std::unique_ptr<ModelLeader>> leaders_;
    std::vector<std::string> violations_;
    // Members of a gang's run that have started, by job.
    std::map<std::pair<std::string, uint32_t>, uint32_t> startedMembers_;
    struct DoneEnd
    {
        bool isAcknowledged = false;
        bool hasStartedSince = false;
    };
    // Runs that have ended as done.
    std::map<std::pair<TaskName, uint32_t>, DoneEnd> doneEnds_;
    uint64_t jobs_ = 0;
    size_t starts_ = 0;
    size_t serviceStarts_ = 0;
    // Ids of the jobs that last and are not cancelled.
    std::set<std::string> services_;
    bool isCalm_ = false;
};

constexpr NetworkTrouble Lossy{
    .lost = 3, .answerLost = 5, .late = 5, .notSent = 2, .queued = 10, .unavailable = 1
};

// A worker that restarts under its id carries out calls that were meant for its earlier
// incarnation.
constexpr NetworkTrouble LossyOverRestarts{ .lost = 3,
    .answerLost = 5,
    .late = 5,
    .notSent = 2,
    .queued = 10,
    .unavailable = 1,
    .isCarriedOutAfterRestarts = true };

// MODEL_SEEDS in the environment sets another number of seeds, for a long run by hand.
uint64_t seedCount(const Scenario &scenario)
{
    // Late calls seldom reach a later incarnation at a moment that matters.
    const uint64_t defaultCount = scenario.trouble.isCarriedOutAfterRestarts ? 400 : 60;
    const char *count = std::getenv("MODEL_SEEDS");
    return count == nullptr ? defaultCount : std::strtoull(count, nullptr, 10);
}

// MODEL_FIRST_SEED in the environment sets the first of them, to play a seed again.
uint64_t firstSeed()
{
    const char *first = std::getenv("MODEL_FIRST_SEED");
    return first == nullptr ? 1 : std::strtoull(first, nullptr, 10);
}

void playSeeds(const Scenario &scenario)
{
    size_t starts = 0;
    size_t serviceStarts = 0;
    uint64_t relayedCalls = 0;
    uint64_t droppedWorkers = 0;
    uint64_t settledRestarts = 0;
    const uint64_t seeds = seedCount(scenario);
    for (uint64_t seed = firstSeed(); seed < firstSeed() + seeds; seed++) {
        ModelCell cell(scenario, seed);
        cell.play();
        starts += cell.starts();
        serviceStarts += cell.serviceStarts();
        relayedCalls += cell.relayedCalls();
        droppedWorkers += cell.droppedWorkers();
        settledRestarts += cell.settledRestarts();
        for (const std::string &violation : cell.violations())
            ADD_FAILURE() << "seed " << seed << ", " << violation;
    }
    testing::Test::RecordProperty("starts", static_cast<int>(starts));
    EXPECT_GE(starts, seeds * 50);
    if (scenario.hasRelays)
        EXPECT_GE(relayedCalls, seeds * 50) << "relays are used";
    else
        EXPECT_EQ(relayedCalls, 0U);
    EXPECT_GE(serviceStarts, scenario.hasServices ? seeds * 10 : 0);
    EXPECT_GE(droppedWorkers, scenario.dropsWorkers ? seeds / 2 : 0);
    EXPECT_GE(settledRestarts, scenario.restartsWorkers ? seeds : 0);
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityInACalmNetwork)
{
    playSeeds({ .cancelsJobs = true, .preempts = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileCallsAreLostAndLate)
{
    playSeeds({ .trouble = Lossy, .preempts = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileJobsAreCanceled)
{
    playSeeds(
        { .trouble = Lossy, .losesConfirmation = true, .cancelsJobs = true, .preempts = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileLeadersChange)
{
    playSeeds({ .trouble = Lossy,
        .changesLeader = true,
        .losesConfirmation = true,
        .cancelsJobs = true,
        .preempts = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileLinksAreCut)
{
    playSeeds({ .trouble = Lossy, .changesLeader = true, .preempts = true, .cutsLinks = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhenGangsEnd)
{
    playSeeds({ .preempts = true, .hasGangs = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhenGangsEndInALossyNetwork)
{
    playSeeds({ .trouble = Lossy, .changesLeader = true, .cancelsJobs = true, .hasGangs = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhenGangsEndWhileWorkersRestart)
{
    playSeeds({ .trouble = Lossy,
        .cancelsJobs = true,
        .preempts = true,
        .restartsWorkers = true,
        .hasGangs = true });
}

TEST(WorkerSessionModel, noMemberOfAGangWaitsInVainWhileStartsAreRefused)
{
    playSeeds({ .trouble = { .notSent = 3, .queued = 10, .unavailable = 3 },
        .cancelsJobs = true,
        .hasGangs = true,
        .forbidsLoneMembers = true });
}

TEST(WorkerSessionModel, noMemberOfAGangWaitsInVainInALossyNetwork)
{
    playSeeds(
        { .trouble = Lossy, .cancelsJobs = true, .hasGangs = true, .forbidsLoneMembers = true });
}

TEST(WorkerSessionModel, noMemberOfAGangWaitsInVainWhileLeadersChange)
{
    playSeeds({ .trouble = { .notSent = 3, .queued = 10, .unavailable = 3 },
        .changesLeader = true,
        .cancelsJobs = true,
        .hasGangs = true,
        .forbidsLoneMembers = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileWorkersRestart)
{
    playSeeds({ .trouble = Lossy, .preempts = true, .restartsWorkers = true });
}

// Guards against renewals, acknowledgements and stops that were meant for an earlier incarnation of
// a worker: the runs of the later one outlive the lease that the leader knows of.
TEST(WorkerSessionModel, noTaskRunsTwiceWhileRestartedWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true });
}

// Guards against ends that are lost with acknowledgements for an earlier incarnation, in queues
// whose starts carry no ticket: the later incarnation carries out starts for the earlier one too.
TEST(WorkerSessionModel, noTaskRunsTwiceWhileRestartedWorkersTakeStartsWithoutTickets)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .checksAcknowledgements = true });
}

// The same while an earlier leader has made some of these calls.
TEST(WorkerSessionModel,
    noTaskRunsTwiceWhileLeadersChangeAndWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .changesLeader = true,
        .losesConfirmation = true,
        .cancelsJobs = true,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true });
}

// The same for calls that relays make.
TEST(WorkerSessionModel,
    noTaskRunsTwiceWhileRelaysFreezeAndWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true,
        .hasRelays = true,
        .killsRelays = true,
        .freezesRelays = true });
}

// The same for gangs, one of whose members a later incarnation may take.
TEST(WorkerSessionModel, noGangRunsTwiceWhileWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .cancelsJobs = true,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true,
        .hasGangs = true });
}

// The same for tasks that last, which start again on the same workers however they end.
TEST(WorkerSessionModel, noServiceTaskRunsTwiceWhileWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true,
        .hasServices = true });
}

// The same for workers that were dropped: the state no longer knows that they have restarted, or it
// registers an incarnation anew that has taken calls before.
TEST(WorkerSessionModel, noTaskRunsTwiceWhileDroppedWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true,
        .dropsWorkers = true });
}

// All of these under changing leaders.
TEST(WorkerSessionModel,
    noTaskRunsTwiceWhileLeadersChangeAndDroppedWorkersTakeCallsForTheirEarlierIncarnation)
{
    playSeeds({ .trouble = LossyOverRestarts,
        .changesLeader = true,
        .losesConfirmation = true,
        .cancelsJobs = true,
        .preempts = true,
        .restartsWorkers = true,
        .cutsLinks = true,
        .hasLongTasks = true,
        .usesTickets = true,
        .checksAcknowledgements = true,
        .hasGangs = true,
        .hasServices = true,
        .dropsWorkers = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityThroughRelays)
{
    playSeeds({ .cancelsJobs = true, .preempts = true, .hasRelays = true });
}

// Guards against runs that are lost or run twice when a relay dies with calls in hand, some of
// which have been carried out.
TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileRelaysDie)
{
    playSeeds({ .trouble = Lossy,
        .cancelsJobs = true,
        .preempts = true,
        .hasRelays = true,
        .killsRelays = true });
}

// Guards against calls that a frozen relay makes after the leader has made others directly, also at
// a worker that has restarted since and no longer knows which runs were stopped.
TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileRelaysFreeze)
{
    playSeeds({ .trouble = Lossy,
        .cancelsJobs = true,
        .preempts = true,
        .restartsWorkers = true,
        .hasRelays = true,
        .freezesRelays = true });
}

// Guards against calls of an earlier leader that a relay makes for it after the next one has begun.
TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhileLeadersChangeAndRelaysDieAndFreeze)
{
    playSeeds({ .trouble = Lossy,
        .changesLeader = true,
        .losesConfirmation = true,
        .cancelsJobs = true,
        .preempts = true,
        .restartsWorkers = true,
        .hasRelays = true,
        .killsRelays = true,
        .freezesRelays = true });
}

TEST(WorkerSessionModel, noWorkerIsOverItsCapacityWhenGangsEndWhileRelaysDieAndFreeze)
{
    playSeeds({ .trouble = Lossy,
        .cancelsJobs = true,
        .hasGangs = true,
        .hasRelays = true,
        .killsRelays = true,
        .freezesRelays = true });
}

} // namespace
} // namespace basilgap::dispatch
