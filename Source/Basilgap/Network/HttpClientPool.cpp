#include "Basilgap/Network/HttpClientPool.h"

#include <algorithm>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

// One in this many connections is kept free of long polls, so that orders always find one.
constexpr size_t OrderPart = 8;
// Once more than one in this many connections is open, each server gets one order at a time.
constexpr size_t CrowdedPart = 2;
constexpr Millis ReportInterval{ 1000 };

} // namespace

HttpClientPool::HttpClientPool(Options options)
    : options_(std::move(options))
{}

size_t HttpClientPool::waitingCalls() const
{
    size_t waiting = waitingOrders_.size() + waitingPolls_.size();
    for (const auto &[address, server] : servers_)
        waiting += server.waitingOrders.size();
    return waiting;
}

bool HttpClientPool::mayStartOrder(const Server &server) const
{
    if (server.ordersInFlight == 0)
        return true;
    const bool isCrowded = openConnections() * CrowdedPart >= options_.maxConnections;
    return server.ordersInFlight < options_.maxOrdersPerServer
        && (!server.idle.empty() || !isCrowded);
}

void HttpClientPool::call(Call call)
{
    Server &server = servers_[call.address];
    if (call.kind == CallKind::Order && !mayStartOrder(server)) {
        server.waitingOrders.push_back(std::move(call));
        return;
    }
    if (trySend(&call))
        return;
    auto &queue = call.kind == CallKind::Order ? waitingOrders_ : waitingPolls_;
    queue.push_back(std::move(call));
    reportShortage();
}

void HttpClientPool::closeIdle(const std::string &address)
{
    const auto server = servers_.find(address);
    if (server == servers_.end())
        return;
    for (const IdleList::iterator &idle : server->second.idle)
        idle_.erase(idle);
    server->second.idle.clear();
    forgetIfUnused(address);
}

std::shared_ptr<ClientConnection> HttpClientPool::takeIdle(Server *server)
{
    while (!server->idle.empty()) {
        const IdleList::iterator newest = server->idle.back();
        server->idle.pop_back();
        std::shared_ptr<ClientConnection> connection = std::move(newest->connection);
        idle_.erase(newest);
        if (connection->isReusable())
            return connection;
    }
    return nullptr;
}

void HttpClientPool::closeOldestIdle()
{
    const std::string address = idle_.front().address;
    auto &ofServer = servers_.at(address).idle;
    ofServer.erase(std::find(ofServer.begin(), ofServer.end(), idle_.begin()));
    idle_.pop_front();
    forgetIfUnused(address);
}

bool HttpClientPool::hasRoomFor(CallKind kind)
{
    const size_t keptFree =
        kind == CallKind::LongPoll ? options_.maxConnections / OrderPart : size_t(0);
    return inUse_ + keptFree < options_.maxConnections;
}

bool HttpClientPool::trySend(Call *call)
{
    if (!hasRoomFor(call->kind))
        return false;
    std::shared_ptr<ClientConnection> connection = takeIdle(&servers_[call->address]);
    if (!connection) {
        if (openConnections() >= options_.maxConnections)
            closeOldestIdle();
        connection = options_.connect(call->address);
    }
    Server &server = servers_[call->address];
    inUse_++;
    server.callsInFlight++;
    server.ordersInFlight += call->kind == CallKind::Order ? 1 : 0;
    // The callback owns the connection until the exchange ends.
    connection->exchange(call->request, call->timeout,
        [this, address = std::move(call->address), kind = call->kind, connection,
            done = std::move(call->done)](const ExchangeResult &result) mutable {
            finish(address, kind, std::move(connection), result);
            done(result);
        });
    return true;
}

void HttpClientPool::finish(const std::string &address, CallKind kind,
    std::shared_ptr<ClientConnection> connection, const ExchangeResult &result)
{
    Server &server = servers_.at(address);
    inUse_--;
    server.callsInFlight--;
    server.ordersInFlight -= kind == CallKind::Order ? 1 : 0;
    if (result.end == ExchangeEnd::Complete && connection->isReusable()) {
        idle_.push_back({ address, std::move(connection) });
        server.idle.push_back(std::prev(idle_.end()));
    }
    sendWaitingOrders(address);
    sendWaiting(&waitingOrders_);
    sendWaiting(&waitingPolls_);
    forgetIfUnused(address);
}

void HttpClientPool::sendWaitingOrders(const std::string &address)
{
    while (true) {
        const auto server = servers_.find(address);
        if (server == servers_.end() || server->second.waitingOrders.empty()
            || !mayStartOrder(server->second))
            return;
        Call next = std::move(server->second.waitingOrders.front());
        server->second.waitingOrders.pop_front();
        if (!dropIfUnwanted(&next) && !trySend(&next)) {
            waitingOrders_.push_back(std::move(next));
            return reportShortage();
        }
    }
}

void HttpClientPool::sendWaiting(std::deque<Call> *queue)
{
    while (!queue->empty() && hasRoomFor(queue->front().kind)) {
        Call next = std::move(queue->front());
        queue->pop_front();
        Server &server = servers_[next.address];
        if (next.kind == CallKind::Order && !mayStartOrder(server))
            server.waitingOrders.push_back(std::move(next));
        else if (!dropIfUnwanted(&next))
            trySend(&next);
    }
}

bool HttpClientPool::dropIfUnwanted(Call *call)
{
    if (!call->isStillWanted || call->isStillWanted())
        return false;
    call->done({ .end = ExchangeEnd::Dropped, .response = {} });
    return true;
}

void HttpClientPool::forgetIfUnused(const std::string &address)
{
    const auto found = servers_.find(address);
    if (found == servers_.end())
        return;
    const Server &server = found->second;
    if (server.idle.empty() && server.waitingOrders.empty() && server.callsInFlight == 0)
        servers_.erase(found);
}

void HttpClientPool::reportShortage()
{
    const Millis now = options_.clock();
    if (now < nextReport_)
        return;
    nextReport_ = now + ReportInterval;
    LogEvent("connections-scarce", LogLevel::Warning)
        .with("open", openConnections())
        .with("max", options_.maxConnections)
        .with("waitingOrders", waitingOrders_.size())
        .with("waitingPolls", waitingPolls_.size());
}

} // namespace basilgap::network
