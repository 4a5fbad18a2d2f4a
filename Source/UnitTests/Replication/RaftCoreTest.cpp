#include <set>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Replication/Membership.h"
#include "UnitTests/Replication/RaftCluster.h"

namespace basilgap::replication {

namespace {

size_t proposeAtLeader(RaftCluster &cluster, const std::string &data)
{
    const size_t leader = *cluster.leader();
    EXPECT_TRUE(cluster.core(leader).propose(schema::LogRecord::COMMAND, data).has_value());
    cluster.processOutput(leader);
    cluster.deliverAll();
    return leader;
}

} // namespace

RC_GTEST_PROP(RaftDifferential, matchesTheReferenceLogUnderFailures, ())
{
    const auto seed = *rc::gen::arbitrary<uint64_t>();
    const size_t size = *rc::gen::element<size_t>(3, 5);
    RaftCluster cluster(size, seed);
    for (int step = 0; step < 1500; step++) {
        cluster.randomStep();
        RC_ASSERT(cluster.violation().value_or("") == "");
    }
    RC_ASSERT(cluster.converge());
    RC_ASSERT(cluster.violation().value_or("") == "");
}

TEST(RaftCore, electsOneLeaderAndCommits)
{
    RaftCluster cluster(3, 1);
    ASSERT_TRUE(cluster.converge());
    proposeAtLeader(cluster, "one");
    ASSERT_TRUE(cluster.converge());
    EXPECT_EQ(cluster.appliedRecords().back().data(), "one");
}

TEST(RaftCore, isolatedLeaderConfirmsNothingAndStepsDown)
{
    RaftCluster cluster(3, 2);
    ASSERT_TRUE(cluster.converge());
    const size_t old = *cluster.leader();
    cluster.isolate(old, true);
    const uint64_t barrier = cluster.core(old).beginBarrier();
    cluster.advance(Millis(900));
    EXPECT_LT(cluster.core(old).confirmedRound(), barrier);
    cluster.advance(Millis(3000));
    EXPECT_FALSE(cluster.core(old).isLeader());
    ASSERT_TRUE(cluster.leader().has_value());
    EXPECT_NE(*cluster.leader(), old);
    EXPECT_TRUE(cluster.converge());
}

// Load pattern: a leader that was cut off returns with records that nobody else has, while the new
// leader goes on. Each record that it lacks is sent about once, not once for each rejected message.
TEST(RaftCore, deposedLeaderCatchesUpWithoutAStormOfResends)
{
    constexpr size_t RecordBytes = 4000;
    constexpr int LostRecords = 100;
    constexpr int MissedRecords = 200;
    constexpr int RecordsMeanwhile = 50;
    const std::string data(RecordBytes, 'x');
    // The link is back at different times between two resends of the new leader.
    for (int phase = 0; phase < 6; phase++) {
        RaftCluster cluster(3, 2);
        ASSERT_TRUE(cluster.converge());
        const size_t old = *cluster.leader();
        cluster.isolate(old, true);
        for (int i = 0; i < LostRecords; i++)
            ASSERT_TRUE(cluster.core(old).propose(schema::LogRecord::COMMAND, data).has_value());
        cluster.processOutput(old);
        cluster.advance(Millis(3000));
        ASSERT_TRUE(cluster.leader().has_value());
        const size_t leader = *cluster.leader();
        ASSERT_NE(leader, old);
        for (int i = 0; i < MissedRecords; i++)
            proposeAtLeader(cluster, data);
        cluster.advance(Millis(60 * phase));
        const uint64_t before = cluster.bytesSentTo(old);
        cluster.isolate(old, false);
        for (int i = 0; i < RecordsMeanwhile; i++) {
            proposeAtLeader(cluster, data);
            cluster.advance(Millis(10));
        }
        ASSERT_TRUE(cluster.converge());
        EXPECT_EQ(cluster.core(old).lastIndex(), cluster.core(leader).lastIndex());
        const uint64_t missing = (MissedRecords + RecordsMeanwhile) * RecordBytes;
        EXPECT_LT(cluster.bytesSentTo(old) - before, 2 * missing) << "phase " << phase;
    }
}

// Guards against a leader that runs out of memory and disk: the records that wait for a quorum, or
// for its own disk, were bounded by their number alone.
TEST(RaftCore, recordsThatAreNotWrittenAreBoundedInBytes)
{
    constexpr size_t RecordBytes = 1024 * 1024;
    constexpr size_t MaxRecords = 32;
    RaftCluster cluster(3, 5);
    cluster.advance(Millis(2000));
    const size_t leader = *cluster.leader();
    size_t accepted = 0;
    while (accepted <= MaxRecords
        && cluster.core(leader).propose(schema::LogRecord::COMMAND, std::string(RecordBytes, 'x')))
        accepted++;
    EXPECT_GT(accepted, 0U);
    EXPECT_LE(accepted, MaxRecords);
    cluster.processOutput(leader);
    cluster.deliverAll();
    EXPECT_TRUE(cluster.core(leader).propose(schema::LogRecord::COMMAND, "later").has_value());
}

// Guards against a cell that commits nothing any more: a large record was sent together with those
// before it, in a message larger than a stream takes.
TEST(RaftCore, largeRecordIsSentByItself)
{
    constexpr size_t RecordBytes = 4 * 1024 * 1024;
    constexpr size_t SmallRecords = 60;
    constexpr size_t MessageOverhead = 1024;
    RaftCluster cluster(3, 6);
    cluster.advance(Millis(2000));
    const size_t leader = *cluster.leader();
    for (size_t i = 0; i < SmallRecords; i++) {
        ASSERT_TRUE(cluster.core(leader)
                        .propose(schema::LogRecord::COMMAND, std::string(4096, 'x'))
                        .has_value());
    }
    proposeAtLeader(cluster, std::string(RecordBytes, 'x'));
    cluster.advance(Millis(1000));
    EXPECT_EQ(cluster.core(leader).commitIndex(), cluster.core(leader).lastIndex());
    EXPECT_LE(cluster.largestMessageBytes(), RecordBytes + MessageOverhead);
}

TEST(RaftCore, oneWayPartitionDoesNotDisturbTheLeader)
{
    RaftCluster cluster(3, 3);
    ASSERT_TRUE(cluster.converge());
    const size_t leader = *cluster.leader();
    const Term term = cluster.core(leader).term();
    // The follower receives nothing and keeps requesting pre-votes, which nobody grants.
    const size_t partitioned = (leader + 1) % 3;
    cluster.setLinkCut(leader, partitioned, true);
    cluster.advance(Millis(5000));
    EXPECT_EQ(cluster.leader(), leader);
    EXPECT_EQ(cluster.core(leader).term(), term);
}

TEST(RaftCore, replicaFrozenForThirtySecondsCatchesUp)
{
    RaftCluster cluster(3, 4);
    ASSERT_TRUE(cluster.converge());
    const size_t frozen = (*cluster.leader() + 1) % 3;
    const Term term = cluster.core(*cluster.leader()).term();
    cluster.isolate(frozen, true);
    for (int i = 0; i < 30; i++) {
        proposeAtLeader(cluster, "while frozen");
        cluster.advance(Millis(1000));
    }
    cluster.isolate(frozen, false);
    ASSERT_TRUE(cluster.converge());
    EXPECT_EQ(cluster.core(*cluster.leader()).term(), term);
}

TEST(RaftCore, wipedReplicaDoesNotVote)
{
    RaftCluster cluster(3, 5);
    ASSERT_TRUE(cluster.converge());
    proposeAtLeader(cluster, "must survive");
    const size_t leader = *cluster.leader();
    const size_t wiped = (leader + 1) % 3;
    const size_t behind = (leader + 2) % 3;
    cluster.wipe(wiped);
    cluster.isolate(leader, true);
    cluster.advance(Millis(10000));
    // With the vote of the wiped replica, the remaining replica would have a quorum.
    EXPECT_FALSE(cluster.core(behind).isLeader());
    EXPECT_TRUE(cluster.core(wiped).isUninitialized());
}

TEST(RaftCore, wipedReplicaRejoinsAsLearnerAndTwoMoreLossesAreTolerated)
{
    RaftCluster cluster(5, 6);
    ASSERT_TRUE(cluster.converge());
    for (int i = 0; i < 20; i++)
        proposeAtLeader(cluster, "record " + std::to_string(i));
    const size_t leader = *cluster.leader();
    cluster.compact(leader);
    const size_t wiped = (leader + 1) % 5;
    const std::string id = "r" + std::to_string(wiped);
    cluster.wipe(wiped);
    schema::Member member;
    member.set_id(id);
    member.set_incarnation(105);
    RaftCore &core = cluster.core(leader);
    ASSERT_TRUE(core.proposeMembership(withMember(core.membership(), member)).has_value());
    cluster.advance(Millis(2000));
    ASSERT_EQ(core.matchIndexOf(ReplicaId(id)), core.lastIndex());
    member.set_voter(true);
    ASSERT_TRUE(core.proposeMembership(withMember(core.membership(), member)).has_value());
    cluster.advance(Millis(1000));
    cluster.isolate((leader + 2) % 5, true);
    cluster.isolate((leader + 3) % 5, true);
    proposeAtLeader(cluster, "after the repair");
    cluster.advance(Millis(1000));
    EXPECT_EQ(cluster.appliedRecords().back().data(), "after the repair");
    EXPECT_FALSE(cluster.violation().has_value());
}

// Load pattern: the log grows so fast that the leader takes snapshots more often than one can be
// sent. A replica that needs one must still get one after the other.
TEST(RaftCore, replicaInstallsSnapshotsWhileTheLeaderTakesNewerOnes)
{
    constexpr size_t StateBytes = 100;
    constexpr Millis Latency{ 20 };
    constexpr Millis SnapshotInterval{ 100 };
    for (const bool isWiped : { false, true }) {
        RaftCluster cluster(3, 9);
        ASSERT_TRUE(cluster.converge());
        const size_t leader = *cluster.leader();
        const size_t behind = (leader + 1) % 3;
        RaftCore &core = cluster.core(leader);
        if (isWiped) {
            cluster.wipe(behind);
            schema::Member member;
            member.set_id("r" + std::to_string(behind));
            member.set_incarnation(cluster.incarnationOf(behind).value());
            ASSERT_TRUE(core.proposeMembership(withMember(core.membership(), member)).has_value());
        }
        cluster.isolate(behind, true);
        cluster.advance(Millis(1000));
        proposeAtLeader(cluster, "while away");
        cluster.compact(leader, StateBytes);
        cluster.isolate(behind, false);
        cluster.setLatency(behind, Latency);
        std::set<uint64_t> installed;
        for (Millis time; time < Millis(6000); time += SnapshotInterval) {
            proposeAtLeader(cluster, "record");
            cluster.compact(leader, StateBytes);
            cluster.advance(SnapshotInterval);
            installed.insert(cluster.core(behind).snapshotIndex().value());
        }
        // Sending a snapshot takes 0.6 s, as it has 13 chunks of 8 bytes.
        EXPECT_GE(installed.size(), 6U) << "wiped " << isWiped;
        EXPECT_GT(cluster.core(behind).lastIndex().value() + 20, core.lastIndex().value())
            << "wiped " << isWiped;
        EXPECT_TRUE(cluster.converge()) << "wiped " << isWiped;
    }
}

// A replica that has fallen silent must not keep the leader from releasing old snapshots, and gets
// the newest one when it is back.
TEST(RaftCore, replicaThatWasSilentForLongGetsTheNewestSnapshot)
{
    constexpr size_t StateBytes = 100;
    RaftCluster cluster(3, 9);
    ASSERT_TRUE(cluster.converge());
    const size_t leader = *cluster.leader();
    const size_t behind = (leader + 1) % 3;
    cluster.isolate(behind, true);
    proposeAtLeader(cluster, "while away");
    cluster.compact(leader, StateBytes);
    cluster.setLatency(behind, Millis(20));
    cluster.isolate(behind, false);
    cluster.advance(Millis(300));
    cluster.isolate(behind, true);
    cluster.advance(Millis(20000));
    proposeAtLeader(cluster, "while silent");
    cluster.compact(leader, StateBytes);
    cluster.isolate(behind, false);
    std::set<uint64_t> installed;
    for (Millis time; time < Millis(3000); time += Millis(20)) {
        cluster.advance(Millis(20));
        installed.insert(cluster.core(behind).snapshotIndex().value());
    }
    EXPECT_EQ(installed, (std::set<uint64_t>{ 0, cluster.core(leader).snapshotIndex().value() }));
}

TEST(RaftCore, refusesToChangeTwoVotersAtOnce)
{
    RaftCluster cluster(5, 7);
    ASSERT_TRUE(cluster.converge());
    RaftCore &core = cluster.core(*cluster.leader());
    schema::Membership two = withoutMember(core.membership(), ReplicaId("r0"));
    two = withoutMember(two, ReplicaId("r1"));
    EXPECT_FALSE(core.proposeMembership(two).has_value());
}

// After a power cut replicas restart one by one, and the first ones request votes without a quorum.
// Their retries must not delay the election once a quorum is back.
TEST(RaftCore, electsSoonOnceAQuorumRestartsAfterAPowerCut)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        RaftCluster cluster(5, seed);
        ASSERT_TRUE(cluster.converge());
        for (size_t i = 0; i < cluster.size(); i++) {
            cluster.isolate(i, true);
            cluster.crash(i);
        }
        cluster.advance(Millis(300));
        EXPECT_FALSE(cluster.leader().has_value());
        for (size_t i = 0; i < 3; i++)
            cluster.isolate(i, false);
        cluster.advance(Millis(320));
        EXPECT_TRUE(cluster.leader().has_value()) << "seed " << seed;
    }
}

