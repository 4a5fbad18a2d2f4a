// LOST: after some tasks that last have failed, no executor takes a task any more, though all are
// sound and more than half of their room is free.

#include <algorithm>
#include <map>
#include <set>

#include "Cases.h"

namespace review {

namespace {

constexpr const char *WatchQueue = "shire-watch";
constexpr const char *QuoteQueue = "spot-quote";
constexpr int Executors = 4;
constexpr int64_t ExecutorCpu = 32000;
// 112 tasks take 56 of 128 cores.
constexpr int Jobs = 14;
constexpr int TasksOfJob = 8;
constexpr int64_t TaskCpu = 500;
// Of 112 first runs at most 11 fail: the site has 0.1.
constexpr int MaxFailures = 11;
constexpr int64_t RestartMs = 5000;
constexpr int64_t BetweenFailuresMs = 1500;
// RULES, LOST: from 6 s after its last run, for 3 s; other jobs `finish_s` after the traffic.
constexpr int64_t MaxAwayMs = 6000 + 3000;
constexpr int64_t MaxQuoteMs = 14000 + 3000;
constexpr int64_t WatchMs = 20000;

std::string jobOf(const std::string &task)
{
    return task.substr(0, task.find('.'));
}

std::vector<std::string> allWatches()
{
    std::vector<std::string> tasks;
    for (int job = 0; job < Jobs; job++) {
        for (int i = 0; i < TasksOfJob; i++)
            tasks.push_back(Cell::taskOf(Cell::jobId(job), i));
    }
    return tasks;
}

int64_t freeCpu(const std::vector<Executor *> &executors)
{
    int64_t free = 0;
    for (const Executor *executor : executors)
        free += ExecutorCpu - static_cast<int64_t>(executor->tasks().size()) * TaskCpu;
    return free;
}

// Tasks that last fail, one after the other: each time on the executor where the fewest have failed
// so far, and there one of a job that has not failed there yet. An executor keeps at least one
// task. Returns the number of failures.
int failWatches(Cell &cell, const std::vector<Executor *> &executors)
{
    std::map<const Executor *, std::set<std::string>> failedJobs;
    for (int failures = 0; failures < MaxFailures; failures++) {
        Executor *next = nullptr;
        for (Executor *executor : executors) {
            if (executor->tasks().size() >= 2
                && (next == nullptr || failedJobs[executor].size() < failedJobs[next].size()))
                next = executor;
        }
        std::string failed;
        for (const std::string &task : next->tasks()) {
            if (failed.empty() && failedJobs[next].insert(jobOf(task)).second)
                failed = task;
        }
        if (failed.empty())
            return failures;
        next->endTask(failed, "failed");
        const bool isBack =
            Cell::waitFor(RestartMs, [&] { return cell.runs().running(failed).has_value(); });
        if (!isBack)
            return failures + 1;
        sleepMs(BetweenFailuresMs);
    }
    return MaxFailures;
}

} // namespace

bool runFailingWatches(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = WatchQueue,
                     .route = "r-v3nax7u",
                     .priority = 1,
                     .slackFactor = 2.2,
                     .targetLatencyMs = 2500 },
        { .name = QuoteQueue,
            .route = "r-cpihhac",
            .priority = 0,
            .slackFactor = 1.5,
            .targetLatencyMs = 250 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(
            &cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }, ExecutorCpu));
    sleepMs(3000);
    for (int job = 0; job < Jobs; job++)
        cell.submit(WatchQueue, Cell::jobId(job), "lasts",
            { { .count = TasksOfJob, .cpu = TaskCpu, .estimateMs = 320, .longRunning = true } });
    const std::vector<std::string> watches = allWatches();
    const bool allRun = Cell::waitFor(20000, [&] {
        return std::all_of(watches.begin(), watches.end(),
            [&](const std::string &task) { return cell.runs().running(task).has_value(); });
    });
    if (!allRun)
        throw CannotRun{ "the tasks did not all start" };
    cell.record().add("cell all tasks that last run");
    sleepMs(1000);
    const int failures = hasTrouble ? failWatches(cell, executors) : 0;
    cell.record().add("cell " + std::to_string(failures) + " tasks have failed");
    const std::string quote = Cell::jobId(1000);
    cell.submit(QuoteQueue, quote, "work 800", { { .cpu = 2300, .estimateMs = 800 } });
    const int64_t begin = nowMs();
    bool held = true;
    while (nowMs() < begin + WatchMs) {
        for (const std::string &task : watches) {
            const Run last = cell.runs().of(task).back();
            const bool isAway = last.endedAt && nowMs() - *last.endedAt > MaxAwayMs;
            if (!isAway || freeCpu(executors) < 2 * TaskCpu)
                continue;
            if (held)
                cell.record().add("rule " + task + " has not run for over 9 s, with "
                    + std::to_string(freeCpu(executors)) + " thousandths of a core free");
            held = false;
        }
        sleepMs(200);
    }
    const bool hasQuoteBegun = !cell.runs().of(Cell::taskOf(quote, 0)).empty();
    const std::string state = cell.stateOf(QuoteQueue, quote);
    cell.record().add("rule the urgent job is " + state + " " + std::to_string(nowMs() - begin)
        + " ms after it was accepted");
    if (!hasQuoteBegun && nowMs() - begin > MaxQuoteMs)
        held = false;
    for (const std::string &task : watches) {
        const Run last = cell.runs().of(task).back();
        if (last.endedAt)
            cell.record().add("rule at the end " + task + " has not run for "
                + std::to_string(nowMs() - *last.endedAt) + " ms");
    }
    for (const Executor *executor : executors)
        cell.record().add("exec " + executor->options().id + " runs "
            + std::to_string(executor->tasks().size()) + " tasks of 64 that fit");
    return held;
}

} // namespace review
