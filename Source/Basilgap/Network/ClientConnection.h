#pragma once

#include <functional>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::network {

enum class ExchangeEnd {
    // The complete answer arrived.
    Complete,
    // The connection could not be established.
    ConnectFailed,
    // The request waited for a connection and was no longer wanted when one became free.
    Dropped,
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
    // The server's host has refused the connection, or the network knows no way to it. Otherwise a
    // failure to connect may be a shortage of this process.
    bool connectionRefused = false;
};

// A client connection to one HTTP server that carries one exchange at a time. It must be discarded
// after an exchange that did not complete.
class ClientConnection
{
public:
    virtual ~ClientConnection() = default;

    // Sends a request. `done` is called once from the event loop, unless the connection is
    // destroyed first. `done` may destroy the connection.
    virtual void exchange(
        const HttpRequest &request, Millis timeout, std::function<void(ExchangeResult)> done) = 0;

    // Whether the connection may carry another exchange.
    virtual bool isReusable() const = 0;
};

} // namespace basilgap::network
