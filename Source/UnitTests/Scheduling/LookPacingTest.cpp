#include <gtest/gtest.h>

#include "Basilgap/Scheduling/LookPacing.h"

namespace basilgap::scheduling {
namespace {

constexpr Millis Now{ 10000 };

// Many short tasks on a worker, all of which end before the last one of their step elsewhere.
TEST(LookPacing, endsThatLetNothingGoOnAreToldOfTogether)
{
    const std::vector<LookedAtRun> runs(8, { Now + Millis(100), Now + Millis(900) });
    EXPECT_GE(restBeforeLook(runs, RoomDemand::None, Now), Millis(150));
}

TEST(LookPacing, theLastEndOfAStepIsWaitedFor)
{
    std::vector<LookedAtRun> runs(8, { Now + Millis(100), Now + Millis(900) });
    runs.push_back({ Now + Millis(60), Now + Millis(60) });
    EXPECT_LE(restBeforeLook(runs, RoomDemand::None, Now), Millis(30));
    runs.back() = { Now - Millis(50), Now - Millis(50) };
    EXPECT_EQ(restBeforeLook(runs, RoomDemand::None, Now), Millis(0));
}

TEST(LookPacing, anEndThatMayBeTheLastCounts)
{
    const std::vector<LookedAtRun> runs = { { Now + Millis(50), Now + Millis(90) } };
    EXPECT_LE(restBeforeLook(runs, RoomDemand::None, Now), Millis(50));
}

TEST(LookPacing, urgentWorkWithoutRoomWantsEveryEndAtOnce)
{
    const std::vector<LookedAtRun> runs(8, { Now + Millis(100), Now + Millis(900) });
    EXPECT_EQ(restBeforeLook(runs, RoomDemand::Urgent, Now), Millis(0));
    EXPECT_LE(restBeforeLook(runs, RoomDemand::Patient, Now),
        restBeforeLook(runs, RoomDemand::None, Now));
}

TEST(LookPacing, aRunOfUnknownSpeedIsLookedAtSooner)
{
    const std::vector<LookedAtRun> known = { { Now + Millis(5000), Now + Millis(9000) } };
    const std::vector<LookedAtRun> unknown = { { std::nullopt, std::nullopt } };
    EXPECT_LT(restBeforeLook(unknown, RoomDemand::None, Now),
        restBeforeLook(known, RoomDemand::None, Now));
}

} // namespace
} // namespace basilgap::scheduling
