#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace basilgap::scheduling {

// Suspends quarantines that take more than half of the capacity of a pool, or of its workers with
// one label. Failures on most of the workers are more likely due to the tasks, or to something that
// all workers share, and a quarantine must not take the last room from other tasks.
class QuarantineLimit
{
public:
    // Counts a worker that could otherwise be given tasks.
    void add(const std::string &pool, const std::vector<std::string> &labels, int64_t millicores,
        bool isQuarantined);

    // Whether tasks that need the label, or none if it is empty, stay off quarantined workers.
    bool holds(const std::string &pool, const std::string &label) const;

private:
    struct Capacity
    {
        int64_t total = 0;
        int64_t quarantined = 0;
    };
    // By pool and label; the label is empty for all workers of the pool.
    std::map<std::pair<std::string, std::string>, Capacity> capacities_;
};

} // namespace basilgap::scheduling
