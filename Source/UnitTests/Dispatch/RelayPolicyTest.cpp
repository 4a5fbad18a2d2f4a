#include <gtest/gtest.h>

#include "Basilgap/Dispatch/RelayPolicy.h"

namespace basilgap::dispatch {
namespace {

constexpr Millis SampleInterval{ 100 };

// Feeds a policy with samples of a leader whose calls per second are given.
class SampledLeader
{
public:
    explicit SampledLeader(RelayMode mode = RelayMode::ByLoad)
        : policy(mode)
    {}

    // Returns how often the decision changed.
    int runFor(Millis time, uint64_t callsPerSecond)
    {
        int changes = 0;
        for (const Millis end = now_ + time; now_ < end;) {
            now_ += SampleInterval;
            calls_ += callsPerSecond / 10;
            changes += policy.update(now_, calls_) ? 1 : 0;
        }
        return changes;
    }

    // The process gets no processor and takes no samples.
    void freezeFor(Millis time) { now_ += time; }

    RelayPolicy policy;

private:
    Millis now_{ 500 };
    uint64_t calls_ = 0;
};

// Guards against relaying in small cells, where it would only add delay.
TEST(RelayPolicy, aLeaderWith1800CallsASecondCallsDirectly)
{
    SampledLeader leader;
    EXPECT_EQ(leader.runFor(Millis(60000), 1800), 0);
    EXPECT_FALSE(leader.policy.usesRelays());
}

// Guards against a single batch of starts that switches to relays, as when a job of many tasks
// comes to an idle cell.
TEST(RelayPolicy, aBurstOf1500CallsIsMadeDirectly)
{
    SampledLeader leader;
    leader.runFor(Millis(5000), 150);
    EXPECT_EQ(leader.runFor(SampleInterval, 15000), 0);
    EXPECT_EQ(leader.runFor(Millis(5000), 150), 0);
    EXPECT_FALSE(leader.policy.usesRelays());
}

TEST(RelayPolicy, manyCallsUseRelaysWithinASecond)
{
    SampledLeader leader;
    leader.runFor(Millis(5000), 300);
    EXPECT_EQ(leader.runFor(Millis(1000), 4500), 1);
    EXPECT_TRUE(leader.policy.usesRelays());
}

// Guards against a decision from a window that is too short, as after an election, when the new
// leader calls all workers at once.
TEST(RelayPolicy, nothingIsDecidedWithinTheFirstSecond)
{
    SampledLeader leader;
    EXPECT_EQ(leader.runFor(Millis(1000), 15000), 0);
    EXPECT_FALSE(leader.policy.usesRelays());
    EXPECT_FALSE(leader.policy.callsPerSecond());
}

// Guards against switching to and fro under a load that varies around one threshold.
TEST(RelayPolicy, aRateBetweenTheThresholdsChangesNothing)
{
    SampledLeader leader;
    leader.runFor(Millis(3000), 3000);
    EXPECT_EQ(leader.runFor(Millis(60000), 900), 0);
    EXPECT_TRUE(leader.policy.usesRelays());
}

TEST(RelayPolicy, relaysAreUsedUntilCallsWereFewForFiveSeconds)
{
    SampledLeader leader;
    leader.runFor(Millis(3000), 3000);
    leader.runFor(Millis(5000), 870);
    EXPECT_TRUE(leader.policy.usesRelays());
    EXPECT_EQ(leader.runFor(Millis(2000), 870), 1);
    EXPECT_FALSE(leader.policy.usesRelays());
}

TEST(RelayPolicy, aShortBurstStartsTheQuietPeriodAnew)
{
    SampledLeader leader;
    leader.runFor(Millis(3000), 3000);
    leader.runFor(Millis(4000), 300);
    leader.runFor(Millis(500), 3000);
    EXPECT_EQ(leader.runFor(Millis(4500), 300), 0);
    EXPECT_TRUE(leader.policy.usesRelays());
    EXPECT_EQ(leader.runFor(Millis(3000), 300), 1);
}

// Guards against a stuck or hasty decision after a gap between samples: the calls made since then
// count over the whole gap.
TEST(RelayPolicy, aRateIsTakenOverTheTimeOfAFreeze)
{
    SampledLeader leader;
    leader.runFor(Millis(3000), 300);
    leader.freezeFor(Millis(20000));
    EXPECT_EQ(leader.runFor(Millis(100), 10000), 0);
    ASSERT_TRUE(leader.policy.callsPerSecond());
    EXPECT_LT(*leader.policy.callsPerSecond(), 60);
    leader.runFor(Millis(2000), 3000);
    EXPECT_TRUE(leader.policy.usesRelays());
}

TEST(RelayPolicy, aForcedModeIgnoresTheLoad)
{
    SampledLeader always(RelayMode::Always);
    EXPECT_TRUE(always.policy.usesRelays());
    EXPECT_EQ(always.runFor(Millis(10000), 0), 0);
    EXPECT_TRUE(always.policy.usesRelays());
    SampledLeader never(RelayMode::Never);
    EXPECT_EQ(never.runFor(Millis(10000), 15000), 0);
    EXPECT_FALSE(never.policy.usesRelays());
}

} // namespace
} // namespace basilgap::dispatch
