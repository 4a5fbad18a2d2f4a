#include <csignal>
#include <thread>

#include "FailureTests/PartitionProxy.h"
#include "FailureTests/TestCell.h"

namespace basilgap::failuretests {

namespace {

class ConfigurationFailure : public CellTest
{
protected:
    int64_t versionAt(const LocalCell::Host &host) const
    {
        return standins::jsonNumber(
            cell_->admin(host, "GET", "/v1/status").response.body, "version");
    }

    bool everyEntryHas(uint64_t version) const
    {
        for (const auto &host : cell_->entries()) {
            if (versionAt(host) != static_cast<int64_t>(version))
                return false;
        }
        return true;
    }
};

} // namespace

TEST_F(ConfigurationFailure, survivesAKilledLeaderAndNeverReverts)
{
    startCell({ .controls = 3, .entries = 2 });
    for (int round = 0; round < 3; round++) {
        ASSERT_EQ(cell_->applyNext().response.status, 200);
        const int leader = cell_->waitForLeader(DefaultTimeout);
        ASSERT_GE(leader, 0);
        cell_->controls()[static_cast<size_t>(leader)].process.kill();
        ASSERT_GE(cell_->waitForLeader(DefaultTimeout), 0);
        EXPECT_TRUE(everyEntryHas(cell_->version()));
        ASSERT_EQ(cell_->applyNext().response.status, 200);
        EXPECT_TRUE(everyEntryHas(cell_->version()));
        cell_->startControl(static_cast<size_t>(leader));
        const auto &host = cell_->controls()[static_cast<size_t>(leader)];
        EXPECT_TRUE(waitUntil(DefaultTimeout,
            [&] { return versionAt(host) == static_cast<int64_t>(cell_->version()); }));
    }
}

TEST_F(ConfigurationFailure, replicaCatchesUpAfterFiveHundredChanges)
{
    startCell({ .controls = 3, .entries = 1, .controlExtra = "snapshotBytes: 65536\n" });
    const size_t stopped = (static_cast<size_t>(cell_->waitForLeader(DefaultTimeout)) + 1) % 3;
    cell_->controls()[stopped].process.kill();
    for (int i = 0; i < 500; i++)
        ASSERT_EQ(cell_->applyNext(false).response.status, 200);
    cell_->startControl(stopped);
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        return versionAt(cell_->controls()[stopped]) == static_cast<int64_t>(cell_->version());
    }));
    // The replica counts towards the quorum again: without the third one, it is needed.
    const size_t third = 3 - stopped - static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    cell_->controls()[third].process.kill();
    EXPECT_EQ(cell_->applyNext().response.status, 200);
}

TEST_F(ConfigurationFailure, concurrentFilesWithOneVersionHaveOneWinner)
{
    startCell({ .controls = 3, .entries = 2 });
    for (uint64_t version = 2; version < 8; version++) {
        const std::string one = cell_->cellFile(version);
        std::string other = one;
        other.replace(other.find("share: 2"), 8, "share: 7");
        network::ExchangeResult answers[2];
        std::thread first(
            [&] { answers[0] = cell_->admin(cell_->entries()[0], "PUT", "/v1/cell", one); });
        std::thread second(
            [&] { answers[1] = cell_->admin(cell_->entries()[1], "PUT", "/v1/cell", other); });
        first.join();
        second.join();
        const bool firstWon = answers[0].response.status == 200;
        const auto &won = answers[firstWon ? 0 : 1].response;
        const auto &lost = answers[firstWon ? 1 : 0].response;
        EXPECT_EQ(won.status, 200);
        EXPECT_EQ(lost.status, 409);
        EXPECT_EQ(jsonText(lost.body, "winner"), jsonText(won.body, "hash"));
        for (const auto &host : cell_->entries())
            EXPECT_EQ(jsonText(cell_->admin(host, "GET", "/v1/status").response.body, "hash"),
                jsonText(won.body, "hash"));
    }
}

