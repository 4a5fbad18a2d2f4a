#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Common/Millis.h"

namespace basilgap::entry {

using RequestId = StrongType<struct RequestIdTag, uint64_t>;

// The requests of one team for one pool.
struct Flow
{
    TeamName team;
    PoolName pool;

    auto operator<=>(const Flow &) const = default;
};

// A queue of waiting requests that is fair between teams by start-time fair queueing: the team with
// the lowest start tag is served next, and each request advances its team's tag by the expected
// service time divided by the team's weight. Within a flow the order is first come, first served.
class FairQueue
{
public:
    struct Item
    {
        RequestId id;
        Millis deadline;
    };

    void push(const Flow &flow, const Item &item, double weight);

    // Puts a request that was popped and could not be started back to the front of its flow.
    void pushFront(const Flow &flow, const Item &item, double weight);

    // Removes and returns the next request of the flows for which mayStart is true. The cost is the
    // expected service time in milliseconds.
    using MayStart = std::function<bool(const Flow &)>;
    using CostOf = std::function<double(const Flow &)>;
    std::optional<Item> pop(const MayStart &mayStart, const CostOf &costOf);

    // Takes back the cost of a request that was popped and did not start.
    void refund(const TeamName &team, double cost);

    // Removes a request from any position of its flow; false if it is not queued.
    bool remove(const Flow &flow, RequestId id);

    // Removes and returns all requests whose deadline is not after `now`.
    std::vector<Item> takeExpired(Millis now);

    void setWeight(const TeamName &team, double weight);

    size_t size() const { return size_; }
    size_t sizeOf(const Flow &flow) const;
    size_t sizeOf(const TeamName &team) const;
    std::vector<Flow> flows() const;

private:
    struct FlowQueue
    {
        std::deque<Item> items;
    };

    struct TeamState
    {
        double weight = 1;
        // Virtual start time of the team's next request.
        double startTag = 0;
    };

    TeamState &activateTeam(const TeamName &team, double weight);

    std::map<Flow, FlowQueue> flowQueues_;
    std::map<TeamName, TeamState> teams_;
    double virtualTime_ = 0;
    size_t size_ = 0;
};

} // namespace basilgap::entry
