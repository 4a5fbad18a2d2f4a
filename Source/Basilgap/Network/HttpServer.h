#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

#include <event2/bufferevent.h>
#include <event2/http.h>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/EventLoop.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::network {

// Sends the answer to one request. Exactly one answer is sent: a responder that is destroyed
// unanswered answers 503. Answering after the caller has disconnected does nothing.
class Responder
{
public:
    virtual ~Responder() = default;
    virtual void answer(HttpResponse response) = 0;
    // Closes the connection without an answer.
    virtual void abort() = 0;
    // Asks the socket, as a process that was suspended reads requests of callers that have gone.
    virtual bool isCallerGone() const = 0;
    // Called when the caller closes its connection before the answer.
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

using ResponderPointer = std::shared_ptr<Responder>;
using RequestHandler = std::function<void(HttpRequest, ResponderPointer)>;

struct HttpServerOptions
{
    std::string address;
    // Largest body that is read, in bytes. A larger one is answered 413 with `tooLargeBody`.
    size_t maxBodyBytes = 1024 * 1024;
    size_t maxHeaderBytes = 16 * 1024;
    Millis idleTimeout{ 60000 };
    // While this many connections are open, no further one is accepted; 0 means no limit.
    size_t maxConnections = 0;
    // Requests beyond this number of pending ones are answered 503 at once; 0 means no limit.
    size_t maxPending = 0;
    std::string tooLargeBody;
    Headers tooLargeHeaders;
};

class EvhttpResponder;

// An HTTP/1.1 listener on evhttp.
class HttpServer
{
public:
    static Result<std::unique_ptr<HttpServer>> listen(
        EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Address with the port that was bound, for listeners on port 0.
    std::string address() const;

    // Closes the listener. Open connections stay and are closed after their next answer.
    void stopAccepting();

    // Tells callers to close their connection after the next answer; new ones are still accepted.
    void closeAfterAnswers() { closesAfterAnswers_ = true; }

    size_t openConnections() const { return connections_.size() + silentSince_.size(); }

    // Number of requests that were read and not answered yet.
    size_t pendingRequests() const { return pendingRequests_; }

private:
    friend class EvhttpResponder;

    HttpServer(EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    static void handle(evhttp_request *request, void *self);
    static bufferevent *onAccept(event_base *base, void *self);
    static void onConnectionClosed(evhttp_connection *connection, void *self);
    void dispatch(evhttp_request *request);
    void recordAccepted();
    void recordConnection(evhttp_connection *connection);
    void resumeAccepting();

    HttpServerOptions options_;
    RequestHandler handler_;
    evhttp *http_;
    evhttp_bound_socket *socket_ = nullptr;
    // Connections that have sent a request, with the responder of their pending request or null.
    std::unordered_map<evhttp_connection *, EvhttpResponder *> connections_;
    // When each connection was accepted that has sent no request yet. evhttp does not report the
    // end of these, so they count until they would have timed out.
    std::deque<Millis> silentSince_;
    bool isPaused_ = false;
    Timer resumeTimer_;
    size_t pendingRequests_ = 0;
    bool isAccepting_ = true;
    bool closesAfterAnswers_ = false;
    // False once the server is destroyed. Shared with the responders, which may outlive it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::network
