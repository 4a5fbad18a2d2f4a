#include "Basilgap/Scheduling/FairShare.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace basilgap::scheduling {

namespace {

constexpr double RoundingSlack = 1e-6;

// Fills the claims in order of demand for one unit of weight, so that each is settled once.
void fill(const std::vector<ShareClaim> &claims, std::vector<size_t> order, double *capacity,
    std::vector<double> *amounts)
{
    std::sort(order.begin(), order.end(), [&claims](size_t a, size_t b) {
        return claims[a].demand * claims[b].weight < claims[b].demand * claims[a].weight;
    });
    double weights = 0;
    for (const size_t i : order)
        weights += claims[i].weight;
    for (const size_t i : order) {
        const double fair = weights <= 0 ? 0 : *capacity * claims[i].weight / weights;
        const double amount = std::min(claims[i].demand, fair);
        (*amounts)[i] = amount;
        *capacity -= amount;
        weights -= claims[i].weight;
    }
}

} // namespace

std::vector<double> weightedMaxMin(const std::vector<ShareClaim> &claims, double capacity)
{
    std::vector<double> amounts(claims.size(), 0);
    std::vector<size_t> weighted;
    std::vector<size_t> weightless;
    std::vector<ShareClaim> equal = claims;
    for (size_t i = 0; i < claims.size(); i++) {
        (claims[i].weight > 0 ? weighted : weightless).push_back(i);
        equal[i].weight = 1;
    }
    fill(claims, weighted, &capacity, &amounts);
    fill(equal, weightless, &capacity, &amounts);
    return amounts;
}

std::vector<uint32_t> roundKeepingSum(const std::vector<double> &amounts)
{
    std::vector<uint32_t> rounded;
    std::vector<size_t> order(amounts.size());
    std::iota(order.begin(), order.end(), 0);
    for (const double amount : amounts)
        rounded.push_back(static_cast<uint32_t>(std::floor(amount + RoundingSlack)));
    const double sum = std::accumulate(amounts.begin(), amounts.end(), 0.0);
    auto missing = static_cast<int64_t>(std::floor(sum + RoundingSlack))
        - std::accumulate(rounded.begin(), rounded.end(), int64_t(0));
    std::stable_sort(order.begin(), order.end(),
        [&](size_t a, size_t b) { return amounts[a] - rounded[a] > amounts[b] - rounded[b]; });
    for (size_t i = 0; i < order.size() && missing > 0; i++, missing--)
        rounded[order[i]]++;
    return rounded;
}

} // namespace basilgap::scheduling
