// LOST: a task that lasts, of a queue that gives way to others, is not started again after it has
// failed, since the room is kept for urgent work that may come.

#include <algorithm>
#include <thread>

#include "Cases.h"

namespace review {

namespace {

constexpr const char *WatchQueue = "shire-watch";
constexpr const char *QuoteQueue = "spot-quote";
constexpr int Executors = 4;
constexpr int64_t ExecutorCpu = 32000;
constexpr int WatchJobs = 8;
constexpr int TasksOfWatch = 8;
constexpr int64_t WatchCpu = 1300;
// An urgent job of wide and large tasks that the site draws too, each 4.5 s.
constexpr int QuoteTasks = 16;
constexpr int64_t QuoteCpu = 6900;
constexpr int64_t QuoteMs = 800;
constexpr int64_t QuoteEveryMs = 4500;
constexpr int Quotes = 8;
constexpr int64_t AwayMs = 6000;
constexpr int64_t ShortMs = 3000;

} // namespace

bool runHeadroom(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = WatchQueue,
                     .route = "r-v3nax7u",
                     .priority = 2,
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
    std::vector<std::string> watches;
    for (int job = 0; job < WatchJobs; job++) {
        cell.submit(WatchQueue, Cell::jobId(job), "lasts",
            { { .count = TasksOfWatch, .cpu = WatchCpu, .estimateMs = 320, .longRunning = true } });
        for (int i = 0; i < TasksOfWatch; i++)
            watches.push_back(Cell::taskOf(Cell::jobId(job), i));
    }
    const bool allRun = Cell::waitFor(20000, [&] {
        return std::all_of(watches.begin(), watches.end(),
            [&](const std::string &task) { return cell.runs().running(task).has_value(); });
    });
    if (!allRun)
        throw CannotRun{ "the tasks that last did not all start" };
    cell.record().add("cell all tasks that last run");
    const std::string victim = watches.back();
    const int64_t begin = nowMs();
    int64_t shortSince = 0;
    int64_t longest = 0;
    int sent = 0;
    while (nowMs() < begin + Quotes * QuoteEveryMs) {
        if (nowMs() >= begin + sent * QuoteEveryMs) {
            cell.submit(QuoteQueue, Cell::jobId(1000 + sent), "work " + std::to_string(QuoteMs),
                { { .count = QuoteTasks,
                    .cpu = QuoteCpu,
                    .memoryMb = 1000,
                    .estimateMs = QuoteMs } });
            sent++;
            if (sent == 2 && hasTrouble) {
                sleepMs(500);
                for (Executor *executor : executors)
                    executor->endTask(victim, "failed");
            }
        }
        // How many tasks of its size fit beside all that runs.
        int64_t fits = 0;
        for (const Executor *executor : executors) {
            int64_t used = 0;
            for (const std::string &task : executor->tasks())
                used += std::find(watches.begin(), watches.end(), task) == watches.end() ? QuoteCpu
                                                                                         : WatchCpu;
            fits += std::max<int64_t>(0, ExecutorCpu - used) / WatchCpu;
        }
        const std::vector<Run> runs = cell.runs().of(victim);
        const bool isAway = runs.back().endedAt && nowMs() - *runs.back().endedAt > AwayMs;
        if (!isAway || fits < 2)
            shortSince = 0;
        else if (shortSince == 0)
            shortSince = nowMs();
        else
            longest = std::max(longest, nowMs() - shortSince);
        sleepMs(10);
    }
    cell.record().add("rule longest time in which " + victim
        + " was away, from 6 s after its last run, with room for it twice over: "
        + std::to_string(longest) + " ms");
    const std::vector<Run> runs = cell.runs().of(victim);
    if (runs.back().endedAt)
        cell.record().add("rule at the end it has not run for "
            + std::to_string(nowMs() - *runs.back().endedAt) + " ms");
    return longest <= ShortMs;
}

} // namespace review
