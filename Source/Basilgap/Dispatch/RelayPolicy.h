#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "Basilgap/Common/Millis.h"

namespace basilgap::dispatch {

enum class RelayMode {
    // Relays are used while the leader makes many calls to workers.
    ByLoad,
    // For tests.
    Always,
    Never,
};

// Decides from the rate of the leader's calls to workers whether they go through relays.
class RelayPolicy
{
public:
    explicit RelayPolicy(RelayMode mode = RelayMode::ByLoad);

    // Takes the number of calls made so far, relayed or not. Returns whether the decision has
    // changed. To be called several times a second.
    bool update(Millis now, uint64_t calls);

    bool usesRelays() const { return usesRelays_; }
    // Calls in the last second; absent within the first second.
    std::optional<double> callsPerSecond() const { return callsPerSecond_; }

private:
    struct Sample
    {
        Millis at;
        uint64_t calls = 0;
    };

    void measure(const Sample &sample);
    bool decide(Millis now);

    RelayMode mode_;
    bool usesRelays_;
    std::optional<double> callsPerSecond_;
    std::deque<Sample> samples_;
    // Since when so few calls have been made that relays are not needed.
    std::optional<Millis> quietSince_;
};

} // namespace basilgap::dispatch
