#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Common/Hash.h"
#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Entry/BackendTable.h"
#include "Basilgap/Entry/HoldingTable.h"
#include "Basilgap/Entry/LocalClaimTable.h"
#include "Basilgap/Entry/RetryBudget.h"
#include "Basilgap/Entry/ServiceTime.h"
#include "Basilgap/Entry/ViewStore.h"

namespace basilgap::entry {

namespace {

schema::AllotmentView allotment(
    uint32_t key, const std::string &name, uint32_t amount, uint32_t target, uint64_t epoch)
{
    schema::AllotmentView view;
    view.set_key(key);
    view.set_name(name);
    view.set_amount(amount);
    view.set_target(target);
    view.set_epoch(epoch);
    return view;
}

schema::RenewReply replyWith(const std::vector<schema::AllotmentView> &views, uint32_t session = 1)
{
    schema::RenewReply reply;
    reply.set_session(session);
    for (const auto &view : views)
        *reply.add_allotments() = view;
    return reply;
}

schema::View viewWith(uint64_t revision, const std::string &key)
{
    schema::CellConfig config;
    config.set_version(revision);
    config.add_teams()->set_name("ghat");
    if (!key.empty()) {
        config.mutable_teams(0)->add_keys()->set_id("k");
        config.mutable_teams(0)->mutable_keys(0)->set_sha256(sha256Hex(key));
    }
    schema::View view;
    view.set_revision(revision);
    view.set_config(config.SerializePartialAsString());
    return view;
}

void addBackend(BackendTable *table, HoldingTable *holdings, uint32_t key, const std::string &id,
    const std::string &zone, uint32_t slots)
{
    schema::RenewReply reply = replyWith({ allotment(key, "backend/" + id, slots, slots, key) });
    schema::BackendView *view = reply.add_backends();
    view->set_key(key);
    view->set_id(id);
    view->set_zone(zone);
    view->set_pool("desk");
    view->set_slots(slots);
    view->set_connections(60);
    holdings->update(reply);
    table->update(reply);
}

const PoolName Desk("desk");

} // namespace

TEST(HoldingTable, shrinksImmediatelyAndReportsItsEpoch)
{
    HoldingTable table;
    table.update(replyWith({ allotment(1, "backend/b1", 5, 5, 10) }));
    table.takeReport(false);
    for (int i = 0; i < 4; i++)
        table.acquire("backend/b1");
    table.update(replyWith({ allotment(1, "backend/b1", 5, 2, 10) }));
    EXPECT_EQ(table.find("backend/b1")->held, 4U);
    EXPECT_EQ(table.freeUnits("backend/b1"), 0U);
    const auto report = table.takeReport(false);
    ASSERT_EQ(report.size(), 1U);
    EXPECT_EQ(report[0].amount(), 4U);
    EXPECT_EQ(report[0].epoch(), 10U);
    table.release("backend/b1");
    table.release("backend/b1");
    table.release("backend/b1");
    EXPECT_EQ(table.find("backend/b1")->held, 2U);
    EXPECT_EQ(table.freeUnits("backend/b1"), 1U);
}

TEST(HoldingTable, staleEpochDoesNotRestoreReturnedUnits)
{
    HoldingTable table;
    table.update(replyWith({ allotment(1, "backend/b1", 5, 1, 10) }));
    EXPECT_EQ(table.find("backend/b1")->held, 1U);
    table.update(replyWith({ allotment(1, "backend/b1", 5, 5, 10) }));
    EXPECT_EQ(table.find("backend/b1")->held, 1U);
    table.update(replyWith({ allotment(1, "backend/b1", 3, 3, 11) }));
    EXPECT_EQ(table.find("backend/b1")->held, 3U);
}

TEST(HoldingTable, newSessionVoidsAllHoldings)
{
    HoldingTable table;
    table.update(replyWith({ allotment(1, "backend/b1", 5, 5, 10) }, 1));
    table.acquire("backend/b1");
    table.update(replyWith({}, 2));
    EXPECT_EQ(table.freeUnits("backend/b1"), 0U);
}

RC_GTEST_PROP(HoldingTableProperty, neverUsesMoreThanTheLoggedAllotment, ())
{
    // The loop models the leader's side of the protocol; `logged` is the allotment in its log.
    HoldingTable table;
    uint32_t logged = 0;
    uint64_t epoch = 0;
    for (int step = 0; step < 60; step++) {
        const int action = *rc::gen::inRange(0, 5);
        if (action == 0) {
            logged += *rc::gen::inRange<uint32_t>(1, 4);
            table.update(replyWith({ allotment(1, "b", logged, logged, ++epoch) }));
        } else if (action == 1) {
            const uint32_t target = *rc::gen::inRange<uint32_t>(0, logged + 1);
            table.update(replyWith({ allotment(1, "b", logged, target, epoch) }));
        } else if (action == 2 && table.freeUnits("b") > 0) {
            table.acquire("b");
        } else if (action == 3) {
            table.release("b");
        } else {
            for (const auto &holding : table.takeReport(false)) {
                if (holding.epoch() == epoch && holding.amount() < logged) {
                    logged = holding.amount();
                    table.update(replyWith({ allotment(1, "b", logged, logged, ++epoch) }));
                }
            }
        }
        const HoldingTable::Holding *holding = table.find("b");
        if (holding != nullptr)
            RC_ASSERT(holding->inUse <= logged);
    }
}

TEST(ViewStore, leaseStartsAtSendTimeAndRequiresTheCurrentRevision)
{
    ViewStore store;
    ASSERT_TRUE(store.install(viewWith(3, "secret")).has_value());
    EXPECT_FALSE(store.isLeaseValid(Millis(1000)));
    store.extendLease(Revision(3), Millis(1000));
    EXPECT_TRUE(store.isLeaseValid(Millis(1000) + ViewLease - Millis(1)));
    EXPECT_FALSE(store.isLeaseValid(Millis(1000) + ViewLease));
    store.extendLease(Revision(2), Millis(9000));
    EXPECT_FALSE(store.isLeaseValid(Millis(9000)));
}

TEST(ViewStore, ignoresOlderRevisionsAndRejectsRevokedKeys)
{
    ViewStore store;
    ASSERT_TRUE(store.install(viewWith(3, "secret")).has_value());
    const auto caller = store.authenticate("Bearer secret");
    ASSERT_TRUE(caller.has_value());
    EXPECT_FALSE(store.authenticate("Bearer other").has_value());
    EXPECT_FALSE(store.authenticate("secret").has_value());
    ASSERT_TRUE(store.install(viewWith(4, "")).has_value());
    EXPECT_FALSE(store.isKeyValid(*caller));
    ASSERT_TRUE(store.install(viewWith(3, "secret")).has_value());
    EXPECT_EQ(store.revision(), Revision(4));
    schema::View delta = viewWith(6, "secret");
    delta.set_base_revision(5);
    EXPECT_FALSE(store.install(delta).has_value()) << "a delta against another base revision";
}

TEST(ViewStore, updatesEntriesWithoutANewRevision)
{
    ViewStore store;
    ASSERT_TRUE(store.install(viewWith(3, "secret")).has_value());
    schema::EntryList list;
    list.add_entries()->set_entry("e2");
    store.setEntries(list);
    EXPECT_TRUE(store.entries().contains(EntryId("e2")));
    ASSERT_TRUE(store.install(viewWith(4, "secret")).has_value());
    EXPECT_TRUE(store.entries().contains(EntryId("e2")));
}

TEST(BackendTable, prefersOwnZoneAndSkipsUnusableBackends)
{
    HoldingTable holdings;
    BackendTable table({ .zone = ZoneName("z1"), .seed = 1 }, holdings);
    addBackend(&table, &holdings, 1, "near", "z1", 2);
    addBackend(&table, &holdings, 2, "far", "z2", 2);
    const Millis now(1000);
    EXPECT_EQ(table.choose(Desk, {}, now), BackendId("near"));
    table.recordStart(BackendId("near"));
    table.recordStart(BackendId("near"));
    EXPECT_EQ(table.choose(Desk, {}, now), BackendId("far"));
    EXPECT_EQ(table.choose(Desk, { BackendId("far") }, now), std::nullopt);
    table.setZonesOut({ ZoneName("z2") });
    EXPECT_EQ(table.choose(Desk, {}, now), std::nullopt);
}

TEST(BackendTable, ejectsFailingBackendsUpToAThirdOfThePool)
{
    HoldingTable holdings;
    BackendTable table({ .zone = ZoneName("z1"), .seed = 1 }, holdings);
    for (uint32_t i = 1; i <= 3; i++)
        addBackend(&table, &holdings, i, "b" + std::to_string(i), "z1", 8);
    const Millis now(1000);
    const auto recordFailures = [&](const char *id, int times) {
        for (int i = 0; i < times; i++) {
            table.recordFailure(table.recordStart(BackendId(id)), now);
        }
    };
    recordFailures("b1", 5);
    recordFailures("b2", 9);
    int ejected = 0;
    for (const auto &[id, backend] : table.all())
        ejected += now < backend.ejectedUntil ? 1 : 0;
    EXPECT_EQ(ejected, 1);
    EXPECT_TRUE(now < table.find(BackendId("b1"))->ejectedUntil);
}

// Guards against a backend server that is ejected right after its restart, because requests to its
// earlier incarnation run into their time-outs.
TEST(BackendTable, failuresOfTheEarlierIncarnationDoNotEjectTheLaterOne)
{
    HoldingTable holdings;
    BackendTable table({ .zone = ZoneName("z1"), .seed = 1 }, holdings);
    for (uint32_t i = 1; i <= 3; i++)
        addBackend(&table, &holdings, i, "b" + std::to_string(i), "z1", 8);
    const Millis now(1000);
    const auto earlier = table.recordStart(BackendId("b1"));
    for (int i = 0; i < 5; i++)
        table.recordStart(BackendId("b1"));
    schema::RenewReply restart = replyWith({});
    *restart.add_backends() = table.find(BackendId("b1"))->view;
    restart.mutable_backends(0)->set_incarnation(2);
    table.update(restart);
    table.recordFailure(earlier, now);
    for (int i = 0; i < 5; i++)
        table.recordAbandoned(earlier, TeamName("ghat"), now, now + Millis(5000));
    const BackendTable::Backend &restarted = *table.find(BackendId("b1"));
    EXPECT_EQ(restarted.consecutiveFailures, 0);
    EXPECT_FALSE(now < restarted.ejectedUntil);
}

TEST(BackendTable, abandonedExchangeHoldsItsSlotUntilALaterReportOrExpiry)
{
    HoldingTable holdings;
    BackendTable table({ .zone = ZoneName("z1"), .seed = 1 }, holdings);
    addBackend(&table, &holdings, 1, "b1", "z1", 1);
    const Millis now(10000);
    const auto peer = table.recordStart(BackendId("b1"));
    table.recordAbandoned(peer, TeamName("ghat"), now, now + Millis(5000));
    EXPECT_EQ(table.choose(Desk, {}, now), std::nullopt);
    schema::RenewReply reply;
    schema::BackendRunning *running = reply.add_running();
    running->set_key(1);
    running->set_age_ms(100);
    // The backend server may have counted before the exchange was abandoned.
    EXPECT_TRUE(table.releaseAbandoned(&reply, now + Millis(500)).empty());
    EXPECT_EQ(table.releaseAbandoned(&reply, now + Millis(1500)).size(), 1U);
    EXPECT_EQ(table.choose(Desk, {}, now), BackendId("b1"));
}

TEST(LocalClaimTable, keepsAnswersAndForgetsClaimsThatDidNotRun)
{
    LocalClaimTable table;
    const ClaimKey key{ TeamName("ghat"), "hash" };
    EXPECT_EQ(table.find(key, "body"), LocalClaimTable::LookupResult::NotFound);
    table.open(key, "body", 1);
    EXPECT_EQ(table.find(key, "other"), LocalClaimTable::LookupResult::BodyMismatch);
    int joined = 0;
    table.join(key, [&](const ClaimOutcome &outcome) { joined += outcome.outcome == "ran"; });
    table.finish(key, { .outcome = "ran", .answer = {} }, Millis(0));
    EXPECT_EQ(joined, 1);
    EXPECT_EQ(table.find(key, "body"), LocalClaimTable::LookupResult::Finished);
    table.expire(Millis(5000), Millis(1000));
    EXPECT_EQ(table.size(), 0U);
    table.open(key, "body", 1);
    table.finish(key, { .outcome = "not-run", .answer = {} }, Millis(0));
    EXPECT_EQ(table.find(key, "body"), LocalClaimTable::LookupResult::NotFound);
}

TEST(LocalClaimTable, evictsOldestAnswersAboveTheSizeLimit)
{
    LocalClaimTable table;
    ClaimOutcome large{ .outcome = "ran", .answer = {} };
    large.answer.set_body(std::string(8 * 1024 * 1024, 'x'));
    for (int i = 0; i < 20; i++) {
        const ClaimKey key{ TeamName("ghat"), std::to_string(i) };
        table.open(key, "body", 1);
        table.finish(key, large, Millis(i));
    }
    EXPECT_LE(table.size(), 8U);
    EXPECT_EQ(table.find({ TeamName("ghat"), "19" }, ""), LocalClaimTable::LookupResult::Finished);
}

TEST(RetryBudget, limitsRetriesToAFractionOfRequests)
{
    RetryBudget budget;
    int retries = 0;
    for (int i = 0; i < 1000; i++) {
        budget.deposit();
        retries += budget.tryWithdraw() ? 1 : 0;
    }
    EXPECT_LE(retries, 1000 / 5 + 20);
    EXPECT_GE(retries, 200);
}

TEST(ServiceTime, upperEstimateCoversTheSpread)
{
    ServiceTime time;
    for (int i = 0; i < 200; i++)
        time.add(i % 2 == 0 ? 10 : 30);
    EXPECT_NEAR(time.meanMs(), 20, 3);
    EXPECT_GE(time.upperEstimateMs(), 30);
}

} // namespace basilgap::entry
