#pragma once

#include <functional>
#include <memory>
#include <string>

#include <event2/http.h>

#include "Basilgap/Network/ClientConnection.h"
#include "Basilgap/Network/EventLoop.h"

namespace basilgap::network {

// A client connection to one HTTP/1.1 server, on evhttp.
class HttpConnection : public ClientConnection
{
public:
    struct Options
    {
        std::string address;
        size_t maxBodyBytes = 64 * 1024 * 1024;
    };

    HttpConnection(EventLoop &loop, Options options);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    void exchange(const HttpRequest &request, Millis timeout,
        std::function<void(ExchangeResult)> done) override;
    bool isReusable() const override { return reusable_; }

private:
    static void onAnswer(evhttp_request *request, void *self);
    static void onFailure(evhttp_request_error error, void *self);
    static void onClosed(evhttp_connection *, void *self);
    void connect();
    void handleTimeout();
    void finish(ExchangeResult result);
    bool isComplete(evhttp_request *request) const;
    bool wasRefused() const;

    EventLoop &loop_;
    Options options_;
    evhttp_connection *connection_ = nullptr;
    std::function<void(ExchangeResult)> done_;
    bool reusable_ = true;
    bool isHead_ = false;
    // While evhttp takes the request.
    bool isRequesting_ = false;
    bool bytesSent_ = false;
    Millis timeout_;
    // When the exchange ends, unless the loop is late.
    Millis deadline_;
    // Turns of the event loop for which the end of the exchange has been put off.
    int turnsWaited_ = 0;
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
