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
        return effectOf(announced, known());
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

} // namespace basilgap::dispatch
