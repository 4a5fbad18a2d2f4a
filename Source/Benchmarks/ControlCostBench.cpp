#include "Benchmarks/Bench.h"

#include <algorithm>
#include <iostream>
#include <thread>

namespace basilgap::benchmarks {

namespace {

struct Sample
{
    double cpuMs = 0;
    double bytes = 0;
    double residentMb = 0;
};

struct Usage
{
    double cpuPct = 0;
    double kbPerS = 0;
    double residentMb = 0;
};

double metric(
    const standins::LocalCell &cell, const standins::LocalCell::Host &host, const std::string &name)
{
    const std::string text = cell.admin(host, "GET", "/metrics").response.body;
    const size_t found = text.find(name + " ");
    return found == std::string::npos ? 0 : std::atof(text.c_str() + found + name.size() + 1);
}

Sample sampleOf(const standins::LocalCell &cell, const standins::LocalCell::Host &host)
{
    return { .cpuMs = processorMs(host.process.pid()),
        .bytes = metric(cell, host, "basilgap_control_sent_bytes"),
        .residentMb = residentMb(host.process.pid()) };
}

Usage usageBetween(const Sample &from, const Sample &to, Millis time)
{
    const auto ms = static_cast<double>(time.count());
    return { .cpuPct = (to.cpuMs - from.cpuMs) * 100 / ms,
        .kbPerS = (to.bytes - from.bytes) / 1.024 / ms,
        .residentMb = to.residentMb };
}

// Measures the usage of all processes over the given time and prints the maximum of each role.
void measure(standins::LocalCell &cell, const std::string &prefix, Millis time)
{
    const auto leader = static_cast<size_t>(std::max(0, cell.waitForLeader(Millis(10000))));
    std::vector<std::pair<std::string, const standins::LocalCell::Host *>> hosts;
    for (size_t i = 0; i < cell.controls().size(); i++)
        hosts.emplace_back(i == leader ? "leader" : "follower", &cell.controls()[i]);
    for (const auto &host : cell.entries())
        hosts.emplace_back("entry", &host);
    std::vector<Sample> before;
    for (const auto &[role, host] : hosts)
        before.push_back(sampleOf(cell, *host));
    const Millis start = steadyNow();
    standins::waitUntil(time, [] { return false; });
    std::map<std::string, Usage> worst;
    for (size_t i = 0; i < hosts.size(); i++) {
        const Usage usage =
            usageBetween(before[i], sampleOf(cell, *hosts[i].second), steadyNow() - start);
        Usage &role = worst[hosts[i].first];
        role.cpuPct = std::max(role.cpuPct, usage.cpuPct);
        role.kbPerS = std::max(role.kbPerS, usage.kbPerS);
        role.residentMb = std::max(role.residentMb, usage.residentMb);
    }
    for (const auto &[role, usage] : worst) {
        report(prefix + role + "_cpu_pct", usage.cpuPct);
        report(prefix + role + "_kb_per_s", usage.kbPerS);
        report(prefix + role + "_rss_mb", usage.residentMb);
    }
}

void submitAtRate(standins::LocalCell &cell, int jobsPerSecond, int tasks, Millis time)
{
    const std::string body =
        "{\"name\": \"cost\", \"class\": \"batch\", \"tasks\": " + std::to_string(tasks)
        + ", \"perTask\": {\"millicores\": 500, \"memoryMb\": 500}, "
          "\"command\": [\"sleep\", \"2000\"]}";
    const Millis end = steadyNow() + time;
    for (int i = 0; steadyNow() < end; i++) {
        const Millis nextSubmitAt = steadyNow() + Millis(1000 / jobsPerSecond);
        cell.call(static_cast<size_t>(i) % cell.entries().size(), "ghat", "POST", "/v1/jobs", body);
        standins::waitUntil(std::max(Millis(0), nextSubmitAt - steadyNow()), [] { return false; });
    }
}

} // namespace

void benchControlCost()
{
    constexpr Millis MeasureDuration{ 10000 };
    // Idle, and at a steady rate of task starts.
    for (const int workers : { 0, 50, 200, 610 }) {
        BenchCell bench({ .controls = 5, .entries = 9 });
        if (workers > 0) {
            bench.startWorkers({ "--count=" + std::to_string(workers), "--zones=z1,z2,z3" });
            standins::waitUntil(Millis(4000), [] { return false; });
        }
        const std::string prefix = "workers_" + std::to_string(workers) + "_";
        measure(bench.cell(), prefix + "idle_", MeasureDuration);
        if (workers == 0)
            continue;
        // 2 jobs of 10 tasks per second: 20 starts and 20 ends per second.
        std::thread submitter(
            [&] { submitAtRate(bench.cell(), 2, 10, MeasureDuration + Millis(2000)); });
        measure(bench.cell(), prefix + "starts_20_", MeasureDuration);
        submitter.join();
        if (workers < 610)
            continue;
        // The peak rate that the system is designed for: 10 jobs of 35 tasks per second.
        std::thread peak(
            [&] { submitAtRate(bench.cell(), 10, 35, MeasureDuration + Millis(4000)); });
        standins::waitUntil(Millis(3000), [] { return false; });
        measure(bench.cell(), prefix + "starts_350_", MeasureDuration);
        peak.join();
    }
}

} // namespace basilgap::benchmarks
