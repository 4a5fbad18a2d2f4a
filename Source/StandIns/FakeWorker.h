#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"
#include "Http.pb.h"

namespace basilgap::standins {

// A worker for tests and benchmarks. It runs no processes: the command of a task selects what is
// simulated. {"sleep", MS} ends after the time, {"forever"} never, {"fail"} fails immediately,
// {"memory", MB, MS} uses that much memory. Usage is reported one poll late.
class FakeWorker
{
public:
    struct Options
    {
        std::string id;
        uint64_t incarnation = 1;
        std::string zone;
        std::string rack;
        int64_t millicores = 64000;
        int64_t memoryMb = 262144;
        int64_t accelerators = 0;
        // Service listeners of the entries; the next one is used when one does not answer.
        std::vector<std::string> entries;
        // Whether every task fails.
        bool failAll = false;
    };

    struct Start
    {
        std::string task;
        uint32_t epoch = 0;
        Millis startedAt;
    };

    FakeWorker(network::EventLoop &loop, Options options);

    // All starts of tasks so far.
    const std::vector<Start> &starts() const { return starts_; }
    size_t runningTasks() const;
    // Sum of the reservations of the running tasks.
    schema::ResourcesBody reserved() const;
    // Whether the reservations ever exceeded the worker's capacity.
    bool wasOvercommitted() const { return overcommitted_; }

    // The starts and the number of running tasks, as JSON.
    std::string stateJson() const;

private:
    struct Task
    {
        uint32_t epoch = 0;
        std::string state = "running";
        std::string reason;
        schema::ResourcesBody reserved;
        schema::ResourcesBody usage;
        schema::ResourcesBody reportedUsage;
        Millis endsAt;
        bool hasEndTime = false;
    };

    void poll();
    void handleReply(const network::ExchangeResult &result, Millis sentAt);
    void applyOrders(const schema::WorkerReplyBody &reply);
    void start(const schema::StartBody &order);
    void stop(const schema::OrderBody &order, const std::string &state);
    void tick();
    std::string report();

    network::EventLoop &loop_;
    Options options_;
    std::unique_ptr<network::HttpConnection> connection_;
    std::string connectedTo_;
    size_t nextEntry_ = 0;
    uint64_t sequence_ = 0;
    std::map<std::string, Task> tasks_;
    std::map<std::string, uint32_t> lastEpochs_;
    std::vector<Start> starts_;
    bool overcommitted_ = false;
    bool polling_ = false;
    Millis leaseEnd_;
    network::Timer pollTimer_;
    network::Timer tickTimer_;
};

} // namespace basilgap::standins