// When the third replica of five comes up, the pre-candidates request its vote at once rather than
// in their next round.
TEST(RaftCore, electsAtOnceWhenTheMissingPeerComesUp)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        RaftCluster cluster(5, seed);
        ASSERT_TRUE(cluster.converge());
        for (size_t i = 0; i < cluster.size(); i++)
            cluster.crash(i);
        for (size_t i = 2; i < cluster.size(); i++)
            cluster.isolate(i, true);
        cluster.advance(Millis(700));
        EXPECT_FALSE(cluster.leader().has_value());
        cluster.isolate(2, false);
        for (size_t i = 0; i < 2; i++)
            cluster.connectPeer(i, 2);
        cluster.deliverAll();
        EXPECT_TRUE(cluster.leader().has_value()) << "seed " << seed;
    }
}

TEST(RaftCore, preferredCandidateWithoutAQuorumDoesNotBlockTheElection)
{
    for (uint64_t seed = 1; seed <= 20; seed++) {
        RaftCluster cluster(5, seed);
        ASSERT_TRUE(cluster.converge());
        for (size_t i = 0; i < cluster.size(); i++)
            cluster.crash(i);
        for (size_t i = 3; i < cluster.size(); i++)
            cluster.isolate(i, true);
        // The first replica, which outranks the others by its name, can reach the second one only.
        cluster.setLinkCut(0, 2, true);
        cluster.setLinkCut(2, 0, true);
        cluster.advance(Millis(2000));
        EXPECT_TRUE(cluster.leader().has_value()) << "seed " << seed;
    }
}

