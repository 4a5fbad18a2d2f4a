// Executors crash just before an order reaches them, and come back; the job, whose task never
// began, is shown as failed.
#include "Cases.h"

namespace review {

namespace {

constexpr int Executors = 12;
constexpr int64_t DownMs = 1000;
constexpr int Crashes = 2;
constexpr const char *Path = "/lohu930/5c0e7a21d94b36f8";

} // namespace

int runCrashes(const std::string &folder)
{
    Loop loop;
    Record record(loop, folder + "/record.txt");
    std::vector<std::unique_ptr<Executor>> executors;
    std::set<std::string> crashing;
    int crashes = 0;
    int starts = 0;
    int failedEnds = 0;
    RunEvents events;
    events.onOrder = [&](const std::string &id, const std::string &task, uint32_t run) {
        const std::string name = "order to start " + task + " number " + std::to_string(run);
        // A repeated order to an executor that is about to be gone.
        if (crashing.contains(id))
            return true;
        if (!withTrouble() || crashes >= Crashes) {
            record.line(name + " reaches " + id);
            return false;
        }
        crashes++;
        crashing.insert(id);
        record.line(name + " finds " + id + " crashed");
        loop.after(0, [&, id] {
            crashing.erase(id);
            for (const auto &executor : executors) {
                if (executor->id() == id)
                    executor->crash(DownMs);
            }
        });
        return true;
    };
    events.onStart = [&](const std::string &id, const std::string &, const std::string &task,
                         uint32_t run) {
        starts++;
        record.line("run of " + task + " number " + std::to_string(run) + " begins on " + id);
    };
    events.onEnd = [&](const std::string &id, const std::string &task, uint32_t run,
                       const std::string &how) {
        failedEnds += how == "failed" ? 1 : 0;
        record.line(
            "run of " + task + " number " + std::to_string(run) + " ends " + how + " on " + id);
    };
    Cell cell(loop, record, {});
    for (int i = 0; i < Executors; i++)
        executors.push_back(std::make_unique<Executor>(loop, record,
            Executor::Options{ .id = "i-" + std::to_string(1000 + i),
                .address = cell.executorAddress(i),
                .zone = "howrah-ghat",
                .controls = cell.controls() },
            events));
    bool configured = false;
    operate(loop, record, cell.controls(), "PUT", "/config",
        configuration(1, { { "r-cpihhac", "/lohu930/" } }), 15000,
        [&](const Answer &answer) { configured = answer.status == 200; });
    if (!loop.waitFor(20000, [&] { return configured; }))
        return ExitCouldNotRun;
    loop.runFor(3000);
    int accepted = 0;
    call(loop, record, cell.front(0), "POST", Path, job(800, { 1 }, 1000, 256),
        [&](const Answer &answer) { accepted = answer.status; });
    if (!loop.waitFor(4000, [&] { return accepted != 0; }) || accepted != 200)
        return ExitCouldNotRun;
    std::string state;
    int64_t next = 0;
    loop.waitFor(60000, [&] {
        if (loop.now() >= next) {
            next = loop.now() + 1000;
            call(loop, record, cell.front(1), "GET", Path, "",
                [&](const Answer &answer) { state = answer.body; });
        }
        return state.find("completed") != std::string::npos
            || state.find("failed") != std::string::npos;
    });
    const bool isFailed = state.find("failed") != std::string::npos;
    record.line("state " + state + ", runs that began: " + std::to_string(starts)
        + ", ends `failed`: " + std::to_string(failedEnds)
        + ", crashes of executors: " + std::to_string(crashes));
    if (isFailed && failedEnds == 0)
        return ExitBroken;
    return state.find("completed") != std::string::npos ? ExitHeld : ExitCouldNotRun;
}

} // namespace review
