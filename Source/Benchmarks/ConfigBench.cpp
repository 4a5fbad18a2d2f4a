#include "Benchmarks/Bench.h"

#include <algorithm>
#include <atomic>
#include <thread>

#include "Basilgap/Settings/CellFile.h"
#include "Basilgap/State/ConfigDelta.h"

namespace basilgap::benchmarks {

namespace {

std::vector<standins::LocalTeam> manyTeams(int count)
{
    std::vector<standins::LocalTeam> teams = { { "ghat", 1, 0 } };
    for (int i = 1; i < count; i++)
        teams.push_back({ "team" + std::to_string(i), static_cast<uint32_t>(i % 9 + 1), 100 });
    return teams;
}

} // namespace

void benchConfig()
{
    BenchCell bench({ .controls = 3, .entries = 9, .teams = manyTeams(310) });
    standins::LocalCell &cell = bench.cell();
    double worstMs = 0;
    double sum = 0;
    constexpr int ApplyCount = 50;
    schema::View delta;
    for (int i = 0; i < ApplyCount; i++) {
        const auto before = settings::readCellFile(cell.cellFile(cell.version()), "before");
        cell.teams()[static_cast<size_t>(i) + 5].share += 1;
        const Millis start = steadyNow();
        const auto answer = cell.applyNext();
        const auto elapsedMs = static_cast<double>((steadyNow() - start).count());
        if (answer.response.status != 200)
            report("failed_apply_status", answer.response.status);
        worstMs = std::max(worstMs, elapsedMs);
        sum += elapsedMs;
        const auto after = settings::readCellFile(cell.cellFile(cell.version()), "after");
        delta.Clear();
        state::fillConfigDelta(*before, *after, &delta);
    }
    report("in_force_ms", worstMs);
    report("in_force_mean_ms", sum / ApplyCount);
    report("delta_bytes", static_cast<double>(delta.ByteSizeLong()));
}

void benchFailover()
{
    BenchCell bench({ .controls = 3, .entries = 3 });
    standins::LocalCell &cell = bench.cell();
    bench.startBackends({ "--count=6", "--zones=z1,z2,z3" });
    bench.waitUntilServing("ghat");
    std::vector<double> gaps;
    standins::LoadTeamResult sum;
    constexpr int KillCount = 20;
    std::atomic<bool> done{ false };
    std::thread load([&] {
        while (!done) {
            const auto result = sumOf(bench.load({ .teams = { { "ghat", cell.keyOf("ghat"), 1 } },
                .method = "GET",
                .requestsPerSecond = 200,
                .duration = Millis(3000) }));
            sum.sent += result.sent;
            sum.ok += result.ok;
        }
    });
    for (int i = 0; i < KillCount; i++) {
        const auto leader = static_cast<size_t>(cell.waitForLeader(Millis(20000)));
        cell.controls()[leader].process.kill();
        const Millis killedAt = steadyNow();
        while (cell.applyNext(false).response.status != 200) {
        }
        gaps.push_back(static_cast<double>((steadyNow() - killedAt).count()));
        cell.startControl(leader);
        standins::waitUntil(Millis(1500), [] { return false; });
    }
    done = true;
    load.join();
    std::sort(gaps.begin(), gaps.end());
    report("leader_gap_ms_median", gaps[KillCount / 2]);
    report("leader_gap_ms_worst", gaps.back());
    report("requests", static_cast<double>(sum.sent));
    report("failed_repeatable", static_cast<double>(sum.sent - sum.ok));
}

} // namespace basilgap::benchmarks
