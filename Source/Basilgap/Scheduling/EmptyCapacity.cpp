#include "Basilgap/Scheduling/EmptyCapacity.h"

#include <algorithm>
#include <set>

namespace basilgap::scheduling {

namespace {

// How many tasks fit in the capacity.
int64_t tasksIn(const Resources &capacity, const Resources &reservation, int64_t maxTasks)
{
    const auto limit = [&maxTasks](int64_t available, int64_t needed) {
        if (needed > 0)
            maxTasks = std::min(maxTasks, std::max<int64_t>(0, available) / needed);
    };
    limit(capacity.millicores, reservation.millicores);
    limit(capacity.memoryMb, reservation.memoryMb);
    limit(capacity.accelerators, reservation.accelerators);
    return maxTasks;
}

} // namespace

EmptyCapacity::EmptyCapacity(const std::vector<StepWorker> &workers)
{
    for (const StepWorker &worker : workers) {
        std::set<std::string> labels(worker.labels.begin(), worker.labels.end());
        labels.insert("");
        for (const std::string &label : labels)
            add(worker.pool, label, worker.capacity);
    }
}

void EmptyCapacity::add(
    const std::string &pool, const std::string &label, const Resources &capacity)
{
    std::vector<Group> &groups = groups_[{ pool, label }];
    const auto group = std::find_if(groups.begin(), groups.end(),
        [&capacity](const Group &known) { return known.capacity == capacity; });
    if (group == groups.end())
        groups.push_back({ capacity, 1 });
    else
        group->workers++;
}

int64_t EmptyCapacity::maxTasks(const std::string &pool, const schema::StepSpec &step) const
{
    const auto found = groups_.find({ pool, step.required_label() });
    if (found == groups_.end())
        return 0;
    const Resources reservation = state::reservationOf(step);
    const int64_t count = step.count();
    const int64_t perWorker = step.max_per_worker() == 0 ? count : step.max_per_worker();
    int64_t sum = 0;
    for (const Group &group : found->second)
        sum += group.workers * tasksIn(group.capacity, reservation, perWorker);
    return std::min(sum, count);
}

} // namespace basilgap::scheduling
