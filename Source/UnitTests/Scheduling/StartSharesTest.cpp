#include <set>
#include <string>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Scheduling/StartShares.h"

namespace basilgap::scheduling {

namespace {

using state::AccountName;

constexpr Millis RoundInterval{ 70 };
constexpr uint32_t Urgent = 0;
constexpr uint32_t Deferrable = 2;

AccountName accountName(size_t i)
{
    return AccountName("account" + std::to_string(i));
}

// Accounts of equal weight, and two priorities.
class StartSharesTest : public testing::Test
{
protected:
    static constexpr size_t Accounts = 20;

    void SetUp() override
    {
        command.set_version(1);
        for (size_t i = 0; i < Accounts; i++) {
            schema::AccountConfig *account = command.mutable_config()->add_accounts();
            account->set_name(accountName(i).value());
            account->set_weight(1);
        }
        config.apply(command);
        update();
    }

    void update()
    {
        now += RoundInterval;
        shares.update(config, waiting, now);
    }

    // Each account has started that much of the priority, and twice as much of it waits.
    void startAll(uint32_t priority, int64_t millicores)
    {
        for (size_t i = 0; i < Accounts; i++)
            start(priority, i, millicores);
    }

    void start(uint32_t priority, size_t account, int64_t millicores)
    {
        shares.recordStart(priority, accountName(account), millicores);
        waiting[{ priority, accountName(account) }] += 2 * millicores;
    }

    std::set<std::pair<uint32_t, AccountName>> listed(size_t maxCount) const
    {
        std::set<std::pair<uint32_t, AccountName>> keys;
        for (const StartShareExcess &excess : shares.accountsOverShare(maxCount))
            keys.emplace(excess.priority, excess.account);
        return keys;
    }

    std::set<std::pair<uint32_t, AccountName>> over() const
    {
        std::set<std::pair<uint32_t, AccountName>> keys;
        for (const uint32_t priority : { Urgent, Deferrable }) {
            for (size_t i = 0; i < Accounts; i++) {
                if (shares.isOverShare(priority, accountName(i)))
                    keys.emplace(priority, accountName(i));
            }
        }
        return keys;
    }

    schema::PutWorkConfig command;
    state::WorkConfigState config;
    MillicoresByAccount waiting;
    StartShares shares;
    Millis now{ 1000 };
};

} // namespace

// Guards against a log that names other accounts than those the planner holds back.
TEST_F(StartSharesTest, listsExactlyTheAccountsThatAreOverTheirShare)
{
    startAll(Urgent, 4000);
    startAll(Deferrable, 4000);
    start(Urgent, 3, 52000);
    start(Urgent, 8, 24000);
    start(Deferrable, 5, 24000);
    update();
    const std::set<std::pair<uint32_t, AccountName>> expected = { { Urgent, accountName(3) },
        { Urgent, accountName(8) }, { Deferrable, accountName(5) } };
    EXPECT_EQ(over(), expected);
    EXPECT_EQ(listed(10), expected);
}

// Guards against a list that leaves out the same account in each priority, or keeps one too long.
RC_GTEST_FIXTURE_PROP(StartSharesTest, theListIsThatOfThePlannerInEachRound, ())
{
    const auto rounds = *rc::gen::inRange(1, 30);
    for (int round = 0; round < rounds; round++) {
        const auto starts = *rc::gen::inRange(0, 8);
        for (int i = 0; i < starts; i++) {
            start(*rc::gen::element(Urgent, Deferrable), *rc::gen::inRange<size_t>(0, Accounts),
                *rc::gen::inRange<int64_t>(1, 60000));
        }
        if (*rc::gen::inRange(0, 5) == 0)
            waiting.clear();
        update();
        RC_ASSERT(listed(2 * Accounts) == over());
    }
}

TEST_F(StartSharesTest, listsTheFiguresThatExplainIt)
{
    startAll(Urgent, 4000);
    start(Urgent, 3, 20000);
    update();
    const auto over = shares.accountsOverShare(10);
    ASSERT_EQ(over.size(), 1U);
    EXPECT_EQ(over[0].priority, Urgent);
    EXPECT_EQ(over[0].account, accountName(3));
    // The sums have decayed by the time of one round.
    EXPECT_GT(over[0].startedMillicores, 23000);
    EXPECT_LT(over[0].startedMillicores, 24000);
    EXPECT_GT(over[0].allMillicores, 98000);
    EXPECT_LT(over[0].allMillicores, 100000);
    EXPECT_NEAR(static_cast<double>(over[0].fairMillicores),
        static_cast<double>(over[0].allMillicores) / Accounts, 1);
}

// Guards against a list as long as the configuration.
TEST_F(StartSharesTest, aListThatIsCutKeepsTheMostUrgentAndTheFurthest)
{
    startAll(Urgent, 4000);
    startAll(Deferrable, 4000);
    for (size_t i = 0; i < 4; i++) {
        start(Urgent, i, 20000 + 1000 * static_cast<int64_t>(i));
        start(Deferrable, i, 40000);
    }
    update();
    ASSERT_EQ(over().size(), 8U);
    const auto listed = shares.accountsOverShare(5);
    ASSERT_EQ(listed.size(), 5U);
    for (size_t i = 0; i < 4; i++) {
        EXPECT_EQ(listed[i].priority, Urgent);
        EXPECT_EQ(listed[i].account, accountName(3 - i));
    }
    EXPECT_EQ(listed[4].priority, Deferrable);
    EXPECT_TRUE(shares.accountsOverShare(0).empty());
}

// Guards against an account that is still named once nothing of the priority waits or is counted.
TEST_F(StartSharesTest, theListIsEmptyOnceTheExcessHasDecayed)
{
    startAll(Urgent, 4000);
    start(Urgent, 3, 20000);
    update();
    ASSERT_EQ(listed(10).size(), 1U);
    waiting.clear();
    now += Millis(60000);
    update();
    EXPECT_TRUE(listed(10).empty());
    EXPECT_TRUE(over().empty());
}

} // namespace basilgap::scheduling
