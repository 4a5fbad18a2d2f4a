#pragma once

#include <concepts>
#include <string>
#include <string_view>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Millis.h"

namespace basilgap {

enum class LogLevel { Info, Warning, Error };

// Sets the process name for all log lines and sends them to standard output without ever blocking.
// Lines dropped because of a full pipe or a rate limit are counted and reported.
void startEventLog(const char *program, const std::string &processId);

// One log line of key=value pairs, written when the object goes out of scope. Values with spaces,
// quotes or '=' are quoted.
class LogEvent
{
public:
    explicit LogEvent(std::string_view event, LogLevel level = LogLevel::Info);
    ~LogEvent();
    LogEvent(const LogEvent &) = delete;
    LogEvent &operator=(const LogEvent &) = delete;

    LogEvent &with(std::string_view key, std::string_view value);
    LogEvent &with(std::string_view key, const char *value);
    LogEvent &with(std::string_view key, Millis value);
    LogEvent &with(const basilgap::Error &error);

    template<std::integral Number>
    LogEvent &with(std::string_view key, Number value)
    {
        return withRaw(key, std::to_string(+value));
    }

private:
    LogEvent &withRaw(std::string_view key, std::string_view text);

    LogLevel level_;
    // A line beyond the rate limit is only counted, so its text is not made.
    bool admitted_;
    std::string line_;
};

} // namespace basilgap
