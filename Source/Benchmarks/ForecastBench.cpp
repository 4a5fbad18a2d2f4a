#include "Benchmarks/Bench.h"

#include <chrono>
#include <cmath>
#include <ctime>
#include <random>

#include "Basilgap/State/WorkTable.h"

namespace basilgap::benchmarks {

namespace {

constexpr uint32_t Accounts = 60;
constexpr uint32_t Workers = 1100;
constexpr uint32_t Kinds = 6;
constexpr uint32_t TasksPerJob = 10;
constexpr int Jobs = 20000;

int64_t processorNs()
{
    timespec used{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
    return std::chrono::nanoseconds(
        std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec))
        .count();
}

// Starts and ends the tasks of jobs of 60 accounts on 1100 workers of six kinds.
class RunLoad
{
public:
    RunLoad()
    {
        schema::RunBatch batch;
        for (uint32_t i = 1; i <= Workers; i++) {
            schema::WorkerLife *worker = batch.add_workers();
            worker->set_number(i);
            worker->set_id("w" + std::to_string(i));
            worker->set_address("10.0.0.1:" + std::to_string(i));
            worker->add_labels("kind" + std::to_string(i % Kinds));
        }
        table.apply(batch, 1);
    }

    // Returns the processor time of applying the starts and ends.
    int64_t runJob(bool isMeasured)
    {
        schema::SubmitWork command;
        command.set_id("job" + std::to_string(++jobs_));
        command.set_queue(jobs_ % 4 == 0 ? "deferrable" : "urgent");
        command.set_account("account" + std::to_string(random_() % Accounts));
        command.set_max_attempts(3);
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(TasksPerJob);
        step->set_millicores(jobs_ % 4 == 0 ? 18000 : 8900);
        step->set_estimate_ms(jobs_ % 4 == 0 ? 3800 : 800);
        const double estimate = static_cast<double>(step->estimate_ms());
        table.submit(command, jobs_);
        schema::RunBatch starts;
        schema::RunBatch ends;
        for (uint32_t i = 0; i < TasksPerJob; i++) {
            schema::RunStart *start = starts.add_starts();
            start->set_work(jobs_);
            start->set_index(i);
            start->set_run(1);
            start->set_worker(1 + static_cast<uint32_t>(random_() % Workers));
            schema::RunEnd *end = ends.add_ends();
            end->set_work(jobs_);
            end->set_index(i);
            end->set_run(1);
            end->set_duration_ms(
                isMeasured ? static_cast<uint64_t>(estimate * std::exp(spread_(random_))) : 0);
        }
        const int64_t before = processorNs();
        table.apply(starts, jobs_);
        table.apply(ends, jobs_);
        const int64_t used = processorNs() - before;
        table.expire(jobs_, 100);
        return used;
    }

    // Mean processor time per run.
    double run(bool isMeasured)
    {
        int64_t used = 0;
        for (int i = 0; i < Jobs; i++)
            used += runJob(isMeasured);
        return static_cast<double>(used) / (Jobs * TasksPerJob);
    }

    state::WorkTable table;

private:
    std::mt19937 random_{ 1 };
    std::normal_distribution<double> spread_{ 0, 0.5 };
    uint64_t jobs_ = 0;
};

} // namespace

// Cost of the forecast of durations: per applied run, per question, and in the snapshot.
void benchForecast()
{
    RunLoad load;
    load.run(true);
    const double without = load.run(false);
    const double with = load.run(true);
    report("apply_without_forecast_ns", without);
    report("apply_with_forecast_ns", with);
    report("forecast_ns_per_end", with - without);
    schema::StepSpec spec;
    spec.set_millicores(8900);
    spec.set_estimate_ms(800);
    const std::string account = "account7";
    const state::DurationSubject subject{ "urgent", account, spec };
    constexpr int Questions = 100000;
    uint64_t sum = 0;
    int64_t before = processorNs();
    for (int i = 0; i < Questions; i++)
        sum += load.table.durations().forecast(subject)->median;
    report("question_ns", static_cast<double>(processorNs() - before) / Questions);
    before = processorNs();
    const std::string saved = load.table.durations().save();
    report("save_us", static_cast<double>(processorNs() - before) / 1000);
    report("groups", static_cast<double>(load.table.durations().groups()));
    report("saved_bytes", static_cast<double>(saved.size()));
    report("median_ms", static_cast<double>(sum) / Questions);
}

} // namespace basilgap::benchmarks
