#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <sys/resource.h>

#include "FailureTests/TestCell.h"

namespace basilgap::failuretests {

namespace {

class ReplicasFailure : public CellTest
{
protected:
    LocalCell::Host &control(size_t index) { return cell_->controls()[index]; }

    std::string dumpOf(size_t index)
    {
        return cell_->admin(control(index), "GET", "/v1/state").response.body;
    }

    bool isVoter(size_t leader, const std::string &id)
    {
        const std::string dump = dumpOf(leader);
        return dump.find("{\"id\":\"" + id + "\",\"voter\":true") != std::string::npos;
    }

    std::string readLog(size_t index)
    {
        std::ifstream file(cell_->logFile(control(index).id));
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }
};

} // namespace

TEST_F(ReplicasFailure, wipedReplicaRejoinsAndFurtherLossesAreSurvived)
{
    startCell({ .controls = 5, .entries = 1 });
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    const auto leader = static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    const size_t wiped = (leader + 1) % 5;
    control(wiped).process.kill();
    std::filesystem::remove_all(control(wiped).dataFolder);
    cell_->startControl(wiped);
    // Until the leader learns of the loss, its dump still shows the replica as a voter, so the test
    // also waits for the log line of the promotion.
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] {
        const std::string promoted = "event=learner-promoted peer=" + control(wiped).id;
        return readLog(leader).find(promoted) != std::string::npos
            && isVoter(leader, control(wiped).id);
    }));
    control((leader + 2) % 5).process.kill();
    control((leader + 3) % 5).process.kill();
    EXPECT_EQ(cell_->applyNext().response.status, 200);
    EXPECT_EQ(cell_->waitForLeader(DefaultTimeout), static_cast<int>(leader));
}

TEST_F(ReplicasFailure, wipedReplicaDoesNotCountTowardsAQuorum)
{
    startCell({ .controls = 3, .entries = 1 });
    const auto leader = static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    const size_t wiped = (leader + 1) % 3;
    const size_t lagging = (leader + 2) % 3;
    control(lagging).process.kill();
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    control(leader).process.kill();
    control(wiped).process.kill();
    std::filesystem::remove_all(control(wiped).dataFolder);
    // The lagging and the wiped replica are two of three, but neither has the last file.
    cell_->startControl(wiped);
    cell_->startControl(lagging);
    EXPECT_FALSE(waitUntil(Millis(4000), [&] { return cell_->leader() >= 0; }));
    cell_->startControl(leader);
    ASSERT_GE(cell_->waitForLeader(DefaultTimeout), 0);
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        return standins::jsonNumber(
                   cell_->admin(control(lagging), "GET", "/v1/status").response.body, "version")
            == 2;
    }));
}

// Guards against an outage whose logs can't tell a missing quorum from an election that fails.
TEST_F(ReplicasFailure, replicaWithoutAQuorumLogsWhichVotersItMisses)
{
    startCell({ .controls = 3, .entries = 1 });
    control(1).process.kill();
    control(2).process.kill();
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return cell_->leader() < 0; }));
    // The host answers again, but its new incarnation has no vote.
    std::filesystem::remove_all(control(2).dataFolder);
    cell_->startControl(2);
    const std::string expected =
        "voters=3 reachable=1 missing=" + control(1).id + "," + control(2).id;
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        const std::string log = readLog(0);
        return log.find("event=no-leader") != std::string::npos
            && log.find(expected) != std::string::npos;
    })) << readLog(0);
}

TEST_F(ReplicasFailure, uninitializedReplicasBootstrapNoSecondCell)
{
    startCell({ .controls = 3, .entries = 1 });
    for (size_t i = 0; i < 3; i++)
        control(i).process.kill();
    // The replica that would bootstrap a cell and another one have lost their data, and the third,
    // which has the cell's state, is down.
    for (const size_t blank : { 0, 1 }) {
        std::filesystem::remove_all(control(blank).dataFolder);
        cell_->startControl(blank);
    }
    EXPECT_FALSE(waitUntil(Millis(4000), [&] { return cell_->leader() >= 0; }));
    const std::string log = readLog(0);
    EXPECT_EQ(log.find("event=cell-formed"), log.rfind("event=cell-formed"));
}

TEST_F(ReplicasFailure, killedReplicasKeepEveryAcknowledgedFile)
{
    startCell({ .controls = 3, .entries = 1 });
    for (int round = 0; round < 5; round++) {
        ASSERT_EQ(cell_->applyNext(false).response.status, 200);
        for (size_t i = 0; i < 3; i++)
            control(i).process.kill();
        for (size_t i = 0; i < 3; i++)
            cell_->startControl(i);
        const int leader = cell_->waitForLeader(DefaultTimeout);
        ASSERT_GE(leader, 0);
        const auto status = cell_->admin(control(static_cast<size_t>(leader)), "GET", "/v1/status");
        EXPECT_EQ(standins::jsonNumber(status.response.body, "version"),
            static_cast<int64_t>(cell_->version()));
    }
}

