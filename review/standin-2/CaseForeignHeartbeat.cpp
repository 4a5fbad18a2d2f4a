// TWICE: a heartbeat of another writer, for a service that no configuration names, takes the place
// of the executor whose id it bears, and what that one runs is started again.

#include "Cases.h"

namespace review {

namespace {

constexpr const char *QueueName = "spot-quote";
constexpr int Executors = 4;
constexpr int64_t WorkMs = 8000;
constexpr int64_t WatchMs = 12000;

// Whether two runs of the task overlap. All executors of this case are up all the while.
bool hasOverlap(const std::vector<Run> &runs)
{
    for (size_t i = 0; i < runs.size(); i++) {
        for (size_t j = i + 1; j < runs.size(); j++) {
            if (!runs[i].endedAt || *runs[i].endedAt > runs[j].startedAt)
                return true;
        }
    }
    return false;
}

} // namespace

bool runForeignHeartbeat(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = QueueName,
        .route = "r-v3nax7u",
        .priority = 0,
        .slackFactor = 1.5,
        .targetLatencyMs = 250 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(&cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }));
    const std::string job = Cell::jobId(1);
    const std::string task = Cell::taskOf(job, 0);
    sleepMs(3000);
    cell.submit(QueueName, job, "work " + std::to_string(WorkMs),
        { { .count = 1, .cpu = 2300, .estimateMs = WorkMs } });
    if (!Cell::waitFor(10000, [&] { return cell.runs().running(task).has_value(); }))
        throw CannotRun{ "the task did not start" };
    sleepMs(2000);
    for (const Executor *executor : executors) {
        if (!hasTrouble || !executor->runs(task))
            continue;
        const std::string body = executor->heartbeat("ledger-of-another", unixMs(), 1);
        cell.record().add(
            "beat another writer sends PUT /instances/" + executor->options().id + " " + body);
        const Response answer =
            call(cell.controls()[0], "PUT", "/instances/" + executor->options().id, body, 1000);
        cell.record().add("beat -> " + std::to_string(answer.status) + " " + answer.body);
    }
    const int64_t end = nowMs() + WatchMs;
    while (nowMs() < end)
        sleepMs(100);
    cell.stateOf(QueueName, job);
    const bool held = !hasOverlap(cell.runs().of(task));
    if (!held)
        cell.record().add(
            "rule two runs of " + task + " at the same time, on executors that are up");
    return held;
}

} // namespace review
