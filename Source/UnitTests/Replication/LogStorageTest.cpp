#include <algorithm>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <utility>

#include <fcntl.h>
#include <sys/stat.h>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Basilgap/Replication/LogStorage.h"
#include "Basilgap/Replication/RecordFrame.h"
#include "StandIns/DescriptorShortage.h"
#include "StandIns/LocalCell.h"

namespace basilgap::replication {

namespace {

// Fails operations on demand.
class FakeDisk : public DiskCalls
{
public:
    int open(const std::string &path, int flags) override
    {
        if (full && (flags & O_CREAT) != 0 && !std::filesystem::exists(path))
            return failWith(ENOSPC);
        return DiskCalls::open(path, flags);
    }

    ssize_t write(int file, const char *data, size_t length) override
    {
        if (full && writableBytes == 0)
            return failWith(ENOSPC);
        if (!full)
            return DiskCalls::write(file, data, length);
        const size_t part = std::min(length, std::exchange(writableBytes, 0));
        return DiskCalls::write(file, data, part);
    }

    int truncate(int file, uint64_t length) override
    {
        return truncateError != 0 ? failWith(truncateError) : DiskCalls::truncate(file, length);
    }

    int rename(const std::string &from, const std::string &to) override
    {
        return renameError != 0 ? failWith(renameError) : DiskCalls::rename(from, to);
    }

    int sync(int file) override
    {
        if (syncFails)
            return failWith(EIO);
        return syncError != 0 ? failWith(syncError) : DiskCalls::sync(file);
    }

    int syncFolder(int folder) override
    {
        if (folderSyncError != 0 && folderSyncsBeforeError-- <= 0)
            return failWith(folderSyncError);
        return DiskCalls::syncFolder(folder);
    }

    // Neither creates files nor writes.
    bool full = false;
    // Written by the next write to the full disk.
    size_t writableBytes = 0;
    bool syncFails = false;
    // Numbers of system errors; 0 for none.
    int syncError = 0;
    int folderSyncError = 0;
    int folderSyncsBeforeError = 0;
    int renameError = 0;
    int truncateError = 0;

private:
    static int failWith(int number)
    {
        errno = number;
        return -1;
    }
};

class LogStorageTest : public testing::Test
{
protected:
    void TearDown() override { std::filesystem::remove_all(folder_); }

    Result<std::unique_ptr<LogStorage>> open()
    {
        return LogStorage::open({ .folder = folder_, .replica = ReplicaId("r1"), .calls = &disk_ });
    }

    // The last index of the log in the folder, which no storage may have open.
    uint64_t lastIndexOnDisk()
    {
        auto storage = open();
        EXPECT_TRUE(storage.has_value());
        return storage ? (*storage)->takePersistentState().log.lastIndex().value() : 0;
    }

    static RaftOutput vote(uint64_t term)
    {
        RaftOutput output;
        output.hardState.emplace().set_term(term);
        return output;
    }

    static void expectFull(const Result<void> &result)
    {
        ASSERT_FALSE(result.has_value());
        EXPECT_EQ(result.error().code, ErrorCode::Full) << result.error().text();
    }

    static RaftOutput outputWithRecords(uint64_t from, uint64_t to)
    {
        RaftOutput output;
        for (uint64_t index = from; index <= to; index++) {
            schema::LogRecord record;
            record.set_index(index);
            record.set_term(1);
            record.set_data("record " + std::to_string(index));
            output.append.push_back(std::move(record));
        }
        return output;
    }

    static schema::Snapshot snapshotAt(uint64_t index)
    {
        schema::Snapshot snapshot;
        snapshot.mutable_meta()->set_index(index);
        snapshot.mutable_meta()->set_term(1);
        snapshot.set_state("state");
        return snapshot;
    }

    std::string logPath() const { return folder_ + "/log"; }

    void flipByte(uint64_t offset) const
    {
        std::fstream file(logPath(), std::ios::in | std::ios::out | std::ios::binary);
        file.seekg(static_cast<long>(offset));
        const char byte = static_cast<char>(file.get());
        file.seekp(static_cast<long>(offset));
        file.put(static_cast<char>(byte ^ 0x40));
    }

