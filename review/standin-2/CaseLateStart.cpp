// TWICE: an order to start that got no answer is carried out late, by the next life of its
// executor, while the task's next run works elsewhere.

#include <algorithm>

#include "Cases.h"

namespace review {

namespace {

constexpr const char *QueueName = "spot-quote";
constexpr int Executors = 4;
constexpr int Jobs = 70;
constexpr int64_t ShortWorkMs = 100;
constexpr int64_t WorkMs = 8000;
// `fleetbench kinds`, applied_late: carried out 2 to 12 s later.
constexpr int64_t LateMs = 4000;
constexpr int64_t DownMs = 1000;
constexpr int64_t WatchMs = 10000;

// Whether two runs of the task overlap on executors that are up.
bool hasOverlap(const std::vector<Run> &runs)
{
    for (size_t i = 0; i < runs.size(); i++) {
        for (size_t j = i + 1; j < runs.size(); j++) {
            const bool isFirstBefore = runs[i].startedAt <= runs[j].startedAt;
            const Run &first = isFirstBefore ? runs[i] : runs[j];
            const Run &second = isFirstBefore ? runs[j] : runs[i];
            if (!first.endedAt || *first.endedAt > second.startedAt)
                return true;
        }
    }
    return false;
}

} // namespace

bool runLateStart(Cell &cell, bool hasTrouble)
{
    cell.start({ { .name = QueueName,
        .route = "r-cpihhac",
        .priority = 0,
        .slackFactor = 1.5,
        .targetLatencyMs = 250 } });
    std::vector<Executor *> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(&cell.addExecutor("i-" + std::to_string(i), { "a", "r1-1" }));
    sleepMs(3000);
    // Orders that are answered.
    for (int job = 0; job < Jobs; job++)
        cell.submit(QueueName, Cell::jobId(job), "work " + std::to_string(ShortWorkMs),
            { { .count = 1, .cpu = 2300, .estimateMs = ShortWorkMs } });
    sleepMs(2000);
    const std::string job = Cell::jobId(1000);
    const std::string task = Cell::taskOf(job, 0);
    for (Executor *executor : executors)
        executor->holdBackStart(hasTrouble ? task : "");
    cell.submit(QueueName, job, "work " + std::to_string(WorkMs),
        { { .count = 1, .cpu = 2300, .estimateMs = WorkMs } });
    if (hasTrouble) {
        Executor *late = nullptr;
        const bool isHeldBack = Cell::waitFor(5000, [&] {
            for (Executor *executor : executors) {
                if (executor->hasHeldBackStart())
                    late = executor;
            }
            return late != nullptr;
        });
        if (!isHeldBack)
            throw CannotRun{ "no order was held back" };
        const int64_t heldBackAt = nowMs();
        for (Executor *executor : executors) {
            if (executor != late)
                executor->holdBackStart("");
        }
        if (!Cell::waitFor(10000, [&] { return cell.runs().running(task).has_value(); }))
            throw CannotRun{ "the task did not start again" };
        sleepMs(heldBackAt + LateMs - DownMs - nowMs());
        const std::string id = late->options().id;
        late->crash();
        sleepMs(DownMs);
        late->startAgain(id);
        late->carryOutHeldBackStart();
    }
    sleepMs(WatchMs);
    cell.stateOf(QueueName, job);
    const bool held = !hasOverlap(cell.runs().of(task));
    if (!held)
        cell.record().add(
            "rule two runs of " + task + " at the same time, on executors that are up");
    return held;
}

} // namespace review
