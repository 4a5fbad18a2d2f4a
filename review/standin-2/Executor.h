#pragma once

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "Http.h"
#include "Record.h"

namespace review {

// A run of a task on an executor, from its start to its end.
struct Run
{
    std::string executor;
    std::string task;
    uint32_t number = 0;
    int64_t startedAt = 0;
    // Absent while it runs.
    std::optional<int64_t> endedAt;
    // done, failed, stopped, lapsed or crashed.
    std::string how;
};

// The runs on all executors of a case, as these have seen them.
class RunLog
{
public:
    explicit RunLog(Record &record)
        : record_(record)
    {}

    size_t begin(const std::string &executor, const std::string &task, uint32_t number);
    void end(size_t run, const std::string &how);
    std::vector<Run> all() const;
    std::vector<Run> of(const std::string &task) const;
    // The task's run that has not ended, if there is one.
    std::optional<Run> running(const std::string &task) const;

private:
    Record &record_;
    mutable std::mutex mutex_;
    std::vector<Run> runs_;
};

// An executor as PROTOCOL.md describes it. The `spec` of a job says how long each of its tasks
// works: "work MS", or "lasts". It doesn't guard its capacity (`admission_check` is false).
class Executor
{
public:
    struct Options
    {
        std::string id;
        std::string address;
        std::string zone;
        std::string service;
        std::vector<std::string> labels;
        int64_t cpu = 32000;
        int64_t memoryMb = 65536;
        // Addresses of `control`.
        std::vector<std::string> controls;
        int64_t maxHoldMs = 10000;
        int64_t heartbeatMs = 1500;
    };

    Executor(Options options, RunLog &runs, Record &record);
    ~Executor();

    const Options &options() const { return options_; }
    int64_t born() const { return born_; }
    // Ends at once: nothing is sent, and all that runs is gone.
    void crash();
    // Starts again after a crash, at the same address and under this id.
    void startAgain(const std::string &id);
    // Without power for good: nothing is answered or sent any more, and all that runs is gone.
    void lose();
    // Orders to start run 1 of this task are neither answered nor carried out, but for the last of
    // them by carryOutHeldBackStart().
    void holdBackStart(const std::string &task);
    bool hasHeldBackStart() const;
    void carryOutHeldBackStart();
    // The task's run ends this way. Returns false if it does not run here.
    bool endTask(const std::string &task, const std::string &how);
    bool runs(const std::string &task) const;
    std::vector<std::string> tasks() const;
    // The body of a heartbeat.
    std::string heartbeat(const std::string &service, int64_t born, uint64_t sequence) const;

private:
    struct Held
    {
        uint32_t number = 0;
        // Its index in the log.
        size_t run = 0;
        int64_t startedAt = 0;
        // Absent: it lasts.
        std::optional<int64_t> workMs;
        // When a stop has its effect.
        std::optional<int64_t> stopAt;
    };
    struct End
    {
        uint64_t number = 0;
        std::string task;
        uint32_t run = 0;
        std::string how;
    };

    void open();
    void close(const std::string &how);
    int64_t clock() const { return nowMs() - bootedAt_; }
    std::optional<Response> handle(const Request &request);
    Response start(
        const std::string &task, uint32_t run, const std::string &spec, int64_t deadline);
    void finish(const std::string &task, const std::string &how);
    std::string lists() const;
    std::string refusal(const std::string &reason) const;
    void extendLease(int64_t deadline);
    void work();
    void beat();

    Options options_;
    RunLog &log_;
    Record &record_;
    std::unique_ptr<HttpServer> server_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::atomic<bool> up_ = false;
    int64_t born_ = 0;
    int64_t bootedAt_ = 0;
    std::atomic<uint64_t> sequence_ = 0;
    uint64_t fencingToken_ = 0;
    int64_t leaseEnd_ = 0;
    uint64_t nextEnd_ = 1;
    std::map<std::string, Held> held_;
    std::map<std::string, uint32_t> highestEnded_;
    std::vector<End> ends_;
    std::string heldBackTask_;
    std::optional<Request> heldBackStart_;
    std::thread workThread_;
    std::thread beatThread_;
};

} // namespace review
