#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>

#include <event2/listener.h>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/PeerStream.h"

namespace basilgap::network {

// Accepts streams from other processes of the cell. Connections that have not shown the cell's key
// get a bounded part of the places; a further one takes the place of the oldest of them.
class PeerServer
{
public:
    struct Options
    {
        std::string address;
        std::string cellKey;
        // Further streams are closed at once.
        size_t maxStreams = 256;
        std::function<void(PeerStream &, schema::PeerMessage)> onMessage;
        // The stream is destroyed after this callback.
        std::function<void(PeerStream &)> onClosed;
    };

    static Result<std::unique_ptr<PeerServer>> listen(EventLoop &loop, Options options);
    ~PeerServer();
    PeerServer(const PeerServer &) = delete;
    PeerServer &operator=(const PeerServer &) = delete;

    std::string address() const;

    // Sends to every connected process.
    void broadcast(const schema::PeerMessage &message);

    uint64_t sentBytes() const;
    uint64_t receivedBytes() const;

private:
    PeerServer(EventLoop &loop, Options options);
    static void onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *peer, int, void *self);
    static void onAcceptError(evconnlistener *, void *self);
    void pauseAfterError(int error);
    void accept(evutil_socket_t socket, const std::string &peer);
    void remove(PeerStream &stream);
    bool isFullForUnauthenticated() const;
    PeerStream *oldestUnauthenticated() const;
    void countRefusal(const PeerStream &stream, const std::string &reason);

    EventLoop &loop_;
    Options options_;
    evconnlistener *listener_ = nullptr;
    // In the order of their arrival.
    std::list<std::unique_ptr<PeerStream>> streams_;
    size_t acceptedInTurn_ = 0;
    Timer acceptTimer_;
    uint64_t refusals_ = 0;
    uint64_t loggedRefusals_ = 0;
    Millis refusalLoggedAt_{ 0 };
    Millis errorLoggedAt_{ 0 };
    uint64_t closedStreamsSentBytes_ = 0;
    uint64_t closedStreamsReceivedBytes_ = 0;
};

} // namespace basilgap::network
