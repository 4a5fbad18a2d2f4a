#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Common/Ids.h"
#include "Basilgap/Network/HttpConnection.h"

namespace basilgap::entry {

// Idle connections to backend servers. A connection whose exchange did not complete is never
// reused.
class ConnectionPool
{
public:
    explicit ConnectionPool(network::EventLoop &loop);

    // Returns an idle connection, or a new one.
    std::unique_ptr<network::HttpConnection> acquire(
        const BackendId &backend, const std::string &address);

    void release(const BackendId &backend, const std::string &address,
        std::unique_ptr<network::HttpConnection> connection);

    // Closes the idle connections to a backend server.
    void closeIdle(const BackendId &backend) { idle_.erase(backend); }

private:
    struct IdleConnections
    {
        std::string address;
        std::vector<std::unique_ptr<network::HttpConnection>> connections;
    };

    network::EventLoop &loop_;
    std::map<BackendId, IdleConnections> idle_;
};

} // namespace basilgap::entry
