#include "Benchmarks/Bench.h"

#include <chrono>
#include <cmath>
#include <ctime>
#include <random>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Scheduling/DurationForecast.h"

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

    // The job that was submitted last.
    const state::Work &lastWork() const { return *table.find(state::WorkSerial(jobs_)); }

    state::WorkTable table;

private:
    std::mt19937 random_{ 1 };
    std::normal_distribution<double> spread_{ 0, 0.5 };
    uint64_t jobs_ = 0;
};

// Typical factor between the actual duration and the expected one, by forecast and by estimate, of
// tasks of 3.8 s. Estimates are wrong by the given factors either way, the same in all tasks of a
// job.
void reportErrors(const std::string &name, double minFactor, double maxFactor)
{
    constexpr int JobCount = 200;
    constexpr int JobsBefore = 20;
    constexpr double TypicalMs = 3800;
    std::mt19937 random(2);
    std::uniform_real_distribution<double> factor(std::log(minFactor), std::log(maxFactor));
    std::normal_distribution<double> spread(0, 0.25);
    state::DurationModel model;
    LatencyHistogram ofForecast;
    LatencyHistogram ofEstimate;
    schema::StepSpec spec;
    spec.set_millicores(18000);
    for (uint64_t job = 1; job <= JobCount; job++) {
        const double wrong = std::exp(factor(random) * (random() % 2 == 0 ? 1 : -1));
        spec.set_estimate_ms(static_cast<uint64_t>(TypicalMs * wrong));
        const state::DurationSubject subject{ "deferrable", "account", spec };
        const auto forecast = model.forecast(subject);
        for (uint32_t task = 0; task < TasksPerJob; task++) {
            const double actual = TypicalMs * std::exp(spread(random));
            const auto errorOf = [actual](uint64_t expected) {
                return std::exp(std::abs(std::log(actual / static_cast<double>(expected))));
            };
            if (job > JobsBefore && forecast) {
                ofForecast.add(errorOf(forecast->median));
                ofEstimate.add(errorOf(spec.estimate_ms()));
            }
            model.record({ .subject = subject,
                .workerKind = {},
                .work = job,
                .duration = static_cast<uint64_t>(actual) });
        }
    }
    report(name + "_forecast_error50", ofForecast.percentile(0.5));
    report(name + "_forecast_error90", ofForecast.percentile(0.9));
    report(name + "_estimate_error50", ofEstimate.percentile(0.5));
    report(name + "_estimate_error90", ofEstimate.percentile(0.9));
}

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
    load.runJob(true);
    const state::Work &work = load.lastWork();
    const scheduling::DurationForecast forecast(load.table);
    before = processorNs();
    for (int i = 0; i < Questions; i++)
        sum += forecast.forecast(work, { work.serial, 0, 0 })->median;
    report("kept_answer_ns", static_cast<double>(processorNs() - before) / Questions);
    report("both_medians_ms", static_cast<double>(sum) / Questions);
    reportErrors("wrong_by_1.2", 1, 1.2);
    reportErrors("wrong_by_2_to_10", 2, 10);
}

} // namespace basilgap::benchmarks
