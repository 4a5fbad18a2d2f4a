// MIXED: a job whose first order went to an executor that was just lost is missing in the
// `waiting_count` of its queue, though it has not begun.

#include "Cases.h"

namespace review {

namespace {

constexpr const char *QueueName = "depot-plan";
constexpr int Executors = 8;
constexpr int64_t ExecutorCpu = 16000;
constexpr int64_t LongMs = 60000;
// RULES, MIXED: accepted over visible_ms + 2 s before.
constexpr int64_t CountedAfterMs = 3000 + 2000;
constexpr int64_t WatchMs = 14000;

} // namespace

bool runWaitingCount(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = QueueName,
        .route = "r-v3nax7u",
        .priority = 2,
        .slackFactor = 2.2,
        .targetLatencyMs = 1200 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(
            &cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }, ExecutorCpu));
    sleepMs(4000);
    const std::vector<Step> steps{ { .count = 1, .cpu = ExecutorCpu - 1000, .estimateMs = 15000 } };
    for (int job = 1; job < Executors; job++)
        cell.submit(QueueName, Cell::jobId(job), "work " + std::to_string(LongMs), steps);
    Executor *free = nullptr;
    const bool allRun = Cell::waitFor(10000, [&] {
        size_t running = 0;
        for (Executor *executor : executors) {
            running += executor->tasks().size();
            if (executor->tasks().empty())
                free = executor;
        }
        return running == Executors - 1;
    });
    if (!allRun)
        throw CannotRun{ "the first jobs did not all start" };
    sleepMs(1500);
    if (hasTrouble)
        free->lose();
    sleepMs(100);
    const std::string job = Cell::jobId(100);
    cell.submit(QueueName, job, "work " + std::to_string(LongMs), steps);
    const int64_t acceptedAt = nowMs();
    bool held = true;
    size_t entry = 0;
    while (nowMs() < acceptedAt + WatchMs) {
        sleepMs(250);
        const bool isWaiting =
            nowMs() - acceptedAt > CountedAfterMs && cell.runs().of(Cell::taskOf(job, 0)).empty();
        const Response answer =
            cell.callEntry(entry++, "GET", std::string("/") + QueueName + "/", "", 1000);
        const bool isCounted = answer.body.find("\"waiting_count\":0") == std::string::npos;
        if (answer.status != 200 || !isWaiting || isCounted
            || !cell.runs().of(Cell::taskOf(job, 0)).empty())
            continue;
        if (held)
            cell.record().add(
                "rule one job was accepted over 5 s before and hasn't begun; the count is 0");
        held = false;
    }
    cell.stateOf(QueueName, job);
    return held;
}

} // namespace review
