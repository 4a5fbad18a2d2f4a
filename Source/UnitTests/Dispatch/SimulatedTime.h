#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

#include "Basilgap/Common/Millis.h"

namespace basilgap::dispatch {

// A clock and a queue of events, with random numbers that depend on the seed alone.
class SimulatedTime
{
public:
    explicit SimulatedTime(uint64_t seed)
        : random_(seed)
    {}

    Millis now() const { return now_; }

    void after(Millis delay, std::function<void()> event)
    {
        events_.emplace(std::pair(now_ + delay, nextEvent_++), std::move(event));
    }

    void runUntil(Millis end)
    {
        while (!events_.empty() && events_.begin()->first.first <= end) {
            auto event = events_.extract(events_.begin());
            now_ = event.key().first;
            event.mapped()();
        }
        now_ = end;
    }

    int64_t between(int64_t low, int64_t high)
    {
        return low + static_cast<int64_t>(random_() % static_cast<uint64_t>(high - low + 1));
    }
    Millis millisBetween(int64_t low, int64_t high) { return Millis(between(low, high)); }
    bool chance(int64_t percent) { return between(0, 99) < percent; }

private:
    std::mt19937_64 random_;
    Millis now_{ 100000 };
    std::map<std::pair<Millis, uint64_t>, std::function<void()>> events_;
    uint64_t nextEvent_ = 0;
};

} // namespace basilgap::dispatch