    std::string folder_ = standins::makeFolder("basilgap-storage");
    FakeDisk disk_;
};

} // namespace

TEST_F(LogStorageTest, keepsRecordsAndHardState)
{
    {
        auto storage = open();
        RaftOutput output = outputWithRecords(1, 10);
        output.hardState.emplace();
        output.hardState->set_term(4);
        output.hardState->set_voted_for("r2");
        ASSERT_TRUE((*storage)->write(output).has_value());
    }
    auto storage = open();
    RaftPersistentState persistentState = (*storage)->takePersistentState();
    EXPECT_EQ(persistentState.log.lastIndex(), LogIndex(10));
    EXPECT_EQ(persistentState.log.at(LogIndex(7)).data(), "record 7");
    EXPECT_EQ(persistentState.hardState.term(), 4U);
    EXPECT_EQ(persistentState.hardState.voted_for(), "r2");
}

TEST_F(LogStorageTest, truncatesATornTailAtEveryLength)
{
    uint64_t nineRecordsLength = 0;
    {
        auto storage = open();
        ASSERT_TRUE((*storage)->write(outputWithRecords(1, 9)).has_value());
        nineRecordsLength = (*storage)->logBytes();
        ASSERT_TRUE((*storage)->write(outputWithRecords(10, 10)).has_value());
    }
    const uint64_t whole = std::filesystem::file_size(logPath());
    for (uint64_t length = whole - 1; length > nineRecordsLength; length--) {
        std::filesystem::resize_file(logPath(), length);
        auto storage = open();
        ASSERT_TRUE(storage.has_value()) << storage.error().text();
        EXPECT_EQ((*storage)->takePersistentState().log.lastIndex(), LogIndex(9));
        EXPECT_EQ((*storage)->tornBytes(), length - nineRecordsLength);
        storage->reset();
        std::filesystem::resize_file(logPath(), nineRecordsLength);
        auto again = open();
        ASSERT_TRUE((*again)->write(outputWithRecords(10, 10)).has_value());
    }
}

TEST_F(LogStorageTest, reportsFileAndOffsetOfADamagedRecord)
{
    uint64_t firstRecord = 0;
    {
        auto storage = open();
        firstRecord = (*storage)->logBytes();
        ASSERT_TRUE((*storage)->write(outputWithRecords(1, 5)).has_value());
        ASSERT_TRUE((*storage)->write(outputWithRecords(6, 10)).has_value());
    }
    for (const uint64_t offsetInRecord : { 0U, 5U, 9U, 20U }) {
        flipByte(firstRecord + offsetInRecord);
        auto storage = open();
        ASSERT_FALSE(storage.has_value());
        EXPECT_EQ(storage.error().code, ErrorCode::Damaged);
        EXPECT_EQ(storage.error().peer, logPath());
        EXPECT_NE(storage.error().message.find(std::to_string(firstRecord)), std::string::npos);
        flipByte(firstRecord + offsetInRecord);
    }
    EXPECT_TRUE(open().has_value());
}

TEST_F(LogStorageTest, writeToAFullDiskKeepsNothingAndCanBeRetried)
{
    auto storage = open();
    ASSERT_TRUE((*storage)->write(outputWithRecords(1, 3)).has_value());
    disk_.full = true;
    const auto refused = (*storage)->write(outputWithRecords(4, 6));
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, ErrorCode::Full);
    disk_.full = false;
    ASSERT_TRUE((*storage)->write(outputWithRecords(4, 6)).has_value());
    storage->reset();
    EXPECT_EQ((*open())->takePersistentState().log.lastIndex(), LogIndex(6));
}

// An open file kept the name of the spare file that it once was, so that a log that had filled its
// disk was reported as a spare file until the process restarted.
TEST_F(LogStorageTest, writeErrorNamesTheLogBeforeAndAfterARestart)
{
    auto storage = open();
    for (const uint64_t index : { 1U, 2U }) {
        ASSERT_TRUE((*storage)->write(outputWithRecords(index, index)).has_value());
        disk_.full = true;
        const auto refused = (*storage)->write(outputWithRecords(index + 1, index + 1));
        disk_.full = false;
        ASSERT_FALSE(refused.has_value());
        EXPECT_EQ(refused.error().peer, logPath());
        storage->reset();
        storage = open();
    }
}

