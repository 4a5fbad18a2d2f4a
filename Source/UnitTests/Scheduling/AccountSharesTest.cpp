#include <cmath>
#include <limits>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Scheduling/AccountShares.h"

namespace basilgap::scheduling {

namespace {

using state::AccountName;
using state::Resources;

constexpr Millis RoundInterval{ 70 };

AccountName accountName(size_t i)
{
    return AccountName("account" + std::to_string(i));
}

// A cell of 1,000 cores and 20 accounts of equal weight. Each account holds 50 cores, which is its
// fair share, and more tasks wait.
class AccountSharesTest : public testing::Test
{
protected:
    void SetUp() override
    {
        view.capacity = { 1'000'000, 4'000'000, 0 };
        view.now = Millis(1000);
        for (size_t i = 0; i < 20; i++)
            view.accounts.push_back({ .account = accountName(i),
                .weight = 1,
                .cap = {},
                .usage = cores(50),
                .waiting = cores(100) });
    }

    static Resources cores(int64_t count) { return { count * 1000, count * 1000, 0 }; }

    // Updates the shares once per round for that long.
    void advance(Millis time)
    {
        for (const Millis end = view.now + time; view.now < end;) {
            view.now += RoundInterval;
            shares.update(view);
        }
    }

    bool isOver(size_t i) const { return shares.isOverShare(accountName(i)); }

