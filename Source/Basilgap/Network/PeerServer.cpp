#include "Basilgap/Network/PeerServer.h"

#include <algorithm>

#include <arpa/inet.h>
#include <event2/util.h>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::network {

namespace {

constexpr int ListenBacklog = 64;

// Connections that have not shown the key may take this part of all places. All processes of a
// large fleet connect at once after a restart.
constexpr size_t UnauthenticatedPart = 4;

// Connections that are accepted before the others are read again, so that a member's key, which is
// in its first packet, is read before many further connections come.
constexpr size_t AcceptsInTurn = 8;

constexpr Millis AcceptRetryTime{ 100 };
constexpr Millis LogInterval{ 1000 };

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
    , acceptTimer_(loop, [this] {
        acceptedInTurn_ = 0;
        evconnlistener_enable(listener_);
    })
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
    evconnlistener_set_error_cb(server->listener_, onAcceptError);
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

// Without a descriptor the waiting connection stays readable, and the event loop would not rest.
void PeerServer::onAcceptError(evconnlistener *, void *self)
{
    static_cast<PeerServer *>(self)->pauseAfterError(EVUTIL_SOCKET_ERROR());
}

void PeerServer::pauseAfterError(int error)
{
    evconnlistener_disable(listener_);
    acceptTimer_.startOnce(AcceptRetryTime);
    const Millis now = steadyNow();
    if (now - errorLoggedAt_ < LogInterval)
        return;
    errorLoggedAt_ = now;
    LogEvent("peer-accept-failed", LogLevel::Error)
        .with("error", evutil_socket_error_to_string(error));
}

void PeerServer::accept(evutil_socket_t socket, const std::string &peer)
{
    if (isFullForUnauthenticated()) {
        PeerStream *oldest = oldestUnauthenticated();
        if (oldest == nullptr) {
            evutil_closesocket(socket);
            return;
        }
        countRefusal(*oldest, "no-place");
        remove(*oldest);
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
            .onClosed =
                [this](PeerStream &stream) {
                    if (stream.refusal()[0] != '\0')
                        countRefusal(stream, stream.refusal());
                    remove(stream);
                },
        }));
    if (++acceptedInTurn_ < AcceptsInTurn)
        return;
    evconnlistener_disable(listener_);
    acceptTimer_.startOnce(Millis(0));
}

bool PeerServer::isFullForUnauthenticated() const
{
    const auto unauthenticated = static_cast<size_t>(std::count_if(
        streams_.begin(), streams_.end(), [](const auto &stream) { return !stream->isOpen(); }));
    const size_t part = std::max<size_t>(1, options_.maxStreams / UnauthenticatedPart);
    return unauthenticated >= part || streams_.size() >= options_.maxStreams;
}

PeerStream *PeerServer::oldestUnauthenticated() const
{
    const auto found = std::find_if(
        streams_.begin(), streams_.end(), [](const auto &stream) { return !stream->isOpen(); });
    return found == streams_.end() ? nullptr : found->get();
}

void PeerServer::countRefusal(const PeerStream &stream, const std::string &reason)
{
    refusals_++;
    const Millis now = steadyNow();
    if (loggedRefusals_ != 0 && now - refusalLoggedAt_ < LogInterval)
        return;
    LogEvent("peer-refused", LogLevel::Warning)
        .with("reason", reason)
        .with("peer", stream.peer())
        .with("count", refusals_ - loggedRefusals_)
        .with("total", refusals_);
    loggedRefusals_ = refusals_;
    refusalLoggedAt_ = now;
}

void PeerServer::remove(PeerStream &stream)
{
    closedStreamsSentBytes_ += stream.sentBytes();
    closedStreamsReceivedBytes_ += stream.receivedBytes();
    options_.onClosed(stream);
    streams_.remove_if([&stream](const auto &held) { return held.get() == &stream; });
}

} // namespace basilgap::network
