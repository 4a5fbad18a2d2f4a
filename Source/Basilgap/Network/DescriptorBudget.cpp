#include "Basilgap/Network/DescriptorBudget.h"

#include <algorithm>

#include <sys/resource.h>

namespace basilgap::network {

namespace {

// Standard streams, event loop, listeners, lock, log and spare file, the advisor's connection.
// Standard streams, event loop, listeners, lock, log and spare file, the advisor's connection.
constexpr size_t OwnDescriptors = 44;
constexpr size_t PeerPart = 6;
// Of the other connections, workers get two in three: a worker takes a long poll and an order.
constexpr size_t WorkerParts = 2;
constexpr size_t AllParts = 3;

} // namespace

DescriptorBudget divideDescriptors(size_t limit)
{
    const size_t own = std::min(OwnDescriptors, limit / 2);
    DescriptorBudget budget;
    budget.peerStreams = limit / PeerPart;
    const size_t connections = limit - own - budget.peerStreams;
    budget.workerConnections = connections * WorkerParts / AllParts;
    budget.acceptedConnections = connections - budget.workerConnections;
    return budget;
}

size_t descriptorLimit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return 0;
    return limit.rlim_cur;
}

} // namespace basilgap::network
