#include "Benchmarks/Bench.h"

#include <atomic>
#include <thread>

namespace basilgap::benchmarks {

namespace {

constexpr Millis PhaseDuration{ 6000 };
constexpr Millis MaxInForceDelay{ 3000 };

int64_t servedBy(const std::string &address)
{
    const auto counts =
        network::fetchAndWait(address, { .method = "GET", .target = "/fake/counts" }, Millis(3000));
    return standins::jsonNumber(counts.response.body, "served");
}

std::string startBackend(standins::LocalCell &cell, const std::string &zone,
    std::vector<standins::ChildProcess> *processes)
{
    const std::string log = cell.logFile("backend-" + zone);
    processes->push_back(standins::ChildProcess::start(
        { standins::programPath("StandIns/fake-backend"), "--entries=" + cell.serviceAddresses(),
            "--id=b-" + zone, "--zones=" + zone, "--slots=8", "--delay-ms=20" },
        log));
    std::string address;
    standins::waitUntil(Millis(5000), [&] {
        std::FILE *file = std::fopen(log.c_str(), "r");
        char line[128] = "";
        if (file != nullptr && std::fgets(line, sizeof line, file) != nullptr)
            address = std::string(line).substr(8, std::string(line).find('\n') - 8);
        if (file != nullptr)
            std::fclose(file);
        return !address.empty();
    });
    return address;
}

} // namespace

void benchZone()
{
    BenchCell bench({ .controls = 3, .entries = 3 });
    standins::LocalCell &cell = bench.cell();
    std::vector<standins::ChildProcess> processes;
    const std::string zoneOutAddress = startBackend(cell, "z1", &processes);
    startBackend(cell, "z2", &processes);
    startBackend(cell, "z3", &processes);
    bench.waitUntilServing("ghat");
    // Each of the three backend servers serves 400 requests per second, so two of them can just
    // carry this load.
    const auto load = [&](Millis duration) {
        standins::LoadOptions options{ .teams = { { "ghat", cell.keyOf("ghat"), 1 } },
            .requestsPerSecond = 760,
            .duration = duration };
        options.timeout = Millis(1500);
        return sumOf(bench.load(options));
    };
    const auto before = load(PhaseDuration);
    std::atomic<int64_t> servedAtBound{ 0 };
    std::thread operations([&] {
        cell.zone("z1", "out", "out");
        standins::waitUntil(MaxInForceDelay, [] { return false; });
        servedAtBound = servedBy(zoneOutAddress);
    });
    const auto during = load(PhaseDuration);
    operations.join();
    const int64_t servedAfter = servedBy(zoneOutAddress);
    const Millis returnedAt = steadyNow();
    cell.zone("z1", "in", "in");
    std::thread after([&] { load(Millis(4000)); });
    standins::waitUntil(Millis(10000), [&] { return servedBy(zoneOutAddress) > servedAfter; });
    const Millis recoveredAt = steadyNow();
    after.join();
    report(
        "before_ok_pct", static_cast<double>(before.ok) * 100 / static_cast<double>(before.sent));
    report("starts_after", static_cast<double>(servedAfter - servedAtBound));
    report("work_during", static_cast<double>(during.ok) / static_cast<double>(during.sent));
    report("unknown_during", static_cast<double>(during.unknown + during.failed));
    report("recovered_ms", static_cast<double>((recoveredAt - returnedAt).count()));
}

} // namespace basilgap::benchmarks
