#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Basilgap/Common/Millis.h"

namespace basilgap {

// Writes lines to a file that may be a full pipe. Never blocks and buffers a limited number of
// bytes. Dropped lines are counted and reported in a line of their own.
class LineWriter
{
public:
    struct Options
    {
        int file = 1;
        // Bytes to buffer while the pipe is full.
        size_t maxPendingBytes = 256 * 1024;
        // Lines per second for each event.
        uint32_t linesPerSecond = 500;
    };

    explicit LineWriter(Options options);

    // Whether the rate limit allows another line of the event; counts the line.
    bool admit(std::string_view event, Millis now);
    void write(std::string_view line);

    uint64_t dropped() const { return dropped_; }

private:
    struct Budget
    {
        Millis startedAt;
        uint32_t lines = 0;
        uint64_t dropped = 0;
    };

    void flush();
    bool append(std::string_view line);

    Options options_;
    std::string pending_;
    std::map<std::string, Budget, std::less<>> budgets_;
    uint64_t dropped_ = 0;
    uint64_t unreportedDrops_ = 0;
};

} // namespace basilgap
