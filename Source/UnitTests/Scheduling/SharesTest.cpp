#include <numeric>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Scheduling/AllotmentPlan.h"
#include "Basilgap/Scheduling/FairShare.h"
#include "Basilgap/Scheduling/WorkerHealth.h"

namespace basilgap::scheduling {

namespace {

// Assigns one small piece at a time to the request furthest below its share.
std::vector<double> referenceMaxMin(const std::vector<ShareRequest> &requests, double capacity)
{
    constexpr double Piece = 0.01;
    std::vector<double> amounts(requests.size(), 0);
    for (double left = capacity; left > Piece / 2; left -= Piece) {
        int best = -1;
        for (size_t i = 0; i < requests.size(); i++) {
            if (amounts[i] + Piece > requests[i].demand + Piece / 2)
                continue;
            if (best < 0
                || amounts[i] / requests[i].weight < amounts[static_cast<size_t>(best)]
                        / requests[static_cast<size_t>(best)].weight)
                best = static_cast<int>(i);
        }
        if (best < 0)
            break;
        amounts[static_cast<size_t>(best)] += Piece;
    }
    return amounts;
}

} // namespace

RC_GTEST_PROP(FairShareDifferential, matchesIncrementalReference, ())
{
    std::vector<ShareRequest> requests;
    const int count = *rc::gen::inRange(1, 7);
    for (int i = 0; i < count; i++)
        requests.push_back({ static_cast<double>(*rc::gen::inRange(1, 9)),
            static_cast<double>(*rc::gen::inRange(0, 20)) });
    const double capacity = *rc::gen::inRange(0, 40);
    const auto fast = weightedMaxMin(requests, capacity);
    const auto reference = referenceMaxMin(requests, capacity);
    for (size_t i = 0; i < requests.size(); i++)
        RC_ASSERT(std::abs(fast[i] - reference[i]) < 0.1);
}

// Guards against the loss of small weights beside huge ones, which left the accounts of small
// weight without any share.
TEST(FairShare, smallWeightsCountBesideHugeOnes)
{
    const auto amounts =
        weightedMaxMin({ { 1e9, 1 }, { 1e-9, 100 }, { 1e-9, 100 }, { 2e-9, 100 } }, 5);
    EXPECT_DOUBLE_EQ(amounts[0], 1);
    EXPECT_DOUBLE_EQ(amounts[1], 1);
    EXPECT_DOUBLE_EQ(amounts[2], 1);
    EXPECT_DOUBLE_EQ(amounts[3], 2);
}

RC_GTEST_PROP(AllotmentPlanProperty, neverExceedsCapacity, ())
{
    std::vector<AllotmentCapacity> keys;
    KeyAmounts current;
    EntryAmounts wanted;
    const auto entries = *rc::gen::inRange<uint32_t>(1, 6);
    uint32_t total = 0;
    for (uint32_t key = 1; key <= *rc::gen::inRange<uint32_t>(1, 6); key++) {
        const auto amount = *rc::gen::inRange<uint32_t>(0, 9);
        keys.push_back({ AllotmentKeyNumber(key), amount });
        total += amount;
        uint32_t left = amount;
        for (uint32_t entry = 1; entry <= entries; entry++) {
            const auto held = *rc::gen::inRange<uint32_t>(0, left + 1);
            left -= held;
            if (held > 0)
                current[AllotmentKeyNumber(key)][EntryNumber(entry)] = held;
        }
    }
    uint32_t left = total;
    for (uint32_t entry = 1; entry <= entries; entry++) {
        wanted[EntryNumber(entry)] = *rc::gen::inRange<uint32_t>(0, left + 1);
        left -= wanted[EntryNumber(entry)];
    }
    const KeyAmounts targets = planTargets(keys, wanted, current);
    EntryAmounts got;
    for (const AllotmentCapacity &key : keys) {
        uint32_t sum = 0;
        const auto byEntry = targets.find(key.key);
        if (byEntry == targets.end())
            continue;
        for (const auto &[entry, amount] : byEntry->second) {
            sum += amount;
            got[entry] += amount;
        }
        RC_ASSERT(sum <= key.amount);
    }
    // Every entry gets what it wants, since the total wanted does not exceed the capacity.
    for (const auto &[entry, amount] : wanted)
        RC_ASSERT(got[entry] >= amount);
}

TEST(AllotmentPlan, followsDemandAndSpreadsTheRemainder)
{
    const std::vector<EntryNumber> entries = { EntryNumber(1), EntryNumber(2) };
    const EntryAmounts idle = divideBetweenEntries({}, entries, 10);
    EXPECT_EQ(idle.at(EntryNumber(1)), 5U);
    const TeamDemand team{ .weight = 1, .limit = 1000, .entries = { { EntryNumber(1), 0, 30 } } };
    const EntryAmounts busy = divideBetweenEntries({ team }, entries, 10);
    EXPECT_EQ(busy.at(EntryNumber(1)), 10U);
}

TEST(AllotmentPlan, largeAmountsTakeFewSteps)
{
    const std::vector<AllotmentCapacity> keys = { { AllotmentKeyNumber(1), 999'999 } };
    const EntryAmounts wanted = { { EntryNumber(1), 500'000 }, { EntryNumber(2), 499'999 } };
    const KeyAmounts targets = planTargets(keys, wanted, {});
    EXPECT_EQ(targets.at(AllotmentKeyNumber(1)).at(EntryNumber(2)), 499'999U);
}

TEST(WorkerHealth, distinguishesFaultyWorkersFromFaultyJobs)
{
    using FailureCause = WorkerHealth::FailureCause;
    WorkerHealth health;
    const Millis now(1000);
    const state::WorkerNumber bad(1);
    EXPECT_EQ(health.recordFailure(bad, { .job = JobId(1) }, now), FailureCause::Job);
    EXPECT_EQ(health.recordFailure(bad, { .job = JobId(2) }, now), FailureCause::Worker);
    EXPECT_FALSE(health.isQuarantined(bad, now));
    EXPECT_EQ(health.remainingStarts(bad, now), UINT32_MAX);
    EXPECT_EQ(health.recordFailure(bad, { .job = JobId(3) }, now), FailureCause::Worker);
    EXPECT_TRUE(health.isQuarantined(bad, now));
    // After the quarantine it gets one task; a failure quarantines it again, for longer.
    const Millis later = now + Millis(31'000);
    EXPECT_FALSE(health.isQuarantined(bad, later));
    EXPECT_EQ(health.remainingStarts(bad, later), 1U);
    health.recordStart(bad, later);
    EXPECT_EQ(health.remainingStarts(bad, later), 0U);
    health.recordFailure(bad, { .job = JobId(4) }, later);
    EXPECT_TRUE(health.isQuarantined(bad, later + Millis(50'000)));
    health.recordSuccess(bad);
    EXPECT_FALSE(health.isQuarantined(bad, later));
    EXPECT_EQ(health.remainingStarts(bad, later), UINT32_MAX);
    // A job that fails everywhere is found faulty each time, and no worker is.
    for (uint32_t worker = 10; worker < 20; worker++)
        EXPECT_EQ(health.recordFailure(state::WorkerNumber(worker), { .job = JobId(9) }, now),
            FailureCause::Job);
    EXPECT_FALSE(health.isQuarantined(state::WorkerNumber(12), now));
}

} // namespace basilgap::scheduling
