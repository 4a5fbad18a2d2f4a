#include "Basilgap/Common/Ids.h"

#include <charconv>

namespace basilgap {

namespace {

template<typename Number>
bool parseNumber(const char *begin, const char *end, Number *number)
{
    const auto [stop, error] = std::from_chars(begin, end, *number);
    return error == std::errc() && stop == end && begin != end;
}

} // namespace

std::string toText(JobId job)
{
    return "j" + std::to_string(job.value());
}

std::string toText(const TaskId &task)
{
    return toText(task.job) + "/" + std::to_string(task.index);
}

bool parseJobId(const std::string &text, JobId *job)
{
    if (text.empty() || text.front() != 'j')
        return false;
    uint64_t number = 0;
    if (!parseNumber(text.data() + 1, text.data() + text.size(), &number))
        return false;
    *job = JobId(number);
    return true;
}

bool parseTaskId(const std::string &text, TaskId *task)
{
    const size_t slash = text.find('/');
    if (slash == std::string::npos)
        return false;
    if (!parseJobId(text.substr(0, slash), &task->job))
        return false;
    return parseNumber(text.data() + slash + 1, text.data() + text.size(), &task->index);
}

} // namespace basilgap
