// Two core machines are stopped and started again together, as in a rolling restart of two at a
// time, while tasks end; one of the two leads.
#include <csignal>

#include "Cases.h"

namespace review {

namespace {

// Of stilewright-wa-grown.
constexpr const char *GrownBounds =
    "  seed_lag_s: 3\n  contact_ms: 4000\n  ack_timeout_ms: 5000\n  catch_up_s: 6\n"
    "  drain_ms: 2500\n  grace_s: 6\n  config_apply_ms: 2500\n  evacuate_ms: 5000\n"
    "  max_hold_ms: 10000\n  stop_timeout_ms: 900\n  gang_timeout_ms: 4000\n"
    "  cancel_ms: 4000\n  visible_ms: 3000\n  finish_s: 14\n  status_s: 120\n"
    "  require_fencing: true\n  lease_ms: 3000\n";

constexpr int Cores = 9;
constexpr int Executors = 4;
constexpr int Tasks = 48;
constexpr int64_t WorkMs = 3000;
constexpr int64_t FirstEndMs = WorkMs * 5 / 6;
constexpr int64_t BeforeFirstEndMs = 150;
constexpr const char *Path = "/lohu930/5c0e7a21d94b36f8";

} // namespace

int runHandOver(const std::string &folder)
{
    Loop loop;
    Record record(loop, folder + "/record.txt");
    std::map<std::string, int> doneRuns;
    std::map<std::string, int> running;
    std::set<std::string> started;
    std::set<std::string> again;
    std::set<std::string> notedDone;
    int lapses = 0;
    RunEvents events;
    events.onStart = [&](const std::string &executor, const std::string &, const std::string &task,
                         uint32_t run) {
        started.insert(task);
        record.line("run of " + task + " number " + std::to_string(run) + " begins on " + executor);
        if (running[task]++ > 0 || doneRuns[task] > 0) {
            again.insert(task);
            record.line("AGAIN: " + task
                + (doneRuns[task] > 0 ? " begins after a run of it has ended done"
                                      : " runs twice at the same time"));
        }
    };
    events.onEnd = [&](const std::string &executor, const std::string &task, uint32_t run,
                       const std::string &how) {
        running[task]--;
        doneRuns[task] += how == "done" ? 1 : 0;
        lapses += how == "lapsed" ? 1 : 0;
        record.line("run of " + task + " number " + std::to_string(run) + " ends " + how + " on "
            + executor);
    };
    events.onNoted = [&](const std::string &executor, const std::string &task, uint32_t run,
                         const std::string &how) {
        record.line("end of " + task + " number " + std::to_string(run) + " (" + how
            + ") is taken note of at " + executor);
        if (how == "done" && run == 1)
            notedDone.insert(task);
    };
    Cell cell(loop, record, { .cores = Cores, .toleratedMachines = 2, .bounds = GrownBounds });
    std::vector<std::unique_ptr<Executor>> executors;
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
    loop.runFor(6000);
    int accepted = 0;
    call(loop, record, cell.front(0), "POST", Path, job(WorkMs, { Tasks }, 2000, 256),
        [&](const Answer &answer) { accepted = answer.status; });
    if (!loop.waitFor(4000, [&] { return accepted != 0; }) || accepted != 200)
        return ExitCouldNotRun;
    const int64_t firstStart = loop.now();
    if (!loop.waitFor(5000, [&] { return static_cast<int>(started.size()) == Tasks; }))
        return ExitCouldNotRun;
    loop.runFor(firstStart + FirstEndMs - BeforeFirstEndMs - loop.now());
    const int leader = cell.leader();
    if (leader < 0)
        return ExitCouldNotRun;
    if (withTrouble()) {
        const int other = leader == 0 ? 1 : 0;
        for (const int core : { other, leader })
            cell.kill(cell.corePid(core), SIGTERM,
                "SIGTERM core-" + std::to_string(core) + (core == leader ? ", which leads" : ""));
        loop.after(6000, [&cell, other, leader] {
            for (const int core : { other, leader }) {
                if (!cell.isAlive(cell.corePid(core)))
                    cell.restartCore(core);
            }
        });
    }
    bool completed = false;
    int64_t next = 0;
    loop.waitFor(40000, [&] {
        if (loop.now() >= next) {
            next = loop.now() + 2000;
            call(loop, record, cell.front(1), "GET", Path, "", [&](const Answer &answer) {
                completed = completed || answer.body.find("completed") != std::string::npos;
            });
        }
        return completed;
    });
    loop.runFor(1500);
    int violations = 0;
    for (const std::string &task : again)
        violations += doneRuns[task] > 0 && notedDone.contains(task) ? 1 : 0;
    record.line("tasks " + std::to_string(started.size()) + ", begun again after `done`: "
        + std::to_string(again.size()) + ", of these with the first end taken note of: "
        + std::to_string(violations) + ", leases lapsed: " + std::to_string(lapses)
        + (completed ? ", job shown as completed" : ", job not completed"));
    return violations > 0 ? ExitBroken : completed ? ExitHeld : ExitCouldNotRun;
}

} // namespace review