TEST_F(LogStorageTest, failedSyncIsNotReportedAsAFullDisk)
{
    auto storage = open();
    disk_.syncFails = true;
    const auto failed = (*storage)->write(outputWithRecords(1, 1));
    ASSERT_FALSE(failed.has_value());
    EXPECT_EQ(failed.error().code, ErrorCode::Io);
    EXPECT_EQ(failed.error().step, "sync");
}

// A process without a free descriptor writes records, its vote and snapshots with those that it
// opened at start.
TEST_F(LogStorageTest, shortageOfDescriptorsDoesNotStopTheStorage)
{
    auto storage = open();
    ASSERT_TRUE((*storage)->write(outputWithRecords(1, 20)).has_value());
    {
        const standins::DescriptorShortage shortage;
        ASSERT_TRUE((*storage)->write(outputWithRecords(21, 22)).has_value());
        RaftOutput vote;
        vote.hardState.emplace().set_term(7);
        ASSERT_TRUE((*storage)->write(vote).has_value());
        ASSERT_TRUE((*storage)->saveSnapshot(snapshotAt(15), LogIndex(10)).has_value());
        ASSERT_TRUE((*storage)->write(outputWithRecords(23, 24)).has_value());
    }
    storage->reset();
    RaftPersistentState persistentState = (*open())->takePersistentState();
    EXPECT_EQ(persistentState.hardState.term(), 7U);
    EXPECT_EQ(persistentState.snapshotMeta.index(), 15U);
    EXPECT_EQ(persistentState.log.baseIndex(), LogIndex(10));
    EXPECT_EQ(persistentState.log.lastIndex(), LogIndex(24));
}

// Guards against a start that fails on a full disk: spare files were created anew at each start,
// after those that were there had been removed.
TEST_F(LogStorageTest, existingFolderIsOpenedOnADiskThatRefusesEverything)
{
    ASSERT_TRUE((*open())->write(outputWithRecords(1, 3)).has_value());
    disk_.full = true;
    auto storage = open();
    ASSERT_TRUE(storage.has_value()) << storage.error().text();
    EXPECT_EQ((*storage)->takePersistentState().log.lastIndex(), LogIndex(3));
    expectFull((*storage)->write(outputWithRecords(4, 5)));
    expectFull((*storage)->write(vote(2)));
    expectFull((*storage)->saveSnapshot(snapshotAt(2), LogIndex(2)));
    disk_.full = false;
    EXPECT_TRUE((*storage)->write(outputWithRecords(4, 5)).has_value());
    EXPECT_TRUE((*storage)->write(vote(2)).has_value());
    EXPECT_TRUE((*storage)->saveSnapshot(snapshotAt(2), LogIndex(2)).has_value());
    storage->reset();
    EXPECT_EQ(lastIndexOnDisk(), 5U);
}

TEST_F(LogStorageTest, missingSpareFilesAreCreatedOnceThereIsSpace)
{
    ASSERT_TRUE((*open())->write(outputWithRecords(1, 3)).has_value());
    for (const char *name : { "/spare0", "/spare1", "/spare2", "/reserve" })
        std::filesystem::remove(folder_ + name);
    disk_.full = true;
    auto storage = open();
    ASSERT_TRUE(storage.has_value()) << storage.error().text();
    expectFull((*storage)->write(vote(2)));
    disk_.full = false;
    EXPECT_TRUE((*storage)->write(vote(2)).has_value());
    for (const char *name : { "/spare0", "/spare1", "/spare2" })
        EXPECT_TRUE(std::filesystem::exists(folder_ + name)) << name;
}

TEST_F(LogStorageTest, newFolderIsOpenedOnceThereIsSpace)
{
    disk_.full = true;
    for (int i = 0; i < 2; i++) {
        const auto refused = open();
        ASSERT_FALSE(refused.has_value());
        EXPECT_TRUE(isTransient(refused.error())) << refused.error().text();
    }
    disk_.full = false;
    const auto storage = open();
    ASSERT_TRUE(storage.has_value());
    EXPECT_NE((*storage)->incarnation(), Incarnation());
}

