#pragma once

#include <cstddef>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "Basilgap/Network/ClientLimits.h"

namespace basilgap::network {

class EvhttpResponder;

// An accepted connection of an HttpServer: the bytes it holds and the progress of its request. Is
// notified of all bytes that evhttp reads and writes.
class HttpServerConnection : public ClientLimits::Holder
{
public:
    // Implemented by the server.
    class Owner
    {
    public:
        virtual ~Owner() = default;
        // The connection holds too much, the total is exceeded, or evhttp has written an answer of
        // its own. Called inside evhttp, so the connection must not be closed before it returns.
        virtual void needsAttention(HttpServerConnection *connection) = 0;
        virtual void closeFor(HttpServerConnection *connection, RefusalClass refusal) = 0;
    };

    struct Options
    {
        // Bytes of one request within the limits, header block included.
        size_t maxRequestBytes = 0;
        ClientLimits &limits;
        Owner &owner;
    };

    HttpServerConnection(const Options &options, bufferevent *buffer);
    ~HttpServerConnection() override;
    HttpServerConnection(const HttpServerConnection &) = delete;
    HttpServerConnection &operator=(const HttpServerConnection &) = delete;

    size_t heldBytes() const override { return heldBytes_; }
    void closeFor(RefusalClass refusal) override { options_.owner.closeFor(this, refusal); }

    // The evhttp connection, known once evhttp has set up the buffer; null if it has failed to.
    evhttp_connection *findEvhttpConnection();
    evhttp_connection *evhttpConnection() const { return connection_; }
    bufferevent *buffer() const { return buffer_; }

    // The responder of the pending request, or null.
    EvhttpResponder *responder = nullptr;
    // Whether our own answer is being passed to evhttp.
    bool isAnswering = false;

    // The request was answered or dropped.
    void finishRequest();

    bool isOverLimit() const;
    bool hasEvhttpAnswer() const { return hasEvhttpAnswer_; }
    void clearEvhttpAnswer() { hasEvhttpAnswer_ = false; }

    // For how long the request that is being received has been under way; 0 if there is none.
    Millis requestAge(Millis now) const;

    // For how long the connection has been closable when another one needs its place; negative if
    // it is not.
    Millis overdue(Millis now) const;

private:
    static void onInput(evbuffer *, const evbuffer_cb_info *info, void *self);
    static void onOutput(evbuffer *, const evbuffer_cb_info *info, void *self);
    void recount();
    void limitReading(size_t bytes);
    void handleWritten(size_t waitingBytes);
    bool isWriting() const;
    bool isReceiving() const;

    Options options_;
    bufferevent *buffer_;
    evhttp_connection *connection_ = nullptr;
    evbuffer_cb_entry *inputEntry_;
    evbuffer_cb_entry *outputEntry_;
    // Bytes read for the present request.
    size_t receivedBytes_ = 0;
    size_t heldBytes_ = 0;
    Millis acceptedAt_;
    // 0 if no byte of a request has been read.
    Millis requestStartedAt_{ 0 };
    // 0 if no request was answered yet.
    Millis answeredAt_{ 0 };
    // When a part of an answer was last written to the socket.
    Millis writtenAt_{ 0 };
    bool hasEvhttpAnswer_ = false;
};

} // namespace basilgap::network
