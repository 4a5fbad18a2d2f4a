#pragma once

#include <map>
#include <string>

#include "Basilgap/Common/Millis.h"

namespace basilgap::dispatch {

// Tells whether an incarnation of a worker may have been removed from the replicated state so
// recently that calls which were meant for it still matter to a later one.
class ForgottenWorkers
{
public:
    struct Options
    {
        // How long calls that were meant for a removed incarnation matter.
        Millis retention;
        // When this leader's term began.
        Millis leaderSince;
        // Whether earlier leaders may have removed incarnations that this one doesn't know of.
        bool hasUnknown = true;
    };

    explicit ForgottenWorkers(const Options &options)
        : options_(options)
    {}

    // Called when an incarnation of the worker has been removed.
    void add(const std::string &id, Millis now) { removedAt_[id] = now; }
    bool mayContain(const std::string &id, Millis now) const;
    // Frees the entries that don't matter any more.
    void prune(Millis now);
    size_t size() const { return removedAt_.size(); }

private:
    bool isRecent(Millis at, Millis now) const { return now - at <= options_.retention; }

    Options options_;
    std::map<std::string, Millis> removedAt_;
};

} // namespace basilgap::dispatch
