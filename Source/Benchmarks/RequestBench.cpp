#include "Benchmarks/Bench.h"

#include <fstream>

namespace basilgap::benchmarks {

namespace {

standins::LoadOptions loadOf(const BenchCell &, const std::string &team, const std::string &key,
    double rate, Millis duration)
{
    standins::LoadOptions options;
    options.teams = { { team, key, 1 } };
    options.requestsPerSecond = rate;
    options.duration = duration;
    return options;
}

// The p99 latency of the same load when sent directly to the backend servers.
double directP99(const std::string &logFile, double rate)
{
    standins::LoadOptions options{
        .teams = { { "ghat", "-", 1 } }, .requestsPerSecond = rate, .duration = Millis(6000)
    };
    std::ifstream log(logFile);
    std::string line;
    while (std::getline(log, line)) {
        if (line.rfind("address=", 0) == 0)
            options.targets.push_back(line.substr(8));
    }
    network::EventLoop loop;
    standins::LoadRun run(loop, options, [&loop] { loop.stop(); });
    loop.run();
    return run.results().at("ghat").latency.percentile(0.99);
}

} // namespace

void benchEntry()
{
    BenchCell bench({ .controls = 1, .entries = 1 });
    standins::LocalCell &cell = bench.cell();
    bench.startBackends({ "--count=50", "--slots=8" });
    bench.waitUntilServing("ghat");
    const std::string key = cell.keyOf("ghat");
    const double directP99Ms = directP99(cell.logFile("fake-backend"), 1000);
    const auto steady = bench.load(loadOf(bench, "ghat", key, 1000, Millis(6000)));
    const double entryP99 = steady.at("ghat").latency.percentile(0.99);
    report("direct_p99_ms", directP99Ms);
    report("entry_p99_ms", entryP99);
    report("added_p99_ms", entryP99 - directP99Ms);
    report("steady_failed", static_cast<double>(steady.at("ghat").sent - steady.at("ghat").ok));
    double bestRate = 0;
    for (const double rate : { 2000.0, 4000.0, 6000.0, 8000.0, 12000.0 }) {
        const double before = processorMs(cell.entries()[0].process.pid());
        const auto result = bench.load(loadOf(bench, "ghat", key, rate, Millis(3000)));
        const double cpuMs = processorMs(cell.entries()[0].process.pid()) - before;
        const auto ok = static_cast<double>(result.at("ghat").ok);
        if (ok / 3 > bestRate) {
            bestRate = ok / 3;
            report("entry_cpu_us_per_request", cpuMs * 1000 / ok);
        }
    }
    report("requests_per_s", bestRate);
}

void benchOverload()
{
    BenchCell bench(
        { .controls = 3, .entries = 3, .teams = { { "ghat", 1, 0 }, { "heavy", 1, 0 } } });
    standins::LocalCell &cell = bench.cell();
    // 6 backend servers with 4 slots and 20 ms per request serve at most 1200 requests per second.
    bench.startBackends({ "--count=6", "--zones=z1,z2,z3", "--slots=4", "--delay-ms=20" });
    bench.waitUntilServing("ghat");
    constexpr double PeakRate = 1200;
    standins::LoadOptions options =
        loadOf(bench, "heavy", cell.keyOf("heavy"), PeakRate * 0.9, Millis(6000));
    options.timeout = Millis(1000);
    const auto unloaded = sumOf(bench.load(options));
    const double peakPerSecond = static_cast<double>(unloaded.ok) / 6;

    standins::LoadOptions light = loadOf(bench, "ghat", cell.keyOf("ghat"), 60, Millis(6000));
    light.timeout = Millis(1000);
    const auto alone = bench.load(light);
    const double aloneP99 = alone.at("ghat").latency.percentile(0.99);

    options.teams = { { "heavy", cell.keyOf("heavy"), PeakRate * 2 },
        { "ghat", cell.keyOf("ghat"), 60 } };
    options.requestsPerSecond = PeakRate * 2 + 60;
    options.duration = Millis(10000);
    const auto overload = bench.load(options);
    const double loadedP99 = overload.at("ghat").latency.percentile(0.99);
    const auto totals = sumOf(bench.load(options));
    report("peak_per_s", peakPerSecond);
    report("goodput_per_s", static_cast<double>(totals.ok) / 10);
    report("goodput_ratio", static_cast<double>(totals.ok) / 10 / peakPerSecond);
    report("late_pct",
        static_cast<double>(totals.late + totals.unknown) * 100 / static_cast<double>(totals.sent));
    report("light_alone_p99_ms", aloneP99);
    report("light_loaded_p99_ms", loadedP99);
    report("light_p99_ratio", loadedP99 / aloneP99);
    report("light_lost", static_cast<double>(overload.at("ghat").sent - overload.at("ghat").ok));
}

} // namespace basilgap::benchmarks
