#include <atomic>
#include <deque>
#include <filesystem>
#include <set>
#include <thread>

#include <gtest/gtest.h>

#include "Basilgap/Control/Replica.h"
#include "Basilgap/Replication/Membership.h"
#include "StandIns/LocalCell.h"
#include "StandIns/QuotaDisk.h"

namespace basilgap::control {
namespace {

constexpr Millis MaxWait{ 30000 };
// Longer than a leader takes to act on a request to join.
constexpr Millis ReactionTime{ 500 };
constexpr uint32_t SmallSnapshotBytes = 256 * 1024;
constexpr size_t DocumentBytes = 50000;
constexpr uint64_t Changes = 120;
constexpr uint64_t ChangesInFlight = 8;
// Longer than it takes a replica to open its folder again after a failed write.
constexpr Millis RefusalTime{ 2500 };
constexpr auto TurnPause = std::chrono::milliseconds(1);

std::string nameOf(size_t index)
{
    return "r" + std::to_string(index);
}

// A small disk whose syncs take a while.
class SlowDisk : public standins::QuotaDisk
{
public:
    using QuotaDisk::QuotaDisk;

    int sync(int file) override
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(syncTime.load().count()));
        return QuotaDisk::sync(file);
    }

    std::atomic<Millis> syncTime{ Millis(0) };
};

// A replica with its own event loop, server and data folder.
struct Node
{
    std::string folder = standins::makeFolder("basilgap-replica-cell");
    network::EventLoop loop;
    SlowDisk disk{ folder };
    schema::ControlSettings settings;
    std::unique_ptr<network::PeerServer> server;
    std::unique_ptr<Replica> replica;
    // How long the host takes to apply a record. The event loops of the others turn meanwhile.
    Millis applyTime;
    bool isBusy = false;
    uint64_t applied = 0;
};

// Cells of several replicas in this process, connected over the loopback interface.
class ReplicaCell : public testing::Test
{
protected:
    void TearDown() override
    {
        for (Node &node : nodes_) {
            node.replica.reset();
            std::filesystem::remove_all(node.folder);
        }
    }

    void startCell(size_t size, MembershipMode mode)
    {
        ASSERT_NO_FATAL_FAILURE(openCell(size, mode, false));
        ASSERT_TRUE(runUntil([this] { return leader().has_value(); }));
    }

    // Starts the replicas of a new cell, on disks that refuse everything if so asked.
    void openCell(size_t size, MembershipMode mode, bool isRefusing)
    {
        mode_ = mode;
        for (size_t i = 0; i < size; i++)
            listen();
        peers_.assign(addresses_.begin(), addresses_.end());
        setRefusing(isRefusing);
        for (size_t i = 0; i < size; i++)
            ASSERT_NO_FATAL_FAILURE(startReplica(i, true));
    }

    // Whether the disks of all replicas neither create files nor write.
    void setRefusing(bool isRefusing)
    {
        for (Node &node : nodes_)
            node.disk.setRefusing(isRefusing);
    }

    void runFor(Millis time)
    {
        const Millis end = steadyNow() + time;
        ASSERT_TRUE(runUntil([end] { return steadyNow() >= end; }));
    }

    bool haveSameRecords()
    {
        if (!leader())
            return false;
        const replication::RaftCore &leading = replica(*leader()).core();
        for (size_t i = 0; i < nodes_.size(); i++) {
            if (leading.matchIndexOf(ReplicaId(nameOf(i))) != leading.lastIndex() && i != leader())
                return false;
        }
        return true;
    }

    bool haveSameState()
    {
        for (Node &node : nodes_) {
            if (node.replica->state().save() != replica(0).state().save())
                return false;
        }
        return true;
    }

    // For the replicas that are started from now on.
    void setSnapshotBytes(uint32_t bytes) { snapshotBytes_ = bytes; }

    // Starts a replica that the others don't know. It knows those of the start.
    size_t addReplica()
    {
        listen();
        startReplica(nodes_.size() - 1, false);
        return nodes_.size() - 1;
    }

    // Ends the replica and removes its data.
    void lose(size_t index)
    {
        Node &node = nodes_[index];
        node.replica.reset();
        std::filesystem::remove_all(node.folder);
    }

    void restart(size_t index) { startReplica(index, false); }

    Node &node(size_t index) { return nodes_[index]; }
    Replica &replica(size_t index) { return *nodes_[index].replica; }

