#include "Benchmarks/Bench.h"

#include <chrono>
#include <random>

#include "Basilgap/Common/LatencyHistogram.h"
#include "UnitTests/Scheduling/ReferenceScheduler.h"
#include "UnitTests/Scheduling/SchedulerFixture.h"

namespace basilgap::benchmarks {

namespace {

using scheduling::SchedulerFixture;
using state::Resources;

constexpr int WorkerCount = 610;
constexpr int AcceleratorCount = 660;
constexpr int TeamCount = 310;
constexpr uint32_t RunningTasks = 6500;
constexpr uint32_t WaitingTasks = 10000;

double measureMs(const std::function<void()> &work)
{
    const auto start = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start)
        .count();
}

SchedulerFixture makeCell()
{
    std::vector<SchedulerFixture::Team> teams;
    for (int i = 0; i < TeamCount; i++)
        teams.push_back(
            { .name = "team" + std::to_string(i), .share = static_cast<uint32_t>(i % 7 + 1) });
    SchedulerFixture cell(teams);
    for (int i = 0; i < WorkerCount; i++) {
        const int accelerators =
            AcceleratorCount / WorkerCount + (i % WorkerCount < AcceleratorCount % WorkerCount);
        const std::string zone = "z" + std::to_string(i % 7 + 1);
        cell.addWorker(
            { 64000, 262144, accelerators }, zone, zone + "-r" + std::to_string(i / 7 / 8));
    }
    return cell;
}

// Submits jobs of a few tasks each, `count` tasks in total.
void submitTasks(SchedulerFixture &cell, uint32_t count, std::mt19937 *random)
{
    for (uint32_t submitted = 0; submitted < count;) {
        const uint32_t tasks = std::min<uint32_t>(count - submitted, 1 + (*random)() % 8);
        const Resources reservation{ static_cast<int64_t>(500 + (*random)() % 16 * 500),
            static_cast<int64_t>(1000 + (*random)() % 16 * 2000), (*random)() % 20 == 0 ? 1 : 0 };
        cell.submit(
            "team" + std::to_string((*random)() % TeamCount), schema::BATCH, tasks, reservation);
        submitted += tasks;
    }
}

// Reserved fraction of the cell's dominant resource.
double packingOf(const SchedulerFixture &cell)
{
    Resources reserved;
    Resources capacity;
    for (const auto &worker : cell.workers()) {
        reserved += cell.state().jobs().reservedOn(worker.number);
        capacity += worker.capacity;
    }
    return reserved.dominantShareOf(capacity);
}

double packingOfNaive(const SchedulerFixture &cell, scheduling::ReferenceScheduler *naive)
{
    Resources reserved;
    Resources capacity;
    for (const auto &worker : cell.workers()) {
        reserved += cell.state().jobs().reservedOn(worker.number);
        capacity += worker.capacity;
    }
    for (const auto &start : naive->plan(cell.state().jobs(), cell.state().config(), 100000)) {
        const state::Job &job = *cell.state().jobs().find(start.task.job);
        reserved += job.reservation(job.tasks[start.task.index]);
    }
    return reserved.dominantShareOf(capacity);
}

// Compares how densely a small cell is packed with the result of the reference scheduler for the
// same jobs.
void comparePacking(std::mt19937 *random)
{
    double ourPacking = 0;
    double naive = 0;
    for (int round = 0; round < 5; round++) {
        SchedulerFixture cell({ { .name = "team0" }, { .name = "team1" } });
        for (int i = 0; i < 24; i++)
            cell.addWorker({ 32000, 65536, 0 });
        for (int i = 0; i < 120; i++)
            cell.submit("team" + std::to_string(i % 2), schema::BATCH, 1 + (*random)() % 4,
                { static_cast<int64_t>(500 + (*random)() % 16 * 500),
                    static_cast<int64_t>(1000 + (*random)() % 16 * 1000), 0 });
        scheduling::ReferenceScheduler naiveScheduler(cell.workers());
        naive += packingOfNaive(cell, &naiveScheduler);
        while (!cell.plan().starts.empty()) {
        }
        ourPacking += packingOf(cell);
    }
    report("packing", ourPacking / 5);
    report("packing_vs_naive", ourPacking / naive);
}

} // namespace

void benchPlacement()
{
    std::mt19937 random(20261204);
    SchedulerFixture cell = makeCell();
    submitTasks(cell, RunningTasks, &random);
    while (!cell.plan().starts.empty()) {
    }
    submitTasks(cell, WaitingTasks, &random);
    report("workers", WorkerCount);
    report("running_tasks", static_cast<double>(cell.state().jobs().runningTasks()));
    report("waiting_tasks", static_cast<double>(cell.state().jobs().waitingTasks()));

    scheduling::ReferenceScheduler naive(cell.workers());
    constexpr size_t NaiveStarts = 4;
    const double naiveMs =
        measureMs([&] { naive.plan(cell.state().jobs(), cell.state().config(), NaiveStarts); });
    const double naivePerSecond = NaiveStarts * 1000 / naiveMs;

    LatencyHistogram rounds;
    size_t starts = 0;
    double totalMs = 0;
    for (int round = 0; round < 200; round++) {
        size_t started = 0;
        const double ms = measureMs([&] { started = cell.plan().starts.size(); });
        if (started == 0)
            break;
        starts += started;
        totalMs += ms;
        // The decisions of a round are available when the round ends, so each counts its full time.
        for (size_t i = 0; i < started; i++)
            rounds.add(ms);
    }
    report("placements", static_cast<double>(starts));
    report("placements_per_s", static_cast<double>(starts) * 1000 / totalMs);
    report("p99_ms", rounds.percentile(0.99));
    report("naive_placements_per_s", naivePerSecond);
    report("speedup_vs_naive", static_cast<double>(starts) * 1000 / totalMs / naivePerSecond);
    comparePacking(&random);
}

} // namespace basilgap::benchmarks
