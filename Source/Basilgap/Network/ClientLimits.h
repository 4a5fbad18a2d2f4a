#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_set>

#include "Basilgap/Common/Millis.h"

namespace basilgap::network {

// Why a listener refuses a request or closes a connection.
enum class RefusalClass {
    // 413: the body or a chunk is over the limit.
    TooLarge,
    // 400 from the HTTP parser, as for a header block over the limit.
    Malformed,
    // 503: too many requests are pending.
    TooManyPending,
    // Closed: the connection holds more than any request within the limits.
    ConnectionBytes,
    // Closed: all connections together hold too much, and this one the most.
    TotalBytes,
    // Closed: a request has not arrived in time.
    SlowRequest,
    // Closed: it was idle while there was no room for another connection.
    TooManyConnections,
};

// Limits that the HTTP listeners of a process share: the bytes that their connections hold, read
// and not yet answered or waiting to be written. Counts refusals for the log and the metrics.
class ClientLimits
{
public:
    // A connection.
    class Holder
    {
    public:
        virtual ~Holder() = default;
        virtual size_t heldBytes() const = 0;
        // Closes the connection, which calls remove().
        virtual void closeFor(RefusalClass refusal) = 0;
    };

    // 0 means no limit.
    explicit ClientLimits(size_t maxBytes = 0);

    void add(Holder *holder) { holders_.insert(holder); }
    // The holder's bytes must have been taken back with update().
    void remove(Holder *holder) { holders_.erase(holder); }
    void update(size_t before, size_t after);

    size_t heldBytes() const { return heldBytes_; }
    bool isExceeded() const { return maxBytes_ != 0 && heldBytes_ > maxBytes_; }

    // Whether a holder of this many further bytes would exceed the limit, and none holds more
    // than twice as many.
    bool isGreediest(size_t bytes) const;

    // Closes connections, the greediest first, until the bytes are within the limit.
    void enforce();

    // Writes at most one log line a second for each class.
    void countRefusal(RefusalClass refusal, const std::string &listener);

    // The counters and the bytes held, in the text format of the metrics page.
    std::string metricText() const;

private:
    static constexpr size_t ClassCount = static_cast<size_t>(RefusalClass::TooManyConnections) + 1;

    struct Counter
    {
        uint64_t total = 0;
        uint64_t logged = 0;
        Millis loggedAt{ 0 };
    };

    size_t maxBytes_;
    size_t heldBytes_ = 0;
    std::unordered_set<Holder *> holders_;
    std::array<Counter, ClassCount> counters_;
};

// A sixth of the memory that this process may use: the least of `hostBytes` (0: not known), the
// machine's memory and the process's limits.
size_t defaultHeldBytes(size_t hostBytes = 0);

// The limit that the settings of a daemon give, or the default.
template<typename Settings>
size_t heldBytesOf(const Settings &settings)
{
    constexpr size_t BytesInMegabyte = 1024 * 1024;
    if (settings.max_held_mb() > 0)
        return settings.max_held_mb() * BytesInMegabyte;
    return defaultHeldBytes();
}

// The part of the held bytes that requests may take while they wait for a leader. The rest remains
// for requests that are being read and for answers.
constexpr size_t pendingCallBytes(size_t heldBytes)
{
    return heldBytes / 2;
}

} // namespace basilgap::network
