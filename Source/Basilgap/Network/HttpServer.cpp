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

// evhttp answers a body above its own limit without our headers, so its limit is above ours.
constexpr size_t BodySlackBytes = 4 * 1024 * 1024;

constexpr Millis ResumeInterval{ 50 };

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
        server_->connections_[evhttp_request_get_connection(request)] = this;
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
        evhttp_request *request = release();
        if (!*alive_)
            return;
        evkeyvalq *headers = evhttp_request_get_output_headers(request);
        for (const Header &header : response.headers)
            evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
        if (!server_->isAccepting_ || server_->closesAfterAnswers_)
            evhttp_add_header(headers, "Connection", "close");
        evbuffer *body = evbuffer_new();
        evbuffer_add(body, response.body.data(), response.body.size());
        evhttp_send_reply(request, response.status, nullptr, body);
        evbuffer_free(body);
    }

    void abort() override
    {
        if (request_ == nullptr)
            return;
        evhttp_request *request = release();
        if (!*alive_)
            return;
        evhttp_connection *connection = evhttp_request_get_connection(request);
        // evhttp still uses the connection further up the call stack. Shutting down the socket
        // makes it clean up by itself.
        const linger none{ 1, 0 };
        const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        setsockopt(socket, SOL_SOCKET, SO_LINGER, &none, sizeof none);
        shutdown(socket, SHUT_RDWR);
        evhttp_send_reply(request, 503, nullptr, nullptr);
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
        const auto connection = server_->connections_.find(evhttp_request_get_connection(request));
        if (connection != server_->connections_.end())
            connection->second = nullptr;
        return request;
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
    , resumeTimer_(loop, [this] { resumeAccepting(); })
{
    evhttp_set_allowed_methods(http_, AllMethods);
    evhttp_set_max_body_size(
        http_, static_cast<ev_ssize_t>(options_.maxBodyBytes + BodySlackBytes));
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
    static_cast<HttpServer *>(self)->recordAccepted();
    return bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
}

void HttpServer::recordAccepted()
{
    silentSince_.push_back(steadyNow());
    const bool isFull =
        options_.maxConnections != 0 && openConnections() >= options_.maxConnections;
    if (!isFull || isPaused_ || socket_ == nullptr)
        return;
    LogEvent("accepting-paused", LogLevel::Warning)
        .with("listener", options_.address)
        .with("open", openConnections());
    isPaused_ = true;
    evconnlistener_disable(evhttp_bound_socket_get_listener(socket_));
    resumeTimer_.startRepeating(ResumeInterval);
}

void HttpServer::resumeAccepting()
{
    const Millis now = steadyNow();
    while (!silentSince_.empty() && now - silentSince_.front() > options_.idleTimeout)
        silentSince_.pop_front();
    if (openConnections() >= options_.maxConnections)
        return;
    isPaused_ = false;
    resumeTimer_.cancel();
    LogEvent("accepting-resumed").with("listener", options_.address);
    if (socket_ != nullptr)
        evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
}

void HttpServer::recordConnection(evhttp_connection *connection)
{
    evhttp_connection_set_closecb(connection, onConnectionClosed, this);
    if (connections_.try_emplace(connection, nullptr).second && !silentSince_.empty())
        silentSince_.pop_front();
}

void HttpServer::onConnectionClosed(evhttp_connection *connection, void *self)
{
    auto *server = static_cast<HttpServer *>(self);
    const auto found = server->connections_.find(connection);
    if (found == server->connections_.end())
        return;
    EvhttpResponder *responder = found->second;
    server->connections_.erase(found);
    if (responder != nullptr)
        responder->handleConnectionClosed();
}

void HttpServer::handle(evhttp_request *request, void *self)
{
    static_cast<HttpServer *>(self)->dispatch(request);
}

void HttpServer::dispatch(evhttp_request *request)
{
    recordConnection(evhttp_request_get_connection(request));
    auto responder = std::make_shared<EvhttpResponder>(this, request);
    if (evbuffer_get_length(evhttp_request_get_input_buffer(request)) > options_.maxBodyBytes) {
        responder->answer({ 413, options_.tooLargeHeaders, options_.tooLargeBody });
        return;
    }
    if (options_.maxPending != 0 && pendingRequests_ > options_.maxPending) {
        responder->answer(
            { 503, { { "Retry-After", "1" }, { "Basilgap-Outcome", "not-run" } }, "" });
        return;
    }
    handler_(readRequest(request), std::move(responder));
}

} // namespace basilgap::network
