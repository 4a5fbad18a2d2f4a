#pragma once

#include <cstddef>

namespace basilgap::network {

// How many connections a process may have open, so that its storage and its links to other
// processes always find a descriptor.
struct DescriptorBudget
{
    // Streams of other processes of the cell, and links to them.
    size_t peerStreams = 0;
    // Connections that this process opens to workers.
    size_t workerConnections = 0;
    // Connections that its HTTP listeners accept.
    size_t acceptedConnections = 0;
};

// Divides the descriptors of a process that may open `limit` of them.
DescriptorBudget divideDescriptors(size_t limit);

// The soft limit of this process.
size_t descriptorLimit();

} // namespace basilgap::network
