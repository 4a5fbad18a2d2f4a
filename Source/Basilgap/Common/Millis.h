#pragma once

#include <compare>
#include <cstdint>

namespace basilgap {

// A point in time or a duration in milliseconds. Points in time count from an arbitrary origin that
// is the same within one process.
class Millis
{
public:
    constexpr Millis() = default;
    constexpr explicit Millis(int64_t count)
        : count_(count)
    {}

    constexpr int64_t count() const { return count_; }

    constexpr auto operator<=>(const Millis &) const = default;
    constexpr Millis operator+(Millis other) const { return Millis(count_ + other.count_); }
    constexpr Millis operator-(Millis other) const { return Millis(count_ - other.count_); }
    constexpr Millis operator*(int64_t factor) const { return Millis(count_ * factor); }
    constexpr Millis operator/(int64_t divisor) const { return Millis(count_ / divisor); }
    constexpr Millis &operator+=(Millis other)
    {
        count_ += other.count_;
        return *this;
    }

private:
    int64_t count_ = 0;
};

// Time since the host started, including suspended time, so that leases also expire while the host
// is suspended.
Millis steadyNow();

// Wall clock time since 1970, in UTC.
Millis wallNow();

} // namespace basilgap
