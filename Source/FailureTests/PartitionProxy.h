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

// Passes bytes between processes and falls silent on a route when told to: connections stay open
// and nothing gets through, as when a network swallows packets.
class PartitionProxy
{
public:
    PartitionProxy();
    ~PartitionProxy();
    PartitionProxy(const PartitionProxy &) = delete;
    PartitionProxy &operator=(const PartitionProxy &) = delete;

    // Address that leads to the target until the route is silent.
    std::string addRoute(const std::string &from, const std::string &to, const std::string &target);

    void setBlocked(const std::string &from, const std::string &to, bool blocked);

    // Cuts a host off from all others, or heals that.
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
