#include "Record.h"

#include <cstdio>
#include <thread>

namespace review {

namespace {

const auto programStart = std::chrono::steady_clock::now();

} // namespace

int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - programStart)
        .count();
}

int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now().time_since_epoch())
        .count();
}

void sleepMs(int64_t ms)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

void Record::add(const std::string &line)
{
    const std::lock_guard lock(mutex_);
    char time[32];
    std::snprintf(time, sizeof time, "%8.3f  ", static_cast<double>(nowMs()) / 1000);
    out_ << time << line << std::endl;
}

} // namespace review
