#pragma once

#include <atomic>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace basilgap::failuretests {

// A TCP proxy between processes that simulates network partitions: connections of a blocked route
// stay open, but no bytes pass, as when a network drops all packets.
class PartitionProxy
{
public:
    PartitionProxy();
    ~PartitionProxy();
    PartitionProxy(const PartitionProxy &) = delete;
    PartitionProxy &operator=(const PartitionProxy &) = delete;

    // Adds a route and returns the address that forwards to the target.
    std::string addRoute(const std::string &from, const std::string &to, const std::string &target);

    void setBlocked(const std::string &from, const std::string &to, bool blocked);

    // Blocks or unblocks all routes of a host.
    void isolate(const std::string &host, bool isolated);

private:
    struct Route
    {
        std::string from;
        std::string to;
        std::string target;
        int listener = -1;
        std::atomic<bool> blocked{ false };
    };

    struct Connection
    {
        Route *route;
        int caller;
        int target;
    };

    void run();
    void accept(Route *route);
    static bool forward(int from, int to);

    std::mutex mutex_;
    std::list<std::unique_ptr<Route>> routes_;
    std::vector<Connection> connections_;
    std::atomic<bool> stopping_{ false };
    std::thread thread_;
};

} // namespace basilgap::failuretests
