#pragma once

#include <deque>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Replication.pb.h"

namespace basilgap::replication {

// The log records in memory. The window starts after the base index: the records up to and
// including it have been compacted away.
class RaftLog
{
public:
    RaftLog() = default;
    RaftLog(LogIndex baseIndex, Term baseTerm, std::vector<schema::LogRecord> records);

    LogIndex baseIndex() const { return LogIndex(baseIndex_); }
    LogIndex lastIndex() const { return LogIndex(baseIndex_ + records_.size()); }
    Term lastTerm() const { return termAt(lastIndex()); }

    // Term of a record or of the base index; term 0 if the index is outside the window.
    Term termAt(LogIndex index) const;
    bool holds(LogIndex index) const;
    const schema::LogRecord &at(LogIndex index) const;

    void append(schema::LogRecord record);
    // Removes the record at the index and all records after it.
    void truncateFrom(LogIndex index);
    // Removes all records up to and including the index.
    void compactTo(LogIndex index);
    // Removes all records and moves the base to the given record.
    void reset(LogIndex baseIndex, Term baseTerm);

    size_t size() const { return records_.size(); }
    // Size of the records after the index.
    uint64_t bytesAfter(LogIndex index) const;

private:
    uint64_t baseIndex_ = 0;
    uint64_t baseTerm_ = 0;
    std::deque<schema::LogRecord> records_;
    // For each record the bytes of all records up to and including it, those before the window too.
    std::deque<uint64_t> endBytes_;
    uint64_t baseBytes_ = 0;
};

} // namespace basilgap::replication