    std::optional<size_t> leader()
    {
        for (size_t i = 0; i < nodes_.size(); i++) {
            if (nodes_[i].replica && replica(i).isLeading())
                return i;
        }
        return std::nullopt;
    }

    // How often a replica has begun to lead.
    size_t leadershipGains() const { return leadershipGains_; }

    // Between the replicas of the group and the others every message is lost.
    void split(const std::set<std::string> &group) { group_ = group; }
    void heal() { group_.clear(); }

    // Whether the replica's present incarnation has a vote in the membership of the leader.
    bool hasVote(size_t index) { return leader().has_value() && hasVote(index, *leader()); }

    bool hasVote(size_t index, size_t inMembershipOf)
    {
        const schema::Member *member = replication::findMember(
            replica(inMembershipOf).core().membership(), ReplicaId(nameOf(index)));
        return member != nullptr && member->voter()
            && member->incarnation() == replica(index).incarnation().value();
    }

    bool haveAllVotes()
    {
        for (size_t i = 0; i < nodes_.size(); i++) {
            if (!hasVote(i))
                return false;
        }
        return true;
    }

    // Sends a request to join under the replica's id and another incarnation.
    void probeAs(size_t index, size_t to)
    {
        std::unique_ptr<network::PeerLink> link;
        bool isAnswered = false;
        link = std::make_unique<network::PeerLink>(nodes_[to].loop,
            network::PeerLink::Options{
                .address = addresses_[to],
                .cellKey = "key",
                .hello = {},
                .onMessage =
                    [&isAnswered](const schema::PeerMessage &message) {
                        isAnswered = isAnswered || message.has_probe_reply();
                    },
                .onUp =
                    [&] {
                        schema::PeerMessage message;
                        message.mutable_probe()->set_id(nameOf(index));
                        message.mutable_probe()->set_incarnation(
                            replica(index).incarnation().value() + 1);
                        link->send(message);
                    },
                .onDown = [] {},
            });
        ASSERT_TRUE(runUntil([&isAnswered] { return isAnswered; }));
    }

    // Lists the first `count` replicas, the last one of them in a zone of its own.
    void list(size_t count)
    {
        schema::CellConfig config;
        config.set_version(1);
        for (const char *zone : { "z1", "z2" })
            config.add_zones(zone);
        for (size_t i = 0; i < count; i++) {
            schema::ReplicaConfig *replica = config.add_replicas();
            replica->set_id(nameOf(i));
            replica->set_address(addresses_[i]);
            replica->set_zone(i + 1 == count ? "z2" : "z1");
        }
        schema::Command command;
        command.mutable_apply_cell()->set_config(config.SerializeAsString());
        ASSERT_NO_FATAL_FAILURE(propose(std::move(command)));
    }

    // Takes the first zone out of service, so that the replica in the other one is to lead.
    void takeFirstZoneOut()
    {
        schema::Command command;
        command.mutable_zone()->set_zone("z1");
        command.mutable_zone()->set_out(true);
        ASSERT_NO_FATAL_FAILURE(propose(std::move(command)));
    }

    void propose(schema::Command command)
    {
        ASSERT_TRUE(runUntil([this] { return leader().has_value(); }));
        std::optional<schema::OutcomeCode> code;
        replica(*leader()).propose(std::move(command),
            [&code](const schema::CommandOutcome &outcome) { code = outcome.code(); });
        ASSERT_TRUE(runUntil([&code] { return code.has_value(); }));
        ASSERT_EQ(*code, schema::ACCEPTED);
    }

    static schema::Command configuration(uint64_t version)
    {
        schema::Command command;
        command.mutable_put_work_config()->set_version(version);
        command.mutable_put_work_config()->set_document(std::string(DocumentBytes, 'x'));
        return command;
    }