// Guards against a process that ends because a sync finds no space, as on file systems that
// allocate late. What was to be synced is in an unknown state and must not count as written.
TEST_F(LogStorageTest, recordsWhoseSyncFindsNoSpaceAreRemoved)
{
    for (const int number : { ENOSPC, EDQUOT }) {
        auto storage = open();
        const uint64_t last = (*storage)->takePersistentState().log.lastIndex().value();
        ASSERT_TRUE((*storage)->write(outputWithRecords(last + 1, last + 3)).has_value());
        disk_.syncError = number;
        expectFull((*storage)->write(outputWithRecords(last + 4, last + 6)));
        disk_.syncError = 0;
        storage->reset();
        EXPECT_EQ(lastIndexOnDisk(), last + 3);
        ASSERT_TRUE((*open())->write(outputWithRecords(last + 4, last + 4)).has_value());
    }
}

// Guards against records that are taken for durable: a process that was killed had written them,
// the sync of the next start failed, and a later sync of the same file reports no error.
TEST_F(LogStorageTest, logWhoseSyncAtTheStartFindsNoSpaceIsWrittenAnew)
{
    ASSERT_TRUE((*open())->write(outputWithRecords(1, 3)).has_value());
    disk_.syncError = ENOSPC;
    const auto refused = open();
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, ErrorCode::Full);
    disk_.syncError = 0;
    struct stat before = {};
    ASSERT_EQ(::stat(logPath().c_str(), &before), 0);
    auto storage = LogStorage::open(
        { .folder = folder_, .replica = ReplicaId("r1"), .calls = &disk_, .mustRewriteLog = true });
    ASSERT_TRUE(storage.has_value());
    EXPECT_EQ((*storage)->takePersistentState().log.lastIndex(), LogIndex(3));
    struct stat after = {};
    ASSERT_EQ(::stat(logPath().c_str(), &after), 0);
    EXPECT_NE(before.st_ino, after.st_ino);
    ASSERT_TRUE((*storage)->write(outputWithRecords(4, 4)).has_value());
    storage->reset();
    EXPECT_EQ(lastIndexOnDisk(), 4U);
}

// Guards against a vote that is sent and lost in a power cut: its file had its name, and the folder
// was not synced.
TEST_F(LogStorageTest, voteCountsOnceTheFolderIsSynced)
{
    auto storage = open();
    disk_.folderSyncError = ENOSPC;
    expectFull((*storage)->write(vote(2)));
    expectFull((*storage)->write(outputWithRecords(1, 1)));
    storage->reset();
    const auto refused = open();
    ASSERT_FALSE(refused.has_value());
    EXPECT_EQ(refused.error().code, ErrorCode::Full);
    disk_.folderSyncError = 0;
    storage = open();
    ASSERT_TRUE(storage.has_value());
    EXPECT_TRUE((*storage)->write(outputWithRecords(1, 1)).has_value());
}

// Guards against records that are written to the file that the shortened log has replaced.
TEST_F(LogStorageTest, recordsFollowAShortenedLogWhoseNameWasNotSynced)
{
    auto storage = open();
    ASSERT_TRUE((*storage)->write(outputWithRecords(1, 9)).has_value());
    disk_.folderSyncError = ENOSPC;
    disk_.folderSyncsBeforeError = 1;
    expectFull((*storage)->saveSnapshot(snapshotAt(5), LogIndex(5)));
    expectFull((*storage)->write(outputWithRecords(10, 10)));
    disk_.folderSyncError = 0;
    ASSERT_TRUE((*storage)->write(outputWithRecords(10, 10)).has_value());
    storage->reset();
    EXPECT_EQ(lastIndexOnDisk(), 10U);
}

TEST_F(LogStorageTest, renameThatFindsNoSpaceReplacesNothing)
{
    auto storage = open();
    ASSERT_TRUE((*storage)->write(vote(2)).has_value());
    disk_.renameError = EDQUOT;
    expectFull((*storage)->write(vote(3)));
    disk_.renameError = 0;
    storage->reset();
    storage = open();
    EXPECT_EQ((*storage)->takePersistentState().hardState.term(), 2U);
    EXPECT_TRUE((*storage)->write(vote(3)).has_value());
}

