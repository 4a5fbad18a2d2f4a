#include "Benchmarks/Bench.h"

#include <map>

#include "Basilgap/Common/LatencyHistogram.h"

namespace basilgap::benchmarks {

namespace {

constexpr int JobsOfEach = 40;

std::string jobBody(const std::string &jobClass, bool urgent)
{
    return "{\"name\": \"bench\", \"class\": \"" + jobClass
        + "\", \"urgent\": " + (urgent ? "true" : "false")
        + ", \"tasks\": 4, \"checkpointable\": true, \"perTask\": {\"millicores\": 2000, "
          "\"memoryMb\": 1000}, \"command\": [\"sleep\", \"300\"]}";
}

void print(const std::string &name, const LatencyHistogram &histogram)
{
    report(name + "_p50_ms", histogram.percentile(0.5));
    report(name + "_p99_ms", histogram.percentile(0.99));
    report(name + "_p999_ms", histogram.percentile(0.999));
}

} // namespace

// Time from the submission of a job to the start of all its tasks, in a cell that is nearly full,
// and the waiting of requests by team.
void benchWaiting()
{
    BenchCell bench({ .controls = 3, .entries = 3 });
    standins::LocalCell &cell = bench.cell();
    bench.startWorkers({ "--count=6", "--zones=z1,z2,z3", "--millicores=16000" });
    bench.startBackends({ "--count=6", "--zones=z1,z2,z3", "--delay-ms=10" });
    bench.waitUntilServing("ghat");
    std::map<std::string, LatencyHistogram> waits;
    std::map<std::string, std::pair<std::string, Millis>> open;
    const auto collect = [&] {
        for (auto it = open.begin(); it != open.end();) {
            const auto state = cell.call(1, "ghat", "GET", "/v1/jobs/" + it->first).response.body;
            if (standins::jsonNumber(state, "waiting") != 0) {
                ++it;
                continue;
            }
            waits[it->second.first].add(
                static_cast<double>((steadyNow() - it->second.second).count()));
            it = open.erase(it);
        }
    };
    for (int i = 0; i < JobsOfEach; i++) {
        for (const std::string kind : { "batch", "gang", "urgent" }) {
            const std::string body = jobBody(kind == "urgent" ? "batch" : kind, kind == "urgent");
            const auto answer = cell.call(0, "ghat", "POST", "/v1/jobs", body);
            const size_t open1 = answer.response.body.find("\"j");
            if (open1 == std::string::npos)
                continue;
            const size_t close = answer.response.body.find('"', open1 + 1);
            open[answer.response.body.substr(open1 + 1, close - open1 - 1)] = { kind, steadyNow() };
        }
        collect();
    }
    standins::waitUntil(Millis(20000), [&] {
        collect();
        return open.empty();
    });
    for (const auto &[kind, histogram] : waits)
        print("jobs_" + kind, histogram);
    const auto results = bench.load(
        { .teams = { { "ghat", cell.keyOf("ghat"), 2 }, { "boatyard", cell.keyOf("boatyard"), 1 } },
            .requestsPerSecond = 600,
            .duration = Millis(6000) });
    for (const auto &[team, result] : results)
        print("requests_" + team, result.latency);
}

} // namespace basilgap::benchmarks
