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

// One team's requests for one pool.
struct Flow
{
    TeamName team;
    PoolName pool;

    auto operator<=>(const Flow &) const = default;
};

// Requests that wait, fair between teams by start-time fair queueing: a team's turn comes after a
// time that grows with the service time it used and shrinks with its weight. First come, first
// served within a flow.
class FairQueue
{
public:
    struct Item
    {
        RequestId id;
        Millis deadline;
    };

    void push(const Flow &flow, const Item &item, double weight);

    // Puts a request back that was taken and could not be served, before the others of its flow.
    void pushFront(const Flow &flow, const Item &item, double weight);

    // Takes the next request among the flows that may start one. The cost is the expected service
    // time in milliseconds.
    using MayStart = std::function<bool(const Flow &)>;
    using CostOf = std::function<double(const Flow &)>;
    std::optional<Item> pop(const MayStart &mayStart, const CostOf &costOf);

    // Gives back the cost of a request that was taken and did not start.
    void refund(const TeamName &team, double cost);

    // Takes out a request wherever it waits; false when it does not.
    bool remove(const Flow &flow, RequestId id);

    // Takes out all requests whose deadline is at or before the time.
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
        // Virtual time at which the team's next request starts.
        double startTag = 0;
    };

    TeamState &activateTeam(const TeamName &team, double weight);

    std::map<Flow, FlowQueue> flowQueues_;
    std::map<TeamName, TeamState> teams_;
    double virtualTime_ = 0;
    size_t size_ = 0;
};

} // namespace basilgap::entry
