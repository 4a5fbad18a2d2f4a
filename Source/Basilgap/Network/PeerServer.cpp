#include "Basilgap/Network/PeerServer.h"

#include <algorithm>

#include <arpa/inet.h>
#include <event2/util.h>

#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::network {

namespace {

constexpr int ListenBacklog = 64;

std::string peerText(sockaddr *peer)
{
    char host[INET6_ADDRSTRLEN] = "";
    if (peer->sa_family == AF_INET) {
        auto *v4 = reinterpret_cast<sockaddr_in *>(peer);
        inet_ntop(AF_INET, &v4->sin_addr, host, sizeof host);
        return std::string(host) + ":" + std::to_string(ntohs(v4->sin_port));
    }
    auto *v6 = reinterpret_cast<sockaddr_in6 *>(peer);
    inet_ntop(AF_INET6, &v6->sin6_addr, host, sizeof host);
    return "[" + std::string(host) + "]:" + std::to_string(ntohs(v6->sin6_port));
}

} // namespace

PeerServer::PeerServer(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
{}

Result<std::unique_ptr<PeerServer>> PeerServer::listen(EventLoop &loop, Options options)
{
    const auto parsed = parseAddress(options.address);
    if (!parsed)
        return fail(parsed.error());
    sockaddr_storage storage{};
    const int length = toSockaddr(*parsed, &storage);
    auto *target = reinterpret_cast<sockaddr *>(&storage);
    const std::string address = options.address;
    std::unique_ptr<PeerServer> server(new PeerServer(loop, std::move(options)));
    server->listener_ = evconnlistener_new_bind(loop.base(), onAccept, server.get(),
        LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, ListenBacklog, target,
        length);
    if (server->listener_ == nullptr)
        return fail(systemError("listen", address));
    return server;
}

PeerServer::~PeerServer()
{
    if (listener_ != nullptr)
        evconnlistener_free(listener_);
}

std::string PeerServer::address() const
{
    return localAddress(evconnlistener_get_fd(listener_));
}

void PeerServer::broadcast(const schema::PeerMessage &message)
{
    for (const auto &stream : streams_)
        stream->send(message);
}

uint64_t PeerServer::sentBytes() const
{
    uint64_t sum = closedStreamsSentBytes_;
    for (const auto &stream : streams_)
        sum += stream->sentBytes();
    return sum;
}

uint64_t PeerServer::receivedBytes() const
{
    uint64_t sum = closedStreamsReceivedBytes_;
    for (const auto &stream : streams_)
        sum += stream->receivedBytes();
    return sum;
}

void PeerServer::onAccept(evconnlistener *, evutil_socket_t socket, sockaddr *peer, int, void *self)
{
    static_cast<PeerServer *>(self)->accept(socket, peerText(peer));
}

void PeerServer::accept(evutil_socket_t socket, const std::string &peer)
{
    if (streams_.size() >= options_.maxStreams) {
        evutil_closesocket(socket);
        return;
    }
    evutil_make_socket_nonblocking(socket);
    bufferevent *connection = bufferevent_socket_new(loop_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    streams_.push_back(std::make_unique<PeerStream>(loop_, connection,
        PeerStream::Options{
            .role = PeerStream::Role::Server,
            .cellKey = options_.cellKey,
            .peer = peer,
            .onMessage =
                [this](PeerStream &stream, schema::PeerMessage message) {
                    options_.onMessage(stream, std::move(message));
                },
            .onOpen = [](PeerStream &) {},
            .onClosed = [this](PeerStream &stream) { remove(stream); },
        }));
}

void PeerServer::remove(PeerStream &stream)
{
    closedStreamsSentBytes_ += stream.sentBytes();
    closedStreamsReceivedBytes_ += stream.receivedBytes();
    options_.onClosed(stream);
    streams_.remove_if([&stream](const auto &held) { return held.get() == &stream; });
}

} // namespace basilgap::network
