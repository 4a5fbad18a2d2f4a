#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "Basilgap/Scheduling/StepWorker.h"

namespace basilgap::scheduling {

// Capacity of all workers of each pool, whatever runs on them. Tells which tasks could ever be
// placed. Load pattern: jobs that no worker can hold, beside others that wait.
class EmptyCapacity
{
public:
    EmptyCapacity() = default;
    explicit EmptyCapacity(const std::vector<StepWorker> &workers);

    // How many tasks of the step the workers of the pool could hold at a time if they were empty;
    // 0 if no worker can ever hold one.
    int64_t maxTasks(const std::string &pool, const schema::StepSpec &step) const;

private:
    // Workers with the same capacity.
    struct Group
    {
        Resources capacity;
        int64_t workers = 0;
    };

    void add(const std::string &pool, const std::string &label, const Resources &capacity);

    // By pool and label; with the empty label, all workers of the pool.
    std::map<std::pair<std::string, std::string>, std::vector<Group>> groups_;
};

} // namespace basilgap::scheduling
