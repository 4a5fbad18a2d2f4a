#include "Basilgap/Network/HttpServer.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::network {

namespace {

constexpr Millis ResumeInterval{ 50 };
constexpr Millis SlowRequestInterval{ 1000 };

// The start of an answer up to its status code, as in "HTTP/1.1 413".
constexpr size_t StatusEnd = 12;
constexpr size_t StatusStart = 9;

// All methods that evhttp knows, so that none is refused before the handler sees it.
constexpr uint16_t AllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT
    | EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char *methodName(evhttp_cmd_type method)
{
    switch (method) {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    default:
        return "PATCH";
    }
}

std::string removeBody(evbuffer *buffer)
{
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

HttpRequest readRequest(evhttp_request *request)
{
    HttpRequest read;
    read.method = methodName(evhttp_request_get_command(request));
    read.target = evhttp_request_get_uri(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
        read.headers.push_back({ header->key, header->value });
    read.body = removeBody(evhttp_request_get_input_buffer(request));
    char *host = nullptr;
    uint16_t port = 0;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &host, &port);
    read.peer = std::string(host == nullptr ? "?" : host) + ":" + std::to_string(port);
    return read;
}

} // namespace

class EvhttpResponder : public Responder
{
public:
    EvhttpResponder(HttpServer *server, evhttp_request *request)
        : server_(server)
        , alive_(server->alive_)
        , request_(request)
    {
        server_->pendingRequests_++;
        connection()->responder = this;
    }

    ~EvhttpResponder() override
    {
        if (request_ != nullptr)
            answer(HttpResponse{ .status = 503, .headers = {}, .body = "" });
    }

    void answer(HttpResponse response) override
    {
        if (request_ == nullptr)
            return;
        // Several answers may be given before enforce() runs.
        if (*alive_ && server_->options_.limits->isGreediest(response.body.size())) {
            server_->options_.limits->countRefusal(
                RefusalClass::TotalBytes, server_->options_.address);
            return abort();
        }
        HttpServerConnection *answered = *alive_ ? connection() : nullptr;
        evhttp_request *request = release();
        if (answered == nullptr)
            return;
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        for (const Header &header : response.headers)
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        if (!server_->isAccepting_ || server_->closesAfterAnswers_ || server_->takePlaceWanted())
            evhttp_add_header(headers, "Connection", "close");
        evbuffer *body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        answered->isAnswering = true;
        evhttp_send_reply(request, response.status, nullptr, body);
        answered->isAnswering = false;
        evbuffer_free(body);
    }

    void abort() override
    {
        if (request_ == nullptr)
            return;
        HttpServerConnection *aborted = *alive_ ? connection() : nullptr;
        evhttp_request *request = release();
        if (aborted == nullptr)
            return;
        // evhttp still uses the connection further up the call stack. Shutting down the socket
        // makes it clean up by itself.
        const linger none{ 1, 0 };
        const int socket = bufferevent_getfd(aborted->buffer());
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        shutdown(socket, SHUT_RDWR);
        aborted->isAnswering = true;
        evhttp_send_reply(request, 503, nullptr, nullptr);
        aborted->isAnswering = false;
    }

    bool isCallerGone() const override
    {
        if (request_ == nullptr || isHungUp_ || !*alive_)
            return true;
        bufferevent *buffer =
            evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
        pollfd socket{ .fd = bufferevent_getfd(buffer), .events = POLLRDHUP, .revents = 0 };
        return ::poll(&socket, 1, 0) > 0;
    }

    // evhttp does not read while a request is being answered, so it does not detect the end of the
    // connection by itself.
    void onCallerGone(std::function<void()> callback) override
    {
        callerGoneCallback_ = std::move(callback);
        if (request_ == nullptr || !*alive_)
            return;
        bufferevent *buffer =
            evhttp_connection_get_bufferevent(evhttp_request_get_connection(request_));
        hangUpEvent_.reset(event_new(
            bufferevent_get_base(buffer), bufferevent_getfd(buffer), EV_CLOSED, onHangUp, this));
        event_add(hangUpEvent_.get(), nullptr);
    }

