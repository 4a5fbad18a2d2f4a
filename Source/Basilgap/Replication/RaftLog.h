#pragma once

#include <deque>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Replication.pb.h"

namespace basilgap::replication {

// The records in memory: a window that starts after `base`, whose records were compacted away.
class RaftLog
{
public:
    RaftLog() = default;
    RaftLog(LogIndex baseIndex, Term baseTerm, std::vector<schema::LogRecord> records);

    LogIndex baseIndex() const { return LogIndex(baseIndex_); }
    LogIndex lastIndex() const { return LogIndex(baseIndex_ + records_.size()); }
    Term lastTerm() const { return termAt(lastIndex()); }

    // Term of a record, or of the base; term 0 when the index lies outside the window.
    Term termAt(LogIndex index) const;
    bool holds(LogIndex index) const;
    const schema::LogRecord &at(LogIndex index) const;

    void append(schema::LogRecord record);
    // Drops the record at index and all after it.
    void truncateFrom(LogIndex index);
    // Drops all records up to and including index.
    void compactTo(LogIndex index);
    // Empties the window so that it starts after the given record.
    void reset(LogIndex baseIndex, Term baseTerm);

    size_t size() const { return records_.size(); }

private:
    uint64_t baseIndex_ = 0;
    uint64_t baseTerm_ = 0;
    std::deque<schema::LogRecord> records_;
};

} // namespace basilgap::replication
