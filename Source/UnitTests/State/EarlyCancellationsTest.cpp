#include <gtest/gtest.h>

#include "Basilgap/State/CellState.h"
#include "Basilgap/State/EarlyCancellations.h"

namespace basilgap::state {
namespace {

const AccountName Team("team");
const AccountName Other("other");
constexpr uint64_t StampMs = 5000;

std::string idOf(size_t number)
{
    std::string id = std::to_string(number);
    return id.insert(0, 16 - id.size(), '0');
}

schema::SubmitWork makeSubmission(const std::string &id)
{
    schema::SubmitWork command;
    command.set_id(id);
    command.set_queue("queue");
    command.mutable_spec()->set_payload("payload");
    command.mutable_spec()->add_steps()->set_count(1);
    return command;
}

schema::CancelWork makeCancellation(const std::string &id)
{
    schema::CancelWork command;
    command.set_id(id);
    command.set_account(Team.value());
    command.set_covers_later_submission(true);
    return command;
}

} // namespace

TEST(EarlyCancellations, oneAccountTakesNoRoomFromOthers)
{
    EarlyCancellations early;
    for (size_t i = 0; i < EarlyCancellations::MaxPerAccount; i++)
        ASSERT_TRUE(early.add(idOf(i), Team, StampMs + i));
    EXPECT_FALSE(early.add(idOf(99999), Team, StampMs));
    EXPECT_FALSE(early.contains(idOf(99999)));
    EXPECT_EQ(early.roomTakenSinceMs(Team), StampMs);
    EXPECT_TRUE(early.add(idOf(99999), Other, StampMs));
    EXPECT_EQ(early.roomTakenSinceMs(Other), std::nullopt);
    EXPECT_TRUE(early.add(idOf(0), Other, StampMs + 20000)) << "repeated";
    EXPECT_EQ(early.roomTakenSinceMs(Team), StampMs + 1);
    EXPECT_TRUE(early.remove(idOf(7)));
    EXPECT_TRUE(early.add(idOf(8888888), Team, StampMs));
}

TEST(EarlyCancellations, theyAreLimitedInAll)
{
    EarlyCancellations early;
    size_t number = 0;
    for (size_t i = 0; early.size() < EarlyCancellations::MaxEntries; i++) {
        const AccountName account(std::to_string(i));
        while (early.add(idOf(number), account, StampMs + number))
            number++;
    }
    EXPECT_FALSE(early.add(idOf(number), Team, StampMs + number));
    EXPECT_EQ(early.roomTakenSinceMs(Team), StampMs);
    early.expire(StampMs + WorkRetentionMs + 1, WorkRetentionMs);
    EXPECT_EQ(early.size(), EarlyCancellations::MaxEntries - 1);
    EXPECT_TRUE(early.add(idOf(number), Team, StampMs + number));
}

// Guards against UNASKED: the submission of a job that was canceled before ran.
TEST(EarlyCancellations, aJobThatWasCanceledBeforeIsStoredAsCanceled)
{
    WorkTable table;
    EXPECT_EQ(table.cancel(makeCancellation("a"), StampMs).code(), schema::NOT_FOUND);
    EXPECT_EQ(table.find("a"), nullptr);
    EXPECT_EQ(table.submit(makeSubmission("a"), StampMs + 1).code(), schema::ACCEPTED);
    const Work *work = table.find("a");
    EXPECT_EQ(work->phase, WorkPhase::Canceled);
    EXPECT_TRUE(work->isSettled());
    EXPECT_TRUE(work->spec.payload().empty());
    EXPECT_TRUE(table.active().empty());
    EXPECT_TRUE(table.waiting().empty());
    EXPECT_EQ(table.unstartedCount(QueueId("queue")), 0U);
    EXPECT_EQ(table.earlyCancellations().size(), 0U);
    table.expire(StampMs + 1 + WorkRetentionMs, WorkRetentionMs);
    EXPECT_NE(table.find("a"), nullptr);
    table.expire(StampMs + 2 + WorkRetentionMs, WorkRetentionMs);
    EXPECT_EQ(table.find("a"), nullptr);
}

TEST(EarlyCancellations, theyExpireAndMakeAnExpiryDue)
{
    WorkTable table;
    table.cancel(makeCancellation("a"), StampMs);
    EXPECT_FALSE(table.hasExpired(StampMs + WorkRetentionMs, WorkRetentionMs));
    EXPECT_TRUE(table.hasExpired(StampMs + WorkRetentionMs + 1, WorkRetentionMs));
    table.expire(StampMs + WorkRetentionMs + 1, WorkRetentionMs);
    EXPECT_FALSE(table.hasExpired(StampMs + WorkRetentionMs + 1, WorkRetentionMs));
    EXPECT_EQ(table.earlyCancellations().size(), 0U);
    table.submit(makeSubmission("a"), StampMs + WorkRetentionMs + 2);
    EXPECT_TRUE(table.find("a")->isActive());
}

TEST(EarlyCancellations, aSnapshotKeepsThem)
{
    WorkTable table;
    table.cancel(makeCancellation("a"), StampMs);
    table.cancel(makeCancellation("b"), StampMs + 1);
    WorkTable restored;
    restored.restore(table.save());
    EXPECT_EQ(restored.save().SerializeAsString(), table.save().SerializeAsString());
    restored.submit(makeSubmission("a"), StampMs + 2);
    EXPECT_EQ(restored.find("a")->phase, WorkPhase::Canceled);
    EXPECT_TRUE(restored.hasExpired(StampMs + WorkRetentionMs + 2, WorkRetentionMs));
}

// A record of an earlier version has the effect that it had then.
TEST(EarlyCancellations, aCancellationFromAnOldLogIsNotKept)
{
    WorkTable table;
    schema::CancelWork cancellation;
    cancellation.set_id("a");
    EXPECT_EQ(table.cancel(cancellation, StampMs).code(), schema::NOT_FOUND);
    table.submit(makeSubmission("a"), StampMs);
    EXPECT_TRUE(table.find("a")->isActive());
}

} // namespace basilgap::state
