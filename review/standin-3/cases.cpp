// The cases of the third review that are scripts. Usage: case NAME FOLDER, from the top of the
// repository. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
// TROUBLE=0 leaves the disruption out.

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

#include "Cell.h"

namespace review {
namespace {

using namespace basilgap;

constexpr int Held = 0;
constexpr int Broken = 1;
constexpr int CouldNotRun = 2;

bool hasTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

int end(Cell &cell, int status, const std::string &why)
{
    cell.record().add((status == Broken        ? "BROKEN: "
                              : status == Held ? "HELD: "
                                               : "NOT RUN: ")
        + why);
    std::cout << (status == Broken ? "broken: "
            : status == Held       ? "held: "
                                   : "not run: ")
              << why << std::endl;
    return status;
}

// Adds executors at hosts 31, 32 and so on.
void addExecutors(Cell &cell, int count, const ExecutorOptions &common = {})
{
    for (int i = 1; i <= count; i++) {
        ExecutorOptions options = common;
        options.name = "i-" + std::to_string(100 + i);
        options.address = cell.ip(30 + i) + ":8080";
        cell.addExecutor(options);
    }
}

// LOST: a job whose executors crash, one after the other, is shown as failed.
int crashes(const std::string &folder)
{
    // Of a task that lasts.
    constexpr int LastsMs = 600000;
    Cell cell(folder, 1);
    addExecutors(cell, 8);
    if (!cell.configure({ Queue{} }))
        return end(cell, CouldNotRun, "the cell did not take its configuration");
    cell.runFor(Millis(3000));
    const std::string path = "/spot/" + Cell::jobId(1);
    if (cell.call(
                1, "POST", path, Cell::job(1, 2000, LastsMs, "\"long_running\":true"), Millis(3000))
            .status
        != 200)
        return end(cell, CouldNotRun, "the job was not accepted");
    // One of eight executors at a time: the one that runs the task crashes 150 ms after its start,
    // and is back 2 s later.
    constexpr int Crashes = 4;
    const std::string task = Cell::jobId(1) + ".0.0.0";
    for (int i = 0; hasTrouble() && i < Crashes; i++) {
        const size_t begun = cell.runs().begunOf(Cell::jobId(1));
        const auto isThere = [&] {
            return cell.runs().begunOf(Cell::jobId(1)) > static_cast<size_t>(i);
        };
        if (begun <= static_cast<size_t>(i) && !cell.waitUntil(isThere, Millis(15000)))
            break;
        cell.runFor(Millis(150));
        Executor *hit = nullptr;
        for (const auto &executor : cell.executors()) {
            if (executor->isUp() && executor->runs(task))
                hit = executor.get();
        }
        if (hit == nullptr)
            break;
        hit->crash();
        cell.runFor(Millis(2000));
        hit->revive();
    }
    // visible_ms and a run's way to a new executor after the last crash.
    cell.runFor(Millis(12000));
    const std::string state = cell.call(1, "GET", path, "", Millis(3000)).body;
    const auto runsNow = std::any_of(cell.executors().begin(), cell.executors().end(),
        [&](const auto &executor) { return executor->runs(task); });
    const size_t failedRuns = cell.runs().endedOf(Cell::jobId(1), "failed");
    const std::string figures = std::to_string(cell.runs().begunOf(Cell::jobId(1)))
        + " runs, ended failed: " + std::to_string(failedRuns) + ", shown: " + state
        + (runsNow ? ", runs now" : ", runs nowhere");
    return end(cell, state.find("failed") != std::string::npos && failedRuns == 0 ? Broken : Held,
        figures);
}

// MIXED: waiting_count leaves out jobs of which no task has begun.
int waitingCount(const std::string &folder)
{
    constexpr int Executors = 12;
    constexpr int Jobs = 12;
    Cell cell(folder, 1);
    addExecutors(cell, Executors);
    if (!cell.configure({ Queue{}, Queue{ .name = "plan", .prefix = "/plan/", .priority = 1 } }))
        return end(cell, CouldNotRun, "the cell did not take its configuration");
    cell.runFor(Millis(3000));
    // All executors but one are full.
    for (int i = 1; i < Executors; i++) {
        const std::string path = "/plan/" + Cell::jobId(100 + i);
        if (cell.call(1, "POST", path, Cell::job(1, 16000, 30000), Millis(3000)).status != 200)
            return end(cell, CouldNotRun, "a job was not accepted");
    }
    const auto isFull = [&] { return cell.runs().begun.size() == Executors - 1; };
    if (!cell.waitUntil(isFull, Millis(5000)))
        return end(cell, CouldNotRun, "the tasks that fill the executors have not begun");
    Executor *empty = nullptr;
    for (const auto &executor : cell.executors()) {
        if (executor->isEmpty())
            empty = executor.get();
    }
    if (hasTrouble())
        empty->setUnhealthy(true);
    const Millis unhealthySince = steadyNow();
    for (int i = 1; i <= Jobs; i++) {
        const std::string path = "/spot/" + Cell::jobId(i);
        if (cell.call(1, "POST", path, Cell::job(1, 1000, 500), Millis(3000)).status != 200)
            return end(cell, CouldNotRun, "a job was not accepted");
    }
    // visible_ms + 2 s after the last acceptance; the executor is unhealthy for 6.5 s.
    cell.runFor(Millis(5400));
    size_t notBegun = 0;
    for (int i = 1; i <= Jobs; i++)
        notBegun += cell.runs().begunOf(Cell::jobId(i)) == 0 ? 1 : 0;
    const network::HttpResponse answer = cell.call(1, "GET", "/spot/", "", Millis(3000));
    size_t shown = 0;
    if (answer.status != 200
        || std::sscanf(answer.body.c_str(), "{\"waiting_count\":%zu}", &shown) != 1)
        return end(cell, CouldNotRun, "the count was not answered");
    cell.runFor(Millis(6500) - (steadyNow() - unhealthySince));
    if (hasTrouble())
        empty->setUnhealthy(false);
    cell.record().add("starts refused with 503: " + std::to_string(empty->refusedStarts()));
    const std::string figures = std::to_string(notBegun) + " jobs had not begun, waiting_count was "
        + std::to_string(shown);
    if (shown * 2 < notBegun)
        return end(cell, Broken, figures);
    return end(cell, Held, figures);
}

// UNASKED: jobs that were cancelled while the leader stood still run.
int canceledRuns(const std::string &folder)
{
    constexpr int Jobs = 48;
    // A quarter of the clients leave.
    constexpr int StayingPart = 4;
    constexpr int TaskMs = 15000;
    // Half of the objective of 250 ms.
    constexpr Millis ClientPatience{ 125 };
    constexpr Millis FreezeTime{ 4000 };
    // After a stretch of cancel_ms and stop_timeout_ms that begins contact_ms after the freeze.
    constexpr Millis CheckedAfter{ 11000 };
    Cell cell(folder, 1);
    addExecutors(cell, 8);
    if (!cell.configure({ Queue{} }))
        return end(cell, CouldNotRun, "the cell did not take its configuration");
    cell.runFor(Millis(3000));
    const int leader = cell.leader();
    if (leader == 0)
        return end(cell, CouldNotRun, "nobody leads");
    const Millis frozenAt = steadyNow();
    if (hasTrouble()) {
        cell.control(leader).signal(SIGSTOP);
        cell.record().add(
            "control " + std::to_string(leader) + ", which leads, stands still for 4 s");
    }
    // Each client hands a job in. Those that leave cancel theirs at the same entry.
    std::map<std::string, int> submitted;
    std::map<std::string, int> canceled;
    std::map<std::string, Millis> canceledAt;
    std::vector<std::string> left;
    const std::string body = Cell::job(1, 1000, TaskMs);
    for (int i = 0; i < Jobs; i++) {
        const std::string id = Cell::jobId(i);
        const bool isLeaving = i % StayingPart == 0;
        if (isLeaving)
            left.push_back(id);
        cell.send(1, "POST", "/spot/" + id, body, isLeaving ? ClientPatience : Millis(3000),
            [&, id](const network::HttpResponse &answer) { submitted[id] = answer.status; });
    }
    const auto haveLeft = [&] {
        return std::all_of(left.begin(), left.end(),
            [&](const std::string &id) { return submitted.contains(id); });
    };
    cell.waitUntil(haveLeft, Millis(5000));
    for (const std::string &id : left) {
        cell.send(1, "DELETE", "/spot/" + id, "", Millis(3000),
            [&, id](const network::HttpResponse &answer) {
                canceled[id] = answer.status;
                canceledAt[id] = steadyNow();
            });
    }
    cell.waitUntil(
        [&] { return canceled.size() == left.size() && submitted.size() == Jobs; }, Millis(8000));
    cell.runFor(FreezeTime - (steadyNow() - frozenAt));
    if (hasTrouble()) {
        cell.control(leader).signal(SIGCONT);
        cell.record().add("control " + std::to_string(leader) + " wakes");
    }
    Millis last;
    for (const auto &[id, at] : canceledAt)
        last = std::max(last, at);
    cell.runFor(CheckedAfter - (steadyNow() - last));
    size_t acknowledged = 0;
    size_t running = 0;
    for (const auto &[id, status] : canceled) {
        if (status != 200 && status != 410)
            continue;
        acknowledged++;
        for (const auto &executor : cell.executors())
            running += executor->runs(id + ".0.0.0") ? 1 : 0;
        cell.call(1, "GET", "/spot/" + id, "", Millis(3000));
    }
    if (acknowledged == 0)
        return end(cell, CouldNotRun, "no cancelling was acknowledged");
    return end(cell, running > 0 ? Broken : Held,
        std::to_string(acknowledged) + " cancellings were acknowledged, and "
            + std::to_string(running) + " of these jobs ran " + std::to_string(CheckedAfter.count())
            + " ms later");
}

// LOST: a task that lasts stays away for over 9 s after its executor and the leader were lost.
int lostWithLeader(const std::string &folder)
{
    constexpr int LastsMs = 600000;
    // From 6 s after the last run, for 3 s, with 4 s before them that are calm: the last
    // disruption, the start of the killed process after 0.5 s, is near for contact_ms.
    constexpr Millis LongestAway{ 10500 };
    ExecutorOptions common;
    common.keepsId = true;
    Cell cell(folder, 1);
    addExecutors(cell, 8, common);
    if (!cell.configure({ Queue{} }))
        return end(cell, CouldNotRun, "the cell did not take its configuration");
    cell.runFor(Millis(3000));
    // Each executor has started again under its id, one after the other, long before.
    for (const auto &executor : cell.executors()) {
        executor->crash();
        cell.runFor(Millis(500));
        executor->revive();
        cell.runFor(Millis(1000));
    }
    cell.runFor(Millis(15000));
    const std::string path = "/spot/" + Cell::jobId(1);
    const std::string lasting = Cell::job(1, 2000, LastsMs, "\"long_running\":true");
    if (cell.call(1, "POST", path, lasting, Millis(3000)).status != 200)
        return end(cell, CouldNotRun, "the job was not accepted");
    const std::string task = Cell::jobId(1) + ".0.0.0";
    Executor *host = nullptr;
    const bool isRunning = cell.waitUntil(
        [&] {
            for (const auto &executor : cell.executors())
                host = executor->runs(task) ? executor.get() : host;
            return host != nullptr;
        },
        Millis(10000));
    const int leader = cell.leader();
    if (!isRunning || leader == 0)
        return end(cell, CouldNotRun, "the task does not run, or nobody leads");
    cell.runFor(Millis(5000));
    const Millis lostAt = steadyNow();
    const size_t begun = cell.runs().begun.size();
    if (hasTrouble()) {
        cell.record().add("control " + std::to_string(leader) + ", which leads, is killed");
        cell.control(leader).kill();
        host->crash();
        cell.runFor(Millis(500));
        cell.restartControl(leader);
        cell.record().add("control " + std::to_string(leader) + " starts again");
        cell.waitUntil([&] { return cell.runs().begun.size() > begun; }, Millis(25000));
    } else {
        cell.runFor(Millis(12000));
    }
    const Millis away = hasTrouble() ? steadyNow() - lostAt : Millis(0);
    const std::string state = cell.call(1, "GET", path, "", Millis(3000)).body;
    const std::string figures = "nothing ran for " + std::to_string(away.count())
        + " ms, shown: " + state + ", seven of eight executors were empty";
    return end(cell, away > LongestAway ? Broken : Held, figures);
}

// Acks: the first configuration is never acknowledged after one control process was killed.
int firstStart(const std::string &folder)
{
    // The deployment's lead_s is 10 s; the operator goes on for three times that.
    constexpr Millis Patience{ 30000 };
    Cell cell(folder, 1);
    if (hasTrouble()) {
        cell.runFor(Millis(150));
        cell.control(1).kill();
        cell.record().add("control 1 is killed, 150 ms after its start");
        cell.runFor(Millis(500));
        // The settings at a restart: the system doesn't start for the first time.
        cell.restartControl(1);
        cell.record().add("control 1 starts again, with its disk");
    }
    const Millis since = steadyNow();
    const bool isConfigured = cell.configure({ Queue{} }, Patience);
    const std::string figures = isConfigured ? "the first configuration was acknowledged"
                                             : "the first configuration was not acknowledged in "
            + std::to_string((steadyNow() - since).count()) + " ms, all processes up";
    return end(cell, isConfigured ? Held : Broken, figures);
}

// TWICE: a task that is done starts again, as its executor restarts before a late order reaches it.
int lateCopy(const std::string &folder)
{
    constexpr int Others = 40;
    ExecutorOptions common;
    common.keepsId = true;
    // Less than heartbeat_ms.
    common.announceDelay = Millis(1000);
    Cell cell(folder, 1);
    addExecutors(cell, 8, common);
    if (!cell.configure({ Queue{} }))
        return end(cell, CouldNotRun, "the cell did not take its configuration");
    cell.runFor(Millis(3000));
    const std::string id = Cell::jobId(1);
    const std::string task = id + ".0.0.0";
    const Millis sentAt = steadyNow();
    if (hasTrouble())
        cell.runs().lateJob = id;
    if (cell.call(1, "POST", "/spot/" + id, Cell::job(1, 1000, 800), Millis(3000)).status != 200)
        return end(cell, CouldNotRun, "the job was not accepted");
    // Of all orders to start, one in 41 gets no answer.
    for (int i = 0; i < Others; i++) {
        const std::string path = "/spot/" + Cell::jobId(100 + i);
        cell.call(1, "POST", path, Cell::job(1, 1000, 300), Millis(3000));
        cell.runFor(Millis(20));
    }
    const auto isNoted = [&] {
        return std::any_of(cell.runs().noted.begin(), cell.runs().noted.end(),
            [&](const ListedEnd &end) { return end.task == task && end.how == "done"; });
    };
    if (!cell.waitUntil(isNoted, Millis(8000)))
        return end(cell, CouldNotRun, "the task is not done, or its end is not taken note of");
    const std::string state = cell.call(1, "GET", "/spot/" + id, "", Millis(3000)).body;
    Executor *late = nullptr;
    for (const auto &executor : cell.executors())
        late = executor->hasLateOrder() ? executor.get() : late;
    if (hasTrouble() && late == nullptr)
        return end(cell, CouldNotRun, "no order was left unanswered");
    if (late != nullptr) {
        cell.runFor(Millis(3000) - (steadyNow() - sentAt));
        late->crash();
        cell.runFor(Millis(1000));
        late->revive();
        cell.runFor(Millis(500));
        late->carryOutLateOrder();
    }
    cell.runFor(Millis(3000));
    const size_t starts = cell.runs().begunOf(id);
    const std::string figures = "the job was shown as " + state + "; its task began "
        + std::to_string(starts) + " times, the last time after its end was taken note of";
    return end(cell, starts > 1 ? Broken : Held,
        starts > 1 ? figures : "the task began once, and the job was shown as " + state);
}

int run(const std::string &name, const std::string &folder)
{
    if (name == "crashes")
        return crashes(folder);
    if (name == "waiting-count")
        return waitingCount(folder);
    if (name == "late-copy")
        return lateCopy(folder);
    if (name == "first-start")
        return firstStart(folder);
    if (name == "lost-with-leader")
        return lostWithLeader(folder);
    if (name == "canceled-runs")
        return canceledRuns(folder);
    std::cerr << "unknown case\n";
    return CouldNotRun;
}

} // namespace
} // namespace review

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    if (argc != 3)
        return 2;
    try {
        return review::run(argv[1], argv[2]);
    } catch (const std::exception &error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
}
