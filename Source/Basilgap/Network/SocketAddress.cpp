#include "Basilgap/Network/SocketAddress.h"

#include <arpa/inet.h>

#include "Basilgap/Settings/FieldCheck.h"

namespace basilgap::network {

Result<SocketAddress> parseAddress(const std::string &text)
{
    SocketAddress address;
    if (!settings::splitAddress(text, &address.host, &address.port))
        return fail({ ErrorCode::Invalid, "parse-address", text, "no IP number and port" });
    return address;
}

int toSockaddr(const SocketAddress &address, sockaddr_storage *storage)
{
    *storage = {};
    auto *v4 = reinterpret_cast<sockaddr_in *>(storage);
    if (inet_pton(AF_INET, address.host.c_str(), &v4->sin_addr) == 1) {
        v4->sin_family = AF_INET;
        v4->sin_port = htons(address.port);
        return sizeof *v4;
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(storage);
    inet_pton(AF_INET6, address.host.c_str(), &v6->sin6_addr);
    v6->sin6_family = AF_INET6;
    v6->sin6_port = htons(address.port);
    return sizeof *v6;
}

std::string localAddress(int socket)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof storage;
    if (getsockname(socket, reinterpret_cast<sockaddr *>(&storage), &length) != 0)
        return "";
    char host[INET6_ADDRSTRLEN] = "";
    if (storage.ss_family == AF_INET) {
        const auto *v4 = reinterpret_cast<sockaddr_in *>(&storage);
        inet_ntop(AF_INET, &v4->sin_addr, host, sizeof host);
        return std::string(host) + ":" + std::to_string(ntohs(v4->sin_port));
    }
    const auto *v6 = reinterpret_cast<sockaddr_in6 *>(&storage);
    inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof host);
    return "[" + std::string(host) + "]:" + std::to_string(ntohs(v6->sin6_port));
}

} // namespace basilgap::network
