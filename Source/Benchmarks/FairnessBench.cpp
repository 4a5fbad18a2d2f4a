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

// Tasks of half a second to a second and a half on a full cell, teams coming and going: how far
// each team is from its weighted max-min share, averaged over a second, ten seconds after a change.
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
    double worst = 0;
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
        std::vector<double> used(static_cast<size_t>(teamCount), 0);
        int samples = 0;
        for (uint64_t spent = 0; spent < 14'000; spent += StepMs) {
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
            if (spent < 10'000)
                continue;
            samples++;
            for (int i = 0; i < teamCount; i++)
                used[static_cast<size_t>(i)] +=
                    static_cast<double>(cell.state()
                                            .jobs()
                                            .usageOf(TeamName(teams[static_cast<size_t>(i)].name))
                                            .millicores)
                    / 1000;
        }
        for (size_t i = 0; i < used.size(); i++) {
            if (fair[i] > 0 && active[i])
                worst = std::max(worst, std::abs(used[i] / samples - fair[i]) / fair[i] * 100);
        }
    }
    report(prefix + "worst_share_error_pct", worst);
    report(prefix + "limit_violations", violations);
}

// Requests of six teams over three entries, twice what the backend servers can do: the parts of the
// answers against the shares.
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
    // Offered evenly: 400/s each, of about 960/s that can be served.
    std::vector<scheduling::ShareRequest> claims;
    for (const auto &team : bench.cell().teams())
        claims.push_back({ static_cast<double>(team.share), all / 960 * 400 });
    const auto fair = scheduling::weightedMaxMin(claims, all);
    double worst = 0;
    size_t i = 0;
    for (const auto &team : bench.cell().teams()) {
        const auto ok = static_cast<double>(results.at(team.name).ok);
        worst = std::max(worst, std::abs(ok - fair[i]) / fair[i] * 100);
        i++;
    }
    report("requests_6_worst_share_error_pct", worst);
}

} // namespace

void benchFairness()
{
    measureJobs(6, "jobs_6_");
    measureJobs(310, "jobs_310_");
    measureRequests();
}

} // namespace basilgap::benchmarks
