#include "Basilgap/Network/PeerLink.h"

#include <algorithm>

#include <arpa/inet.h>
#include <event2/util.h>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

constexpr Millis FirstBackoff{ 50 };
constexpr Millis LargestBackoff{ 100 };

// Longer than a connection takes to be made when both hosts are there.
constexpr Millis UsualConnect{ 60 };

} // namespace

PeerLink::PeerLink(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , backoff_(FirstBackoff)
    , reconnect_(loop, [this] { connect(); })
{
    reconnect_.startOnce(Millis(0));
}

bool PeerLink::send(const schema::PeerMessage &message)
{
    return up_ && stream_->send(message);
}

void PeerLink::connect()
{
    connectBegan_ = steadyNow();
    const auto address = parseAddress(options_.address);
    if (!address) {
        LogEvent("peer-link", LogLevel::Error).with(address.error());
        return;
    }
    bufferevent *connection = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    stream_ = std::make_unique<PeerStream>(loop_, connection,
        PeerStream::Options{
            .role = PeerStream::Role::Client,
            .cellKey = options_.cellKey,
            .peer = options_.address,
            .onMessage =
                [this](PeerStream &, schema::PeerMessage message) {
                    backoff_ = FirstBackoff;
                    options_.onMessage(std::move(message));
                },
            .onOpen = [this](PeerStream &stream) { opened(stream); },
            .onClosed = [this](PeerStream &) { lost(); },
        });
    sockaddr_storage storage{};
    const int length = toSockaddr(*address, &storage);
    if (bufferevent_socket_connect(connection, reinterpret_cast<sockaddr *>(&storage), length) != 0)
        stream_->close();
}

void PeerLink::peerSeen()
{
    if (up_)
        return;
    backoff_ = FirstBackoff;
    if (reconnect_.isPending())
        reconnect_.startOnce(Millis(0));
    else if (stream_ && steadyNow() - connectBegan_ > UsualConnect)
        stream_->close();
}

void PeerLink::opened(PeerStream &stream)
{
    up_ = true;
    schema::PeerMessage message;
    *message.mutable_hello() = options_.hello;
    stream.send(message);
    options_.onUp();
}

void PeerLink::lost()
{
    const bool wasUp = up_;
    const bool refused = stream_->wasRefused();
    up_ = false;
    sentBefore_ += stream_->sentBytes();
    receivedBefore_ += stream_->receivedBytes();
    stream_.reset();
    reconnect_.startOnce(backoff_);
    backoff_ = std::min(backoff_ * 2, LargestBackoff);
    if (wasUp)
        options_.onDown();
    if (refused)
        options_.onRefused();
}

} // namespace basilgap::network
