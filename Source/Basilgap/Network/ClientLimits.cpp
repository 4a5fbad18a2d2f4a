#include "Basilgap/Network/ClientLimits.h"

#include <algorithm>

#include <sys/resource.h>
#include <unistd.h>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

constexpr Millis LogInterval{ 1000 };

// A held byte costs up to twice its size, since buffers grow in powers of two (measured with chunks
// of 4 KiB: 2.05). Two thirds of the memory remain for the rest of the process.
constexpr size_t MemoryParts = 6;

constexpr std::array ClassNames = { "too-large", "malformed", "too-many-pending",
    "connection-bytes", "total-bytes", "slow-request", "too-many-connections" };

size_t limitOf(__rlimit_resource resource)
{
    rlimit limit{};
    const bool isLimited =
        getrlimit(resource, &limit) == 0 && limit.rlim_cur != RLIM_INFINITY && limit.rlim_cur > 0;
    return isLimited ? limit.rlim_cur : SIZE_MAX;
}

} // namespace

ClientLimits::ClientLimits(size_t maxBytes)
    : maxBytes_(maxBytes)
{
    static_assert(ClassNames.size() == ClassCount);
}

void ClientLimits::update(size_t before, size_t after)
{
    heldBytes_ = heldBytes_ - before + after;
}

bool ClientLimits::isGreediest(size_t bytes) const
{
    if (maxBytes_ == 0 || heldBytes_ + bytes <= maxBytes_)
        return false;
    return std::none_of(holders_.begin(), holders_.end(),
        [bytes](const Holder *holder) { return holder->heldBytes() > 2 * bytes; });
}

void ClientLimits::enforce()
{
    while (isExceeded() && !holders_.empty()) {
        const auto greediest = std::max_element(holders_.begin(), holders_.end(),
            [](const Holder *a, const Holder *b) { return a->heldBytes() < b->heldBytes(); });
        (*greediest)->closeFor(RefusalClass::TotalBytes);
    }
}

void ClientLimits::countRefusal(RefusalClass refusal, const std::string &listener)
{
    const auto index = static_cast<size_t>(refusal);
    Counter &counter = counters_[index];
    counter.total++;
    const Millis now = steadyNow();
    if (counter.logged != 0 && now - counter.loggedAt < LogInterval)
        return;
    LogEvent("client-refused", LogLevel::Warning)
        .with("reason", ClassNames[index])
        .with("listener", listener)
        .with("count", counter.total - counter.logged)
        .with("total", counter.total)
        .with("held_bytes", heldBytes_);
    counter.logged = counter.total;
    counter.loggedAt = now;
}

std::string ClientLimits::metricText() const
{
    std::string text = "# TYPE basilgap_client_refusals counter\n";
    for (size_t i = 0; i < ClassCount; i++)
        text += "basilgap_client_refusals{reason=\"" + std::string(ClassNames[i]) + "\"} "
            + std::to_string(counters_[i].total) + "\n";
    text += "# TYPE basilgap_client_held_bytes gauge\nbasilgap_client_held_bytes "
        + std::to_string(heldBytes_) + "\n";
    return text;
}

size_t defaultHeldBytes(size_t hostBytes)
{
    const auto pages = static_cast<size_t>(std::max(0L, sysconf(_SC_PHYS_PAGES)));
    const auto pageSize = static_cast<size_t>(std::max(0L, sysconf(_SC_PAGESIZE)));
    const size_t machine = pages * pageSize;
    size_t bytes = std::min(limitOf(RLIMIT_AS), limitOf(RLIMIT_DATA));
    for (const size_t known : { machine, hostBytes }) {
        if (known > 0)
            bytes = std::min(bytes, known);
    }
    return bytes / MemoryParts;
}

} // namespace basilgap::network
