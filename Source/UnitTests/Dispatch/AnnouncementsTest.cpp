#include <gtest/gtest.h>

#include "Basilgap/Dispatch/Announcements.h"

namespace basilgap::dispatch {

namespace {

schema::WorkerAnnouncement announcement(uint64_t born, uint64_t sequence, bool leaving = false)
{
    schema::WorkerAnnouncement result;
    result.mutable_life()->set_id("w1");
    result.mutable_life()->set_born_ms(born);
    result.mutable_life()->set_address("127.0.0.1:1");
    result.mutable_life()->set_millicores(8000);
    result.mutable_life()->set_leaving(leaving);
    result.set_sequence(sequence);
    return result;
}

schema::WorkerAnnouncement endOfWorker()
{
    schema::WorkerAnnouncement result;
    result.mutable_life()->set_id("w1");
    result.set_ended(true);
    return result;
}

// The committed state, as every replica and each new leader holds it.
class AnnouncementsTest : public testing::Test
{
protected:
    const schema::WorkerLife *known() const { return table.newestIncarnation("w1"); }

    AnnouncementEffect effect(const schema::WorkerAnnouncement &announced) const
    {
        return effectOf(announced, known(), std::nullopt);
    }

    void apply(const schema::WorkerLife &life)
    {
        schema::RunBatch batch;
        *batch.add_workers() = life;
        table.apply(batch, 1);
    }

    // Commits the announcement's effect.
    void commit(const schema::WorkerAnnouncement &announced)
    {
        schema::RunBatch batch;
        schema::WorkerLife *life = batch.add_workers();
        if (effect(announced) == AnnouncementEffect::NewIncarnation) {
            *life = announced.life();
            life->set_number(table.nextWorker().value());
            life->set_announced_sequence(announced.sequence());
        } else {
            *life = updatedLife(announced, *known());
        }
        table.apply(batch, 1);
    }

