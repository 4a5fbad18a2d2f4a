#include "Basilgap/Scheduling/FairShare.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilgap::scheduling {

namespace {

constexpr double RoundingTolerance = 1e-6;

// Serves the requests in ascending order of demand per weight, so that one pass suffices.
void divide(const std::vector<ShareRequest> &requests, std::vector<size_t> order, double *capacity,
    std::vector<double> *amounts)
{
    std::sort(order.begin(), order.end(), [&requests](size_t a, size_t b) {
        return requests[a].demand * requests[b].weight < requests[b].demand * requests[a].weight;
    });
    // Of each request and those after it. Subtracting from the total would lose small weights
    // beside huge ones.
    std::vector<double> weights(order.size() + 1, 0);
    for (size_t k = order.size(); k > 0; k--)
        weights[k - 1] = weights[k] + requests[order[k - 1]].weight;
    for (size_t k = 0; k < order.size(); k++) {
        const ShareRequest &request = requests[order[k]];
        const double fair = weights[k] <= 0 ? 0 : *capacity * request.weight / weights[k];
        const double amount = std::min(request.demand, fair);
        (*amounts)[order[k]] = amount;
        *capacity -= amount;
    }
}

} // namespace

std::vector<double> weightedMaxMin(const std::vector<ShareRequest> &requests, double capacity)
{
    std::vector<double> amounts(requests.size(), 0);
    std::vector<size_t> weighted;
    std::vector<size_t> zeroWeight;
    std::vector<ShareRequest> equalWeight = requests;
    for (size_t i = 0; i < requests.size(); i++) {
        (requests[i].weight > 0 ? weighted : zeroWeight).push_back(i);
        equalWeight[i].weight = 1;
    }
    divide(requests, weighted, &capacity, &amounts);
    divide(equalWeight, zeroWeight, &capacity, &amounts);
    return amounts;
}

std::vector<uint32_t> roundPreservingSum(const std::vector<double> &amounts)
{
    std::vector<uint32_t> rounded;
    std::vector<size_t> order(amounts.size());
    std::iota(order.begin(), order.end(), 0);
    for (const double amount : amounts)
        rounded.push_back(static_cast<uint32_t>(std::floor(amount + RoundingTolerance)));
    const double sum = std::accumulate(amounts.begin(), amounts.end(), 0.0);
    auto missing = static_cast<int64_t>(std::floor(sum + RoundingTolerance))
        - std::accumulate(rounded.begin(), rounded.end(), int64_t(0));
    std::stable_sort(order.begin(), order.end(),
        [&](size_t a, size_t b) { return amounts[a] - rounded[a] > amounts[b] - rounded[b]; });
    for (size_t i = 0; i < order.size() && missing > 0; i++, missing--)
        rounded[order[i]]++;
    return rounded;
}

} // namespace basilgap::scheduling
