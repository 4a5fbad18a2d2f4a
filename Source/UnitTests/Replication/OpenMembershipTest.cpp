#include "Basilgap/Replication/OpenMembership.h"

#include <algorithm>
#include <array>
#include <random>

#include <gtest/gtest.h>

#include "Basilgap/Replication/Membership.h"
#include "UnitTests/Replication/RaftCluster.h"

namespace basilgap::replication {
namespace {

constexpr size_t Voters = 5;
constexpr size_t Spares = 4;
constexpr Millis Step{ 20 };
constexpr Millis JoinInterval{ 200 };

// The bounds within which hosts are lost: a lost host's successor starts this long after the loss,
// and the loss counts until the successor has been up for the catch-up time.
constexpr Millis SuccessorDelay{ 1000 };
constexpr Millis WipedRestartDelay{ 500 };
constexpr Millis CatchUpTime{ 4000 };

// The hosts of a new cell join within this time, and the cell has settled some time later.
constexpr Millis JoinPeriod{ 3000 };
constexpr Millis SettlingTime{ 5000 };

// Longer than it takes to elect a leader.
constexpr Millis ElectionTime{ 3000 };

// Longer than a leader takes to notice that a member is silent.
constexpr Millis SilenceNoticeTime{ 700 };

enum class Loss { Host, Disk };

std::string nameOf(size_t index)
{
    return "r" + std::to_string(index);
}

struct CellOptions
{
    // Replicas that bootstrap the cell as voters.
    size_t seeds = Voters;
    size_t spares = Spares;
    // Availability zone of each replica; without any they are all unknown.
    std::vector<std::string> zones;
};

// An open cell of simulated replicas that lose hosts and disks and get new ones. Spares are started
// one after the other.
class OpenCell
{
public:
    struct Change
    {
        MembershipChange::Kind kind;
        ReplicaId member;

        bool operator==(const Change &) const = default;
    };

