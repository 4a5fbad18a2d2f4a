#pragma once

#include <cstdint>
#include <string>

#include <sys/socket.h>

#include "Basilgap/Common/Error.h"

namespace basilgap::network {

// An IP number and a port.
struct SocketAddress
{
    std::string host;
    uint16_t port = 0;
};

// Parses "127.0.0.1:80" or "[::1]:80".
Result<SocketAddress> parseAddress(const std::string &text);

// Converts the address for system calls. Returns the length of the sockaddr.
int toSockaddr(const SocketAddress &address, sockaddr_storage *storage);

// Address that a socket is bound to, as text; empty if it is not bound.
std::string localAddress(int socket);

} // namespace basilgap::network
