#include "Basilgap/Replication/OpenMembership.h"

#include <array>

#include <gtest/gtest.h>

#include "Basilgap/Replication/Membership.h"
#include "UnitTests/Replication/RaftCluster.h"

namespace basilgap::replication {
namespace {

constexpr size_t Voters = 5;
constexpr size_t Spares = 4;
constexpr Millis Step{ 20 };
constexpr Millis JoinInterval{ 200 };

// The platform's bounds: a lost host's successor starts this long after the loss, and the loss
// counts until the successor has been up for the catch-up time.
constexpr Millis SuccessorDelay{ 1000 };
constexpr Millis WipedRestartDelay{ 500 };
constexpr Millis CatchUpTime{ 4000 };

// Longer than a leader takes to notice that a member is silent.
constexpr Millis SilenceNoticeTime{ 700 };

enum class Loss { Host, Disk };

std::string nameOf(size_t index)
{
    return "r" + std::to_string(index);
}

// An open cell of simulated replicas that lose hosts and disks and get new ones. Spares are started
// one after the other.
class OpenCell
{
public:
    explicit OpenCell(uint64_t seed)
        : cluster_(Voters, seed, Spares)
    {
        for (size_t i = 0; i < cluster_.size(); i++) {
            policies_.emplace_back(ReplicaId(nameOf(i)));
            up_.push_back(i < Voters);
            wasLost_.push_back(false);
            cluster_.isolate(i, i >= Voters);
        }
        run(Millis(3000));
    }

    void run(Millis time)
    {
        for (const Millis end = cluster_.now() + time; cluster_.now() < end;) {
            cluster_.advance(Step);
            if (cluster_.now() >= nextJoin_)
                sendJoinRequests();
            reconcile();
        }
    }

    void lose(Loss loss, size_t index)
    {
        if (loss == Loss::Host)
            replaceHost(index);
        else
            wipeDisk(index);
    }

    // The replica that leads, if it is up and still able to commit a record.
    std::optional<size_t> servingLeader()
    {
        for (size_t i = 0; i < cluster_.size(); i++) {
            RaftCore &core = cluster_.core(i);
            if (!up_[i] || !core.isEstablishedLeader())
                continue;
            const auto index = core.propose(schema::LogRecord::COMMAND, "command");
            cluster_.processOutput(i);
            run(Millis(500));
            if (index && core.isLeader() && core.commitIndex() >= *index)
                return i;
        }
        return std::nullopt;
    }

    // The first replica that does not lead and was not lost before.
    size_t anyFollower(size_t leader) const
    {
        size_t index = 0;
        while (index == leader || !up_[index] || wasLost_[index])
            index++;
        return index;
    }

    void setUp(size_t index, bool up)
    {
        up_[index] = up;
        for (size_t other = 0; other < cluster_.size(); other++) {
            const bool cut = !up || !up_[other];
            if (other == index)
                continue;
            cluster_.setLinkCut(index, other, cut);
            cluster_.setLinkCut(other, index, cut);
        }
    }

    // Cuts or restores the links between the pair and all others.
    void setPairCut(size_t first, size_t second, bool cut)
    {
        for (size_t other = 0; other < cluster_.size(); other++) {
            for (const size_t index : { first, second }) {
                if (other == first || other == second || !up_[other])
                    continue;
                cluster_.setLinkCut(index, other, cut);
                cluster_.setLinkCut(other, index, cut);
            }
        }
    }

    void transferLeadership(size_t from, size_t to)
    {
        std::set<ReplicaId> others;
        for (size_t i = 0; i < cluster_.size(); i++) {
            if (i != to)
                others.insert(ReplicaId(nameOf(i)));
        }
        ASSERT_TRUE(cluster_.core(from).transferLeadership(others));
        cluster_.processOutput(from);
        run(Millis(500));
        ASSERT_TRUE(cluster_.core(to).isEstablishedLeader());
    }

    // Null if the replica is no member.
    const schema::Member *member(size_t leader, size_t index)
    {
        return findMember(cluster_.core(leader).membership(), ReplicaId(nameOf(index)));
    }

    // Whether the replica's present disk has a vote in the leader's membership.
    bool hasVote(size_t leader, size_t index)
    {
        const schema::Member *found = member(leader, index);
        return found != nullptr && found->voter()
            && found->incarnation() == cluster_.incarnationOf(index).value();
    }

    RaftCluster &cluster() { return cluster_; }

private:
    // A host is lost for good; an empty one comes at another address.
    void replaceHost(size_t index)
    {
        wasLost_[index] = true;
        setUp(index, false);
        run(SuccessorDelay);
        setUp(nextSpare_++, true);
        run(CatchUpTime);
    }

    void wipeDisk(size_t index)
    {
        wasLost_[index] = true;
        setUp(index, false);
        run(WipedRestartDelay);
        cluster_.wipe(index);
        setUp(index, true);
        run(CatchUpTime);
    }

