#pragma once

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <event2/bufferevent.h>
#include <event2/http.h>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/EventLoop.h"
#include "Basilgap/Network/HttpMessage.h"
#include "Basilgap/Network/HttpServerConnection.h"
#include "Basilgap/Network/LingeringSockets.h"

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
    // Largest body that is kept, in bytes. A larger one is answered 413 with `tooLargeBody` as soon
    // as its length is known.
    size_t maxBodyBytes = 1024 * 1024;
    size_t maxHeaderBytes = 16 * 1024;
    Millis idleTimeout{ 60000 };
    // A request that has not arrived in full within this time of its first byte is closed.
    Millis requestTimeout{ 60000 };
    // While this many connections are open, a further one takes the place of one that has sent no
    // request for some time, or waits until one is closed after its next answer; 0 means no limit.
    size_t maxConnections = 0;
    // Requests beyond this number of pending ones are answered 503 at once; 0 means no limit.
    size_t maxPending = 0;
    std::string tooLargeBody;
    Headers tooLargeHeaders;
    // Shared by the listeners of a process; by default a listener has no limit of its own.
    std::shared_ptr<ClientLimits> limits;
};

class EvhttpResponder;

// An HTTP/1.1 listener on evhttp. Bounds the bytes that each connection, and together with the
// other listeners of the process all connections, hold.
class HttpServer : private HttpServerConnection::Owner
{
public:
    static Result<std::unique_ptr<HttpServer>> listen(
        EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    ~HttpServer() override;
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    // Address with the port that was bound, for listeners on port 0.
    std::string address() const;

    // Closes the listener. Open connections stay and are closed after their next answer.
    void stopAccepting();

    // Tells callers to close their connection after the next answer; new ones are still accepted.
    void closeAfterAnswers() { closesAfterAnswers_ = true; }

    size_t openConnections() const { return connections_.size() + accepted_.size(); }

    // Number of requests that were read and not answered yet.
    size_t pendingRequests() const { return pendingRequests_; }

private:
    friend class EvhttpResponder;

    HttpServer(EventLoop &loop, HttpServerOptions options, RequestHandler handler);
    static void handle(evhttp_request *request, void *self);
    static bufferevent *onAccept(event_base *base, void *self);
    static void onConnectionClosed(evhttp_connection *connection, void *self);
    void dispatch(evhttp_request *request);
    static void onAttention(evutil_socket_t, short, void *self);
    void needsAttention(HttpServerConnection *connection) override;
    void closeFor(HttpServerConnection *connection, RefusalClass refusal) override;
    void recordAccepted(bufferevent *buffer);
    void adoptAccepted();
    void attend();
    void attend(HttpServerConnection *connection);
    void replaceEvhttpAnswer(HttpServerConnection *connection);
    bool isConnectionWaiting() const;
    bool closeMostOverdue();
    bool takePlaceWanted();
    void closeSlowRequests();
    void resumeAccepting();
    HttpServerConnection *find(evhttp_connection *connection);

    HttpServerOptions options_;
    RequestHandler handler_;
    evhttp *http_;
    evhttp_bound_socket *socket_ = nullptr;
    // Connections that were accepted in this turn of the event loop. Their evhttp connections are
    // not known yet.
    std::vector<std::unique_ptr<HttpServerConnection>> accepted_;
    std::unordered_map<evhttp_connection *, std::unique_ptr<HttpServerConnection>> connections_;
    std::unordered_set<HttpServerConnection *> needAttention_;
    // Runs attend() outside of evhttp, before the event loop reads or writes again.
    std::unique_ptr<event, EventDeleter> attentionEvent_;
    LingeringSockets lingering_;
    bool isPaused_ = false;
    // Connections to close after their next answer, because others wait for a place.
    size_t placesWanted_ = 0;
    Timer resumeTimer_;
    Timer slowRequestTimer_;
    size_t pendingRequests_ = 0;
    bool isAccepting_ = true;
    bool closesAfterAnswers_ = false;
    // False once the server is destroyed. Shared with the responders, which may outlive it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::network
