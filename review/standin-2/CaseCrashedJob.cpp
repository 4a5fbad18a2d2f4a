// LOST: a job is shown as failed though no run of it has ended so: the only executor with the label
// that it requires crashed a few times.

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
constexpr int64_t LifeMs = 450;
constexpr int64_t DownMs = 1000;
constexpr int64_t CrashingMs = 12000;
constexpr int64_t WorkMs = 800;
constexpr int64_t WatchMs = 20000;

} // namespace

bool runCrashedJob(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = QueueName,
        .route = "r-cpihhac",
        .priority = 0,
        .slackFactor = 1.5,
        .targetLatencyMs = 250 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(
            &cell.addExecutor("i-" + std::to_string(i), { i == 0 ? "b" : "a", "r1-1" }));
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
    const std::string job = Cell::jobId(1);
    const std::string task = Cell::taskOf(job, 0);
    cell.submit(QueueName, job, "work " + std::to_string(WorkMs),
        { { .count = 1, .cpu = 2300, .estimateMs = WorkMs, .requiredLabel = "b" } });
    sleepMs(CrashingMs);
    loop.request_stop();
    loop.join();
    if (hasFailed)
        throw CannotRun{ "the executor could not start again" };
    cell.record().add("exec i-0 crashes no more");
    std::string state;
    Cell::waitFor(WatchMs, [&] {
        sleepMs(500);
        state = cell.stateOf(QueueName, job);
        return state == "completed" || state == "failed";
    });
    const std::vector<Run> runs = cell.runs().of(task);
    const bool hasFailedRun =
        std::any_of(runs.begin(), runs.end(), [](const Run &run) { return run.how == "failed"; });
    if (state != "failed" && state != "completed")
        throw CannotRun{ "the job did not end" };
    if (state == "failed")
        cell.record().add("rule the job is shown as failed; of its " + std::to_string(runs.size())
            + " runs " + (hasFailedRun ? "some" : "none") + " have ended failed");
    return state == "completed" || hasFailedRun;
}

} // namespace review