    void sendJoinRequests()
    {
        nextJoin_ = cluster_.now() + JoinInterval;
        for (size_t i = 0; i < cluster_.size(); i++) {
            if (!up_[i] || !cluster_.core(i).leader().value().empty())
                continue;
            schema::Member self;
            self.set_id(nameOf(i));
            self.set_incarnation(cluster_.incarnationOf(i).value());
            for (size_t other = 0; other < cluster_.size(); other++) {
                if (other != i && up_[other] && !cluster_.isLinkCut(i, other))
                    policies_[other].requestJoin(self);
            }
        }
    }

    void reconcile()
    {
        for (size_t i = 0; i < cluster_.size(); i++) {
            RaftCore &core = cluster_.core(i);
            if (!core.isEstablishedLeader() || !core.isMembershipCommitted())
                continue;
            if (const auto change = policies_[i].nextChange(core, cluster_.now()))
                core.proposeMembership(change->membership);
            cluster_.processOutput(i);
        }
    }

    RaftCluster cluster_;
    std::vector<OpenMembership> policies_;
    std::vector<bool> up_;
    std::vector<bool> wasLost_;
    size_t nextSpare_ = Voters;
    Millis nextJoin_;
};

// Guards against a cell that never has a leader again: hosts were lost one by one, each after the
// last one's successor had the time to catch up, but those that were gone still counted as voters.
TEST(OpenMembership, quorumSurvivesHostsThatAreLostOneByOne)
{
    constexpr uint64_t Seeds = 20;
    constexpr std::array Losses = { Loss::Host, Loss::Host, Loss::Disk, Loss::Disk, Loss::Host,
        Loss::Disk, Loss::Host };
    for (uint64_t seed = 1; seed <= Seeds; seed++) {
        for (size_t leaderLost = 0; leaderLost <= Losses.size(); leaderLost++) {
            SCOPED_TRACE("seed " + std::to_string(seed) + ", the leader is lost in loss "
                + std::to_string(leaderLost));
            OpenCell cell(seed);
            for (size_t i = 0; i < Losses.size(); i++) {
                const auto leader = cell.servingLeader();
                ASSERT_TRUE(leader.has_value()) << "no leader before loss " << i;
                const size_t lost = i == leaderLost ? *leader : cell.anyFollower(*leader);
                cell.lose(Losses[i], lost);
            }
            EXPECT_TRUE(cell.servingLeader().has_value()) << "no leader after the last loss";
            EXPECT_EQ(cell.cluster().violation().value_or(""), "");
        }
    }
}

// Guards against the path of a real outage: a host is gone for good, the leader is lost 8 s later,
// so that the silence of the first one is counted anew, and disks and hosts follow 6 to 10 s apart.
TEST(OpenMembership, quorumSurvivesTheLossOfTheLeaderBetweenOtherHosts)
{
    constexpr uint64_t Seeds = 8;
    constexpr Millis MinGap{ 6000 };
    constexpr Millis MaxGap{ 10000 };
    constexpr Millis GapStep{ 2000 };
    constexpr std::array Losses = { Loss::Host, Loss::Host, Loss::Disk, Loss::Host, Loss::Disk };
    constexpr size_t LeaderLost = 1;
    for (uint64_t seed = 1; seed <= Seeds; seed++) {
        for (Millis gap = MinGap; gap <= MaxGap; gap += GapStep) {
            SCOPED_TRACE(
                "seed " + std::to_string(seed) + ", " + std::to_string(gap.count()) + " ms apart");
            OpenCell cell(seed);
            for (size_t i = 0; i < Losses.size(); i++) {
                const auto leader = cell.servingLeader();
                ASSERT_TRUE(leader.has_value()) << "no leader before loss " << i;
                const Millis next = cell.cluster().now() + gap;
                cell.lose(Losses[i], i == LeaderLost ? *leader : cell.anyFollower(*leader));
                cell.run(next - cell.cluster().now());
            }
            EXPECT_TRUE(cell.servingLeader().has_value()) << "no leader after the last loss";
            EXPECT_EQ(cell.cluster().violation().value_or(""), "");
        }
    }
}

// Guards against a host that was only frozen and then has to ask to join again.
TEST(OpenMembership, frozenVoterStaysAMemberAndCatchesUp)
{
    OpenCell cell(1);
    cell.setUp(Voters, true);
    cell.run(Millis(1000));
    const size_t leader = *cell.servingLeader();
    const size_t frozen = cell.anyFollower(leader);
    cell.setUp(frozen, false);
    cell.run(Millis(4000));
    ASSERT_NE(cell.member(leader, frozen), nullptr);
    EXPECT_FALSE(cell.member(leader, frozen)->voter());
    EXPECT_TRUE(cell.member(leader, Voters)->voter());
    EXPECT_EQ(voterCount(cell.cluster().core(leader).membership()), Voters);

    cell.setUp(frozen, true);
    cell.run(Millis(1000));
    ASSERT_EQ(cell.servingLeader(), leader);
    EXPECT_EQ(cell.cluster().core(frozen).commitIndex(), cell.cluster().core(leader).commitIndex());
    EXPECT_EQ(cell.cluster().core(frozen).leader(), ReplicaId(nameOf(leader)));
}

// Guards against a quorum made smaller by hosts that nothing can replace.
TEST(OpenMembership, silentVoterStaysAVoterWithoutALearner)
{
    OpenCell cell(1);
    const size_t leader = *cell.servingLeader();
    const size_t silent = cell.anyFollower(leader);
    cell.setUp(silent, false);
    cell.run(Millis(20000));
    ASSERT_EQ(cell.servingLeader(), leader);
    EXPECT_TRUE(cell.member(leader, silent)->voter());
}

// Guards against members judged by the silence of an earlier term: a replica that leads again has
// heard nobody for as long as another one led.
TEST(OpenMembership, silenceIsCountedWithinATermOnly)
{
    OpenCell cell(1);
    cell.setUp(Voters, true);
    cell.run(Millis(1000));
    const size_t leader = *cell.servingLeader();
    const size_t other = cell.anyFollower(leader);
    OpenMembership policy{ ReplicaId(nameOf(leader)) };
    EXPECT_FALSE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));

