// LOST: tasks that were ordered on an executor which crashes again and again aren't started
// elsewhere as long as it does, though all other executors are idle.

#include <algorithm>
#include <atomic>
#include <exception>
#include <thread>

#include "Cases.h"

namespace review {

namespace {

constexpr const char *QueueName = "spot-quote";
constexpr int Executors = 8;
// Each life of the executor ends this long after it began, and the next one begins DownMs later.
constexpr int64_t LifeMs = 250;
constexpr int64_t DownMs = 1000;
// Each task takes more than half of an executor.
constexpr int Jobs = 80;
constexpr int64_t EveryMs = 100;
constexpr int64_t TaskCpu = 17000;
constexpr int64_t WorkMs = 800;
// RULES, LOST: `finish_s` after the end of the traffic, for 3 s.
constexpr int64_t FinishMs = 14000;
constexpr int64_t ShortMs = 3000;
constexpr int64_t WatchMs = 15000;

// Whether a run of the task overlaps the time, or it was done before.
bool ranBy(const std::vector<Run> &runs, int64_t from, int64_t until)
{
    return std::any_of(runs.begin(), runs.end(), [&](const Run &run) {
        const bool isDoneBefore = run.how == "done" && run.endedAt && *run.endedAt < until;
        return isDoneBefore || (run.startedAt < until && (!run.endedAt || *run.endedAt > from));
    });
}

} // namespace

bool runCrashLoop(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = QueueName,
        .route = "r-v3nax7u",
        .priority = 0,
        .slackFactor = 1.5,
        .targetLatencyMs = 250 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(&cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }));
    sleepMs(4000);
    std::atomic<bool> hasFailed = false;
    std::jthread loop([&](const std::stop_token &stop) {
        try {
            while (hasTrouble && !stop.stop_requested()) {
                executors[0]->crash();
                sleepMs(DownMs);
                executors[0]->startAgain("i-0");
                sleepMs(LifeMs);
            }
        } catch (const std::exception &) {
            hasFailed = true;
        }
    });
    std::vector<std::string> tasks;
    for (int job = 0; job < Jobs; job++) {
        cell.submit(QueueName, Cell::jobId(job), "work " + std::to_string(WorkMs),
            { { .count = 1, .cpu = TaskCpu, .estimateMs = WorkMs } });
        tasks.push_back(Cell::taskOf(Cell::jobId(job), 0));
        sleepMs(EveryMs);
    }
    const int64_t from = nowMs() + FinishMs;
    const int64_t until = from + ShortMs;
    cell.record().add("call end of the traffic");
    sleepMs(until - nowMs());
    int missing = 0;
    for (const std::string &task : tasks) {
        if (ranBy(cell.runs().of(task), from, until))
            continue;
        missing++;
        cell.record().add(
            "rule " + task + " did not run from 14 s to 17 s after the end of the traffic");
    }
    size_t used = 0;
    for (size_t i = 1; i < executors.size(); i++)
        used += executors[i]->tasks().size();
    cell.record().add("rule " + std::to_string(missing)
        + " tasks are missing; the 7 executors that are "
          "sound run "
        + std::to_string(used) + " tasks");
    for (int job = 0; job < Jobs; job++)
        cell.stateOf(QueueName, Cell::jobId(job));
    loop.request_stop();
    loop.join();
    if (hasFailed)
        throw CannotRun{ "the executor could not start again" };
    cell.record().add("exec i-0 crashes no more");
    Cell::waitFor(WatchMs, [&] {
        return std::all_of(tasks.begin(), tasks.end(),
            [&](const std::string &task) { return ranBy(cell.runs().of(task), nowMs(), nowMs()); });
    });
    for (int job = 0; job < Jobs; job++)
        cell.stateOf(QueueName, Cell::jobId(job));
    return missing == 0 || used > 0;
}

} // namespace review
