#pragma once

#include <functional>
#include <memory>
#include <string>

#include "Basilgap/Network/PeerStream.h"
#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::network {

// An outgoing connection to another process that reconnects with exponential back-off whenever it
// is lost. Messages sent while it is down are dropped: the protocols above resend.
class PeerLink
{
public:
    struct Options
    {
        std::string address;
        std::string cellKey;
        // Sent first on every connection.
        schema::Hello hello;
        std::function<void(schema::PeerMessage)> onMessage;
        std::function<void()> onUp;
        std::function<void()> onDown;
        // The host refused the connection: it is up, but the process has ended.
        std::function<void()> onRefused = [] {};
    };

    PeerLink(EventLoop &loop, Options options);

    // Returns false if the link is down.
    bool send(const schema::PeerMessage &message);

    // Call this when the peer has proved that it is reachable. A link that is waiting to reconnect,
    // or whose attempt got no answer, connects again at once.
    void reconnectNow();

    bool isUp() const { return isUp_; }
    const std::string &address() const { return options_.address; }
    uint64_t sentBytes() const
    {
        return closedStreamsSentBytes_ + (stream_ ? stream_->sentBytes() : 0);
    }
    uint64_t receivedBytes() const
    {
        return closedStreamsReceivedBytes_ + (stream_ ? stream_->receivedBytes() : 0);
    }

private:
    void connect();
    void handleOpened(PeerStream &stream);
    void handleLost();

    EventLoop &loop_;
    Options options_;
    std::unique_ptr<PeerStream> stream_;
    bool isUp_ = false;
    Millis backoff_;
    Millis connectStartedAt_;
    Timer reconnectTimer_;
    uint64_t closedStreamsSentBytes_ = 0;
    uint64_t closedStreamsReceivedBytes_ = 0;
};

} // namespace basilgap::network
