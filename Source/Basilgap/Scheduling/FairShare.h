#pragma once

#include <cstdint>
#include <vector>

namespace basilgap::scheduling {

// Weight in an entry's queue of a team with share 1 whose requests all arrive there.
constexpr double WeightPerShare = 1000;

struct ShareRequest
{
    // A claim of weight 0 gets only what the others leave.
    double weight = 1;
    double demand = 0;
};

// Weighted max-min fair division of the capacity: nobody gets more than its demand, and what one
// leaves goes to the others by weight. One amount for each claim, in the unit of the demand.
std::vector<double> weightedMaxMin(const std::vector<ShareRequest> &requests, double capacity);

// Rounds to whole numbers whose sum is the rounded-down sum of the amounts.
std::vector<uint32_t> roundPreservingSum(const std::vector<double> &amounts);

} // namespace basilgap::scheduling
