#include "Basilgap/Entry/FairQueue.h"

#include <algorithm>

namespace basilgap::entry {

namespace {

constexpr double LeastWeight = 1e-3;

} // namespace

FairQueue::Share &FairQueue::enter(const TeamName &team, double weight)
{
    Share &share = shares_[team];
    share.weight = std::max(weight, LeastWeight);
    // A team that was idle does not save up turns.
    if (sizeOf(team) == 0)
        share.start = std::max(share.start, virtualTime_);
    return share;
}

void FairQueue::push(const Flow &flow, const Item &item, double weight)
{
    enter(flow.team, weight);
    lanes_[flow].items.push_back(item);
    size_++;
}

void FairQueue::pushFront(const Flow &flow, const Item &item, double weight)
{
    enter(flow.team, weight);
    lanes_[flow].items.push_front(item);
    size_++;
}

std::optional<FairQueue::Item> FairQueue::pop(const MayStart &mayStart, const CostOf &costOf)
{
    std::vector<std::pair<double, const Flow *>> order;
    for (const auto &[flow, lane] : lanes_)
        order.emplace_back(shares_[flow.team].start, &flow);
    std::sort(
        order.begin(), order.end(), [](const auto &a, const auto &b) { return a.first < b.first; });
    for (const auto &[start, candidate] : order) {
        if (!mayStart(*candidate))
            continue;
        const Flow flow = *candidate;
        Lane &lane = lanes_[flow];
        const Item item = lane.items.front();
        lane.items.pop_front();
        if (lane.items.empty())
            lanes_.erase(flow);
        size_--;
        Share &share = shares_[flow.team];
        virtualTime_ = std::max(virtualTime_, share.start);
        share.start += costOf(flow) / share.weight;
        return item;
    }
    return std::nullopt;
}

void FairQueue::refund(const TeamName &team, double cost)
{
    const auto found = shares_.find(team);
    if (found != shares_.end())
        found->second.start -= cost / found->second.weight;
}

bool FairQueue::remove(const Flow &flow, RequestId id)
{
    const auto lane = lanes_.find(flow);
    if (lane == lanes_.end())
        return false;
    const size_t erased =
        std::erase_if(lane->second.items, [id](const Item &item) { return item.id == id; });
    size_ -= erased;
    if (lane->second.items.empty())
        lanes_.erase(lane);
    return erased > 0;
}

std::vector<FairQueue::Item> FairQueue::takeExpired(Millis deadline)
{
    std::vector<Item> expired;
    for (auto lane = lanes_.begin(); lane != lanes_.end();) {
        std::erase_if(lane->second.items, [&](const Item &item) {
            if (item.deadline > deadline)
                return false;
            expired.push_back(item);
            return true;
        });
        lane = lane->second.items.empty() ? lanes_.erase(lane) : std::next(lane);
    }
    size_ -= expired.size();
    return expired;
}

void FairQueue::setWeight(const TeamName &team, double weight)
{
    const auto found = shares_.find(team);
    if (found != shares_.end())
        found->second.weight = std::max(weight, LeastWeight);
}

size_t FairQueue::sizeOf(const Flow &flow) const
{
    const auto found = lanes_.find(flow);
    return found == lanes_.end() ? 0 : found->second.items.size();
}

size_t FairQueue::sizeOf(const TeamName &team) const
{
    size_t size = 0;
    for (auto lane = lanes_.lower_bound({ team, PoolName() });
         lane != lanes_.end() && lane->first.team == team; ++lane)
        size += lane->second.items.size();
    return size;
}

std::vector<Flow> FairQueue::flows() const
{
    std::vector<Flow> flows;
    for (const auto &[flow, lane] : lanes_)
        flows.push_back(flow);
    return flows;
}

} // namespace basilgap::entry
