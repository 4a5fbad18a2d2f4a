#include "FailureTests/PartitionProxy.h"

#include <cerrno>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::failuretests {

namespace {

constexpr int PollMs = 5;

} // namespace

PartitionProxy::PartitionProxy()
    : thread_([this] { run(); })
{}

PartitionProxy::~PartitionProxy()
{
    stopping_ = true;
    thread_.join();
    for (const auto &route : routes_)
        ::close(route->listener);
    for (const Connection &connection : connections_) {
        ::close(connection.caller);
        ::close(connection.target);
    }
}

std::string PartitionProxy::addRoute(
    const std::string &from, const std::string &to, const std::string &target)
{
    auto route = std::make_unique<Route>();
    route->from = from;
    route->to = to;
    route->target = target;
    route->listener = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(route->listener, reinterpret_cast<sockaddr *>(&address), sizeof address);
    ::listen(route->listener, 16);
    const std::string listenAddress = network::localAddress(route->listener);
    const std::lock_guard<std::mutex> lock(mutex_);
    routes_.push_back(std::move(route));
    return listenAddress;
}

void PartitionProxy::setBlocked(const std::string &from, const std::string &to, bool blocked)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &route : routes_) {
        if (route->from == from && route->to == to)
            route->blocked = blocked;
    }
}

void PartitionProxy::isolate(const std::string &host, bool isolated)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &route : routes_) {
        if (route->from == host || route->to == host)
            route->blocked = isolated;
    }
}

void PartitionProxy::accept(Route *route)
{
    const int caller = ::accept4(route->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (caller < 0)
        return;
    const auto target = network::parseAddress(route->target);
    sockaddr_storage storage{};
    const int length = network::toSockaddr(*target, &storage);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&storage), static_cast<socklen_t>(length))
        != 0) {
        ::close(socket);
        ::close(caller);
        return;
    }
    connections_.push_back({ route, caller, socket });
}

// Returns false if the connection has ended.
bool PartitionProxy::forward(int from, int to)
{
    char buffer[65536];
    const ssize_t received = ::recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
    if (received < 0)
        return errno == EAGAIN || errno == EINTR;
    return received > 0
        && ::send(to, buffer, static_cast<size_t>(received), MSG_NOSIGNAL) == received;
}

void PartitionProxy::run()
{
    while (!stopping_) {
        std::vector<pollfd> pollSet;
        std::unique_lock<std::mutex> lock(mutex_);
        for (const auto &route : routes_) {
            if (!route->blocked)
                accept(route.get());
        }
        std::erase_if(connections_, [&](const Connection &connection) {
            if (connection.route->blocked)
                return false;
            if (forward(connection.caller, connection.target)
                && forward(connection.target, connection.caller)) {
                pollSet.push_back({ connection.caller, POLLIN, 0 });
                pollSet.push_back({ connection.target, POLLIN, 0 });
                return false;
            }
            ::close(connection.caller);
            ::close(connection.target);
            return true;
        });
        lock.unlock();
        ::poll(pollSet.data(), pollSet.size(), PollMs);
    }
}

} // namespace basilgap::failuretests
