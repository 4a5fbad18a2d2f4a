#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "StandIns/LoadRun.h"
#include "StandIns/LocalCell.h"

namespace basilgap::benchmarks {

// Prints one result as "name=value".
void report(const std::string &name, double value);

// The cell of one benchmark. Its folder is removed at the end.
class BenchCell
{
public:
    explicit BenchCell(standins::LocalCell::Options options);
    ~BenchCell();

    standins::LocalCell &cell() { return *cell_; }

    // Start a stand-in process with the given options of fake-backend or fake-worker.
    void startBackends(const std::vector<std::string> &options);
    void startWorkers(const std::vector<std::string> &options);

    // State of all stand-in workers, as JSON.
    std::string workerState() const;

    // Waits until every entry answers a request with 200.
    bool waitUntilServing(const std::string &team);

    // Sends a load to all entries and returns the results by team.
    std::map<std::string, standins::LoadTeamResult> load(standins::LoadOptions options);

private:
    void start(const std::string &program, const std::vector<std::string> &options);

    std::unique_ptr<standins::LocalCell> cell_;
    std::vector<standins::ChildProcess> standIns_;
};

// Adds up the counters of all teams; the latencies are left out.
standins::LoadTeamResult sumOf(std::map<std::string, standins::LoadTeamResult> results);

// CPU time that a process has used, in milliseconds, and its resident memory in MB.
double processorMs(pid_t process);
double residentMb(pid_t process);

// The benchmarks; Main.cpp maps names to them.
void benchLog();
void benchConfig();
void benchFailover();
void benchPlacement();
void benchStepPlan();
void benchAccountShares();
void benchFairness();
void benchEntry();
void benchOverload();
void benchZone();
void benchWaiting();
void benchControlCost();
void benchForecast();

} // namespace basilgap::benchmarks