    // Has the leader accept many large configurations, some of them at a time. Calls back after
    // each turn of the event loops.
    void configure(const std::function<void()> &onTurn)
    {
        uint64_t version = 0;
        const auto inFlight = std::make_shared<uint64_t>(0);
        const auto accepted = std::make_shared<uint64_t>(0);
        ASSERT_TRUE(runUntil([&] {
            while (leader() && *inFlight < ChangesInFlight && *accepted + *inFlight < Changes) {
                ++*inFlight;
                replica(*leader()).propose(configuration(++version),
                    [inFlight, accepted](const schema::CommandOutcome &outcome) {
                        --*inFlight;
                        *accepted += outcome.code() == schema::ACCEPTED ? 1 : 0;
                    });
            }
            onTurn();
            return *accepted == Changes;
        }));
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        for (const Millis end = steadyNow() + MaxWait; steadyNow() < end;) {
            turnLoops();
            if (condition())
                return true;
            std::this_thread::sleep_for(TurnPause);
        }
        return false;
    }

private:
    void turnLoops()
    {
        for (Node &node : nodes_) {
            if (!node.isBusy)
                event_base_loop(node.loop.base(), EVLOOP_NONBLOCK);
        }
    }

    void spendApplyTime(Node &node)
    {
        node.applied++;
        if (node.applyTime == Millis())
            return;
        node.isBusy = true;
        for (const Millis end = steadyNow() + node.applyTime; steadyNow() < end;) {
            turnLoops();
            std::this_thread::sleep_for(TurnPause);
        }
        node.isBusy = false;
    }

    void listen()
    {
        Node &node = nodes_.emplace_back();
        auto server = network::PeerServer::listen(node.loop,
            {
                .address = "127.0.0.1:0",
                .cellKey = "key",
                .onMessage =
                    [this, &node](network::PeerStream &stream, const schema::PeerMessage &message) {
                        if (node.replica && !isLost(stream.hello().id(), node.settings.id()))
                            node.replica->receive(stream, message);
                    },
                .onClosed = [](network::PeerStream &) {},
            });
        ASSERT_TRUE(server.has_value());
        node.server = std::move(*server);
        addresses_.push_back(node.server->address());
    }

    bool isLost(const std::string &from, const std::string &to) const
    {
        return !group_.empty() && group_.contains(from) != group_.contains(to);
    }

    void startReplica(size_t index, bool canBootstrap)
    {
        Node &node = nodes_[index];
        node.settings.Clear();
        node.settings.set_id(nameOf(index));
        node.settings.set_peer_address(addresses_[index]);
        node.settings.set_data_folder(node.folder);
        node.settings.set_snapshot_bytes(snapshotBytes_);
        for (size_t i = 0; i < peers_.size(); i++) {
            schema::PeerSettings *peer = node.settings.add_peers();
            peer->set_id(nameOf(i));
            peer->set_address(peers_[i]);
        }
        auto started = Replica::start(node.loop,
            {
                .settings = node.settings,
                .cellKey = "key",
                .disk = node.disk,
                .membership = mode_,
                .canBootstrap = canBootstrap,
                .onLeadershipGained = [this] { leadershipGains_++; },
                .onLeadershipLost = [] {},
                .onApplied = [this, &node](const schema::Command &,
                                 const schema::CommandOutcome &) { spendApplyTime(node); },
                .onLinkMessage = [](const ReplicaId &, const schema::PeerMessage &) {},
                .onFatal = [](const Error &error) { ADD_FAILURE() << error.text(); },
            });
        ASSERT_TRUE(started.has_value()) << started.error().text();
        node.replica = std::move(*started);
    }

    MembershipMode mode_ = MembershipMode::Listed;
    uint32_t snapshotBytes_ = schema::ControlSettings().snapshot_bytes();
    std::deque<Node> nodes_;
    std::vector<std::string> addresses_;
    // Addresses of the replicas that the cell starts with.
    std::vector<std::string> peers_;
    std::set<std::string> group_;
    size_t leadershipGains_ = 0;
};

// Guards against a listed replica that counts as a dead voter although its host is up: it followed
// a leader whose record of its new disk was never committed, and waited for that leader for ever.
TEST_F(ReplicaCell, listedReplicaAddedByALeaderThatIsDeposedJoinsAgain)
{
    ASSERT_NO_FATAL_FAILURE(startCell(5, MembershipMode::Listed));
    size_t deposed = 0;
    size_t wiped = 0;
    // The leader steps down soon without the others, sometimes before it has added the replica.
    for (bool isAdded = false; !isAdded;) {
        heal();
        ASSERT_TRUE(runUntil([this] { return haveAllVotes(); }));
        deposed = *leader();
        wiped = (deposed + 1) % 5;
        lose(wiped);
        ASSERT_TRUE(runUntil([&] {
            return !replica(deposed).core().isRecentlyHeard(ReplicaId(nameOf(wiped)), steadyNow());
        }));
        split({ nameOf(deposed), nameOf(wiped) });
        restart(wiped);
        ASSERT_TRUE(runUntil([&] {
            isAdded = !replica(wiped).core().isUninitialized();
            return isAdded || !replica(deposed).isLeading();
        }));
    }
    ASSERT_TRUE(runUntil([&] { return leader().has_value() && *leader() != deposed; }));
    heal();
    EXPECT_TRUE(runUntil([&] { return hasVote(wiped); }));
}

