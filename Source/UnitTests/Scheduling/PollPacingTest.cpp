#include <gtest/gtest.h>

#include "Basilgap/Scheduling/PollPacing.h"

namespace basilgap::scheduling {
namespace {

constexpr Millis Now{ 10000 };

// Many short tasks on a worker, all of which end before the last task of their step, which runs
// elsewhere.
TEST(PollPacing, endsThatUnblockNoStepShareAPoll)
{
    const std::vector<PolledRun> runs(8, { Now + Millis(100), Now + Millis(900) });
    EXPECT_GE(pollDelay(runs, CapacityDemand::None, Now), Millis(150));
}

TEST(PollPacing, lastEndOfAStepIsPolledForEarly)
{
    std::vector<PolledRun> runs(8, { Now + Millis(100), Now + Millis(900) });
    runs.push_back({ Now + Millis(60), Now + Millis(60) });
    EXPECT_LE(pollDelay(runs, CapacityDemand::None, Now), Millis(30));
    runs.back() = { Now - Millis(50), Now - Millis(50) };
    EXPECT_EQ(pollDelay(runs, CapacityDemand::None, Now), Millis(0));
}

TEST(PollPacing, endThatMayBeTheLastOfItsStepIsPolledForEarly)
{
    const std::vector<PolledRun> runs = { { Now + Millis(50), Now + Millis(90) } };
    EXPECT_LE(pollDelay(runs, CapacityDemand::None, Now), Millis(50));
}

TEST(PollPacing, urgentWorkWithoutCapacityIsNotDelayed)
{
    const std::vector<PolledRun> runs(8, { Now + Millis(100), Now + Millis(900) });
    EXPECT_EQ(pollDelay(runs, CapacityDemand::Urgent, Now), Millis(0));
    EXPECT_LE(pollDelay(runs, CapacityDemand::Deferrable, Now),
        pollDelay(runs, CapacityDemand::None, Now));
}

TEST(PollPacing, runOfUnknownSpeedIsPolledSooner)
{
    const std::vector<PolledRun> known = { { Now + Millis(5000), Now + Millis(9000) } };
    const std::vector<PolledRun> unknown = { { std::nullopt, std::nullopt } };
    EXPECT_LT(
        pollDelay(unknown, CapacityDemand::None, Now), pollDelay(known, CapacityDemand::None, Now));
}

} // namespace
} // namespace basilgap::scheduling
