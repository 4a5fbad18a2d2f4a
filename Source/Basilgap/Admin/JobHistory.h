#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace basilgap::admin {

// A parsed log line of a process, in the format of LogEvent.
struct LogLine
{
    // Unix time in milliseconds by the clock of the host that wrote the line.
    int64_t timeMs = 0;
    std::string process;
    std::string event;
    // The other key-value pairs in their order in the line.
    std::vector<std::pair<std::string, std::string>> fields;

    // Value of a field; empty if the line has no such field.
    std::string field(const std::string &name) const;
};

// Parses a log line. Text before `time=`, such as a prefix added by a log collector, is skipped.
// Returns nothing if the line has another format.
std::optional<LogLine> parseLogLine(const std::string &text);

// Collects the events of one job from the logs of all processes. Lines may come in any order.
class JobHistory
{
public:
    explicit JobHistory(std::string job)
        : job_(std::move(job))
    {}

    // Adds the line if it belongs to the job.
    void add(const std::string &line);
    bool isEmpty() const { return lines_.empty(); }

    // One line for each event, with the time since the first event, followed by a summary of each
    // step.
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
    // Ordered by time.
    std::multimap<int64_t, LogLine> lines_;
};

} // namespace basilgap::admin