    explicit OpenCell(uint64_t seed, CellOptions options = {})
        : options_(std::move(options))
        , cluster_(options_.seeds, seed, options_.spares, options_.zones)
        , nextSpare_(options_.seeds)
    {
        options_.zones.resize(cluster_.size());
        for (size_t i = 0; i < cluster_.size(); i++) {
            policies_.emplace_back(ReplicaId(nameOf(i)));
            up_.push_back(i < options_.seeds);
            wasLost_.push_back(false);
            isGone_.push_back(false);
            cluster_.isolate(i, i >= options_.seeds);
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

    // Starts the next spares, each at a random time within the interval.
    void startSpares(size_t count, Millis interval, std::mt19937_64 &random)
    {
        std::vector<int64_t> pauses;
        for (size_t i = 0; i < count; i++)
            pauses.push_back(static_cast<int64_t>(random() % (interval.count() / count)));
        for (const int64_t pause : pauses) {
            run(Millis(pause));
            setUp(nextSpare_++, true);
        }
    }

    // The host that is lost gets a successor in its zone.
    void loseInZone(Loss loss, size_t index)
    {
        if (loss == Loss::Host)
            options_.zones[nextSpare_] = options_.zones[index];
        lose(loss, index);
    }

    // Number of voters in each zone, as the replica knows them.
    std::map<std::string, size_t> votersByZone(size_t leader)
    {
        std::map<std::string, size_t> voters;
        for (size_t i = 0; i < cluster_.size(); i++) {
            const schema::Member *known = member(leader, i);
            if (known != nullptr && known->voter())
                voters[options_.zones[i]]++;
        }
        return voters;
    }

    // The zone that holds most voters.
    std::string fullestZone(size_t leader)
    {
        const auto voters = votersByZone(leader);
        return std::max_element(voters.begin(), voters.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        })->first;
    }

    size_t votersInFullestZone(size_t leader)
    {
        return votersByZone(leader).at(fullestZone(leader));
    }

    // Cuts off or brings back the hosts of the zone, but for those that are gone for good.
    void setZoneUp(const std::string &zone, bool up)
    {
        for (size_t i = 0; i < nextSpare_; i++) {
            if (options_.zones[i] == zone && !isGone_[i])
                setUp(i, up);
        }
    }

    std::vector<size_t> hostsThatAreUp() const
    {
        std::vector<size_t> hosts;
        for (size_t i = 0; i < up_.size(); i++) {
            if (up_[i])
                hosts.push_back(i);
        }
        return hosts;
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
    const std::string &zoneOf(size_t index) const { return options_.zones[index]; }
    const std::vector<Change> &changes() const { return changes_; }

private:
    // A host is lost for good; an empty one comes at another address.
    void replaceHost(size_t index)
    {
        wasLost_[index] = true;
        isGone_[index] = true;
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
            self.set_zone(options_.zones[i]);
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
            const auto change = policies_[i].nextChange(core, cluster_.now());
            if (change && core.proposeMembership(change->membership))
                changes_.push_back({ change->kind, change->member });
            cluster_.processOutput(i);
        }
    }

    CellOptions options_;
    RaftCluster cluster_;
    std::vector<OpenMembership> policies_;
    std::vector<bool> up_;
    std::vector<bool> wasLost_;
    std::vector<bool> isGone_;
    size_t nextSpare_;
    std::vector<Change> changes_;
    Millis nextJoin_;
};

OpenCell::Change promotedForZone(size_t index)
{
    return { MembershipChange::Kind::PromoteForZone, ReplicaId(nameOf(index)) };
}

constexpr size_t BootstrapSeeds = 3;
constexpr size_t ZoneLosses = 8;
constexpr Millis FreezeTime{ 5000 };

// Hosts in each zone, as users run them.
const std::vector<std::vector<size_t>> ZoneLayouts = { { 2, 2, 1 }, { 2, 1, 1, 1 }, { 3, 3, 3 },
    { 2, 2, 2, 2, 1 } };

// A cell with that many hosts in each zone. Which of them bootstrap it, and when the others join,
// depends on the random numbers. Returns once the cell has had the time to settle.
std::unique_ptr<OpenCell> startZonedCell(
    const std::vector<size_t> &layout, uint64_t seed, std::mt19937_64 &random)
{
    std::vector<std::string> zones;
    for (size_t zone = 0; zone < layout.size(); zone++)
        zones.insert(zones.end(), layout[zone], "z" + std::to_string(zone));
    std::shuffle(zones.begin(), zones.end(), random);
    const size_t joining = zones.size() - BootstrapSeeds;
    auto cell = std::make_unique<OpenCell>(seed,
        CellOptions{ .seeds = BootstrapSeeds, .spares = joining + ZoneLosses, .zones = zones });
    cell->startSpares(joining, JoinPeriod, random);
    cell->run(SettlingTime);
    return cell;
}

// Loses a host or a disk, freezes a host, or cuts off a zone for a while.
void causeTrouble(OpenCell &cell, std::mt19937_64 &random)
{
    const std::vector<size_t> hosts = cell.hostsThatAreUp();
    const size_t index = hosts[random() % hosts.size()];
    const size_t choice = random() % 4;
    if (choice < 2)
        return cell.loseInZone(choice == 0 ? Loss::Host : Loss::Disk, index);
    const std::string zone = cell.zoneOf(index);
    if (choice == 2)
        cell.setUp(index, false);
    else
        cell.setZoneUp(zone, false);
    cell.run(FreezeTime);
    if (choice == 2)
        cell.setUp(index, true);
    else
        cell.setZoneUp(zone, true);
    cell.run(CatchUpTime);
}

void expectSpreadVoters(OpenCell &cell)
{
    const auto leader = cell.servingLeader();
    ASSERT_TRUE(leader.has_value());
    EXPECT_EQ(voterCount(cell.cluster().core(*leader).membership()), Voters);
    EXPECT_LE(cell.votersInFullestZone(*leader), Voters / 2);
}

void expectQuorumWithoutAnyZone(OpenCell &cell)
{
    const auto leader = cell.servingLeader();
    ASSERT_TRUE(leader.has_value());
    const std::string zone = cell.fullestZone(*leader);
    cell.setZoneUp(zone, false);
    cell.run(ElectionTime);
    EXPECT_TRUE(cell.servingLeader().has_value()) << "no leader without zone " << zone;
    EXPECT_EQ(cell.cluster().violation().value_or(""), "");
}

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

// Guards against a zone whose loss stops the cell although the hosts would bear it: the voters were
// the replicas that bootstrapped the cell and those that joined first, wherever they were.
TEST(OpenMembership, quorumSurvivesTheLossOfAnyZone)
{
    constexpr uint64_t Seeds = 20;
    for (const auto &layout : ZoneLayouts) {
        for (uint64_t seed = 1; seed <= Seeds; seed++) {
            SCOPED_TRACE(
                "layout " + testing::PrintToString(layout) + ", seed " + std::to_string(seed));
            std::mt19937_64 random(seed);
            const auto cell = startZonedCell(layout, seed, random);
            ASSERT_NO_FATAL_FAILURE(expectSpreadVoters(*cell));
            ASSERT_NO_FATAL_FAILURE(expectQuorumWithoutAnyZone(*cell));
        }
    }
}

// Guards against voters that gather in one zone as hosts are replaced, frozen or cut off.
TEST(OpenMembership, votersStaySpreadWhileHostsAreLost)
{
    constexpr uint64_t Seeds = 20;
    for (const auto &layout : ZoneLayouts) {
        for (uint64_t seed = 1; seed <= Seeds; seed++) {
            SCOPED_TRACE(
                "layout " + testing::PrintToString(layout) + ", seed " + std::to_string(seed));
            std::mt19937_64 random(seed);
            const auto cell = startZonedCell(layout, seed, random);
            for (size_t i = 0; i < ZoneLosses; i++) {
                SCOPED_TRACE("after trouble " + std::to_string(i));
                causeTrouble(*cell, random);
                ASSERT_NO_FATAL_FAILURE(expectSpreadVoters(*cell));
            }
            ASSERT_NO_FATAL_FAILURE(expectQuorumWithoutAnyZone(*cell));
        }
    }
}

// Guards against voters that are exchanged for ever.
TEST(OpenMembership, spreadVotersAreNotExchanged)
{
    for (const auto &layout : ZoneLayouts) {
        SCOPED_TRACE("layout " + testing::PrintToString(layout));
        std::mt19937_64 random(1);
        const auto cell = startZonedCell(layout, 1, random);
        const size_t changes = cell->changes().size();
        cell->run(Millis(60000));
        EXPECT_EQ(cell->changes().size(), changes);
    }
}

// Guards against an exchange that lowers for a moment how many hosts may be lost, or that takes the
// leader's vote.
TEST(OpenMembership, exchangeForAZonePromotesFirstAndKeepsTheLeader)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        OpenCell cell(seed, { .zones = { "a", "a", "a", "b", "c", "b" } });
        const size_t leader = *cell.servingLeader();
        const Term term = cell.cluster().core(leader).term();
        cell.setUp(Voters, true);
        cell.run(Millis(4000));
        ASSERT_EQ(cell.changes().size(), 3U);
        EXPECT_EQ(cell.changes()[1], promotedForZone(Voters));
        EXPECT_EQ(cell.changes()[2].kind, MembershipChange::Kind::DemoteForZone);
        EXPECT_NE(cell.changes()[2].member, ReplicaId(nameOf(leader)));
        EXPECT_EQ(cell.votersByZone(leader),
            (std::map<std::string, size_t>{ { "a", 2 }, { "b", 2 }, { "c", 1 } }));
        EXPECT_EQ(cell.servingLeader(), leader);
        EXPECT_EQ(cell.cluster().core(leader).term(), term);
    }
}

// Guards against an exchange for a zone at a time at which a voter may be lost already, and against
// one for each short silence.
TEST(OpenMembership, noVoterIsExchangedForItsZoneWhileOneIsSilentAgainAndAgain)
{
    constexpr int Silences = 10;
    // A silence is noticed after 650 ms, and a voter gives way after 2 s of it.
    constexpr Millis Silence{ 1500 };
    constexpr Millis Contact{ 1000 };
    OpenCell cell(1, { .zones = { "a", "a", "a", "b", "c", "b" } });
    const size_t leader = *cell.servingLeader();
    const size_t unsteady = cell.anyFollower(leader);
    cell.setUp(Voters, true);
    for (int i = 0; i < Silences; i++) {
        cell.setUp(unsteady, false);
        cell.run(Silence);
        cell.setUp(unsteady, true);
        cell.run(Contact);
        ASSERT_EQ(cell.changes().size(), 1U) << "after silence " << i;
    }
    cell.run(Millis(4000));
    EXPECT_EQ(cell.changes().size(), 3U);
}

// Guards against a learner of any zone in the place of the only voter of its zone.
TEST(OpenMembership, learnerOfTheEmptiestZoneTakesThePlaceOfASilentVoter)
{
    for (const std::string otherZone : { "", "a" }) {
        SCOPED_TRACE("zone of the other learner: " + otherZone);
        OpenCell cell(1, { .zones = { "a", "a", "b", "b", "c", otherZone, "c" } });
        cell.setUp(Voters, true);
        cell.setUp(Voters + 1, true);
        cell.run(Millis(4000));
        cell.setUp(Voters - 1, false);
        cell.run(Millis(4000));
        const auto leader = cell.servingLeader();
        ASSERT_TRUE(leader.has_value());
        EXPECT_FALSE(cell.member(*leader, Voters)->voter());
        EXPECT_TRUE(cell.member(*leader, Voters + 1)->voter());
    }
}

// Guards against a voter that is lost in the middle of an exchange and then counts longer than
// another one that is there.
TEST(OpenMembership, leaderLostDuringAnExchangeGivesWay)
{
    for (uint64_t seed = 1; seed <= 10; seed++) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        OpenCell cell(seed, { .zones = { "a", "a", "a", "b", "c", "b" } });
        const size_t lost = *cell.servingLeader();
        cell.setUp(Voters, true);
        while (cell.changes().empty() || cell.changes().back() != promotedForZone(Voters))
            cell.run(Step);
        cell.cluster().deliverAll();
        cell.setUp(lost, false);
        cell.run(Millis(6000));
        const auto leader = cell.servingLeader();
        ASSERT_TRUE(leader.has_value());
        EXPECT_EQ(cell.changes().back(),
            (OpenCell::Change{ MembershipChange::Kind::DemoteVoter, ReplicaId(nameOf(lost)) }));
        for (size_t i = 0; i <= Voters; i++)
            EXPECT_EQ(cell.member(*leader, i)->voter(), i != lost) << nameOf(i);
        EXPECT_EQ(cell.cluster().violation().value_or(""), "");
    }
}

// Guards against a cell of an earlier release, whose members have no zone, being rearranged by
// guesses.
TEST(OpenMembership, membersWithoutAZoneAreNotExchanged)
{
    for (const auto &zones : std::vector<std::vector<std::string>>{
             { "", "", "", "", "", "b" }, { "a", "a", "a", "b", "c", "" } }) {
        OpenCell cell(1, { .zones = zones });
        cell.setUp(Voters, true);
        cell.run(Millis(20000));
        ASSERT_TRUE(cell.servingLeader().has_value());
        EXPECT_EQ(cell.changes().size(), 1U);
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