// Guards against a follower that counts as a dead voter although its host is up: it was cut off
// while the leader joined, and had no address to answer to.
TEST_F(ReplicaCell, followerAnswersALeaderThatJoinedWhileItWasCutOff)
{
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    const size_t follower = (*leader() + 1) % 3;
    split({ nameOf(follower) });
    const size_t joined = addReplica();
    ASSERT_NO_FATAL_FAILURE(list(joined + 1));
    ASSERT_TRUE(runUntil([&] { return hasVote(joined); }));
    ASSERT_NO_FATAL_FAILURE(takeFirstZoneOut());
    ASSERT_TRUE(runUntil([&] {
        if (leader() && *leader() != joined)
            replica(*leader()).transferLeadership();
        return leader() == joined;
    }));
    heal();
    EXPECT_TRUE(runUntil([&] {
        const replication::RaftCore &core = replica(joined).core();
        return core.matchIndexOf(ReplicaId(nameOf(follower))) == core.lastIndex();
    }));
    EXPECT_EQ(replica(follower).leader(), ReplicaId(nameOf(joined)));
    EXPECT_EQ(leader(), joined);
}

// Guards against leaders that are deposed one after the other after a power cut of all hosts: each
// applied all records since its last snapshot before its next heartbeat, and the others elected
// another one meanwhile.
TEST_F(ReplicaCell, leaderThatHasMuchToApplyAfterAPowerCutIsNotDeposed)
{
    constexpr uint64_t Records = 200;
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    for (uint64_t i = 0; i < Records; i++) {
        schema::Command command;
        command.mutable_expire();
        replica(*leader()).propose(std::move(command), [](const schema::CommandOutcome &) {});
    }
    ASSERT_TRUE(runUntil([this] { return haveSameRecords(); }));
    for (size_t i = 0; i < 3; i++)
        node(i).replica.reset();
    for (size_t i = 0; i < 3; i++) {
        node(i).applied = 0;
        node(i).applyTime = Millis(5);
        restart(i);
    }
    const size_t gainsBefore = leadershipGains();
    ASSERT_TRUE(runUntil([&] {
        return node(0).applied == Records && node(1).applied == Records
            && node(2).applied == Records && leader();
    }));
    EXPECT_EQ(leadershipGains() - gainsBefore, 1U);
}

// Guards against a healthy voter that loses its vote to a request that its former disk sent and
// that arrives late.
TEST_F(ReplicaCell, listedVoterThatAnswersIsNotReplacedByAnotherIncarnation)
{
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    const size_t first = *leader();
    const size_t voter = (first + 1) % 3;
    ASSERT_NO_FATAL_FAILURE(probeAs(voter, first));
    const Millis end = steadyNow() + ReactionTime;
    ASSERT_TRUE(runUntil([&] { return steadyNow() >= end; }));
    EXPECT_TRUE(hasVote(voter, first));
}

