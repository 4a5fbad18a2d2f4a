#pragma once

#include <cstdint>
#include <vector>

namespace basilgap::scheduling {

// Queue weight, at an entry that receives all requests of a team, for each unit of the team's
// share.
constexpr double WeightPerShare = 1000;

struct ShareRequest
{
    // A request of weight 0 only gets what the others leave.
    double weight = 1;
    double demand = 0;
};

// Divides the capacity by weighted max-min fairness: no request gets more than its demand, and what
// one leaves goes to the others by weight. Returns one amount for each request, in the unit of the
// demand. Load pattern: saturation by teams of different weight.
std::vector<double> weightedMaxMin(const std::vector<ShareRequest> &requests, double capacity);

// Rounds to whole numbers whose sum is the sum of the amounts, rounded down.
std::vector<uint32_t> roundPreservingSum(const std::vector<double> &amounts);

} // namespace basilgap::scheduling
