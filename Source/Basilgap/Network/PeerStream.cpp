#include "Basilgap/Network/PeerStream.h"

#include <algorithm>
#include <cerrno>
#include <cstring>

#include <event2/buffer.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"

namespace basilgap::network {

namespace {

constexpr size_t LengthBytes = 4;
constexpr int32_t WindowBytes = 4 * 1024 * 1024;
constexpr size_t CompactThresholdBytes = 64 * 1024;

// When the host of a peer vanishes, nothing is acknowledged and the kernel closes the connection
// after this time.
constexpr unsigned UnacknowledgedTimeoutMs = 2000;

// A connection may go silent without being closed, so the connecting side sends pings, and both
// sides close a connection that stays silent for longer than several ping intervals, also while it
// is being established.
constexpr Millis PingInterval{ 500 };
constexpr Millis SilenceTimeout{ 1600 };

// The key arrives within the first few hundred bytes of a stream.
constexpr uint64_t MaxBytesBeforeKey = 16 * 1024;

// Many round trips. The kernel resends a SYN to a host that was powered off only after a second.
constexpr Millis ConnectTimeout{ 250 };

uint64_t nextStreamId()
{
    static uint64_t last = 0;
    return ++last;
}

nghttp2_nv makeHeader(const char *name, std::string_view value)
{
    return { reinterpret_cast<uint8_t *>(const_cast<char *>(name)),
        reinterpret_cast<uint8_t *>(const_cast<char *>(value.data())), std::strlen(name),
        value.size(), NGHTTP2_NV_FLAG_NONE };
}

void tuneSocket(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &UnacknowledgedTimeoutMs,
        sizeof UnacknowledgedTimeoutMs);
}

uint32_t readLength(const char *bytes)
{
    const auto *raw = reinterpret_cast<const unsigned char *>(bytes);
    return (uint32_t(raw[0]) << 24) | (uint32_t(raw[1]) << 16) | (uint32_t(raw[2]) << 8) | raw[3];
}

void appendLength(std::string *out, uint32_t length)
{
    for (const int shift : { 24, 16, 8, 0 })
        out->push_back(static_cast<char>(length >> shift));
}

} // namespace

PeerStream::PeerStream(EventLoop &loop, bufferevent *connection, Options options)
    : id_(nextStreamId())
    , options_(std::move(options))
    , connection_(connection)
    , startedAt_(steadyNow())
    , lastReceivedAt_(startedAt_)
    , closeTimer_(loop, [this] { options_.onClosed(*this); })
    , pingTimer_(loop, [this] { checkSilence(); })
    , connectTimer_(loop, [this] {
        if (session_ == nullptr)
            close();
    })
{
    if (options_.role == Role::Client)
        connectTimer_.startOnce(ConnectTimeout);
    pingTimer_.startRepeating(PingInterval);
    bufferevent_setcb(connection_, onReadable, nullptr, onEvent, this);
    bufferevent_enable(connection_, EV_READ | EV_WRITE);
    if (options_.role == Role::Server)
        startSession();
}

PeerStream::~PeerStream()
{
    if (session_ != nullptr)
        nghttp2_session_del(session_);
    bufferevent_free(connection_);
}

bool PeerStream::send(const schema::PeerMessage &message)
{
    const size_t length = message.ByteSizeLong();
    if (isClosed_ || length > MaxPeerMessageBytes)
        return false;
    if (outbound_.size() - outboundReadBytes_ + length > MaxPeerQueueBytes) {
        LogEvent("peer-queue-full", LogLevel::Warning).with("peer", options_.peer);
        close();
        return false;
    }
    appendLength(&outbound_, static_cast<uint32_t>(length));
    message.AppendToString(&outbound_);
    if (streamId_ >= 0) {
        nghttp2_session_resume_data(session_, streamId_);
        flush();
    }
    return true;
}

void PeerStream::close()
{
    if (isClosed_)
        return;
    isClosed_ = true;
    closeTimer_.startOnce(Millis(0));
}

void PeerStream::startSession()
{
    tuneSocket(bufferevent_getfd(connection_));
    nghttp2_session_callbacks *callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_send_callback(callbacks, writeOutbound);
    nghttp2_session_callbacks_set_on_header_callback(callbacks, onHeader);
    nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks, onFrame);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks, onData);
    nghttp2_session_callbacks_set_on_stream_close_callback(callbacks, onStreamClosed);
    if (options_.role == Role::Client)
        nghttp2_session_client_new(&session_, callbacks, this);
    else
        nghttp2_session_server_new(&session_, callbacks, this);
    nghttp2_session_callbacks_del(callbacks);
    const nghttp2_settings_entry settings[] = {
        { NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1 },
        { NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, WindowBytes },
    };
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings, std::size(settings));
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0, WindowBytes);
    if (options_.role == Role::Client)
        submitRequest();
    flush();
}

void PeerStream::submitRequest()
{
    const std::string authorization = "Bearer " + options_.cellKey;
    const nghttp2_nv headers[] = {
        makeHeader(":method", "POST"),
        makeHeader(":scheme", "http"),
        makeHeader(":authority", options_.peer),
        makeHeader(":path", "/basilgap/peer"),
        makeHeader("authorization", authorization),
    };
    nghttp2_data_provider provider{};
    provider.read_callback = readOutbound;
    streamId_ =
        nghttp2_submit_request(session_, nullptr, headers, std::size(headers), &provider, this);
    if (streamId_ < 0)
        return close();
    options_.onOpen(*this);
}