    state::WorkTable table;
};

schema::WorkerAnnouncement withCapacity(uint64_t sequence, uint64_t millicores)
{
    schema::WorkerAnnouncement result = announcement(1000, sequence);
    result.mutable_life()->set_millicores(millicores);
    return result;
}

} // namespace

// A replica that became leader after the worker left must not take it back into use.
TEST_F(AnnouncementsTest, anOlderAnnouncementDoesNotTakeALeavingWorkerBack)
{
    commit(announcement(1000, 4));
    commit(announcement(1000, 7, true));
    EXPECT_EQ(effect(announcement(1000, 6)), AnnouncementEffect::None);
    EXPECT_EQ(effect(announcement(900, 99)), AnnouncementEffect::None);
    EXPECT_TRUE(known()->leaving());
}

// A worker always announces when it was started, so another program has written this.
TEST_F(AnnouncementsTest, anAnnouncementWithoutAStartTimeReplacesNoIncarnation)
{
    commit(announcement(1000, 4));
    EXPECT_EQ(effect(announcement(0, 99)), AnnouncementEffect::None);
}

// Until the change is committed, a resent announcement is not acknowledged as known.
TEST_F(AnnouncementsTest, aResentChangeStaysAChangeUntilItIsCommitted)
{
    commit(announcement(1000, 4));
    EXPECT_EQ(effect(announcement(1000, 7, true)), AnnouncementEffect::Change);
    EXPECT_EQ(effect(announcement(1000, 7, true)), AnnouncementEffect::Change);
    EXPECT_FALSE(canAcknowledge(announcement(1000, 7, true), table));
    commit(announcement(1000, 7, true));
    EXPECT_EQ(effect(announcement(1000, 7, true)), AnnouncementEffect::None);
    EXPECT_TRUE(canAcknowledge(announcement(1000, 8, true), table));
}

// The load of a large fleet: what says nothing new need not reach the leader.
TEST_F(AnnouncementsTest, onlyWhatIsNewGoesToTheLeader)
{
    EXPECT_FALSE(canAcknowledge(announcement(1000, 1), table));
    commit(announcement(1000, 1));
    for (uint64_t sequence = 2; sequence < 100; sequence++)
        EXPECT_TRUE(canAcknowledge(announcement(1000, sequence), table));
    EXPECT_FALSE(canAcknowledge(announcement(1000, 100, true), table));
    EXPECT_FALSE(canAcknowledge(announcement(2000, 1), table));
    EXPECT_FALSE(canAcknowledge(endOfWorker(), table));
    schema::WorkerAnnouncement moved = announcement(1000, 101);
    moved.mutable_life()->set_address("127.0.0.1:2");
    EXPECT_FALSE(canAcknowledge(moved, table));
}

// Guards against a record for each announcement of a restarted worker, whose mark none of them has.
TEST_F(AnnouncementsTest, anUnchangedAnnouncementOfARestartedWorkerIsNoNews)
{
    commit(announcement(1000, 1));
    commit(announcement(2000, 1));
    ASSERT_TRUE(known()->restarted());
    EXPECT_EQ(effect(announcement(2000, 2)), AnnouncementEffect::None);
    EXPECT_TRUE(canAcknowledge(announcement(2000, 2), table));
}

TEST_F(AnnouncementsTest, theEndOfAnEarlierIncarnationIsTakenBackByTheNextAnnouncement)
{
    EXPECT_EQ(effect(endOfWorker()), AnnouncementEffect::None);
    commit(announcement(1000, 1));
    EXPECT_EQ(effect(announcement(2000, 1)), AnnouncementEffect::NewIncarnation);
    commit(announcement(2000, 1));
    EXPECT_EQ(effect(endOfWorker()), AnnouncementEffect::Change);
    commit(endOfWorker());
    EXPECT_EQ(effect(endOfWorker()), AnnouncementEffect::None);
    EXPECT_EQ(effect(announcement(2000, 2)), AnnouncementEffect::Change);
}

// A smaller capacity must reach the leader, and the state that every replica plans with.
TEST_F(AnnouncementsTest, aChangedCapacityGoesToTheLeaderAndIntoTheState)
{
    commit(withCapacity(1, 8000));
    for (const uint64_t millicores : { 2000, 0, 8000 }) {
        const uint64_t sequence = known()->announced_sequence() + 1;
        EXPECT_EQ(effect(withCapacity(sequence, millicores)), AnnouncementEffect::Change);
        EXPECT_FALSE(canAcknowledge(withCapacity(sequence, millicores), table));
        commit(withCapacity(sequence, millicores));
        EXPECT_EQ(known()->millicores(), millicores);
        EXPECT_EQ(known()->number(), 1U) << "it remains the same incarnation";
        EXPECT_TRUE(canAcknowledge(withCapacity(sequence + 1, millicores), table));
    }
    schema::WorkerAnnouncement other = withCapacity(50, 8000);
    other.mutable_life()->set_memory_mb(100);
    EXPECT_FALSE(canAcknowledge(other, table));
    commit(other);
    other.set_sequence(51);
    other.mutable_life()->set_accelerators(2);
    EXPECT_FALSE(canAcknowledge(other, table));
    commit(other);
    EXPECT_EQ(known()->memory_mb(), 100U);
    EXPECT_EQ(known()->accelerators(), 2U);
}

TEST_F(AnnouncementsTest, anOlderAnnouncementDoesNotBringTheOldCapacityBack)
{
    commit(withCapacity(4, 8000));
    commit(withCapacity(7, 2000));
    EXPECT_EQ(effect(withCapacity(6, 8000)), AnnouncementEffect::None);
    EXPECT_EQ(effect(withCapacity(7, 8000)), AnnouncementEffect::None);
}

TEST_F(AnnouncementsTest, aRestartedWorkerHasTheCapacityThatItAnnouncesThen)
{
    commit(withCapacity(9, 2000));
    schema::WorkerAnnouncement reborn = announcement(2000, 1);
    reborn.mutable_life()->set_millicores(6000);
    EXPECT_EQ(effect(reborn), AnnouncementEffect::NewIncarnation);
    commit(reborn);
    EXPECT_EQ(known()->millicores(), 6000U);
    EXPECT_EQ(effect(withCapacity(99, 8000)), AnnouncementEffect::None);
}

TEST_F(AnnouncementsTest, aSnapshotKeepsTheChangedCapacityAndWhatIsOutdated)
{
    commit(withCapacity(4, 8000));
    commit(withCapacity(7, 2000));
    const schema::WorkSnapshot snapshot = table.save();
    table.restore(snapshot);
    EXPECT_EQ(known()->millicores(), 2000U);
    EXPECT_EQ(effect(withCapacity(6, 8000)), AnnouncementEffect::None);
    EXPECT_TRUE(canAcknowledge(withCapacity(8, 2000), table));
}

// Two announcements reached the leader in the wrong order, and both are logged before either is
// applied.
TEST_F(AnnouncementsTest, anOlderRecordDoesNotReplaceANewerOne)
{
    commit(withCapacity(4, 8000));
    const schema::WorkerLife newer = updatedLife(withCapacity(7, 2000), *known());
    const schema::WorkerLife older = updatedLife(withCapacity(6, 5000), *known());
    const schema::WorkerLife end = updatedLife(endOfWorker(), *known());
    apply(newer);
    apply(older);
    EXPECT_EQ(known()->millicores(), 2000U);
    EXPECT_EQ(known()->announced_sequence(), 7U);
    EXPECT_FALSE(known()->leaving());
    apply(end);
    EXPECT_EQ(known()->millicores(), 2000U);
    EXPECT_TRUE(known()->leaving()) << "the end names no announcement and always counts";
}

// The worker has grown and shrunk again, its announcement of the growth is held up, and a later one
// was acknowledged as nothing new by a replica that the leader never heard.
TEST_F(AnnouncementsTest, anAnnouncementThatWasHeldUpDoesNotEnlargeTheCapacity)
{
    commit(withCapacity(7, 2000));
    EXPECT_TRUE(canAcknowledge(withCapacity(9, 2000), table));
    schema::WorkerAnnouncement grown = withCapacity(8, 8000);
    grown.set_clock_ms(50000);
    EXPECT_EQ(effectOf(grown, known(), Millis(54000)), AnnouncementEffect::None);
    grown.mutable_life()->set_millicores(1000);
    grown.mutable_life()->set_accelerators(1);
    EXPECT_EQ(effectOf(grown, known(), Millis(54000)), AnnouncementEffect::None);
    EXPECT_EQ(known()->millicores(), 2000U);
}

TEST_F(AnnouncementsTest, anAnnouncementInTimeEnlargesTheCapacity)
{
    commit(withCapacity(7, 2000));
    schema::WorkerAnnouncement grown = withCapacity(8, 8000);
    grown.set_clock_ms(50000);
    EXPECT_EQ(effectOf(grown, known(), Millis(50400)), AnnouncementEffect::Change);
    EXPECT_EQ(effectOf(grown, known(), Millis(49900)), AnnouncementEffect::Change);
    EXPECT_EQ(effectOf(grown, known(), std::nullopt), AnnouncementEffect::Change)
        << "the worker's clock is not known";
    grown.set_clock_ms(0);
    EXPECT_EQ(effectOf(grown, known(), Millis(50400)), AnnouncementEffect::Change)
        << "the announcement names no time";
}

// However late, what restricts the use of the worker is taken.
TEST_F(AnnouncementsTest, anAnnouncementThatWasHeldUpMayShrinkTheCapacityAndLeave)
{
    commit(withCapacity(7, 8000));
    schema::WorkerAnnouncement late = withCapacity(8, 2000);
    late.set_clock_ms(50000);
    EXPECT_EQ(effectOf(late, known(), Millis(90000)), AnnouncementEffect::Change);
    late.mutable_life()->set_millicores(9000);
    late.mutable_life()->set_leaving(true);
    EXPECT_EQ(effectOf(late, known(), Millis(90000)), AnnouncementEffect::Change);
    schema::WorkerAnnouncement reborn = announcement(2000, 1);
    reborn.set_clock_ms(100);
    EXPECT_EQ(effectOf(reborn, known(), Millis(90000)), AnnouncementEffect::NewIncarnation);
}

} // namespace basilgap::dispatch
