#include "Basilgap/Entry/FairQueue.h"

#include <algorithm>

namespace basilgap::entry {

namespace {

constexpr double MinWeight = 1e-3;

} // namespace

FairQueue::TeamState &FairQueue::activateTeam(const TeamName &team, double weight)
{
    TeamState &state = teams_[team];
    state.weight = std::max(weight, MinWeight);
    // An idle team accumulates no credit.
    if (sizeOf(team) == 0)
        state.startTag = std::max(state.startTag, virtualTime_);
    return state;
}

void FairQueue::push(const Flow &flow, const Item &item, double weight)
{
    activateTeam(flow.team, weight);
    flowQueues_[flow].items.push_back(item);
    size_++;
}

void FairQueue::pushFront(const Flow &flow, const Item &item, double weight)
{
    activateTeam(flow.team, weight);
    flowQueues_[flow].items.push_front(item);
    size_++;
}

std::optional<FairQueue::Item> FairQueue::pop(const MayStart &mayStart, const CostOf &costOf)
{
    std::vector<std::pair<double, const Flow *>> order;
    for (const auto &[flow, flowQueue] : flowQueues_)
        order.emplace_back(teams_[flow.team].startTag, &flow);
    std::sort(
        order.begin(), order.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[startTag, candidate] : order) {
        if (!mayStart(*candidate))
            continue;
        const Flow flow = *candidate;
        FlowQueue &flowQueue = flowQueues_[flow];
        const Item item = flowQueue.items.front();
        flowQueue.items.pop_front();
        if (flowQueue.items.empty())
            flowQueues_.erase(flow);
        size_--;
        TeamState &state = teams_[flow.team];
        virtualTime_ = std::max(virtualTime_, state.startTag);
        state.startTag += costOf(flow) / state.weight;
        return item;
    }
    return std::nullopt;
}

void FairQueue::refund(const TeamName &team, double cost)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
        found->second.startTag -= cost / found->second.weight;
}

bool FairQueue::remove(const Flow &flow, RequestId id)
{
    const auto flowQueue = flowQueues_.find(flow);
    if (flowQueue == flowQueues_.end())
        return false;
    const size_t erased =
        std::erase_if(flowQueue->second.items, [id](const Item &item) { return item.id == id; });
    size_ -= erased;
    if (flowQueue->second.items.empty())
        flowQueues_.erase(flowQueue);
    return erased > 0;
}

std::vector<FairQueue::Item> FairQueue::takeExpired(Millis now)
{
    std::vector<Item> expired;
    for (auto flowQueue = flowQueues_.begin(); flowQueue != flowQueues_.end();) {
        std::erase_if(flowQueue->second.items, [&](const Item &item) {
            if (item.deadline > now)
                return false;
            expired.push_back(item);
            return true;
        });
        flowQueue =
            flowQueue->second.items.empty() ? flowQueues_.erase(flowQueue) : std::next(flowQueue);
    }
    size_ -= expired.size();
    return expired;
}

void FairQueue::setWeight(const TeamName &team, double weight)
{
    const auto found = teams_.find(team);
    if (found != teams_.end())
        found->second.weight = std::max(weight, MinWeight);
}

size_t FairQueue::sizeOf(const Flow &flow) const
{
    const auto found = flowQueues_.find(flow);
    return found == flowQueues_.end() ? 0 : found->second.items.size();
}

size_t FairQueue::sizeOf(const TeamName &team) const
{
    size_t size = 0;
    for (auto flowQueue = flowQueues_.lower_bound({ team, PoolName() });
         flowQueue != flowQueues_.end() && flowQueue->first.team == team; ++flowQueue)
        size += flowQueue->second.items.size();
    return size;
}

std::vector<Flow> FairQueue::flows() const
{
    std::vector<Flow> flows;
    for (const auto &[flow, flowQueue] : flowQueues_)
        flows.push_back(flow);
    return flows;
}

} // namespace basilgap::entry