    SharesView view;
    AccountShares shares;
};

} // namespace

// Guards against holding back accounts that are at their fair share.
TEST_F(AccountSharesTest, nobodyIsOverAtEqualShares)
{
    advance(Millis(10000));
    for (size_t i = 0; i < 20; i++) {
        EXPECT_FALSE(isOver(i));
        EXPECT_NEAR(shares.share(accountName(i)), 1, 1e-9);
    }
    EXPECT_TRUE(shares.accountsOverShare(10).empty());
}

// Guards against a flooding account that takes the shares of the others.
TEST_F(AccountSharesTest, onlyAnAccountAtSevenTimesItsLoadIsOver)
{
    view.accounts[3].usage = cores(350);
    view.accounts[3].waiting = cores(7000);
    for (size_t i = 0; i < 20; i++) {
        if (i != 3)
            view.accounts[i].usage = cores(34);
    }
    shares.update(view);
    for (size_t i = 0; i < 20; i++)
        EXPECT_EQ(isOver(i), i == 3);
    EXPECT_NEAR(shares.share(accountName(3)), 7, 1e-6);
    EXPECT_EQ(shares.accountsOverShare(10), std::vector{ accountName(3) });
}

// Guards against holding an account back while the cell has room for all.
TEST_F(AccountSharesTest, nobodyIsOverInACellThatIsNotFull)
{
    for (AccountLoad &load : view.accounts)
        load.waiting = {};
    view.accounts[0].usage = cores(40);
    view.accounts[1].usage = cores(10);
    view.accounts[2].usage = cores(100);
    shares.update(view);
    for (size_t i = 0; i < 20; i++)
        EXPECT_FALSE(isOver(i));
    // The others ask for little, so that one account may use half of the cell.
    for (AccountLoad &load : view.accounts)
        load.usage = cores(10);
    view.accounts[5].usage = cores(500);
    view.accounts[5].waiting = cores(300);
    shares.update(view);
    EXPECT_FALSE(isOver(5));
    EXPECT_FALSE(shares.isDemandBeyondShare(accountName(5)));
    view.accounts[5].waiting = cores(400);
    shares.update(view);
    EXPECT_FALSE(isOver(5));
    EXPECT_TRUE(shares.isDemandBeyondShare(accountName(5)));
}

// Guards against unbounded credit, which would let an idle account block the cell for long.
TEST_F(AccountSharesTest, creditAllowsAShortBurstAndIsBounded)
{
    view.accounts[7].usage = {};
    view.accounts[7].waiting = {};
    advance(Millis(60000));
    // Its part by weight is a twentieth of the cell.
    EXPECT_NEAR(shares.credit(accountName(7)), 4000.0 / 20, 1e-6);
    // At twice the fair share the credit of 4 s lasts for 4 s.
    view.accounts[7].usage = cores(100);
    view.accounts[7].waiting = cores(1000);
    advance(Millis(3500));
    EXPECT_FALSE(isOver(7));
    advance(Millis(700));
    EXPECT_TRUE(isOver(7));
    EXPECT_EQ(shares.credit(accountName(7)), 0);
    // A second burst just after the first finds no credit.
    view.accounts[7].usage = cores(50);
    advance(Millis(1000));
    EXPECT_FALSE(isOver(7));
    view.accounts[7].usage = cores(100);
    advance(RoundInterval);
    EXPECT_TRUE(isOver(7));
}

// Guards against a new leader that grants credit that its predecessor has seen used.
TEST_F(AccountSharesTest, aNewLeaderStartsWithoutCredit)
{
    view.accounts[7].usage = {};
    advance(Millis(10000));
    EXPECT_GT(shares.credit(accountName(7)), 0);
    AccountShares successor;
    view.accounts[7].usage = cores(60);
    successor.update(view);
    EXPECT_EQ(successor.credit(accountName(7)), 0);
    EXPECT_TRUE(successor.isOverShare(accountName(7)));
    // The same for an account that is new in the configuration.
    view.accounts.push_back(
        { .account = AccountName("new"), .weight = 1, .cap = {}, .usage = {}, .waiting = {} });
    view.now += Millis(3000);
    shares.update(view);
    EXPECT_EQ(shares.credit(AccountName("new")), 0);
}

// Guards against credit for the time in which a leader was suspended, and against a clock that
// appears to go back.
TEST_F(AccountSharesTest, aSuspendedLeaderGrantsNoMoreThanTheLimit)
{
    view.accounts[7].usage = {};
    shares.update(view);
    view.now += Millis(3'600'000);
    shares.update(view);
    EXPECT_LE(shares.credit(accountName(7)), 4000 * shares.entitlement(accountName(7)) + 1e-9);
    const double credit = shares.credit(accountName(7));
    view.now = Millis(0);
    shares.update(view);
    EXPECT_EQ(shares.credit(accountName(7)), credit);
}

// Guards against skewed weights that are not followed, and against a changed weight that takes
// effect late.
TEST_F(AccountSharesTest, weightsDivideAFullCellAndChangeInTheNextRound)
{
    for (AccountLoad &load : view.accounts)
        load.waiting = cores(2000);
    view.accounts[0].weight = 21;
    view.accounts[0].usage = cores(525);
    for (size_t i = 1; i < 20; i++)
        view.accounts[i].usage = cores(25);
    shares.update(view);
    EXPECT_NEAR(shares.entitlement(accountName(0)), 0.525, 1e-9);
    EXPECT_FALSE(isOver(0));
    EXPECT_FALSE(isOver(1));
    view.accounts[0].weight = 1;
    view.now += RoundInterval;
    shares.update(view);
    EXPECT_TRUE(isOver(0));
    EXPECT_FALSE(isOver(1));
}

// Guards against weights that starve an account: zero, absent, not a number and huge ones.
TEST_F(AccountSharesTest, unusableWeightsCountAsTheSmallest)
{
    for (AccountLoad &load : view.accounts)
        load.weight = 2;
    view.accounts[0].weight = 0;
    view.accounts[1].weight = std::numeric_limits<double>::quiet_NaN();
    view.accounts[2].weight = -5;
    view.accounts[3].weight = std::numeric_limits<double>::infinity();
    shares.update(view);
    for (size_t i = 0; i < 20; i++)
        EXPECT_NEAR(shares.entitlement(accountName(i)), 0.05, 1e-9);
    // The account of huge weight has less demand than the cell; the others share what it leaves.
    view.accounts[4].weight = 1e9;
    view.accounts[4].usage = cores(100);
    view.accounts[4].waiting = cores(140);
    view.now += RoundInterval;
    shares.update(view);
    EXPECT_NEAR(shares.share(accountName(4)), 0.1 / 0.24, 1e-9);
    for (size_t i = 0; i < 4; i++)
        EXPECT_NEAR(shares.entitlement(accountName(i)), 0.04, 1e-9);
    // No account has a weight.
    for (AccountLoad &load : view.accounts)
        load.weight = 0;
    view.accounts[4].usage = cores(50);
    shares.update(view);
    for (size_t i = 0; i < 20; i++)
        EXPECT_NEAR(shares.entitlement(accountName(i)), 0.05, 1e-9);
}

// Guards against an account whose cap keeps it far below its part by weight: the others use the
// rest without being over their shares.
TEST_F(AccountSharesTest, whatACappedAccountCannotUseGoesToTheOthers)
{
    view.accounts[0].cap = { 12'000, 12'000, 0 };
    view.accounts[0].usage = cores(12);
    for (size_t i = 1; i < 20; i++)
        view.accounts[i].usage = cores(52);
    shares.update(view);
    EXPECT_NEAR(shares.entitlement(accountName(0)), 0.012, 1e-9);
    EXPECT_TRUE(shares.isDemandBeyondShare(accountName(0)));
    for (size_t i = 0; i < 20; i++)
        EXPECT_FALSE(isOver(i));
}

// Guards against divisions by zero before any worker has registered, and for unknown accounts.
TEST_F(AccountSharesTest, anEmptyCellAndUnknownAccountsAreNeverOver)
{
    EXPECT_EQ(shares.share(accountName(0)), 0);
    EXPECT_FALSE(isOver(0));
    view.capacity = {};
    shares.update(view);
    EXPECT_FALSE(isOver(0));
    EXPECT_FALSE(shares.isDemandBeyondShare(accountName(0)));
    EXPECT_TRUE(std::isfinite(shares.entitlement(accountName(0))));
    shares.update({});
    EXPECT_EQ(shares.credit(accountName(0)), 0);
}

// Guards against a state in which every account is held back, or in which one is held back while
// the cell could serve all demand.
RC_GTEST_PROP(AccountSharesProperty, someAccountWithinItsShareIsAlwaysLeft, ())
{
    AccountShares shares;
    SharesView view;
    view.capacity = { 100'000, 100'000, 10 };
    const auto count = *rc::gen::inRange<size_t>(1, 12);
    for (int round = 0; round < 5; round++) {
        view.now += Millis(*rc::gen::inRange<int64_t>(0, 6000));
        view.accounts.clear();
        int64_t left = view.capacity.millicores;
        Resources demand;
        for (size_t i = 0; i < count; i++) {
            const auto usage = *rc::gen::inRange<int64_t>(0, left + 1);
            const auto waiting = *rc::gen::inRange<int64_t>(0, 50'000);
            left -= usage;
            const double weight = *rc::gen::element(0.0, 1e-6, 1.0, 7.0, 1e9);
            view.accounts.push_back({ .account = accountName(i),
                .weight = weight,
                .cap = {},
                .usage = { usage, usage, 0 },
                .waiting = { waiting, 0, 0 } });
            demand += view.accounts.back().usage + view.accounts.back().waiting;
        }
        shares.update(view);
        size_t over = 0;
        for (size_t i = 0; i < count; i++) {
            over += shares.isOverShare(accountName(i)) ? 1 : 0;
            RC_ASSERT(shares.credit(accountName(i)) >= 0);
            RC_ASSERT(
                shares.credit(accountName(i)) <= 4000 * shares.entitlement(accountName(i)) + 1e-6);
        }
        RC_ASSERT(over < count);
        if (demand.fitsIn(view.capacity))
            RC_ASSERT(over == 0U);
    }
}

} // namespace basilgap::scheduling
