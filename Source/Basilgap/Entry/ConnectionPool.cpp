#include "Basilgap/Entry/ConnectionPool.h"

namespace basilgap::entry {

namespace {

constexpr size_t MaxIdlePerBackend = 16;

} // namespace

ConnectionPool::ConnectionPool(network::EventLoop &loop)
    : loop_(loop)
{}

std::unique_ptr<network::HttpConnection> ConnectionPool::acquire(
    const BackendId &backend, const std::string &address)
{
    IdleConnections &idle = idle_[backend];
    if (idle.address != address) {
        idle.connections.clear();
        idle.address = address;
    }
    while (!idle.connections.empty()) {
        auto connection = std::move(idle.connections.back());
        idle.connections.pop_back();
        if (connection->isReusable())
            return connection;
    }
    return std::make_unique<network::HttpConnection>(
        loop_, network::HttpConnection::Options{ .address = address });
}

void ConnectionPool::release(const BackendId &backend, const std::string &address,
    std::unique_ptr<network::HttpConnection> connection)
{
    IdleConnections &idle = idle_[backend];
    const bool keep = connection->isReusable() && idle.address == address
        && idle.connections.size() < MaxIdlePerBackend;
    if (keep)
        idle.connections.push_back(std::move(connection));
}

} // namespace basilgap::entry