TEST_F(ConfigurationFailure, resendsAndStaleFilesChangeNothing)
{
    startCell({ .controls = 1, .entries = 1 });
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    const std::string current = cell_->cellFile(2);
    EXPECT_EQ(cell_->admin(cell_->entries()[0], "PUT", "/v1/cell", current).response.status, 200);
    const std::string old = cell_->cellFile(1);
    EXPECT_EQ(cell_->admin(cell_->entries()[0], "PUT", "/v1/cell", old).response.status, 409);
    const std::string bad = "version: 3\nzones: [z1]\nteams: [{name: a, share: -1}]\n";
    const auto refused = cell_->admin(cell_->entries()[0], "PUT", "/v1/cell", bad);
    EXPECT_EQ(refused.response.status, 422);
    EXPECT_NE(refused.response.body.find("line 3: teams[0].share"), std::string::npos);
    EXPECT_EQ(cell_->zone("z9", "out", "unknown-zone").response.status, 404);
    EXPECT_TRUE(everyEntryHas(2));
    ASSERT_EQ(cell_->zone("z1", "out", "one").response.status, 200);
    ASSERT_EQ(cell_->zone("z1", "in", "two").response.status, 200);
    ASSERT_EQ(cell_->zone("z1", "out", "one").response.status, 200);
    const auto status = cell_->admin(cell_->entries()[0], "GET", "/v1/status");
    EXPECT_EQ(status.response.body.find("\"z1\""), std::string::npos) << status.response.body;
}

TEST_F(ConfigurationFailure, revokedKeyIsRejectedByAPartitionedEntry)
{
    PartitionProxy proxy;
    startCell({ .controls = 3,
        .entries = 2,
        .route = [&](const auto &from, const auto &to, const auto &address) {
            return proxy.addRoute(from, to, address);
        } });
    BackendProcess backend(*cell_, "b1");
    ASSERT_NO_FATAL_FAILURE(waitUntilServing(1));
    proxy.isolate("e2", true);
    cell_->setKeyGranted("ghat", false);
    const Millis applied = steadyNow();
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    // The answer means that the file is in force everywhere, also at the partitioned entry.
    EXPECT_LE(steadyNow() - applied, MaxInForceDelay);
    const auto answer =
        cell_->call(1, "ghat", "GET", "/desk/after", "", { { "Basilgap-Timeout-Ms", "300" } });
    EXPECT_NE(answer.response.status, 200);
    EXPECT_EQ(outcomeOf(answer), "not-run");
    proxy.isolate("e2", false);
    EXPECT_TRUE(waitUntil(DefaultTimeout,
        [&] { return cell_->call(1, "ghat", "GET", "/desk/after").response.status == 401; }));
}

TEST_F(ConfigurationFailure, revokedKeyIsRejectedByASuspendedEntry)
{
    startCell({ .controls = 3, .entries = 2 });
    BackendProcess backend(*cell_, "b1");
    ASSERT_NO_FATAL_FAILURE(waitUntilServing(1));
    cell_->entries()[1].process.signal(SIGSTOP);
    // The request waits in the listening socket of the suspended entry.
    network::ExchangeResult answer;
    std::thread caller([&] {
        answer = cell_->call(1, "ghat", "POST", "/desk/frozen", "", { { "X-Fake-Id", "frozen" } });
    });
    cell_->setKeyGranted("ghat", false);
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    cell_->entries()[1].process.signal(SIGCONT);
    caller.join();
    EXPECT_NE(answer.response.status, 200);
    EXPECT_EQ(backend.runsOf("frozen"), -1);
}

TEST_F(ConfigurationFailure, partitionedLeaderConfirmsNothing)
{
    PartitionProxy proxy;
    startCell({ .controls = 3,
        .entries = 2,
        .route = [&](const auto &from, const auto &to, const auto &address) {
            return proxy.addRoute(from, to, address);
        } });
    BackendProcess backend(*cell_, "b1");
    ASSERT_NO_FATAL_FAILURE(waitUntilServing(1));
    const auto old = static_cast<size_t>(cell_->waitForLeader(DefaultTimeout));
    const std::string oldId = cell_->controls()[old].id;
    // The old leader is connected to entry e2 only.
    proxy.isolate(oldId, true);
    proxy.setBlocked("e2", oldId, false);
    for (const auto &host : cell_->controls())
        proxy.setBlocked("e2", host.id, host.id != oldId);
    cell_->setKeyGranted("ghat", false);
    const Millis applied = steadyNow();
    ASSERT_EQ(cell_->applyNext().response.status, 200);
    EXPECT_LE(steadyNow() - applied, MaxInForceDelay + Millis(2000)) << "with the election";
    const auto answer =
        cell_->call(1, "ghat", "GET", "/desk/after", "", { { "Basilgap-Timeout-Ms", "300" } });
    EXPECT_NE(answer.response.status, 200);
}

} // namespace basilgap::failuretests
