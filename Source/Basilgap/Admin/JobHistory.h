#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilgap::admin {

// One line of a process's log, as LogEvent writes it.
struct LogLine
{
    // Unix milliseconds, by the clock of the process's host.
    int64_t timeMs = 0;
    std::string process;
    std::string event;
    // The other pairs, in their order.
    std::vector<std::pair<std::string, std::string>> fields;

    // Empty when the line has no such field.
    std::string field(const std::string &name) const;
};

// Reads a line; what stands before its time, as a collector's own mark, is passed over. Nothing for
// a line of another kind.
std::optional<LogLine> parseLogLine(const std::string &text);

// Puts together the life of one job from the logs of all processes, in any order.
class JobHistory
{
public:
    explicit JobHistory(std::string job)
        : job_(std::move(job))
    {}

    // Takes the line if it tells of the job.
    void add(const std::string &line);
    bool isEmpty() const { return lines_.empty(); }

    // A line an event with the time since the first one, and what each stage took.
    std::string text() const;

private:
    struct Step
    {
        std::optional<int64_t> firstStart;
        std::optional<int64_t> lastEnd;
        int starts = 0;
        std::map<std::string, int> ends;
        int adviceCalls = 0;
        int64_t maxAdviceMs = 0;
    };

    std::map<std::string, Step> steps() const;

    std::string job_;
    // By their time.
    std::multimap<int64_t, LogLine> lines_;
};

} // namespace basilgap::admin
