#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "StandIns/LoadRun.h"
#include "StandIns/LocalCell.h"

namespace basilgap::benchmarks {

// Prints one figure as "name=value".
void report(const std::string &name, double value);

// A cell of its own for one measurement, removed at the end.
class BenchCell
{
public:
    explicit BenchCell(standins::LocalCell::Options options);
    ~BenchCell();

    standins::LocalCell &cell() { return *cell_; }

    // Starts stand-ins with the options of fake-backend or fake-worker.
    void startBackends(const std::vector<std::string> &options);
    void startWorkers(const std::vector<std::string> &options);

    // JSON of all stand-in workers.
    std::string workerState() const;

    // Waits until a request is answered.
    bool waitUntilServing(const std::string &team);

    // Sends a load to all entries and returns the figures of each team.
    std::map<std::string, standins::LoadTeamResult> load(standins::LoadOptions options);

private:
    void start(const std::string &program, const std::vector<std::string> &options);

    std::unique_ptr<standins::LocalCell> cell_;
    std::vector<standins::ChildProcess> standIns_;
};

// The sum over all teams.
standins::LoadTeamResult sumOf(std::map<std::string, standins::LoadTeamResult> results);

// Processor time that a process has used, in milliseconds, and its resident memory in MB.
double processorMs(pid_t process);
double residentMb(pid_t process);

// The measurements by name.
void benchLog();
void benchConfig();
void benchFailover();
void benchPlacement();
void benchFairness();
void benchEntry();
void benchOverload();
void benchZone();
void benchWaiting();
void benchControlCost();

} // namespace basilgap::benchmarks