    cell.transferLeadership(leader, other);
    cell.run(Millis(20000));
    cell.transferLeadership(other, leader);
    cell.run(Millis(500));
    ASSERT_EQ(cell.servingLeader(), leader);
    cell.setUp(other, false);
    cell.run(Millis(1000));
    ASSERT_TRUE(cell.cluster().core(leader).isEstablishedLeader());
    EXPECT_FALSE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));
}

// Guards against a healthy voter that loses its vote to a request from before its disk was lost: a
// replica that did not lead had kept the request and acted on it when it came to lead.
TEST(OpenMembership, joinRequestsFromBeforeTheTermAreForgotten)
{
    OpenCell cell(1);
    const size_t leader = *cell.servingLeader();
    OpenMembership policy{ ReplicaId(nameOf(leader)) };
    schema::Member formerSelf = *cell.member(leader, cell.anyFollower(leader));
    formerSelf.set_incarnation(formerSelf.incarnation() + 1000);
    policy.requestJoin(formerSelf);
    EXPECT_FALSE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));

    schema::Member newcomer;
    newcomer.set_id(nameOf(Voters));
    newcomer.set_incarnation(cell.cluster().incarnationOf(Voters).value());
    policy.requestJoin(newcomer);
    EXPECT_TRUE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));
}

// Guards against a healthy voter that loses its vote to a request that its former disk sent and
// that arrives late. Nor does such a request wait for a moment in which the voter is silent.
TEST(OpenMembership, voterThatAnswersIsNotReplacedByAnotherIncarnation)
{
    OpenCell cell(1);
    const size_t leader = *cell.servingLeader();
    const size_t voter = cell.anyFollower(leader);
    OpenMembership policy{ ReplicaId(nameOf(leader)) };
    EXPECT_FALSE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));
    schema::Member formerSelf = *cell.member(leader, voter);
    formerSelf.set_incarnation(formerSelf.incarnation() + 1000);
    policy.requestJoin(formerSelf);
    EXPECT_FALSE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));

    cell.setUp(voter, false);
    cell.run(Millis(1000));
    ASSERT_TRUE(cell.cluster().core(leader).isEstablishedLeader());
    EXPECT_FALSE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));
    policy.requestJoin(formerSelf);
    EXPECT_TRUE(policy.nextChange(cell.cluster().core(leader), cell.cluster().now()));
}

// Guards against a replica that counts as a dead voter although its host is up: it followed a
// leader whose record of its new disk was never committed, and waited for that leader for ever.
TEST(OpenMembership, replicaAddedByALeaderThatIsDeposedJoinsAgain)
{
    constexpr uint64_t Seeds = 20;
    for (uint64_t seed = 1; seed <= Seeds; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        OpenCell cell(seed);
        const size_t deposed = *cell.servingLeader();
        const size_t wiped = cell.anyFollower(deposed);
        cell.setUp(wiped, false);
        cell.run(SilenceNoticeTime);
        cell.cluster().wipe(wiped);
        cell.setUp(wiped, true);
        cell.setPairCut(deposed, wiped, true);
        cell.run(Millis(500));
        ASSERT_EQ(cell.cluster().core(wiped).leader(), ReplicaId(nameOf(deposed)));
        cell.run(Millis(3000));
        cell.setPairCut(deposed, wiped, false);
        cell.run(Millis(10000));
        const auto leader = cell.servingLeader();
        ASSERT_TRUE(leader.has_value());
        EXPECT_TRUE(cell.hasVote(*leader, wiped));
        EXPECT_EQ(cell.cluster().violation().value_or(""), "");
    }
}

// Guards against a spare that is no member any more after a long silence and never asks to join.
TEST(OpenMembership, removedLearnerJoinsAgain)
{
    OpenCell cell(1);
    cell.setUp(Voters, true);
    cell.run(Millis(1000));
    const size_t leader = *cell.servingLeader();
    ASSERT_NE(cell.member(leader, Voters), nullptr);
    cell.setUp(Voters, false);
    cell.run(Millis(20000));
    ASSERT_EQ(cell.member(leader, Voters), nullptr);
    cell.setUp(Voters, true);
    cell.run(Millis(2000));
    EXPECT_NE(cell.member(leader, Voters), nullptr);
}

} // namespace
} // namespace basilgap::replication