// Guards against a leader that is deposed as soon as it is elected: after a power cut of all hosts,
// which come back one after the other, a pre-candidate got a quorum from replicas that had voted
// and not yet heard from their leader.
TEST(RaftCore, leaderIsNotDeposedBeforeItsFirstMessageArrives)
{
    constexpr Millis Step{ 5 };
    for (uint64_t seed = 1; seed <= 200; seed++) {
        std::mt19937_64 random(seed);
        RaftCluster cluster(5, seed);
        ASSERT_TRUE(cluster.converge());
        std::vector<Millis> startsAt;
        for (size_t i = 0; i < cluster.size(); i++) {
            cluster.crash(i);
            cluster.isolate(i, true);
            cluster.setLatency(i, Millis(static_cast<int64_t>(5 + random() % 25)));
            startsAt.emplace_back(static_cast<int64_t>(random() % 350));
        }
        std::optional<Term> elected;
        size_t depositions = 0;
        for (Millis time; time < Millis(2000); time = time + Step) {
            for (size_t i = 0; i < cluster.size(); i++) {
                if (startsAt[i] >= time && startsAt[i] < time + Step)
                    cluster.isolate(i, false);
            }
            cluster.advance(Step);
            if (!cluster.leader())
                continue;
            const Term term = cluster.core(*cluster.leader()).term();
            depositions += elected && *elected != term ? 1 : 0;
            elected = term;
        }
        EXPECT_TRUE(elected.has_value()) << "seed " << seed;
        EXPECT_EQ(depositions, 0U) << "seed " << seed;
    }
}

TEST(RaftCore, transfersLeadership)
{
    RaftCluster cluster(3, 8);
    ASSERT_TRUE(cluster.converge());
    const size_t old = *cluster.leader();
    ASSERT_TRUE(cluster.core(old).transferLeadership({}));
    cluster.processOutput(old);
    cluster.deliverAll();
    cluster.advance(Millis(200));
    ASSERT_TRUE(cluster.leader().has_value());
    EXPECT_NE(*cluster.leader(), old);
}

} // namespace basilgap::replication