// Guards against LOST and CONFIG: a leader whose disk is slower than those of a majority had always
// applied more than it had written, and took no snapshot while changes kept coming.
TEST_F(ReplicaCell, slowDiskOfTheLeaderDoesNotKeepItsLogFromShrinking)
{
    constexpr uint64_t MaxLogBytes = 2 * SmallSnapshotBytes + 2 * ChangesInFlight * DocumentBytes;
    setSnapshotBytes(SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    const size_t slow = *leader();
    node(slow).disk.syncTime = Millis(30);
    uint64_t largestLog = 0;
    ASSERT_NO_FATAL_FAILURE(configure([&] {
        largestLog =
            std::max<uint64_t>(largestLog, std::filesystem::file_size(node(slow).folder + "/log"));
    }));
    EXPECT_LE(largestLog, MaxLogBytes);
}

// Guards against a leader that writes one snapshot after the other while records wait for a quorum.
TEST_F(ReplicaCell, recordsThatWaitForAQuorumCauseNoSnapshot)
{
    setSnapshotBytes(SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    const size_t alone = *leader();
    split({ nameOf(alone) });
    for (uint64_t version = 1; version <= 2 * SmallSnapshotBytes / DocumentBytes; version++)
        replica(alone).propose(configuration(version), [](const schema::CommandOutcome &) {});
    ASSERT_TRUE(runUntil([&] { return !replica(alone).isLeading(); }));
    EXPECT_GT(std::filesystem::file_size(node(alone).folder + "/log"), SmallSnapshotBytes);
    EXPECT_FALSE(std::filesystem::exists(node(alone).folder + "/snapshot"));
}

// Guards against a replica that stays silent for good on a disk that its own log has filled: it had
// applied records that the others had written and it had not, and took no snapshot.
TEST_F(ReplicaCell, followerThatHasAppliedMoreThanItHasWrittenFreesItsFullDisk)
{
    setSnapshotBytes(SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    const size_t slow = (*leader() + 1) % 3;
    node(slow).disk.syncTime = Millis(20);
    node(slow).disk.setFreeBytes(3 * SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(configure([] {}));
    node(slow).disk.syncTime = Millis(0);
    EXPECT_TRUE(runUntil([&] {
        const replication::RaftCore &core = replica(*leader()).core();
        return core.matchIndexOf(ReplicaId(nameOf(slow))) == core.lastIndex();
    }));
    EXPECT_TRUE(runUntil(
        [&] { return replica(slow).state().save() == replica(*leader()).state().save(); }));
}

// Guards against a log that is cut where it no longer reaches, or gets records that it has already:
// a deposed leader still had records of its own on its disk when that was full.
TEST_F(ReplicaCell, deposedLeaderOnAFullDiskReplacesItsOwnRecords)
{
    constexpr uint64_t OwnRecords = 20;
    setSnapshotBytes(SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    ASSERT_NO_FATAL_FAILURE(propose(configuration(1)));
    const size_t deposed = *leader();
    const auto hasAllRecords = [this](size_t index) {
        const replication::RaftCore &core = replica(*leader()).core();
        return core.matchIndexOf(ReplicaId(nameOf(index))) == core.lastIndex();
    };
    ASSERT_TRUE(runUntil(
        [&] { return hasAllRecords((deposed + 1) % 3) && hasAllRecords((deposed + 2) % 3); }));
    split({ nameOf(deposed) });
    for (uint64_t i = 0; i < OwnRecords; i++) {
        schema::Command command;
        command.mutable_expire();
        replica(deposed).propose(std::move(command), [](const schema::CommandOutcome &) {});
    }
    ASSERT_TRUE(runUntil([&] { return !replica(deposed).isLeading() && leader().has_value(); }));
    for (uint64_t version = 2; version <= 4; version++)
        ASSERT_NO_FATAL_FAILURE(propose(configuration(version)));
    node(deposed).disk.setFreeBytes(10000);
    heal();
    EXPECT_TRUE(runUntil([&] { return leader().has_value() && hasAllRecords(deposed); }));
    node(deposed).disk.setFreeBytes(16 * SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(propose(configuration(5)));
    EXPECT_TRUE(runUntil([&] { return leader().has_value() && hasAllRecords(deposed); }));
    EXPECT_TRUE(runUntil([&] { return replica(deposed).state().workConfig().version() == 5; }));
    node(deposed).replica.reset();
    restart(deposed);
    EXPECT_TRUE(runUntil([&] { return leader().has_value() && hasAllRecords(deposed); }));
}

// Guards against a cell without a leader that lasts: a replica with a full disk led, failed, and
// was the first to stand for election again.
TEST_F(ReplicaCell, leaderWithAFullDiskLeavesTheLeadToTheOthers)
{
    setSnapshotBytes(SmallSnapshotBytes);
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Listed));
    const size_t full = *leader();
    node(full).disk.setFreeBytes(DocumentBytes / 2);
    ASSERT_NO_FATAL_FAILURE(configure([] {}));
    EXPECT_NE(leader(), full);
}

// Guards against processes that end, all alike, while the disks of their hosts are full.
TEST_F(ReplicaCell, allReplicasKeepRunningWhileTheirDisksRefuseEverything)
{
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Open));
    ASSERT_NO_FATAL_FAILURE(propose(configuration(1)));
    setRefusing(true);
    std::optional<schema::OutcomeCode> outcome;
    replica(*leader()).propose(configuration(2),
        [&outcome](const schema::CommandOutcome &reply) { outcome = reply.code(); });
    ASSERT_TRUE(runUntil([&outcome] { return outcome.has_value(); }));
    EXPECT_EQ(outcome, schema::UNAVAILABLE);
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(leader().has_value());
    setRefusing(false);
    ASSERT_NO_FATAL_FAILURE(propose(configuration(3)));
    EXPECT_TRUE(runUntil([this] { return haveSameRecords() && haveSameState(); }));
    EXPECT_EQ(replica(0).state().workConfig().version(), 3U);
}

// Guards against starts that fail, all alike, until the disks have space again.
TEST_F(ReplicaCell, allReplicasStartWhileTheirDisksRefuseEverything)
{
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Open));
    ASSERT_NO_FATAL_FAILURE(propose(configuration(1)));
    ASSERT_TRUE(runUntil([this] { return haveSameRecords(); }));
    for (size_t i = 0; i < 3; i++)
        node(i).replica.reset();
    setRefusing(true);
    for (size_t i = 0; i < 3; i++)
        ASSERT_NO_FATAL_FAILURE(restart(i));
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(leader().has_value()) << "no vote can be stored";
    setRefusing(false);
    ASSERT_TRUE(runUntil([this] { return leader().has_value() && haveAllVotes(); }));
    EXPECT_TRUE(runUntil([this] { return haveSameRecords() && haveSameState(); }));
    EXPECT_EQ(replica(0).state().workConfig().version(), 1U);
    ASSERT_NO_FATAL_FAILURE(propose(configuration(2)));
}

