#include "StandIns/LoadReport.h"

#include <iomanip>
#include <sstream>

namespace basilgap::standins {

namespace {

struct Totals
{
    uint64_t sent = 0;
    uint64_t ok = 0;
    uint64_t refused = 0;
    uint64_t unknown = 0;
    uint64_t failed = 0;
    uint64_t late = 0;
};

Totals addUp(const LoadRun &run)
{
    Totals totals;
    for (const auto &[name, team] : run.results()) {
        totals.sent += team.sent;
        totals.ok += team.ok;
        totals.refused += team.refused;
        totals.unknown += team.unknown;
        totals.failed += team.failed;
        totals.late += team.late;
    }
    return totals;
}

} // namespace

std::string loadLine(const LoadRun &run)
{
    const Totals totals = addUp(run);
    std::ostringstream line;
    line << "ms=" << run.elapsed().count() << " sent=" << totals.sent << " ok=" << totals.ok
         << " refused=" << totals.refused << " unknown=" << totals.unknown
         << " failed=" << totals.failed << " late=" << totals.late
         << " outstanding=" << run.outstanding();
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
