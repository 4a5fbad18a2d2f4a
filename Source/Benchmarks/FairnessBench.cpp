#include "Benchmarks/Bench.h"

#include <algorithm>
#include <cmath>
#include <random>

#include "Basilgap/Scheduling/FairShare.h"
#include "UnitTests/Scheduling/SchedulerFixture.h"

namespace basilgap::benchmarks {

namespace {

using scheduling::SchedulerFixture;

struct RunningTask
{
    TaskId task;
    uint64_t endsAt;
};

// Measures how far each team is from its weighted max-min share on a full cell with tasks of 0.5 to
// 1.5 s, while the set of active teams changes. The usage is averaged from 10 to 14 s after a
// change.
void measureJobs(int teamCount, const std::string &prefix)
{
    std::mt19937 random(7);
    std::vector<SchedulerFixture::Team> teams;
    for (int i = 0; i < teamCount; i++)
        teams.push_back(
            { .name = "team" + std::to_string(i), .share = static_cast<uint32_t>(i % 5 + 1) });
    // One team has a limit below its share.
    teams[0].limit = { 50'000, 1'000'000'000, 0 };
    SchedulerFixture cell(teams);
    const int workers = teamCount > 100 ? 610 : 50;
    for (int i = 0; i < workers; i++)
        cell.addWorker({ 64000, 262144, 0 });
    const int64_t slots = workers * 64;
    std::vector<RunningTask> running;
    double worstErrorPct = 0;
    int violations = 0;
    constexpr uint64_t StepMs = 50;
    for (int phase = 0; phase < 3; phase++) {
        std::vector<scheduling::ShareRequest> claims;
        std::vector<bool> active;
        for (int i = 0; i < teamCount; i++) {
            const bool isActive = (i + phase) % 3 != 0;
            active.push_back(isActive);
            const double limit = i == 0 ? 50 : static_cast<double>(slots);
            claims.push_back(
                { static_cast<double>(teams[static_cast<size_t>(i)].share), isActive ? limit : 0 });
        }
        const auto fair = scheduling::weightedMaxMin(claims, static_cast<double>(slots));
        std::vector<double> usedSlots(static_cast<size_t>(teamCount), 0);
        int samples = 0;
        for (uint64_t elapsedMs = 0; elapsedMs < 14'000; elapsedMs += StepMs) {
            cell.nowMs += StepMs;
            std::erase_if(running, [&](const RunningTask &task) {
                if (task.endsAt > cell.nowMs)
                    return false;
                cell.end(task.task, schema::TASK_DONE);
                return true;
            });
            for (int i = 0; i < teamCount; i++) {
                const std::string &name = teams[static_cast<size_t>(i)].name;
                const auto waiting = cell.state().jobs().waiting().find(TeamName(name));
                const bool hasWork = waiting != cell.state().jobs().waiting().end();
                if (active[static_cast<size_t>(i)] && !hasWork)
                    cell.submit(name, schema::BATCH,
                        static_cast<uint32_t>(slots / teamCount * 4 + 50), { 1000, 1000, 0 });
            }
            for (int round = 0; round < 20; round++) {
                const auto plan = cell.plan();
                for (const auto &start : plan.starts)
                    running.push_back({ start.task, cell.nowMs + 500 + random() % 1000 });
                if (plan.starts.empty())
                    break;
            }
            violations += cell.violatedInvariant().empty() ? 0 : 1;
            if (elapsedMs < 10'000)
                continue;
            samples++;
            for (int i = 0; i < teamCount; i++)
                usedSlots[static_cast<size_t>(i)] +=
                    static_cast<double>(cell.state()
                                            .jobs()
                                            .usageOf(TeamName(teams[static_cast<size_t>(i)].name))
                                            .millicores)
                    / 1000;
        }
        for (size_t i = 0; i < usedSlots.size(); i++) {
            if (fair[i] > 0 && active[i])
                worstErrorPct = std::max(
                    worstErrorPct, std::abs(usedSlots[i] / samples - fair[i]) / fair[i] * 100);
        }
    }
    report(prefix + "worst_share_error_pct", worstErrorPct);
    report(prefix + "limit_violations", violations);
}

// Compares the teams' parts of the answered requests with their shares: six teams send requests to
// three entries at more than twice the capacity of the backend servers.
void measureRequests()
{
    BenchCell bench({ .controls = 3,
        .entries = 3,
        .teams = { { "ghat", 3, 0 }, { "b", 2, 0 }, { "c", 1, 0 }, { "d", 1, 0 }, { "e", 2, 0 },
            { "f", 3, 0 } } });
    bench.startBackends({ "--count=6", "--zones=z1,z2,z3", "--delay-ms=50" });
    bench.waitUntilServing("ghat");
    standins::LoadOptions options{ .requestsPerSecond = 2400, .duration = Millis(10000) };
    options.timeout = Millis(1000);
    for (const auto &team : bench.cell().teams()) {
        options.teams.push_back({ team.name, bench.cell().keyOf(team.name), 1 });
    }
    const auto results = bench.load(options);
    double all = 0;
    for (const auto &[name, team] : results)
        all += static_cast<double>(team.ok);
    // Each team offers 400/s, of about 960/s in total that can be served.
    std::vector<scheduling::ShareRequest> claims;
    for (const auto &team : bench.cell().teams())
        claims.push_back({ static_cast<double>(team.share), all / 960 * 400 });
    const auto fair = scheduling::weightedMaxMin(claims, all);
    double worstErrorPct = 0;
    size_t i = 0;
    for (const auto &team : bench.cell().teams()) {
        const auto ok = static_cast<double>(results.at(team.name).ok);
        worstErrorPct = std::max(worstErrorPct, std::abs(ok - fair[i]) / fair[i] * 100);
        i++;
    }
    report("requests_6_worst_share_error_pct", worstErrorPct);
}

} // namespace

void benchFairness()
{
    measureJobs(6, "jobs_6_");
    measureJobs(310, "jobs_310_");
    measureRequests();
}

} // namespace basilgap::benchmarks
