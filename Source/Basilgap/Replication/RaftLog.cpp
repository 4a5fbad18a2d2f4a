#include "Basilgap/Replication/RaftLog.h"

#include <cassert>

namespace basilgap::replication {

RaftLog::RaftLog(LogIndex baseIndex, Term baseTerm, std::vector<schema::LogRecord> records)
    : baseIndex_(baseIndex.value())
    , baseTerm_(baseTerm.value())
{
    for (schema::LogRecord &record : records)
        append(std::move(record));
}

Term RaftLog::termAt(LogIndex index) const
{
    if (index.value() == baseIndex_)
        return Term(baseTerm_);
    return holds(index) ? Term(at(index).term()) : Term();
}

bool RaftLog::holds(LogIndex index) const
{
    return index.value() > baseIndex_ && index <= lastIndex();
}

const schema::LogRecord &RaftLog::at(LogIndex index) const
{
    assert(holds(index));
    return records_[index.value() - baseIndex_ - 1];
}

void RaftLog::append(schema::LogRecord record)
{
    assert(record.index() == lastIndex().value() + 1);
    const uint64_t before = endBytes_.empty() ? baseBytes_ : endBytes_.back();
    endBytes_.push_back(before + record.ByteSizeLong());
    records_.push_back(std::move(record));
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (!records_.empty() && lastIndex() >= index) {
        records_.pop_back();
        endBytes_.pop_back();
    }
}

void RaftLog::compactTo(LogIndex index)
{
    while (!records_.empty() && baseIndex_ < index.value()) {
        baseTerm_ = records_.front().term();
        baseIndex_++;
        records_.pop_front();
        baseBytes_ = endBytes_.front();
        endBytes_.pop_front();
    }
}

void RaftLog::reset(LogIndex baseIndex, Term baseTerm)
{
    records_.clear();
    endBytes_.clear();
    baseBytes_ = 0;
    baseIndex_ = baseIndex.value();
    baseTerm_ = baseTerm.value();
}

uint64_t RaftLog::bytesAfter(LogIndex index) const
{
    if (records_.empty() || index >= lastIndex())
        return 0;
    return endBytes_.back()
        - (holds(index) ? endBytes_[index.value() - baseIndex_ - 1] : baseBytes_);
}

} // namespace basilgap::replication
