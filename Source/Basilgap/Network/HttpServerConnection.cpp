#include "Basilgap/Network/HttpServerConnection.h"

#include <algorithm>

namespace basilgap::network {

namespace {

// Times after which a connection gives its place to another one when there is no free place. A
// caller sends its request as soon as it is connected. While it sends, it has a further millisecond
// for each byte, which an upload of more than 8 kbit/s never uses up.
constexpr Millis MaxSilence{ 250 };
constexpr Millis MaxIdle{ 1000 };

// What is read ahead while an answer waits to be written, enough for a few pipelined requests.
constexpr size_t MaxReadAheadBytes = 32 * 1024;

// libevent reads up to this much at a time. Above the limit of a request, so that a connection over
// it is noticed rather than only suspended.
constexpr size_t ReadBytes = 16 * 1024;

} // namespace

HttpServerConnection::HttpServerConnection(const Options &options, bufferevent *buffer)
    : options_(options)
    , buffer_(buffer)
    , inputEntry_(evbuffer_add_cb(bufferevent_get_input(buffer), onInput, this))
    , outputEntry_(evbuffer_add_cb(bufferevent_get_output(buffer), onOutput, this))
    , acceptedAt_(steadyNow())
{
    bufferevent_incref(buffer_);
    options_.limits.add(this);
    limitReading(options_.maxRequestBytes + ReadBytes);
}

HttpServerConnection::~HttpServerConnection()
{
    options_.limits.update(heldBytes_, 0);
    options_.limits.remove(this);
    evbuffer_remove_cb_entry(bufferevent_get_input(buffer_), inputEntry_);
    evbuffer_remove_cb_entry(bufferevent_get_output(buffer_), outputEntry_);
    bufferevent_decref(buffer_);
}

// evhttp has no callback for a new connection; its callbacks' argument is the connection.
evhttp_connection *HttpServerConnection::findEvhttpConnection()
{
    void *argument = nullptr;
    bufferevent_getcb(buffer_, nullptr, nullptr, nullptr, &argument);
    connection_ = static_cast<evhttp_connection *>(argument);
    return connection_;
}

void HttpServerConnection::onInput(evbuffer *, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<HttpServerConnection *>(self);
    if (info->n_added == 0)
        return;
    connection->receivedBytes_ += info->n_added;
    if (connection->requestStartedAt_ == Millis(0))
        connection->requestStartedAt_ = steadyNow();
    connection->recount();
    if (connection->isOverLimit() || connection->options_.limits.isExceeded())
        connection->options_.owner.needsAttention(connection);
}

void HttpServerConnection::onOutput(evbuffer *, const evbuffer_cb_info *info, void *self)
{
    auto *connection = static_cast<HttpServerConnection *>(self);
    connection->recount();
    const size_t waiting = info->orig_size + info->n_added - info->n_deleted;
    if (info->n_deleted > 0)
        connection->handleWritten(waiting);
    if (info->n_added == 0)
        return;
    connection->limitReading(MaxReadAheadBytes);
    connection->hasEvhttpAnswer_ = connection->hasEvhttpAnswer_ || !connection->isAnswering;
    if (connection->hasEvhttpAnswer_ || connection->options_.limits.isExceeded())
        connection->options_.owner.needsAttention(connection);
}

void HttpServerConnection::handleWritten(size_t waitingBytes)
{
    writtenAt_ = steadyNow();
    if (waitingBytes > 0)
        return;
    limitReading(options_.maxRequestBytes + ReadBytes);
    // A request that was read ahead has its time from now on.
    if (requestStartedAt_ > Millis(0))
        requestStartedAt_ = writtenAt_;
}

bool HttpServerConnection::isWriting() const
{
    return evbuffer_get_length(bufferevent_get_output(buffer_)) > 0;
}

bool HttpServerConnection::isReceiving() const
{
    return requestStartedAt_ > Millis(0) && responder == nullptr && !isWriting();
}

// evhttp reads on while an answer waits to be written, so pipelined requests of a caller that does
// not read its answers would pile up.
void HttpServerConnection::limitReading(size_t bytes)
{
    bufferevent_setwatermark(buffer_, EV_READ, 0, bytes);
}

// Chunk sizes are not kept, so a request that has been read in full holds at most its limit.
void HttpServerConnection::recount()
{
    const size_t held = std::min(receivedBytes_, options_.maxRequestBytes)
        + evbuffer_get_length(bufferevent_get_output(buffer_));
    options_.limits.update(heldBytes_, held);
    heldBytes_ = held;
}

void HttpServerConnection::finishRequest()
{
    responder = nullptr;
    receivedBytes_ = evbuffer_get_length(bufferevent_get_input(buffer_));
    answeredAt_ = steadyNow();
    requestStartedAt_ = receivedBytes_ == 0 ? Millis(0) : answeredAt_;
    recount();
}

bool HttpServerConnection::isOverLimit() const
{
    return evbuffer_get_length(bufferevent_get_input(buffer_)) > options_.maxRequestBytes;
}

Millis HttpServerConnection::requestAge(Millis now) const
{
    return isReceiving() ? now - requestStartedAt_ : Millis(0);
}

Millis HttpServerConnection::overdue(Millis now) const
{
    if (responder != nullptr)
        return Millis(-1);
    if (isWriting())
        return now - std::max(answeredAt_, writtenAt_) - MaxIdle;
    if (isReceiving())
        return now - requestStartedAt_ - MaxSilence - Millis(static_cast<int64_t>(receivedBytes_));
    if (answeredAt_ == Millis(0))
        return now - acceptedAt_ - MaxSilence;
    return now - answeredAt_ - MaxIdle;
}

} // namespace basilgap::network
