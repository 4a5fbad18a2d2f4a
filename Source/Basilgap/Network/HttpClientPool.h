#pragma once

#include <deque>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "Basilgap/Network/ClientConnection.h"

namespace basilgap::network {

// Persistent HTTP connections to many servers within one bound. Calls that find no connection wait;
// the connection that was idle for longest is closed for them. Load pattern: one process calls more
// servers than it has descriptors for.
class HttpClientPool
{
public:
    enum class CallKind {
        // Answered at once.
        Order,
        // The server may delay its answer. Some connections are kept free of long polls.
        LongPoll,
    };

    struct Call
    {
        std::string address;
        CallKind kind = CallKind::Order;
        HttpRequest request;
        // Counted from the moment when the request is sent.
        Millis timeout;
        // Asked before a call that has waited is sent; if false, the call ends as Dropped.
        std::function<bool()> isStillWanted;
        std::function<void(ExchangeResult)> done;
    };

    struct Options
    {
        size_t maxConnections = 0;
        // Further orders to the same server wait, since each new connection has a cost for it.
        size_t maxOrdersPerServer = 3;
        // Opens a connection to the address.
        std::function<std::shared_ptr<ClientConnection>(const std::string &)> connect;
        std::function<Millis()> clock = steadyNow;
    };

    explicit HttpClientPool(Options options);

    // Ends the call through its callback, from the event loop.
    void call(Call call);
    // Closes the idle connections to a server that is gone.
    void closeIdle(const std::string &address);

    size_t openConnections() const { return inUse_ + idle_.size(); }
    // Calls that wait for a connection, or for another order to the same server.
    size_t waitingCalls() const;

private:
    struct IdleConnection
    {
        std::string address;
        std::shared_ptr<ClientConnection> connection;
    };
    using IdleList = std::list<IdleConnection>;

    struct Server
    {
        // Most recently used last.
        std::vector<IdleList::iterator> idle;
        std::deque<Call> waitingOrders;
        size_t ordersInFlight = 0;
        size_t callsInFlight = 0;
    };

    bool mayStartOrder(const Server &server) const;
    bool hasRoomFor(CallKind kind);
    std::shared_ptr<ClientConnection> takeIdle(Server *server);
    void closeOldestIdle();
    // Sends the call and returns true, or leaves it unchanged and returns false if it must wait.
    bool trySend(Call *call);
    void finish(const std::string &address, CallKind kind,
        std::shared_ptr<ClientConnection> connection, const ExchangeResult &result);
    void sendWaitingOrders(const std::string &address);
    void sendWaiting(std::deque<Call> *queue);
    bool dropIfUnwanted(Call *call);
    void forgetIfUnused(const std::string &address);
    void reportShortage();

    Options options_;
    std::unordered_map<std::string, Server> servers_;
    // Least recently used first.
    IdleList idle_;
    size_t inUse_ = 0;
    std::deque<Call> waitingOrders_;
    std::deque<Call> waitingPolls_;
    Millis nextReport_;
};

} // namespace basilgap::network
