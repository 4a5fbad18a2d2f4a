#include "FailureTests/CutRelay.h"

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

CutRelay::CutRelay()
    : thread_([this] { run(); })
{}

CutRelay::~CutRelay()
{
    stopping_ = true;
    thread_.join();
    for (const auto &route : routes_)
        ::close(route->listener);
    for (const Pair &pair : pairs_) {
        ::close(pair.caller);
        ::close(pair.target);
    }
}

std::string CutRelay::route(
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
    const std::string own = network::localAddress(route->listener);
    const std::lock_guard<std::mutex> lock(mutex_);
    routes_.push_back(std::move(route));
    return own;
}

void CutRelay::setSilent(const std::string &from, const std::string &to, bool silent)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &route : routes_) {
        if (route->from == from && route->to == to)
            route->silent = silent;
    }
}

void CutRelay::isolate(const std::string &host, bool isolated)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto &route : routes_) {
        if (route->from == host || route->to == host)
            route->silent = isolated;
    }
}

void CutRelay::accept(Route *route)
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
    pairs_.push_back({ route, caller, socket });
}

// False when the connection has ended.
bool CutRelay::forward(int from, int to)
{
    char buffer[65536];
    const ssize_t got = ::recv(from, buffer, sizeof buffer, MSG_DONTWAIT);
    if (got < 0)
        return errno == EAGAIN || errno == EINTR;
    return got > 0 && ::send(to, buffer, static_cast<size_t>(got), MSG_NOSIGNAL) == got;
}

void CutRelay::run()
{
    while (!stopping_) {
        std::vector<pollfd> waited;
        std::unique_lock<std::mutex> lock(mutex_);
        for (const auto &route : routes_) {
            if (!route->silent)
                accept(route.get());
        }
        std::erase_if(pairs_, [&](const Pair &pair) {
            if (pair.route->silent)
                return false;
            if (forward(pair.caller, pair.target) && forward(pair.target, pair.caller)) {
                waited.push_back({ pair.caller, POLLIN, 0 });
                waited.push_back({ pair.target, POLLIN, 0 });
                return false;
            }
            ::close(pair.caller);
            ::close(pair.target);
            return true;
        });
        lock.unlock();
        ::poll(waited.data(), waited.size(), PollMs);
    }
}

} // namespace basilgap::failuretests
