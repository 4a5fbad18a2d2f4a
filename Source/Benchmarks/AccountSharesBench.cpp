#include "Benchmarks/Bench.h"

#include <algorithm>
#include <chrono>

#include "Basilgap/Scheduling/AccountShares.h"
#include "Basilgap/Scheduling/AdmissionForecast.h"

namespace basilgap::benchmarks {

namespace {

using state::AccountName;
using state::WorkSerial;

constexpr size_t Accounts = 1000;
constexpr int Rounds = 400;
constexpr Millis Start{ 1'000'000 };
constexpr int64_t Cores = 25'000;

AccountName accountName(size_t i)
{
    return AccountName("account" + std::to_string(i));
}

// Times of one operation.
class Times
{
public:
    template<typename Operation>
    void measure(const Operation &operation)
    {
        const auto begun = std::chrono::steady_clock::now();
        operation();
        const std::chrono::duration<double, std::micro> time =
            std::chrono::steady_clock::now() - begun;
        microseconds_.push_back(time.count());
    }

    void report(const std::string &name)
    {
        std::sort(microseconds_.begin(), microseconds_.end());
        benchmarks::report(name + "_median_us", microseconds_[microseconds_.size() / 2]);
        benchmarks::report(name + "_p99_us", microseconds_[microseconds_.size() * 99 / 100]);
    }

private:
    std::vector<double> microseconds_;
};

// The jobs of all accounts, each of one step, in a full cell.
class Queue
{
public:
    explicit Queue(size_t waitingSteps)
    {
        queue_.set_name("queue");
        queue_.set_slack_factor(1.5);
        queue_.set_target_latency_ms(3'600'000);
        for (size_t i = 0; i < waitingSteps; i++)
            submit(i);
    }

    WorkSerial submit(size_t i)
    {
        schema::SubmitWork command;
        command.set_id(std::to_string(i));
        command.set_queue("queue");
        command.set_account(accountName(i % Accounts).value());
        schema::StepSpec *step = command.mutable_spec()->add_steps();
        step->set_count(10);
        step->set_millicores(8900);
        step->set_memory_mb(1000);
        step->set_estimate_ms(800);
        const WorkSerial serial(table_.submit(command, 1'000'000).job());
        forecast_.refresh(*table_.find(serial), &queue_, durations_, now_);
        return serial;
    }

    void start(WorkSerial serial, uint32_t index)
    {
        schema::RunBatch batch;
        schema::RunStart *start = batch.add_starts();
        start->set_work(serial.value());
        start->set_index(index);
        start->set_run(1);
        start->set_worker(1);
        table_.apply(batch, 1'000'000);
    }

    void end(WorkSerial serial, uint32_t index)
    {
        schema::RunBatch batch;
        schema::RunEnd *end = batch.add_ends();
        end->set_work(serial.value());
        end->set_index(index);
        end->set_run(1);
        table_.apply(batch, 1'000'000);
    }

    void refresh(WorkSerial serial)
    {
        forecast_.refresh(*table_.find(serial), &queue_, durations_, now_);
    }

    scheduling::SharesView view() const
    {
        scheduling::SharesView view;
        view.capacity = { Cores * 1000, Cores * 4000, 0 };
        view.now = now_;
        view.accounts.reserve(Accounts);
        for (size_t i = 0; i < Accounts; i++) {
            scheduling::AccountLoad &load = view.accounts.emplace_back();
            load.account = accountName(i);
            load.weight = static_cast<double>(i % 7);
            load.usage = { Cores, Cores * static_cast<int64_t>(i % 9), 0 };
            load.waiting = forecast_.waitingByAccount().at(load.account);
        }
        return view;
    }

    bool decide(size_t i, const scheduling::AccountShares &shares) const
    {
        const AccountName account = accountName(i % Accounts);
        return forecast_
            .decide({ .id = std::to_string(i),
                        .queue = state::QueueId("queue"),
                        .account = account,
                        .objective = Millis(1500),
                        .isExempt = false,
                        .entitledCores = shares.entitlement(account) * Cores,
                        .isDemandBeyondShare = shares.isDemandBeyondShare(account) },
                now_)
            .has_value();
    }

    void advanceTo(Millis now)
    {
        now_ = now;
        forecast_.advance(now);
    }

private:
    schema::QueueConfig queue_;
    state::WorkTable table_;
    scheduling::DurationEstimator durations_;
    scheduling::AdmissionForecast forecast_{ Start };
    Millis now_ = Start;
};

void measure(size_t waitingSteps, const std::string &prefix)
{
    Queue queue(waitingSteps);
    scheduling::AccountShares shares;
    Times view;
    Times update;
    Times lookUps;
    Times record;
    Times decide;
    size_t refused = 0;
    size_t over = 0;
    for (int round = 0; round < Rounds; round++) {
        queue.advanceTo(Start + Millis(3000 + 70 * round));
        const size_t next = waitingSteps + static_cast<size_t>(round);
        const WorkSerial serial = queue.submit(next);
        queue.start(serial, 0);
        record.measure([&] { queue.refresh(serial); });
        queue.end(serial, 0);
        record.measure([&] { queue.refresh(serial); });
        scheduling::SharesView current;
        view.measure([&] { current = queue.view(); });
        update.measure([&] { shares.update(current); });
        lookUps.measure([&] {
            for (size_t i = 0; i < Accounts; i++)
                over += shares.isOverShare(current.accounts[i].account) ? 1 : 0;
        });
        decide.measure([&] { refused += queue.decide(next, shares) ? 1 : 0; });
    }
    view.report(prefix + "shares_view");
    update.report(prefix + "shares_update");
    lookUps.report(prefix + "shares_1000_lookups");
    record.report(prefix + "admission_record");
    decide.report(prefix + "admission_decide");
    report(prefix + "refused_pct", static_cast<double>(refused) * 100 / Rounds);
    report(prefix + "over_share_pct", static_cast<double>(over) * 100 / Rounds / Accounts);
}

} // namespace

// Measures the costs of shares and admission for 1,000 accounts. Those of a record and a decision
// must not grow with the queue.
void benchAccountShares()
{
    measure(1000, "steps_1000_");
    measure(10'000, "steps_10000_");
}

} // namespace basilgap::benchmarks
