#include "StandIns/LoadReport.h"

#include <iomanip>
#include <sstream>

namespace basilgap::standins {

namespace {

struct Sum
{
    uint64_t sent = 0;
    uint64_t ok = 0;
    uint64_t refused = 0;
    uint64_t unknown = 0;
    uint64_t failed = 0;
    uint64_t late = 0;
};

Sum sumOf(const LoadRun &run)
{
    Sum sum;
    for (const auto &[name, team] : run.results()) {
        sum.sent += team.sent;
        sum.ok += team.ok;
        sum.refused += team.refused;
        sum.unknown += team.unknown;
        sum.failed += team.failed;
        sum.late += team.late;
    }
    return sum;
}

} // namespace

std::string loadLine(const LoadRun &run)
{
    const Sum sum = sumOf(run);
    std::ostringstream line;
    line << "ms=" << run.elapsed().count() << " sent=" << sum.sent << " ok=" << sum.ok
         << " refused=" << sum.refused << " unknown=" << sum.unknown << " failed=" << sum.failed
         << " late=" << sum.late << " outstanding=" << run.outstanding();
    return line.str();
}

std::string loadText(const LoadRun &run)
{
    std::ostringstream text;
    text << loadLine(run) << '\n' << std::fixed << std::setprecision(2);
    for (const auto &[name, team] : run.results()) {
        text << "team=" << name << " sent=" << team.sent << " ok=" << team.ok
             << " refused=" << team.refused << " unknown=" << team.unknown
             << " failed=" << team.failed << " late=" << team.late
             << " p50_ms=" << team.latency.percentile(0.5)
             << " p99_ms=" << team.latency.percentile(0.99)
             << " p999_ms=" << team.latency.percentile(0.999) << '\n';
    }
    return text.str();
}

std::string loadJson(const LoadRun &run)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(2) << "{\"ms\": " << run.elapsed().count()
         << ", \"teams\": {";
    const char *separator = "";
    for (const auto &[name, team] : run.results()) {
        text << separator << '"' << name << "\": {\"sent\": " << team.sent
             << ", \"ok\": " << team.ok << ", \"refused\": " << team.refused
             << ", \"unknown\": " << team.unknown << ", \"failed\": " << team.failed
             << ", \"late\": " << team.late << ", \"p50Ms\": " << team.latency.percentile(0.5)
             << ", \"p99Ms\": " << team.latency.percentile(0.99)
             << ", \"p999Ms\": " << team.latency.percentile(0.999) << "}";
        separator = ", ";
    }
    text << "}}\n";
    return text.str();
}

} // namespace basilgap::standins
