// LOST: jobs that were accepted never run once a configuration gives their route another name,
// though host, prefix and service stay.

#include <algorithm>

#include "Cases.h"

namespace review {

namespace {

constexpr const char *QueueName = "depot-plan";
constexpr int Executors = 4;
constexpr int Jobs = 12;
constexpr int TasksOfJob = 8;
constexpr int64_t TaskCpu = 5000;
constexpr int64_t WorkMs = 3000;
constexpr int64_t ChangeAfterMs = 1000;
// RULES, LOST: `finish_s` after the end of the traffic, for 3 s.
constexpr int64_t FinishMs = 14000;
constexpr int64_t ShortMs = 3000;

Queue queueOn(const std::string &route)
{
    return { .name = QueueName,
        .route = route,
        .priority = 2,
        .slackFactor = 2.2,
        .targetLatencyMs = 1200 };
}

bool hasRun(Cell &cell, int job)
{
    for (int i = 0; i < TasksOfJob; i++) {
        if (!cell.runs().of(Cell::taskOf(Cell::jobId(job), i)).empty())
            return true;
    }
    return false;
}

} // namespace

bool runRenamedRoute(Cell &cell, bool hasTrouble)
{
    cell.start({ queueOn("r-ruddede") });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(&cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }));
    sleepMs(3000);
    for (int job = 0; job < Jobs; job++)
        cell.submit(QueueName, Cell::jobId(job), "work " + std::to_string(WorkMs),
            { { .count = TasksOfJob, .cpu = TaskCpu, .estimateMs = WorkMs } });
    sleepMs(ChangeAfterMs);
    if (hasTrouble)
        cell.configure(4, { queueOn("r-depot") });
    // With the new configuration the queue takes and runs new jobs.
    cell.submit(QueueName, Cell::jobId(Jobs), "work " + std::to_string(WorkMs),
        { { .count = TasksOfJob, .cpu = TaskCpu, .estimateMs = WorkMs } });
    const int64_t endOfTraffic = nowMs();
    cell.record().add("call end of the traffic");
    const int64_t from = endOfTraffic + FinishMs;
    sleepMs(from - nowMs());
    std::vector<int> idle;
    for (int job = 0; job <= Jobs; job++) {
        const std::string state = cell.stateOf(QueueName, Cell::jobId(job));
        if (state != "completed")
            idle.push_back(job);
    }
    cell.callEntry(0, "GET", std::string("/") + QueueName + "/");
    // Jobs of which nothing runs for 3 s, while the executors run nothing at all.
    bool isIdle = true;
    while (nowMs() < from + ShortMs) {
        for (const Executor *executor : executors)
            isIdle = isIdle && executor->tasks().empty();
        sleepMs(50);
    }
    int lost = 0;
    for (const int job : idle)
        lost += isIdle && !hasRun(cell, job) ? 1 : 0;
    cell.record().add("rule " + std::to_string(lost) + " of " + std::to_string(Jobs + 1)
        + " accepted jobs have not begun 17 s after the end of the traffic, and from 14 s to 17 s "
          "the "
          "executors ran "
        + (isIdle ? "nothing" : "something"));
    for (int job = 0; job <= Jobs; job++)
        cell.stateOf(QueueName, Cell::jobId(job));
    return lost == 0;
}

} // namespace review
