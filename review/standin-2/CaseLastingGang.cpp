// LOST: a gang of tasks that last is not started again after it has ended `done`.

#include <algorithm>

#include "Cases.h"

namespace review {

namespace {

constexpr const char *QueueName = "shire-watch";
constexpr int Executors = 4;
constexpr int Members = 4;
constexpr int64_t WatchMs = 15000;
constexpr int64_t MaxAwayMs = 6000 + 3000;

} // namespace

bool runLastingGang(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = QueueName,
        .route = "r-v3nax7u",
        .priority = 1,
        .slackFactor = 2.2,
        .targetLatencyMs = 2500 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(&cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }));
    sleepMs(3000);
    const std::string job = Cell::jobId(1);
    cell.submit(QueueName, job, "lasts",
        { { .count = Members,
            .cpu = 2000,
            .estimateMs = 320,
            .longRunning = true,
            .gang = true } });
    const auto allRun = [&] {
        for (int i = 0; i < Members; i++) {
            if (!cell.runs().running(Cell::taskOf(job, i)))
                return false;
        }
        return true;
    };
    if (!Cell::waitFor(10000, allRun))
        throw CannotRun{ "the gang did not start" };
    sleepMs(3000);
    if (hasTrouble) {
        for (Executor *executor : executors) {
            for (const std::string &task : executor->tasks())
                executor->endTask(task, "done");
        }
    }
    const int64_t end = nowMs() + WatchMs;
    bool held = true;
    while (nowMs() < end) {
        sleepMs(500);
        const std::string state = cell.stateOf(QueueName, job);
        const Run last = cell.runs().of(Cell::taskOf(job, 0)).back();
        if (last.endedAt && nowMs() - *last.endedAt > MaxAwayMs && held) {
            held = false;
            cell.record().add("rule a task that lasts has not run for over 9 s in a cell that runs "
                              "nothing; the job is shown as "
                + state);
        }
    }
    return held;
}

} // namespace review
