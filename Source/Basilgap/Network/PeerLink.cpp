#include "Basilgap/Network/PeerLink.h"

#include <algorithm>

#include <arpa/inet.h>
#include <event2/util.h>

#include "Basilgap/Common/EventLog.h"

namespace basilgap::network {

namespace {

constexpr Millis MinBackoff{ 50 };
constexpr Millis MaxBackoff{ 100 };

// Longer than it takes to connect when both hosts are up.
constexpr Millis TypicalConnectTime{ 60 };

} // namespace

PeerLink::PeerLink(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , backoff_(MinBackoff)
    , reconnectTimer_(loop, [this] { connect(); })
{
    reconnectTimer_.startOnce(Millis(0));
}

bool PeerLink::send(const schema::PeerMessage &message)
{
    return isUp_ && stream_->send(message);
}

void PeerLink::connect()
{
    connectStartedAt_ = steadyNow();
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
                    backoff_ = MinBackoff;
                    options_.onMessage(std::move(message));
                },
            .onOpen = [this](PeerStream &stream) { handleOpened(stream); },
            .onClosed = [this](PeerStream &) { handleLost(); },
        });
    sockaddr_storage storage{};
    const int length = toSockaddr(*address, &storage);
    if (bufferevent_socket_connect(connection, reinterpret_cast<sockaddr *>(&storage), length) != 0)
        stream_->close();
}

void PeerLink::reconnectNow()
{
    if (isUp_)
        return;
    backoff_ = MinBackoff;
    if (reconnectTimer_.isPending())
        reconnectTimer_.startOnce(Millis(0));
    else if (stream_ && steadyNow() - connectStartedAt_ > TypicalConnectTime)
        stream_->close();
}

void PeerLink::handleOpened(PeerStream &stream)
{
    isUp_ = true;
    schema::PeerMessage message;
    *message.mutable_hello() = options_.hello;
    stream.send(message);
    options_.onUp();
}

void PeerLink::handleLost()
{
    const bool wasUp = isUp_;
    const bool refused = stream_->wasRefused();
    isUp_ = false;
    closedStreamsSentBytes_ += stream_->sentBytes();
    closedStreamsReceivedBytes_ += stream_->receivedBytes();
    stream_.reset();
    reconnectTimer_.startOnce(backoff_);
    backoff_ = std::min(backoff_ * 2, MaxBackoff);
    if (wasUp)
        options_.onDown();
    if (refused)
        options_.onRefused();
}

} // namespace basilgap::network
