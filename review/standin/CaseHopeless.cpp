// An urgent job that can never be done keeps a job that could be done from starting.
#include "Cases.h"

namespace review {

namespace {

constexpr int Executors = 4;
constexpr int64_t RoomCpu = 32000;
constexpr int ServiceTasks = 18;
constexpr int64_t ServiceCpu = 3200;
constexpr int64_t BatchCpu = 24000;
constexpr int64_t FinishMs = 14000;
constexpr int64_t IdleMs = 3000;
constexpr const char *UrgentPath = "/lohu930/00000000000000a1";
constexpr const char *ServicePath = "/pule252/00000000000000b2";
constexpr const char *BatchPath = "/pufi791/00000000000000c3";

std::string jobOf(const std::string &workMs, const std::string &fields)
{
    return R"({"spec":")" + workMs + R"(","steps":[{)" + fields + "}]}";
}

} // namespace

int runHopeless(const std::string &folder)
{
    Loop loop;
    Record record(loop, folder + "/record.txt");
    int serviceRuns = 0;
    int batchStarts = 0;
    RunEvents events;
    events.onStart = [&](const std::string &id, const std::string &, const std::string &task,
                         uint32_t run) {
        serviceRuns += task.starts_with("00000000000000b2") ? 1 : 0;
        batchStarts += task.starts_with("00000000000000c3") ? 1 : 0;
        record.line("run of " + task + " number " + std::to_string(run) + " begins on " + id);
    };
    events.onEnd = [&](const std::string &id, const std::string &task, uint32_t run,
                       const std::string &how) {
        record.line(
            "run of " + task + " number " + std::to_string(run) + " ends " + how + " on " + id);
    };
    Cell cell(loop, record, {});
    std::vector<std::unique_ptr<Executor>> executors;
    for (int i = 0; i < Executors; i++)
        executors.push_back(std::make_unique<Executor>(loop, record,
            Executor::Options{ .id = "i-" + std::to_string(1000 + i),
                .address = cell.executorAddress(i),
                .zone = "howrah-ghat",
                .controls = cell.controls(),
                .cpu = RoomCpu },
            events));
    int configured = 0;
    operate(loop, record, cell.controls(), "PUT", "/config",
        configuration(1,
            { { "r-cpihhac", "/lohu930/", 0 }, { "r-ruddede", "/pufi791/", 2 },
                { "r-v3nax7u", "/pule252/", 1 } }),
        15000, [&](const Answer &answer) { configured = answer.status; });
    if (!loop.waitFor(20000, [&] { return configured != 0; }) || configured != 200)
        return ExitCouldNotRun;
    loop.runFor(3000);
    const auto submit = [&](const char *path, const std::string &body) {
        int status = 0;
        call(loop, record, cell.front(0), "POST", path, body,
            [&](const Answer &answer) { status = answer.status; });
        return loop.waitFor(4000, [&] { return status != 0; }) && status == 200;
    };
    // A service that uses 45 of 100 of the room: two executors stay empty.
    if (!submit(ServicePath,
            jobOf("0",
                R"("count":)" + std::to_string(ServiceTasks) + R"(,"cpu":)"
                    + std::to_string(ServiceCpu)
                    + R"(,"mem_mb":256,"estimate_ms":1500,"long_running":true)")))
        return ExitCouldNotRun;
    if (!loop.waitFor(5000, [&] { return serviceRuns >= ServiceTasks; }))
        return ExitCouldNotRun;
    // Its tasks need more than any executor has.
    const std::string hopeless = R"("count":4,"cpu":)" + std::to_string(RoomCpu + 8000)
        + R"(,"mem_mb":256,"estimate_ms":1500)";
    if (withTrouble() && !submit(UrgentPath, jobOf("1500", hopeless)))
        return ExitCouldNotRun;
    loop.runFor(500);
    if (!submit(BatchPath,
            jobOf("1500",
                R"("count":1,"cpu":)" + std::to_string(BatchCpu)
                    + R"(,"mem_mb":256,"estimate_ms":1500)")))
        return ExitCouldNotRun;
    record.line("end of the traffic");
    loop.runFor(FinishMs);
    std::string state;
    call(loop, record, cell.front(1), "GET", BatchPath, "",
        [&](const Answer &answer) { state = answer.body; });
    loop.runFor(IdleMs);
    call(loop, record, cell.front(1), "GET", BatchPath, "",
        [&](const Answer &answer) { state = answer.body; });
    loop.runFor(500);
    size_t empty = 0;
    for (const auto &executor : executors)
        empty += executor->running() == 0 ? 1 : 0;
    record.line("finish_s and 3 s after the end of the traffic: state " + state + ", starts "
        + std::to_string(batchStarts) + ", executors without a run " + std::to_string(empty)
        + ", in use " + std::to_string(ServiceTasks * ServiceCpu) + " of "
        + std::to_string(Executors * RoomCpu));
    return batchStarts == 0 && empty >= 2 ? ExitBroken : ExitHeld;
}

} // namespace review