void PeerStream::acceptRequest(int32_t stream)
{
    if (!isAuthorized_)
        return refuse("authorize");
    const nghttp2_nv headers[] = { makeHeader(":status", "200") };
    nghttp2_data_provider provider{};
    provider.read_callback = readOutbound;
    nghttp2_submit_response(session_, stream, headers, std::size(headers), &provider);
    streamId_ = stream;
    options_.onOpen(*this);
}

void PeerStream::receive(const uint8_t *data, size_t length)
{
    inbound_.append(reinterpret_cast<const char *>(data), length);
    size_t position = 0;
    while (!isClosed_ && inbound_.size() - position >= LengthBytes) {
        const size_t body = readLength(inbound_.data() + position);
        if (body > MaxPeerMessageBytes)
            return close();
        if (inbound_.size() - position - LengthBytes < body)
            break;
        deliver(inbound_.substr(position + LengthBytes, body));
        position += LengthBytes + body;
    }
    inbound_.erase(0, position);
}

void PeerStream::deliver(const std::string &bytes)
{
    schema::PeerMessage message;
    if (!message.ParseFromString(bytes)) {
        LogEvent("peer-message-damaged", LogLevel::Warning).with("peer", options_.peer);
        return close();
    }
    if (message.has_hello())
        hello_ = message.hello();
    options_.onMessage(*this, std::move(message));
}

// nghttp2 must not send while it is receiving; onReadable() flushes afterwards.
void PeerStream::flush()
{
    if (session_ == nullptr || isReceiving_)
        return;
    if (nghttp2_session_send(session_) != 0)
        close();
}

void PeerStream::refuse(const char *reason)
{
    if (!isClosed_)
        refusal_ = reason;
    close();
}

void PeerStream::checkSilence()
{
    if (isClosed_)
        return;
    // Bytes that do not show the key do not keep a connection open.
    if (options_.role == Role::Server && !isOpen()) {
        if (steadyNow() - startedAt_ > SilenceTimeout)
            refuse("no-key");
        return;
    }
    const Millis silent = steadyNow() - lastReceivedAt_;
    if (silent > SilenceTimeout) {
        LogEvent("peer-silent", LogLevel::Warning)
            .with("peer", options_.peer)
            .with("silentMs", silent);
        return close();
    }
    if (options_.role != Role::Client || session_ == nullptr)
        return;
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush();
}

void PeerStream::onReadable(bufferevent *connection, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    stream->lastReceivedAt_ = steadyNow();
    evbuffer *input = bufferevent_get_input(connection);
    const size_t length = evbuffer_get_length(input);
    const uint8_t *data = evbuffer_pullup(input, -1);
    stream->receivedBytes_ += length;
    stream->isReceiving_ = true;
    if (stream->isClosed_ || nghttp2_session_mem_recv(stream->session_, data, length) < 0)
        stream->close();
    stream->isReceiving_ = false;
    const bool isHandshake = stream->options_.role == Role::Server && !stream->isOpen();
    if (isHandshake && stream->receivedBytes_ > MaxBytesBeforeKey)
        stream->refuse("bytes-before-key");
    evbuffer_drain(input, length);
    stream->flush();
}

void PeerStream::onEvent(bufferevent *, short events, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0)
        return stream->startSession();
    stream->isRefused_ = stream->session_ == nullptr && EVUTIL_SOCKET_ERROR() == ECONNREFUSED;
    stream->close();
}

ssize_t PeerStream::readOutbound(nghttp2_session *, int32_t, uint8_t *buffer, size_t length,
    uint32_t *, nghttp2_data_source *, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    const size_t waiting = stream->outbound_.size() - stream->outboundReadBytes_;
    if (waiting == 0)
        return NGHTTP2_ERR_DEFERRED;
    const size_t taken = std::min(length, waiting);
    std::memcpy(buffer, stream->outbound_.data() + stream->outboundReadBytes_, taken);
    stream->outboundReadBytes_ += taken;
    if (stream->outboundReadBytes_ == stream->outbound_.size()
        || stream->outboundReadBytes_ > CompactThresholdBytes) {
        stream->outbound_.erase(0, stream->outboundReadBytes_);
        stream->outboundReadBytes_ = 0;
    }
    return static_cast<ssize_t>(taken);
}

ssize_t PeerStream::writeOutbound(
    nghttp2_session *, const uint8_t *data, size_t length, int, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    evbuffer_add(bufferevent_get_output(stream->connection_), data, length);
    stream->sentBytes_ += length;
    return static_cast<ssize_t>(length);
}

int PeerStream::onHeader(nghttp2_session *, const nghttp2_frame *, const uint8_t *name,
    size_t nameLength, const uint8_t *value, size_t valueLength, uint8_t, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    const std::string_view key(reinterpret_cast<const char *>(name), nameLength);
    const std::string_view text(reinterpret_cast<const char *>(value), valueLength);
    if (key == "authorization")
        stream->isAuthorized_ = equalConstantTime(text, "Bearer " + stream->options_.cellKey);
    return 0;
}

int PeerStream::onFrame(nghttp2_session *, const nghttp2_frame *frame, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    if (frame->hd.type == NGHTTP2_HEADERS && stream->options_.role == Role::Server
        && stream->streamId_ < 0)
        stream->acceptRequest(frame->hd.stream_id);
    return 0;
}

int PeerStream::onData(
    nghttp2_session *, uint8_t, int32_t, const uint8_t *data, size_t length, void *self)
{
    auto *stream = static_cast<PeerStream *>(self);
    const bool trusted = stream->options_.role == Role::Client || stream->isAuthorized_;
    if (trusted && !stream->isClosed_)
        stream->receive(data, length);
    return 0;
}

int PeerStream::onStreamClosed(nghttp2_session *, int32_t, uint32_t, void *self)
{
    static_cast<PeerStream *>(self)->close();
    return 0;
}

} // namespace basilgap::network