    void handleConnectionClosed()
    {
        release();
        notifyCallerGone();
    }

private:
    static void onHangUp(evutil_socket_t, short, void *self)
    {
        static_cast<EvhttpResponder *>(self)->notifyCallerGone();
    }

    // The callback may drop the last reference to this object.
    void notifyCallerGone()
    {
        isHungUp_ = true;
        hangUpEvent_.reset();
        const std::function<void()> callback = std::move(callerGoneCallback_);
        callerGoneCallback_ = nullptr;
        if (callback)
            callback();
    }

    evhttp_request *release()
    {
        evhttp_request *request = request_;
        request_ = nullptr;
        hangUpEvent_.reset();
        if (!*alive_)
            return request;
        server_->pendingRequests_--;
        HttpServerConnection *released = server_->find(evhttp_request_get_connection(request));
        if (released != nullptr)
            released->finishRequest();
        return request;
    }

    HttpServerConnection *connection() const
    {
        return server_->find(evhttp_request_get_connection(request_));
    }

    HttpServer *server_;
    std::shared_ptr<bool> alive_;
    evhttp_request *request_;
    std::function<void()> callerGoneCallback_;
    bool isHungUp_ = false;
    std::unique_ptr<event, EventDeleter> hangUpEvent_;
};

HttpServer::HttpServer(EventLoop &loop, HttpServerOptions options, RequestHandler handler)
    : options_(std::move(options))
    , handler_(std::move(handler))
    , http_(evhttp_new(loop.base()))
    , attentionEvent_(event_new(loop.base(), -1, 0, onAttention, this))
    , lingering_(loop)
    , resumeTimer_(loop, [this] { resumeAccepting(); })
    , slowRequestTimer_(loop, [this] { closeSlowRequests(); })
{
    if (options_.limits == nullptr)
        options_.limits = std::make_shared<ClientLimits>();
    slowRequestTimer_.startRepeating(SlowRequestInterval);
    event_priority_set(attentionEvent_.get(), UrgentPriority);
    evhttp_set_allowed_methods(http_, AllMethods);
    evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(options_.maxBodyBytes));
    evhttp_set_max_headers_size(http_, static_cast<ev_ssize_t>(options_.maxHeaderBytes));
    const timeval idle{ options_.idleTimeout.count() / 1000,
        (options_.idleTimeout.count() % 1000) * 1000 };
    evhttp_set_timeout_tv(http_, &idle);
    evhttp_set_gencb(http_, handle, this);
    evhttp_set_bevcb(http_, onAccept, this);
}

Result<std::unique_ptr<HttpServer>> HttpServer::listen(
    EventLoop &loop, HttpServerOptions options, RequestHandler handler)
{
    const auto target = parseAddress(options.address);
    if (!target)
        return fail(target.error());
    const std::string address = options.address;
    std::unique_ptr<HttpServer> server(
        new HttpServer(loop, std::move(options), std::move(handler)));
    server->socket_ =
        evhttp_bind_socket_with_handle(server->http_, target->host.c_str(), target->port);
    if (server->socket_ == nullptr)
        return fail(systemError("listen", address));
    return server;
}

HttpServer::~HttpServer()
{
    *alive_ = false;
    evhttp_free(http_);
    accepted_.clear();
}

std::string HttpServer::address() const
{
    return localAddress(evhttp_bound_socket_get_fd(socket_));
}

void HttpServer::stopAccepting()
{
    isAccepting_ = false;
    if (socket_ == nullptr)
        return;
    evhttp_del_accept_socket(http_, socket_);
    socket_ = nullptr;
}

bufferevent *HttpServer::onAccept(event_base *base, void *self)
{
    bufferevent *buffer = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (buffer != nullptr)
        static_cast<HttpServer *>(self)->recordAccepted(buffer);
    return buffer;
}

