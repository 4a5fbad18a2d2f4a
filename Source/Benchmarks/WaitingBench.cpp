#include "Benchmarks/Bench.h"

#include <map>

#include "Basilgap/Common/LatencyHistogram.h"

namespace basilgap::benchmarks {

namespace {

constexpr int JobsPerKind = 40;

std::string jobBody(const std::string &jobClass, bool urgent)
{
    return "{\"name\": \"bench\", \"class\": \"" + jobClass
        + "\", \"urgent\": " + (urgent ? "true" : "false")
        + ", \"tasks\": 4, \"checkpointable\": true, \"perTask\": {\"millicores\": 2000, "
          "\"memoryMb\": 1000}, \"command\": [\"sleep\", \"300\"]}";
}

void reportPercentiles(const std::string &name, const LatencyHistogram &histogram)
{
    report(name + "_p50_ms", histogram.percentile(0.5));
    report(name + "_p99_ms", histogram.percentile(0.99));
    report(name + "_p999_ms", histogram.percentile(0.999));
}

} // namespace

// Measures the time from the submission of a job to the start of each of its tasks on a worker, and
// the latency of requests by team.
void benchWaiting()
{
    BenchCell bench({ .controls = 3, .entries = 3 });
    standins::LocalCell &cell = bench.cell();
    bench.startWorkers({ "--count=6", "--zones=z1,z2,z3", "--millicores=16000" });
    bench.startBackends({ "--count=6", "--zones=z1,z2,z3", "--delay-ms=10" });
    bench.waitUntilServing("ghat");
    std::map<std::string, std::pair<std::string, Millis>> submitted;
    for (int i = 0; i < JobsPerKind; i++) {
        for (const std::string kind : { "batch", "gang", "urgent" }) {
            const std::string body = jobBody(kind == "urgent" ? "batch" : kind, kind == "urgent");
            const Millis at = steadyNow();
            const auto answer = cell.call(0, "ghat", "POST", "/v1/jobs", body);
            const size_t idStart = answer.response.body.find("\"j");
            if (idStart == std::string::npos)
                continue;
            const size_t idEnd = answer.response.body.find('"', idStart + 1);
            submitted[answer.response.body.substr(idStart + 1, idEnd - idStart - 1)] = { kind, at };
        }
    }
    standins::waitUntil(Millis(20000), [&] {
        const auto dump = cell.admin(cell.controls()[0], "GET", "/v1/state").response.body;
        return standins::jsonNumber(dump, "waitingTasks") == 0
            && standins::jsonNumber(dump, "runningTasks") == 0;
    });
    std::map<std::string, LatencyHistogram> waitingTimes;
    const std::string state = bench.workerState();
    const std::string taskPrefix = "{\"task\": \"";
    for (size_t at = state.find(taskPrefix); at != std::string::npos;
         at = state.find(taskPrefix, at + 1)) {
        const size_t begin = at + taskPrefix.size();
        const auto job = submitted.find(state.substr(begin, state.find('/', begin) - begin));
        const int64_t started = standins::jsonNumber(state.substr(at, 120), "at");
        if (job != submitted.end())
            waitingTimes[job->second.first].add(
                static_cast<double>(started - job->second.second.count()));
    }
    for (const auto &[kind, histogram] : waitingTimes)
        reportPercentiles("jobs_" + kind, histogram);
    const auto results = bench.load(
        { .teams = { { "ghat", cell.keyOf("ghat"), 2 }, { "boatyard", cell.keyOf("boatyard"), 1 } },
            .requestsPerSecond = 600,
            .duration = Millis(6000) });
    for (const auto &[team, result] : results)
        reportPercentiles("requests_" + team, result.latency);
}

} // namespace basilgap::benchmarks
