#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Entry/FairQueue.h"

namespace basilgap::entry {

namespace {

const auto Always = [](const Flow &) { return true; };
const auto UnitCost = [](const Flow &) { return 1.0; };

Flow flowOf(const std::string &team)
{
    return { TeamName(team), PoolName("desk") };
}

} // namespace

TEST(FairQueue, servesTeamsByWeightAndRequestsInOrder)
{
    FairQueue queue;
    for (uint64_t i = 0; i < 400; i++) {
        queue.push(flowOf("a"), { RequestId(i), Millis(1000) }, 1);
        queue.push(flowOf("b"), { RequestId(1000 + i), Millis(1000) }, 3);
    }
    int ofA = 0;
    uint64_t lastA = 0;
    for (int i = 0; i < 200; i++) {
        const uint64_t id = queue.pop(Always, UnitCost)->id.value();
        if (id >= 1000)
            continue;
        EXPECT_TRUE(ofA == 0 || id == lastA + 1);
        lastA = id;
        ofA++;
    }
    EXPECT_NEAR(ofA, 50, 1);
}

TEST(FairQueue, idleTeamAccumulatesNoCredit)
{
    FairQueue queue;
    for (uint64_t i = 0; i < 100; i++)
        queue.push(flowOf("busy"), { RequestId(i), Millis(1000) }, 1);
    for (int i = 0; i < 50; i++)
        queue.pop(Always, UnitCost);
    for (uint64_t i = 0; i < 100; i++)
        queue.push(flowOf("late"), { RequestId(500 + i), Millis(1000) }, 1);
    int late = 0;
    for (int i = 0; i < 20; i++)
        late += queue.pop(Always, UnitCost)->id.value() >= 500 ? 1 : 0;
    EXPECT_NEAR(late, 10, 1);
}

TEST(FairQueue, refundedRequestIsNotCharged)
{
    FairQueue queue;
    for (uint64_t i = 0; i < 100; i++) {
        queue.push(flowOf("a"), { RequestId(i), Millis(1000) }, 1);
        queue.push(flowOf("b"), { RequestId(1000 + i), Millis(1000) }, 1);
    }
    int served = 0;
    int ofA = 0;
    while (served < 60) {
        const auto item = queue.pop(Always, UnitCost);
        const bool isA = item->id.value() < 1000;
        // Every second request of team a is popped too late to start.
        if (isA && item->id.value() % 2 == 0) {
            queue.refund(TeamName("a"), 1);
            continue;
        }
        served++;
        ofA += isA ? 1 : 0;
    }
    EXPECT_NEAR(ofA, 30, 2);
}

// Compares with the fluid model: over any run of a backlogged queue, the teams' services divided by
// their weights differ by at most one request of each.
RC_GTEST_PROP(FairQueueDifferential, staysWithinOneRequestOfTheFluidModel, ())
{
    FairQueue queue;
    const int teams = *rc::gen::inRange(2, 6);
    std::vector<double> weights;
    for (int team = 0; team < teams; team++) {
        weights.push_back(*rc::gen::inRange(1, 6));
        for (uint64_t i = 0; i < 300; i++)
            queue.push(flowOf("t" + std::to_string(team)),
                { RequestId(static_cast<uint64_t>(team) * 1000 + i), Millis(1) }, weights.back());
    }
    std::vector<double> served(static_cast<size_t>(teams), 0);
    for (int i = 0; i < 100; i++) {
        served[queue.pop(Always, UnitCost)->id.value() / 1000] += 1;
        for (size_t a = 0; a < served.size(); a++) {
            for (size_t b = 0; b < served.size(); b++)
                RC_ASSERT(served[a] / weights[a]
                    <= served[b] / weights[b] + 1 / weights[a] + 1 / weights[b] + 1e-9);
        }
    }
}

RC_GTEST_PROP(FairQueueDifferential, matchesNaiveModel, ())
{
    FairQueue queue;
    std::map<uint64_t, Flow> naive;
    std::map<uint64_t, int64_t> deadlines;
    uint64_t next = 0;
    for (int step = 0; step < 80; step++) {
        const int action = *rc::gen::inRange(0, 5);
        const Flow flow = flowOf("t" + std::to_string(*rc::gen::inRange(0, 3)));
        if (action <= 1) {
            const int64_t deadline = *rc::gen::inRange(0, 100);
            queue.push(flow, { RequestId(next), Millis(deadline) }, 1);
            naive[next] = flow;
            deadlines[next++] = deadline;
        } else if (action == 2) {
            const auto item = queue.pop([&](const Flow &f) { return f == flow; }, UnitCost);
            const bool any = std::any_of(naive.begin(), naive.end(),
                [&](const auto &entry) { return entry.second == flow; });
            RC_ASSERT(item.has_value() == any);
            if (item)
                naive.erase(item->id.value());
        } else if (action == 3 && next > 0) {
            const uint64_t id = *rc::gen::inRange<uint64_t>(0, next);
            const bool held = naive.contains(id);
            RC_ASSERT(queue.remove(held ? naive[id] : flow, RequestId(id)) == held);
            naive.erase(id);
        } else {
            const int64_t now = *rc::gen::inRange(0, 20);
            for (const auto &item : queue.takeExpired(Millis(now)))
                naive.erase(item.id.value());
            for (const auto &[id, held] : naive)
                RC_ASSERT(deadlines[id] > now);
        }
        RC_ASSERT(queue.size() == naive.size());
    }
}

} // namespace basilgap::entry
