#include "Basilgap/Common/Millis.h"

#include <ctime>

namespace basilgap {

namespace {

Millis readClock(clockid_t clock)
{
    timespec time{};
    clock_gettime(clock, &time);
    return Millis(static_cast<int64_t>(time.tv_sec) * 1000 + time.tv_nsec / 1000000);
}

} // namespace

Millis steadyNow()
{
    return readClock(CLOCK_BOOTTIME);
}

Millis wallNow()
{
    return readClock(CLOCK_REALTIME);
}

} // namespace basilgap
