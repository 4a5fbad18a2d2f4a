#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Ids.h"
#include "Basilgap/Replication/DataFolder.h"
#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

// The data folder of one replica: identity, hard state, snapshot and log. A lock file makes sure
// that only one process uses the folder.
class LogStorage
{
public:
    struct Options
    {
        std::string folder;
        ReplicaId replica;
        // Not owned; must outlive the storage.
        DiskCalls *calls = nullptr;
        // Disk space held in reserve besides that for the next snapshot.
        uint64_t reserveBytes = 0;
        // Set if a sync of the log may have failed before. Its records can then be read although
        // they may not be on the disk, and no later sync says so: they are written to a new file.
        bool mustRewriteLog = false;
    };

    // Opens the folder and reads its files. On a full disk this succeeds if no file of the folder
    // is missing; otherwise the error is transient. A torn record at the end of the log is
    // truncated; damage anywhere else is an error that names the file and the offset.
    static Result<std::unique_ptr<LogStorage>> open(Options options);
    ~LogStorage();
    LogStorage(const LogStorage &) = delete;
    LogStorage &operator=(const LogStorage &) = delete;

    // The state that open() read. May be called only once.
    RaftPersistentState takePersistentState() { return std::move(persistentState_); }

    // Random number drawn when the folder was first opened.
    Incarnation incarnation() const { return incarnation_; }

    // Number of bytes that open() truncated from the end of the log.
    uint64_t tornBytes() const { return tornBytes_; }

    // Makes the hard state, snapshot and records of the output durable. After a transient error
    // none of the records has been written and the call may be retried; after any other error the
    // durable state is unknown.
    Result<void> write(const RaftOutput &output);

    // Writes a snapshot and removes the log records up to and including `keepFrom`. If that is
    // beyond the end of the log, it must be the index of the snapshot, and the log continues there.
    Result<void> saveSnapshot(const schema::Snapshot &snapshot, LogIndex keepFrom);

    // Holds disk space in reserve for a snapshot somewhat larger than the newest one. Fails if the
    // disk has less; then it holds what it can. It is released for a snapshot, a vote or a
    // shortened log that finds the disk full, and not for further records.
    Result<void> restoreReserve();
    Result<void> restoreLeastReserve() { return folder_.holdReserve(leastReserve()); }
    bool hasReserve() const
    {
        return folder_.hasSpare() && folder_.reservedBytes() >= wantedReserve();
    }
    // Whether it holds what a crowded disk must have for records to be written.
    bool hasLeastReserve() const
    {
        return folder_.hasSpare() && folder_.reservedBytes() >= leastReserve();
    }
    // Fails, and leaves the reserve small, unless the disk has room for the log to grow beside it.
    Result<void> restoreReserveWithMargin();
    uint64_t reservedBytes() const { return folder_.reservedBytes(); }
    bool isReserveReleased() const
    {
        return options_.reserveBytes > 0 && folder_.reservedBytes() == 0;
    }

    uint64_t logBytes() const { return logLength_; }
    // Whether the log on the disk still has records that were discarded.
    bool hasRemains() const { return log_.hasRemains(); }
    std::vector<FileSize> fileSizes() const { return folder_.fileSizes(); }
    // Size of the records in the log up to and including the index.
    uint64_t bytesUpTo(LogIndex index) const;
    // The first record after which the log has at most that many bytes.
    LogIndex startOfLast(uint64_t maxBytes) const;

private:
    explicit LogStorage(Options options);
    Result<void> openFolder();
    Result<void> readIdentity();
    Result<void> readHardState();
    Result<void> readSnapshot();
    Result<void> readLog();
    Result<void> scanLog(const std::string &bytes, std::vector<schema::LogRecord> *records);
    Result<void> makeLogDurable(const std::string &bytes);
    Result<void> truncateTornTail(const std::string &bytes, size_t offset);
    Result<void> loadRecords(std::vector<schema::LogRecord> records);
    Result<void> writeHardState(const schema::HardState &state);
    Result<void> append(const std::vector<schema::LogRecord> &records);
    Result<void> truncateFrom(LogIndex index);
    Result<void> syncLog(LogIndex lastDurable);
    void forgetFrom(LogIndex index);
    Result<void> rewriteLog(
        LogIndex baseIndex, Term baseTerm, const std::vector<std::string> &records);
    std::string path(const char *name) const { return options_.folder + "/" + name; }
    Result<void> replaceFile(const char *name, std::string_view content);
    uint64_t wantedReserve() const
    {
        return options_.reserveBytes == 0 ? 0 : options_.reserveBytes + snapshotBytes_;
    }
    uint64_t leastReserve() const;
    uint64_t lastIndex() const { return baseIndex_ + offsets_.size(); }

    Options options_;
    int lock_ = -1;
    DataFolder folder_;
    Incarnation incarnation_;
    RaftPersistentState persistentState_;
    DiskFile log_;
    uint64_t logLength_ = 0;
    uint64_t snapshotBytes_ = 0;
    uint64_t tornBytes_ = 0;
    // Offset of each record in the log file. The first record has the index baseIndex_ + 1.
    uint64_t baseIndex_ = 0;
    uint64_t baseTerm_ = 0;
    std::deque<uint64_t> offsets_;
};

} // namespace basilgap::replication
