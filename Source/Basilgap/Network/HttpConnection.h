#pragma once

#include <functional>
#include <memory>
#include <string>

#include <event2/http.h>

#include "Basilgap/Network/EventLoop.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::network {

enum class ExchangeEnd {
    // The complete answer arrived.
    Complete,
    // The connection could not be established.
    ConnectFailed,
    // The connection was reset or closed early, or the answer is shorter than its Content-Length.
    Broken,
    Timeout,
    TooLarge,
};

struct ExchangeResult
{
    ExchangeEnd end = ExchangeEnd::Broken;
    // Valid if the end is Complete.
    HttpResponse response;
    // Whether any byte of the request left this process.
    bool bytesSent = false;
};

// A client connection to one HTTP/1.1 server that carries one exchange at a time. It must be
// discarded after an exchange that did not complete.
class HttpConnection
{
public:
    struct Options
    {
        std::string address;
        size_t maxBodyBytes = 64 * 1024 * 1024;
    };

    HttpConnection(EventLoop &loop, Options options);
    ~HttpConnection();
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    // Sends a request. `done` is called once from the event loop, unless the connection is
    // destroyed first. `done` may destroy the connection.
    void exchange(
        const HttpRequest &request, Millis timeout, std::function<void(ExchangeResult)> done);

    // Whether the connection may carry another exchange.
    bool isReusable() const { return reusable_; }

private:
    static void onAnswer(evhttp_request *request, void *self);
    static void onFailure(evhttp_request_error error, void *self);
    static void onClosed(evhttp_connection *, void *self);
    void connect();
    void finish(ExchangeResult result);
    bool isComplete(evhttp_request *request) const;

    EventLoop &loop_;
    Options options_;
    evhttp_connection *connection_ = nullptr;
    std::function<void(ExchangeResult)> done_;
    bool reusable_ = true;
    bool isHead_ = false;
    bool bytesSent_ = false;
    ExchangeEnd failure_ = ExchangeEnd::ConnectFailed;
    Timer timeoutTimer_;
    Timer reportTimer_;
    ExchangeResult result_;
};

// Sends one request on a connection of its own.
void fetchOnce(EventLoop &loop, const std::string &address, const HttpRequest &request,
    Millis timeout, std::function<void(ExchangeResult)> done);

// Sends one request and blocks until it ended, in its own event loop. For programs that have
// nothing else to do meanwhile.
ExchangeResult fetchAndWait(const std::string &address, const HttpRequest &request, Millis timeout);

} // namespace basilgap::network