void HttpServer::recordAccepted(bufferevent *buffer)
{
    accepted_.push_back(std::make_unique<HttpServerConnection>(
        HttpServerConnection::Options{
            .maxRequestBytes = options_.maxHeaderBytes + options_.maxBodyBytes,
            .limits = *options_.limits,
            .owner = *this },
        buffer));
    event_active(attentionEvent_.get(), EV_TIMEOUT, 0);
    const bool isFull =
        options_.maxConnections != 0 && openConnections() >= options_.maxConnections;
    if (!isFull || isPaused_ || socket_ == nullptr)
        return;
    if (isConnectionWaiting() && closeMostOverdue())
        return;
    LogEvent("accepting-paused", LogLevel::Warning)
        .with("listener", options_.address)
        .with("open", openConnections());
    isPaused_ = true;
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    resumeTimer_.startRepeating(ResumeInterval);
}

// Whether the kernel has a connection that was not accepted yet. Nobody has to give a place
// otherwise.
bool HttpServer::isConnectionWaiting() const
{
    if (socket_ == nullptr)
        return false;
    pollfd listener{ .fd = evhttp_bound_socket_get_fd(socket_), .events = POLLIN, .revents = 0 };
    return ::poll(&listener, 1, 0) > 0;
}

void HttpServer::resumeAccepting()
{
    placesWanted_ = 0;
    if (openConnections() >= options_.maxConnections) {
        if (!isConnectionWaiting())
            return;
        if (!closeMostOverdue()) {
            placesWanted_ = 1;
            return;
        }
    }
    isPaused_ = false;
    resumeTimer_.cancel();
    LogEvent("accepting-resumed").with("listener", options_.address);
    if (socket_ != nullptr)
        evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
}

// Callers that send one request after another are never idle, so one of them gives its place after
// an answer. At most one does so in each ResumeInterval.
bool HttpServer::takePlaceWanted()
{
    if (placesWanted_ == 0)
        return false;
    placesWanted_--;
    options_.limits->countRefusal(RefusalClass::TooManyConnections, options_.address);
    return true;
}

bool HttpServer::closeMostOverdue()
{
    const Millis now = steadyNow();
    HttpServerConnection *most = nullptr;
    Millis mostOverdue{ 0 };
    for (const auto &[evhttp, connection] : connections_) {
        const Millis overdue = connection->overdue(now);
        if (overdue <= mostOverdue)
            continue;
        most = connection.get();
        mostOverdue = overdue;
    }
    if (most != nullptr)
        closeFor(most, RefusalClass::TooManyConnections);
    return most != nullptr;
}

void HttpServer::closeSlowRequests()
{
    const Millis now = steadyNow();
    std::vector<HttpServerConnection *> slow;
    for (const auto &[evhttp, connection] : connections_) {
        if (connection->requestAge(now) > options_.requestTimeout)
            slow.push_back(connection.get());
    }
    for (HttpServerConnection *connection : slow)
        closeFor(connection, RefusalClass::SlowRequest);
}

HttpServerConnection *HttpServer::find(evhttp_connection *connection)
{
    const auto found = connections_.find(connection);
    return found == connections_.end() ? nullptr : found->second.get();
}

void HttpServer::onAttention(evutil_socket_t, short, void *self)
{
    static_cast<HttpServer *>(self)->attend();
}

void HttpServer::needsAttention(HttpServerConnection *connection)
{
    needAttention_.insert(connection);
    event_active(attentionEvent_.get(), EV_TIMEOUT, 0);
}

void HttpServer::adoptAccepted()
{
    for (auto &connection : accepted_) {
        evhttp_connection *evhttp = connection->findEvhttpConnection();
        if (evhttp == nullptr)
            continue;
        evhttp_connection_set_closecb(evhttp, onConnectionClosed, this);
        connections_[evhttp] = std::move(connection);
    }
    accepted_.clear();
}

