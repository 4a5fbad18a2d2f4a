#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace basilgap::scheduling {

// Suspends quarantines that take more than half of the capacity of a pool, or of its workers with
// one label. Failures on most of the workers are more likely due to the tasks, or to something that
// all workers share, and a quarantine must not take the last room from other tasks. Refers to the
// strings that it is given.
class QuarantineLimit
{
public:
    // A worker that could otherwise be given tasks.
    struct Worker
    {
        std::string_view pool;
        std::span<const std::string> labels;
        int64_t millicores = 0;
        bool isQuarantined = false;
    };

    void add(const Worker &worker) { workers_.push_back(worker); }

    // Whether tasks that need the label, or none if it is empty, stay off quarantined workers.
    bool holds(std::string_view pool, std::string_view label);

private:
    bool findWhetherHolds(std::string_view pool, std::string_view label) const;

    std::vector<Worker> workers_;
    // Answers by pool and label.
    std::map<std::pair<std::string_view, std::string_view>, bool> known_;
};

} // namespace basilgap::scheduling
