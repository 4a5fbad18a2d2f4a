#include "Benchmarks/Bench.h"

#include <chrono>
#include <deque>
#include <random>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Dispatch/PlanWorkers.h"

namespace basilgap::benchmarks {

namespace {

using scheduling::StepWorker;
using state::StepTaskRef;
using state::WorkerNumber;

constexpr uint32_t TasksPerJob = 13;
constexpr uint32_t JobsPerRound = 2;
constexpr uint32_t WaitingJobs = 200;
constexpr int Rounds = 2000;
// Rounds of a cell with a long queue.
constexpr int QueueRounds = 300;
constexpr uint32_t QueueWorkers = 350;
constexpr Millis Now{ 50000 };
constexpr uint64_t WallMs = 1000000;
constexpr state::Resources Capacity{ 64000, 262144, 0 };

// A full cell of workers with jobs of one step. In each round some runs end, some jobs arrive, and
// the planner places what fits.
class StepCell
{
public:
    StepCell(uint32_t workers, bool needsAdvice, uint32_t waitingJobs)
    {
        schema::PutWorkConfig config;
        config.set_version(1);
        config.mutable_config()->add_pools()->set_name("pool");
        schema::QueueConfig *queue = config.mutable_config()->add_queues();
        queue->set_name("queue");
        queue->set_prefix("queue");
        queue->set_pool("pool");
        queue->set_slack_factor(2);
        queue->set_target_latency_ms(500);
        if (needsAdvice)
            queue->mutable_advice()->set_validity_ms(2000);
        config.mutable_config()->add_accounts()->set_name("team");
        config_.apply(config);
        std::vector<StepWorker> list(workers);
        for (uint32_t i = 0; i < workers; i++) {
            list[i].number = WorkerNumber(i + 1);
            list[i].pool = "pool";
            list[i].capacity = Capacity;
        }
        capacity_ = scheduling::EmptyCapacity(list);
        workers_.assign(std::move(list));
        for (uint32_t job = 0; job < workers * 5 / TasksPerJob + waitingJobs; job++)
            submit();
    }

    // Ends as many tasks as arrive.
    void change()
    {
        schema::RunBatch ends;
        for (uint32_t i = 0; i < JobsPerRound * TasksPerJob && !running_.empty(); i++) {
            const auto &[task, run] = running_.front();
            schema::RunEnd *end = ends.add_ends();
            end->set_work(task.step.work.value());
            end->set_index(task.index);
            end->set_run(run);
            end->set_outcome(schema::RUN_DONE);
            workers_.markChanged(table_.find(task)->worker);
            running_.pop_front();
        }
        table_.apply(ends, WallMs);
        for (uint32_t i = 0; i < JobsPerRound; i++)
            submit();
    }

    scheduling::StepPlan plan()
    {
        urgent_.update(table_, config_, capacity_, Now, WallMs);
        waiting_.refresh(table_, config_, WallMs);
        return scheduling::StepPlanner(
            {
                .table = table_,
                .config = config_,
                .waiting = waiting_,
                .permits = permits_,
                .health = health_,
                .durations = durations_,
                .urgent = urgent_,
                .shares = shares_,
                .workers = workers_.refresh([this](StepWorker &worker) {
                    worker.reserved = table_.reservedOn(worker.number);
                }),
                .now = Now,
                .wallMs = WallMs,
                .adviceClaims = claims_,
                .advisors = 100,
                .freeAdvisors = 100,
                .preemptibleRunsOn = [](WorkerNumber) { return noRuns(); },
                .preemptibleRunsOf = [](const state::AccountName &) { return noRuns(); },
            })
            .run();
    }

    // Applies the starts, and grants every second worker that advice was requested for.
    void apply(const scheduling::StepPlan &plan)
    {
        schema::RunBatch batch;
        for (const scheduling::PlannedRun &planned : plan.starts) {
            schema::RunStart *start = batch.add_starts();
            start->set_work(planned.task.step.work.value());
            start->set_index(planned.task.index);
            start->set_run(planned.run);
            start->set_worker(planned.worker.value());
            running_.emplace_back(planned.task, planned.run);
            workers_.markChanged(planned.worker);
        }
        table_.apply(batch, WallMs);
        for (const scheduling::AdviceRequest &request : plan.adviceRequests) {
            std::vector<scheduling::PermitCache::GrantedTicket> granted;
            for (size_t i = 0; i < request.workers.size(); i += 2)
                granted.push_back({ request.workers[i], "ticket" });
            permits_.recordReply(request.step, request.workers, granted, Now + Millis(2000));
        }
        permits_.dropInactive(table_);
    }

private:
    static std::vector<scheduling::PreemptibleRun> noRuns() { return {}; }

    void submit()
    {
        schema::SubmitWork command;
        command.set_id(std::to_string(++submitted_));
        command.set_queue("queue");
        command.set_account("team");
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(TasksPerJob);
        step->set_millicores(8000 + random_() % 10 * 1000);
        step->set_memory_mb(20000);
        step->set_estimate_ms(800);
        table_.submit(command, WallMs);
    }

    std::mt19937 random_{ 20261204 };
    state::WorkTable table_;
    state::WorkConfigState config_;
    scheduling::PermitCache permits_;
    scheduling::AdviceClaims claims_;
    scheduling::WorkerHealth health_;
    scheduling::DurationEstimator durations_;
    scheduling::EmptyCapacity capacity_;
    scheduling::WaitingSteps waiting_;
    scheduling::StartShares shares_;
    scheduling::UrgentDemand urgent_{ scheduling::DeferrablePriority };
    dispatch::PlanWorkers workers_;
    std::deque<std::pair<StepTaskRef, uint32_t>> running_;
    uint64_t submitted_ = 0;
};

void benchRounds(
    const std::string &name, uint32_t workers, bool needsAdvice, uint32_t waitingJobs, int rounds)
{
    StepCell cell(workers, needsAdvice, waitingJobs);
    for (scheduling::StepPlan plan = cell.plan();
         !plan.starts.empty() || !plan.adviceRequests.empty(); plan = cell.plan())
        cell.apply(plan);
    LatencyHistogram times;
    for (int i = 0; i < rounds; i++) {
        cell.change();
        const auto start = std::chrono::steady_clock::now();
        const scheduling::StepPlan plan = cell.plan();
        times.add(
            std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
                .count());
        cell.apply(plan);
    }
    report(name + "_rounds_per_s", 1000.0 * static_cast<double>(times.count()) / times.sum());
    report(name + "_p99_ms", times.percentile(0.99));
}

} // namespace

// Planning rounds in a full cell with a fixed number of changes a round, by the size of the fleet
// and by the number of waiting tasks.
void benchStepPlan()
{
    for (const bool needsAdvice : { false, true }) {
        const std::string kind = needsAdvice ? "advised_" : "plain_";
        for (const uint32_t workers : { 100U, 350U, 1100U, 3000U })
            benchRounds(kind + std::to_string(workers) + "_workers", workers, needsAdvice,
                WaitingJobs, Rounds);
        for (const uint32_t tasks : { 100U, 1000U, 10000U, 30000U })
            benchRounds(kind + std::to_string(tasks) + "_waiting", QueueWorkers, needsAdvice,
                tasks / TasksPerJob, QueueRounds);
    }
}

} // namespace basilgap::benchmarks
