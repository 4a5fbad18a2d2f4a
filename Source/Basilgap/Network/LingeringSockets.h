#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_map>

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "Basilgap/Network/EventLoop.h"

namespace basilgap::network {

// Connections whose request was refused while its body was still arriving. What arrives is
// discarded for a short time, because closing a socket with unread bytes would reset the connection
// and the caller would lose the answer. The connection is not shut down before, because some
// clients take that for a failure while they are sending.
class LingeringSockets
{
public:
    explicit LingeringSockets(EventLoop &loop);
    LingeringSockets(const LingeringSockets &) = delete;
    LingeringSockets &operator=(const LingeringSockets &) = delete;

    // Discards what arrives on the socket of the buffer, and calls `onEnd` once the caller has
    // closed the connection, sends no more or has sent too much. False beyond a number of sockets.
    bool add(bufferevent *buffer, std::function<void()> onEnd);
    void remove(bufferevent *buffer) { entries_.erase(buffer); }

private:
    struct Entry
    {
        LingeringSockets *owner;
        bufferevent *buffer;
        size_t discardedBytes = 0;
        Millis end;
        std::function<void()> onEnd;
        std::unique_ptr<event, EventDeleter> readEvent;
    };

    static void onReadable(evutil_socket_t socket, short events, void *entry);
    void discard(Entry *entry, bool timedOut);

    EventLoop &loop_;
    std::unordered_map<bufferevent *, Entry> entries_;
};

} // namespace basilgap::network