// Guards against a cell that is formed with replicas that have no identity, or never.
TEST_F(ReplicaCell, newCellIsFormedOnceItsDisksHaveSpace)
{
    ASSERT_NO_FATAL_FAILURE(openCell(3, MembershipMode::Open, true));
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_FALSE(leader().has_value());
    node(0).disk.setRefusing(false);
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    EXPECT_TRUE(replica(0).core().isUninitialized()) << "the others have no identity yet";
    setRefusing(false);
    ASSERT_TRUE(runUntil([this] { return haveAllVotes(); }));
    ASSERT_NO_FATAL_FAILURE(propose(configuration(1)));
    EXPECT_TRUE(runUntil([this] { return haveSameRecords(); }));
}

// Guards against a host with a full disk that disturbs the others, or ends: it neither
// acknowledges nor votes, and goes on when there is space.
TEST_F(ReplicaCell, oneReplicaWhoseDiskRefusesEverythingDoesNotDisturbTheOthers)
{
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Open));
    const size_t full = (*leader() + 1) % 3;
    node(full).disk.setRefusing(true);
    ASSERT_NO_FATAL_FAILURE(propose(configuration(1)));
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    node(full).replica.reset();
    ASSERT_NO_FATAL_FAILURE(restart(full));
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    ASSERT_NO_FATAL_FAILURE(propose(configuration(2)));
    EXPECT_FALSE(haveSameRecords());
    node(full).disk.setRefusing(false);
    EXPECT_TRUE(runUntil([this] { return haveSameRecords() && haveSameState(); }));
}

// As above, for a host that lost its data: it joins under its new identity when it has one.
TEST_F(ReplicaCell, replicaWithoutDataJoinsOnceItsDiskHasSpace)
{
    ASSERT_NO_FATAL_FAILURE(startCell(3, MembershipMode::Open));
    const size_t wiped = (*leader() + 1) % 3;
    lose(wiped);
    node(wiped).disk.setRefusing(true);
    ASSERT_NO_FATAL_FAILURE(restart(wiped));
    ASSERT_NO_FATAL_FAILURE(runFor(RefusalTime));
    ASSERT_NO_FATAL_FAILURE(propose(configuration(1)));
    for (const schema::Member &member : replica(*leader()).core().membership().members())
        EXPECT_NE(member.incarnation(), 0U) << member.id();
    node(wiped).disk.setRefusing(false);
    EXPECT_TRUE(runUntil([&] { return hasVote(wiped); }));
    EXPECT_TRUE(runUntil([this] { return haveSameRecords() && haveSameState(); }));
}

} // namespace
} // namespace basilgap::control
