#pragma once

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Ids.h"
#include "Basilgap/Replication/DiskFile.h"
#include "Basilgap/Replication/RaftCore.h"

namespace basilgap::replication {

// The data folder of one replica: identity, hard state, snapshot and log. One process at a time
// holds the folder.
class LogStorage
{
public:
    struct Options
    {
        std::string folder;
        ReplicaId replica;
        // Lives as long as the storage.
        DiskCalls *calls = nullptr;
    };

    // Opens the folder and reads what it holds. A torn record at the end of the log is cut off;
    // damage anywhere else is an error that names file and offset.
    static Result<std::unique_ptr<LogStorage>> open(Options options);
    ~LogStorage();
    LogStorage(const LogStorage &) = delete;
    LogStorage &operator=(const LogStorage &) = delete;

    // What open() read; may be taken once.
    RaftPersistentState takePersistentState() { return std::move(persistentState_); }

    // Drawn when the folder was first opened.
    Incarnation incarnation() const { return incarnation_; }

    // Bytes that open() cut off the end of the log.
    uint64_t tornBytes() const { return tornBytes_; }

    // Makes everything of the output durable that needs it. On Full nothing of the records is kept
    // and the call may be repeated; any other error leaves the durable state unknown.
    Result<void> write(const RaftOutput &output);

    // Writes a snapshot and drops the records up to keepFrom, that one included.
    Result<void> saveSnapshot(const schema::Snapshot &snapshot, LogIndex keepFrom);

    uint64_t logBytes() const { return logLength_; }

private:
    explicit LogStorage(Options options);
    Result<void> lockFolder();
    Result<void> readIdentity();
    Result<void> readHardState();
    Result<void> readSnapshot();
    Result<void> readLog();
    Result<void> scanLog(const std::string &bytes);
    Result<void> truncateTornTail(const std::string &bytes, size_t offset);
    Result<void> loadRecords(std::vector<schema::LogRecord> records);
    Result<void> writeHardState(const schema::HardState &state);
    Result<void> append(const std::vector<schema::LogRecord> &records);
    Result<void> truncateFrom(LogIndex index);
    Result<void> rewriteLog(
        LogIndex baseIndex, Term baseTerm, const std::vector<std::string> &records);
    std::string path(const char *name) const { return options_.folder + "/" + name; }
    uint64_t lastIndex() const { return baseIndex_ + offsets_.size(); }

    Options options_;
    int lock_ = -1;
    Incarnation incarnation_;
    RaftPersistentState persistentState_;
    DiskFile log_;
    uint64_t logLength_ = 0;
    uint64_t tornBytes_ = 0;
    // Offset of each record of the log file; the first one has the index baseIndex_ + 1.
    uint64_t baseIndex_ = 0;
    uint64_t baseTerm_ = 0;
    std::deque<uint64_t> offsets_;
};

} // namespace basilgap::replication