void HttpServer::attend()
{
    adoptAccepted();
    while (!needAttention_.empty()) {
        HttpServerConnection *connection = *needAttention_.begin();
        needAttention_.erase(needAttention_.begin());
        attend(connection);
    }
    options_.limits->enforce();
}

void HttpServer::attend(HttpServerConnection *connection)
{
    if (connection->hasEvhttpAnswer())
        return replaceEvhttpAnswer(connection);
    if (connection->isOverLimit() && connection->responder == nullptr)
        closeFor(connection, RefusalClass::ConnectionBytes);
}

// evhttp answers a body over its limit by itself and without our headers. Nothing of that answer
// has been written to the socket yet.
void HttpServer::replaceEvhttpAnswer(HttpServerConnection *connection)
{
    connection->clearEvhttpAnswer();
    evbuffer *output = bufferevent_get_output(connection->buffer());
    std::string start(StatusEnd, ' ');
    evbuffer_copyout(output, start.data(), start.size());
    const std::string status = start.substr(StatusStart);
    if (status == "400")
        return options_.limits->countRefusal(RefusalClass::Malformed, options_.address);
    if (status != "413")
        return;
    options_.limits->countRefusal(RefusalClass::TooLarge, options_.address);
    std::string answer = "HTTP/1.1 413 Request Entity Too Large\r\n";
    for (const Header &header : options_.tooLargeHeaders)
        answer += header.name + ": " + header.value + "\r\n";
    answer += "Content-Length: " + std::to_string(options_.tooLargeBody.size())
        + "\r\nConnection: close\r\n\r\n" + options_.tooLargeBody;
    // evhttp closes the connection once its answer is written. So it is never written, and ours
    // goes past evhttp; it is much smaller than a socket's buffer.
    bufferevent_disable(connection->buffer(), EV_READ | EV_WRITE);
    ::send(bufferevent_getfd(connection->buffer()), answer.data(), answer.size(),
        MSG_NOSIGNAL | MSG_DONTWAIT);
    evhttp_connection *evhttp = connection->evhttpConnection();
    if (!lingering_.add(connection->buffer(), [evhttp] { evhttp_connection_free(evhttp); }))
        evhttp_connection_free(evhttp);
}

void HttpServer::closeFor(HttpServerConnection *connection, RefusalClass refusal)
{
    options_.limits->countRefusal(refusal, options_.address);
    evhttp_connection_free(connection->evhttpConnection());
}

void HttpServer::onConnectionClosed(evhttp_connection *connection, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    const auto found = server->connections_.find(connection);
    if (found == server->connections_.end())
        return;
    // The responder's callback may look for the connection.
    const std::unique_ptr<HttpServerConnection> closed = std::move(found->second);
    server->connections_.erase(found);
    server->needAttention_.erase(closed.get());
    server->lingering_.remove(closed->buffer());
    if (closed->responder != nullptr)
        closed->responder->handleConnectionClosed();
}

void HttpServer::handle(evhttp_request *request, void *self)
{
    static_cast<HttpServer *>(self)->dispatch(request);
}

void HttpServer::dispatch(evhttp_request *request)
{
    adoptAccepted();
    auto responder = std::make_shared<EvhttpResponder>(this, request);
    if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) > options_.maxBodyBytes) {
        options_.limits->countRefusal(RefusalClass::TooLarge, options_.address);
        responder->answer({ 413, options_.tooLargeHeaders, options_.tooLargeBody });
        return;
    }
    if (options_.maxPending != 0 && pendingRequests_ > options_.maxPending) {
        options_.limits->countRefusal(RefusalClass::TooManyPending, options_.address);
        responder->answer(
            { 503, { { "Retry-After", "1" }, { "Basilgap-Outcome", "not-run" } }, "" });
        return;
    }
    handler_(readRequest(request), std::move(responder));
}

} // namespace basilgap::network