TEST_F(ReplicasFailure, damagedRecordFailsTheStartWithFileAndOffset)
{
    startCell({ .controls = 3, .entries = 1 });
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    const size_t damaged = (static_cast<size_t>(cell_->waitForLeader(DefaultTimeout)) + 1) % 3;
    control(damaged).process.kill();
    const std::string path = control(damaged).dataFolder + "/log";
    {
        std::fstream file(path, std::ios::in | std::ios::out | std::ios::binary);
        file.seekp(100);
        file.put('\x7f');
    }
    cell_->startControl(damaged);
    EXPECT_EQ(control(damaged).process.wait(DefaultTimeout), 1);
    const std::string log = readLog(damaged);
    EXPECT_NE(log.find("peer=" + path), std::string::npos);
    EXPECT_NE(log.find("damaged record at offset"), std::string::npos);
}

TEST_F(ReplicasFailure, leaderWithAFullDiskStepsDownAndReportsWhy)
{
    startCell({ .controls = 3, .entries = 1 });
    const auto leader = static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    const std::string program = standins::programPath("ControlDaemon/basilgap-control");
    // A file size limit simulates a full disk: the log can grow by a few kilobytes only.
    for (size_t i = 0; i < 3; i++) {
        control(i).process.kill();
        const std::string limit = i == leader ? "ulimit -f 16; " : "";
        control(i).process = standins::ChildProcess::start(
            { "/bin/bash", "-c", limit + "exec " + program + " " + control(i).settingsFile },
            cell_->logFile(control(i).id));
    }
    ASSERT_GE(cell_->waitForLeader(DefaultTimeout), 0);
    const bool full = waitUntil(Millis(60000), [&] {
        cell_->applyNext(false);
        return readLog(leader).find("event=disk-full") != std::string::npos;
    });
    ASSERT_TRUE(full);
    EXPECT_NE(dumpOf(leader).find("File too large"), std::string::npos);
    const int other = cell_->waitForLeader(DefaultTimeout);
    ASSERT_GE(other, 0);
    EXPECT_NE(other, static_cast<int>(leader));
    EXPECT_EQ(cell_->applyNext().response.status, 200);
}

// Guards against control processes that end, or do not start, while their disks take no writes. One
// of them has lost its data, and cannot store an identity.
TEST_F(ReplicasFailure, processesStartAndStayUpWhileTheirDisksTakeNoWrites)
{
    startCell({ .controls = 3, .entries = 1 });
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    const std::string program = standins::programPath("ControlDaemon/basilgap-control");
    for (size_t i = 0; i < 3; i++)
        control(i).process.kill();
    std::filesystem::remove_all(control(2).dataFolder);
    for (size_t i = 0; i < 3; i++) {
        control(i).process = standins::ChildProcess::start(
            { "/bin/bash", "-c",
                "ulimit -S -f 0; exec " + program + " " + control(i).settingsFile },
            cell_->logFile(control(i).id));
    }
    EXPECT_FALSE(waitUntil(Millis(5000), [&] { return cell_->leader() >= 0; }));
    for (size_t i = 0; i < 3; i++)
        ASSERT_TRUE(control(i).process.isRunning()) << control(i).id;
    // Of the two others, one may not have had anything to write.
    EXPECT_NE(dumpOf(2).find("File too large"), std::string::npos);
    // The disks have space again.
    const struct rlimit unlimited = { .rlim_cur = RLIM_INFINITY, .rlim_max = RLIM_INFINITY };
    for (size_t i = 0; i < 3; i++)
        ASSERT_EQ(::prlimit(control(i).process.pid(), RLIMIT_FSIZE, &unlimited, nullptr), 0);
    const int leader = cell_->waitForLeader(DefaultTimeout);
    ASSERT_GE(leader, 0);
    EXPECT_EQ(cell_->applyNext().response.status, 200);
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        const int leading = cell_->leader();
        return leading >= 0 && isVoter(static_cast<size_t>(leading), control(2).id);
    }));
}

TEST_F(ReplicasFailure, stoppedLeaderTransfersLeadership)
{
    startCell({ .controls = 3, .entries = 1 });
    const auto leader = static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    control(leader).process.signal(SIGTERM);
    EXPECT_EQ(control(leader).process.wait(DefaultTimeout), 0);
    EXPECT_NE(readLog(leader).find("event=not-leading"), std::string::npos);
    const int next = cell_->waitForLeader(Millis(2000));
    EXPECT_GE(next, 0);
}

TEST_F(ReplicasFailure, leaderInAZoneOutOfServiceTransfersLeadership)
{
    startCell({ .controls = 3, .entries = 1 });
    const auto leader = static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    ASSERT_EQ(cell_->zone(control(leader).zone, "out", "out").response.status, 200);
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        const int now = cell_->leader();
        return now >= 0 && now != static_cast<int>(leader);
    }));
}

} // namespace basilgap::failuretests