// Guards against the remains of a failed write behind the records that were written after it: a
// file system that copies on write may find no space for a truncation either.
TEST_F(LogStorageTest, remainsOfAFailedWriteAreRemovedBeforeTheNextOne)
{
    auto storage = open();
    ASSERT_TRUE((*storage)->write(outputWithRecords(1, 3)).has_value());
    disk_.full = true;
    disk_.writableBytes = 100;
    disk_.truncateError = ENOSPC;
    expectFull((*storage)->write(outputWithRecords(4, 13)));
    expectFull((*storage)->write(outputWithRecords(4, 4)));
    disk_.full = false;
    disk_.truncateError = 0;
    ASSERT_TRUE((*storage)->write(outputWithRecords(4, 4)).has_value());
    storage->reset();
    EXPECT_EQ(lastIndexOnDisk(), 4U);
}

TEST_F(LogStorageTest, shortageOfDescriptorsIsTransient)
{
    const standins::DescriptorShortage shortage;
    const auto refused = DataFolder::open(folder_, disk_);
    ASSERT_FALSE(refused.has_value());
    EXPECT_TRUE(isTransient(refused.error()));
}

TEST_F(LogStorageTest, onlyOneProcessOpensTheFolder)
{
    auto storage = open();
    const auto second = open();
    ASSERT_FALSE(second.has_value());
    EXPECT_EQ(second.error().code, ErrorCode::Conflict);
}

TEST_F(LogStorageTest, folderOfAnotherReplicaIsRefused)
{
    open();
    const auto other =
        LogStorage::open({ .folder = folder_, .replica = ReplicaId("r2"), .calls = &disk_ });
    EXPECT_FALSE(other.has_value());
}

TEST_F(LogStorageTest, logContinuesAfterASnapshotOfRecordsThatWereNotWritten)
{
    {
        auto storage = open();
        ASSERT_TRUE((*storage)->write(outputWithRecords(1, 10)).has_value());
        ASSERT_TRUE((*storage)->saveSnapshot(snapshotAt(15), LogIndex(15)).has_value());
        ASSERT_TRUE((*storage)->write(outputWithRecords(16, 17)).has_value());
    }
    RaftPersistentState persistentState = (*open())->takePersistentState();
    EXPECT_EQ(persistentState.snapshotMeta.index(), 15U);
    EXPECT_EQ(persistentState.log.baseIndex(), LogIndex(15));
    EXPECT_EQ(persistentState.log.lastIndex(), LogIndex(17));
}

TEST_F(LogStorageTest, snapshotDropsRecordsAndIsRestored)
{
    {
        auto storage = open();
        ASSERT_TRUE((*storage)->write(outputWithRecords(1, 20)).has_value());
        ASSERT_TRUE((*storage)->saveSnapshot(snapshotAt(15), LogIndex(10)).has_value());
        ASSERT_TRUE((*storage)->write(outputWithRecords(21, 22)).has_value());
    }
    RaftPersistentState persistentState = (*open())->takePersistentState();
    EXPECT_EQ(persistentState.snapshotMeta.index(), 15U);
    EXPECT_EQ(*persistentState.snapshotState, "state");
    EXPECT_EQ(persistentState.log.baseIndex(), LogIndex(10));
    EXPECT_EQ(persistentState.log.lastIndex(), LogIndex(22));
}

RC_GTEST_PROP(RecordFrameProperty, neverReadsPastTheEnd, (const std::string &bytes))
{
    for (size_t offset = 0; offset <= bytes.size(); offset++) {
        const Frame frame = readFrame(bytes, offset);
        RC_ASSERT(frame.content.size() <= bytes.size());
    }
}

RC_GTEST_PROP(RecordFrameProperty, detectsEveryFlippedBit, (const std::string &content))
{
    std::string framed;
    appendFrame(&framed, content);
    const size_t bit = *rc::gen::inRange<size_t>(0, framed.size() * 8);
    framed[bit / 8] = static_cast<char>(framed[bit / 8] ^ (1 << (bit % 8)));
    RC_ASSERT(readFrame(framed, 0).state != FrameState::Complete);
}

} // namespace basilgap::replication
