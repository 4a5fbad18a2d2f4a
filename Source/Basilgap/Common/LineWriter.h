#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "Basilgap/Common/Millis.h"

namespace basilgap {

// Writes lines to a file that may be a full pipe. Never blocks and never keeps more than a bound;
// what is left out is counted and told in a line of its own.
class LineWriter
{
public:
    struct Options
    {
        int file = 1;
        // Bytes kept while the pipe is full.
        size_t maxPendingBytes = 256 * 1024;
        // Lines a second of one event.
        uint32_t linesPerSecond = 500;
    };

    explicit LineWriter(Options options);

    // Whether another line of the event may be written now.
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
