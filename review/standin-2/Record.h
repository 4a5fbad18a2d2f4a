#pragma once

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

namespace review {

// Milliseconds since the program started, on the steady clock.
int64_t nowMs();
// Unix milliseconds.
int64_t unixMs();
void sleepMs(int64_t ms);

// The record of a case: one line for each thing sent, answered or run. Safe to use from any thread.
class Record
{
public:
    explicit Record(const std::string &file)
        : out_(file, std::ios::trunc)
    {}

    void add(const std::string &line);

private:
    std::mutex mutex_;
    std::ofstream out_;
};

} // namespace review
