#include "Basilgap/Dispatch/RelayPolicy.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis Window{ 1000 };

// An exchange costs the leader about 0.15 ms of processor time, so that 1,800 a second take two
// thirds of a host of 0.4 core. Below that, calls are made directly: a relay is one more process
// whose failure leaves calls unanswered.
constexpr double UpperRate = 1800;

// Half the upper rate, so that a load near one of them does not switch to and fro.
constexpr double LowerRate = 900;

// Longer than the pause between two bursts of submissions.
constexpr Millis QuietPeriod{ 5000 };

} // namespace

RelayPolicy::RelayPolicy(RelayMode mode)
    : mode_(mode)
    , usesRelays_(mode == RelayMode::Always)
{}

bool RelayPolicy::update(Millis now, uint64_t calls)
{
    measure({ now, calls });
    if (mode_ != RelayMode::ByLoad || !callsPerSecond_)
        return false;
    const bool before = usesRelays_;
    usesRelays_ = decide(now);
    return usesRelays_ != before;
}

// Keeps the samples of the last second and the newest one before it.
void RelayPolicy::measure(const Sample &sample)
{
    samples_.push_back(sample);
    while (samples_.size() > 2 && sample.at - samples_[1].at >= Window)
        samples_.pop_front();
    const Sample &first = samples_.front();
    if (sample.at - first.at < Window)
        return;
    const auto calls = static_cast<double>(sample.calls - first.calls);
    const auto elapsedMs = static_cast<double>((sample.at - first.at).count());
    callsPerSecond_ = calls * 1000 / elapsedMs;
}

bool RelayPolicy::decide(Millis now)
{
    if (!usesRelays_) {
        quietSince_.reset();
        return *callsPerSecond_ > UpperRate;
    }
    if (*callsPerSecond_ >= LowerRate) {
        quietSince_.reset();
        return true;
    }
    if (!quietSince_)
        quietSince_ = now;
    return now - *quietSince_ < QuietPeriod;
}

} // namespace basilgap::dispatch
