#pragma once

#include "Basilgap/Common/StrongType.h"

namespace basilgap {

using TeamName = StrongType<struct TeamNameTag, std::string>;
using ZoneName = StrongType<struct ZoneNameTag, std::string>;
using EntryId = StrongType<struct EntryIdTag, std::string>;
using ReplicaId = StrongType<struct ReplicaIdTag, std::string>;
using BackendId = StrongType<struct BackendIdTag, std::string>;
using WorkerId = StrongType<struct WorkerIdTag, std::string>;
using PoolName = StrongType<struct PoolNameTag, std::string>;
using RackName = StrongType<struct RackNameTag, std::string>;
using JobId = StrongType<struct JobIdTag, uint64_t>;

// Distinguishes successive starts of a process, or contents of a data folder, with the same id.
using Incarnation = StrongType<struct IncarnationTag, uint64_t>;

using Term = StrongType<struct TermTag, uint64_t>;
using LogIndex = StrongType<struct LogIndexTag, uint64_t>;

// Version of the configuration in the cell state. Applied files and zone commands increment it.
using Revision = StrongType<struct RevisionTag, uint64_t>;

// One task of a job.
struct TaskId
{
    JobId job;
    uint32_t index = 0;

    auto operator<=>(const TaskId &) const = default;
};

// "j12/7" for task 7 of job 12.
std::string toText(const TaskId &task);

// Parses the format of toText(). Returns false if the text has another format.
bool parseTaskId(const std::string &text, TaskId *task);

// "j12" for job 12.
std::string toText(JobId job);
bool parseJobId(const std::string &text, JobId *job);

} // namespace basilgap

template<>
struct std::hash<basilgap::TaskId>
{
    size_t operator()(const basilgap::TaskId &task) const
    {
        return std::hash<uint64_t>()(task.job.value() * 1000003 + task.index);
    }
};
