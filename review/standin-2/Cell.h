#pragma once

#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

#include "Executor.h"
#include "Http.h"
#include "Record.h"

namespace review {

// Thrown when a case can't run, as distinct from a rule that is broken.
struct CannotRun
{
    std::string why;
};

// A queue of the configuration. Its jobs are handed in under /NAME/.
struct Queue
{
    std::string name;
    // The `name` of its route.
    std::string route;
    int priority = 0;
    double slackFactor = 2;
    int targetLatencyMs = 250;
};

// A step of a job; the fields are those of PROTOCOL.md.
struct Step
{
    int count = 1;
    int64_t cpu = 1000;
    int64_t memoryMb = 100;
    int64_t estimateMs = 1000;
    bool longRunning = false;
    bool gang = false;
    std::string requiredLabel;
};

// Three control processes and three entries in three zones, each a process of its own that is
// started with a command of the deploy file, with executors and clients of this program.
class Cell
{
public:
    // The service of all executors, unless they name another one.
    static constexpr const char *Service = "stileplan";
    static constexpr const char *Host = "desk.example";

    explicit Cell(Record &record);
    ~Cell();

    // Starts all processes, waits until each entry is ready, and puts the configuration.
    void start(const std::vector<Queue> &queues);
    // Puts a configuration until it is acknowledged.
    void configure(int version, const std::vector<Queue> &queues);
    // Adds an executor and waits for nothing.
    Executor &addExecutor(const std::string &id, const std::vector<std::string> &labels,
        int64_t cpu = 32000, int64_t memoryMb = 65536);
    RunLog &runs() { return runs_; }
    Record &record() { return record_; }
    const std::vector<std::string> &controls() const { return controls_; }
    size_t entries() const { return fronts_.size(); }

    // A call of a client at an entry. Both are recorded.
    Response callEntry(size_t entry, const std::string &method, const std::string &path,
        const std::string &body = {}, int timeoutMs = 3000);
    // Hands the job in until it is accepted.
    void submit(const std::string &queue, const std::string &id, const std::string &spec,
        const std::vector<Step> &steps);
    // The job's state as an entry shows it; empty if it gives none.
    std::string stateOf(const std::string &queue, const std::string &id);
    // Waits until the condition holds; false if it does not in time.
    static bool waitFor(int64_t ms, const std::function<bool()> &condition);

    static std::string jobId(int number);
    static std::string taskOf(const std::string &job, int index, int step = 0);

private:
    std::string ip(int host) const { return prefix_ + std::to_string(host); }
    std::string writeSettings(const std::string &role, int host, const std::string &zone);
    void startProcess(const std::string &role, int host, const std::string &zone);
    static std::string commandOf(const std::string &role);

    Record &record_;
    RunLog runs_;
    std::string prefix_;
    std::string folder_;
    std::vector<std::string> controls_;
    std::vector<std::string> fronts_;
    std::vector<std::string> readiness_;
    std::vector<pid_t> processes_;
    std::vector<std::unique_ptr<Executor>> executors_;
};

} // namespace review
