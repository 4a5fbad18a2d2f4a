#pragma once

#include <functional>
#include <memory>
#include <string>

#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

#include "Basilgap/Network/EventLoop.h"
#include "Peer.pb.h"

namespace basilgap::network {

// Largest message between processes, in bytes.
constexpr size_t MaxPeerMessageBytes = 8 * 1024 * 1024;

// A stream with more than this many unsent bytes is closed.
constexpr size_t MaxPeerQueueBytes = 32 * 1024 * 1024;

// One HTTP/2 connection between two processes with a single long-lived stream that carries
// length-prefixed protobuf messages both ways. The connecting side authenticates with the cell key.
class PeerStream
{
public:
    enum class Role { Client, Server };

    struct Options
    {
        Role role = Role::Client;
        // Sent by the client, checked by the server.
        std::string cellKey;
        // Address of the other side, for logs.
        std::string peer;
        std::function<void(PeerStream &, schema::PeerMessage)> onMessage;
        // The stream is ready to carry messages.
        std::function<void(PeerStream &)> onOpen;
        // Called once, from the event loop. It may destroy the stream.
        std::function<void(PeerStream &)> onClosed;
    };

    // Takes ownership of the bufferevent.
    PeerStream(EventLoop &loop, bufferevent *connection, Options options);
    ~PeerStream();
    PeerStream(const PeerStream &) = delete;
    PeerStream &operator=(const PeerStream &) = delete;

    // Queues a message. Returns false if the stream is closed or its queue is full.
    bool send(const schema::PeerMessage &message);

    // Closes the stream; onClosed is called later from the event loop.
    void close();

    // Whether the stream carries messages. On the server side the client has shown the cell's key.
    bool isOpen() const { return streamId_ >= 0; }
    // Why the server side closed a stream before it was open; empty if it did not.
    const char *refusal() const { return refusal_; }

    // Whether the other host refused the connection.
    bool wasRefused() const { return isRefused_; }

    // Unique among all streams of this process.
    uint64_t id() const { return id_; }
    const std::string &peer() const { return options_.peer; }

    // The Hello of the other side; empty until it has arrived.
    const schema::Hello &hello() const { return hello_; }

    uint64_t sentBytes() const { return sentBytes_; }
    uint64_t receivedBytes() const { return receivedBytes_; }

private:
    static void onReadable(bufferevent *, void *self);
    static void onEvent(bufferevent *, short events, void *self);
    static ssize_t readOutbound(nghttp2_session *, int32_t, uint8_t *buffer, size_t length,
        uint32_t *flags, nghttp2_data_source *, void *self);
    static ssize_t writeOutbound(
        nghttp2_session *, const uint8_t *data, size_t length, int, void *self);
    static int onHeader(nghttp2_session *, const nghttp2_frame *, const uint8_t *name, size_t,
        const uint8_t *value, size_t valueLength, uint8_t, void *self);
    static int onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self);
    static int onData(
        nghttp2_session *, uint8_t, int32_t, const uint8_t *data, size_t length, void *self);
    static int onStreamClosed(nghttp2_session *, int32_t, uint32_t, void *self);

    void startSession();
    void submitRequest();
    void acceptRequest(int32_t stream);
    void receive(const uint8_t *data, size_t length);
    void deliver(const std::string &bytes);
    void flush();
    void refuse(const char *reason);
    void checkSilence();

    uint64_t id_;
    Options options_;
    bufferevent *connection_;
    nghttp2_session *session_ = nullptr;
    int32_t streamId_ = -1;
    bool isAuthorized_ = false;
    bool isClosed_ = false;
    bool isRefused_ = false;
    bool isReceiving_ = false;
    std::string outbound_;
    size_t outboundReadBytes_ = 0;
    std::string inbound_;
    schema::Hello hello_;
    uint64_t sentBytes_ = 0;
    uint64_t receivedBytes_ = 0;
    const char *refusal_ = "";
    Millis startedAt_;
    Millis lastReceivedAt_;
    Timer closeTimer_;
    Timer pingTimer_;
    Timer connectTimer_;
};

} // namespace basilgap::network
