#include "Basilgap/Network/HttpConnection.h"

#include <algorithm>
#include <charconv>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>

#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::network {

namespace {

constexpr size_t MaxHeaderBytes = 64 * 1024;

// A loop that is late notices in separate turns that the connection is open, that the request can
// be written, and that the answer has arrived.
constexpr int TurnsToAnswer = 3;

// Longest time that a connection may be idle between two exchanges.
constexpr int64_t IdleSeconds = 60;

evhttp_cmd_type methodType(const std::string &method)
{
    if (method == "GET")
        return EVHTTP_REQ_GET;
    if (method == "HEAD")
        return EVHTTP_REQ_HEAD;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    if (method == "OPTIONS")
        return EVHTTP_REQ_OPTIONS;
    if (method == "PATCH")
        return EVHTTP_REQ_PATCH;
    return EVHTTP_REQ_POST;
}

void setSentFlag(evbuffer *, const evbuffer_cb_info *info, void *flag)
{
    if (info->n_deleted > 0)
        *static_cast<bool *>(flag) = true;
}

HttpResponse readResponse(evhttp_request *request)
{
    HttpResponse response;
    response.status = evhttp_request_get_response_code(request);
    const evkeyvalq *headers = evhttp_request_get_input_headers(request);
    for (const evkeyval *header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
        response.headers.push_back({ header->key, header->value });
    evbuffer *body = evhttp_request_get_input_buffer(request);
    response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, response.body.data(), response.body.size());
    return response;
}

} // namespace

HttpConnection::HttpConnection(EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , timeoutTimer_(loop, [this] { handleTimeout(); })
    , reportTimer_(loop, [this] {
        auto done = std::move(done_);
        done_ = nullptr;
        // After the result was set, the connection may still have opened and the request been sent.
        result_.bytesSent = result_.bytesSent || bytesSent_;
        done(std::move(result_));
    })
{
    connect();
}

HttpConnection::~HttpConnection()
{
    if (connection_ == nullptr)
        return;
    evhttp_connection_set_closecb(connection_, nullptr, nullptr);
    done_ = nullptr;
    evhttp_connection_free(connection_);
}

void HttpConnection::connect()
{
    const auto address = parseAddress(options_.address);
    if (!address)
        return;
    bufferevent *buffer = bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    connection_ = evhttp_connection_base_bufferevent_new(
        loop_.base(), nullptr, buffer, address->host.c_str(), address->port);
    evhttp_connection_set_retries(connection_, 0);
    evhttp_connection_set_max_body_size(
        connection_, static_cast<ev_ssize_t>(options_.maxBodyBytes));
    evhttp_connection_set_max_headers_size(connection_, MaxHeaderBytes);
    evbuffer_add_cb(bufferevent_get_output(buffer), setSentFlag, &bytesSent_);
    evhttp_connection_set_closecb(connection_, onClosed, this);
}

void HttpConnection::exchange(
    const HttpRequest &request, Millis timeout, std::function<void(ExchangeResult)> done)
{
    done_ = std::move(done);
    bytesSent_ = false;
    timeout_ = timeout;
    deadline_ = steadyNow() + timeout;
    turnsWaited_ = 0;
    failure_ = ExchangeEnd::Broken;
    isHead_ = request.method == "HEAD";
    if (connection_ == nullptr)
        return finish({ .end = ExchangeEnd::ConnectFailed, .response = {} });
    evhttp_request *outgoing = evhttp_request_new(onAnswer, this);
    evhttp_request_set_error_cb(outgoing, onFailure);
    evkeyvalq *headers = evhttp_request_get_output_headers(outgoing);
    for (const Header &header : request.headers)
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    evhttp_add_header(headers, "Host", options_.address.c_str());
    // evhttp sets Content-Length only for methods that usually have a body.
    if (!request.body.empty() || request.method == "POST" || request.method == "PUT"
        || request.method == "PATCH")
        evhttp_add_header(headers, "Content-Length", std::to_string(request.body.size()).c_str());
    evbuffer_add(
        evhttp_request_get_output_buffer(outgoing), request.body.data(), request.body.size());
    timeoutTimer_.startOnce(timeout);
    // The timeout of evhttp also applies while the connection is idle between exchanges, so the
    // timeout of the exchange is enforced by a timer.
    const timeval idleLimit{ timeout.count() / 1000 + IdleSeconds, 0 };
    evhttp_connection_set_timeout_tv(connection_, &idleLimit);
    isRequesting_ = true;
    const int failed = evhttp_make_request(
        connection_, outgoing, methodType(request.method), request.target.c_str());
    isRequesting_ = false;
    if (failed != 0)
        finish({ .end = ExchangeEnd::ConnectFailed, .response = {} });
}

// While the loop is late it neither writes requests nor reads answers. The exchange gets that time
// on top, at most its own time again, and ends only after the loop has looked at its socket again.
void HttpConnection::handleTimeout()
{
    const Millis now = steadyNow();
    const Millis late = std::clamp(now - deadline_, Millis(0), timeout_);
    if (turnsWaited_++ >= TurnsToAnswer)
        return finish({ .end = ExchangeEnd::Timeout, .response = {} });
    deadline_ = now + late;
    timeoutTimer_.startOnce(late);
}

bool HttpConnection::isComplete(evhttp_request *request) const
{
    const char *length =
        evhttp_find_header(evhttp_request_get_input_headers(request), "Content-Length");
    if (length == nullptr || isHead_)
        return true;
    size_t expected = 0;
    std::from_chars(length, length + std::char_traits<char>::length(length), expected);
    return evbuffer_get_length(evhttp_request_get_input_buffer(request)) == expected;
}

void HttpConnection::onAnswer(evhttp_request *request, void *self)
{
    auto *connection = static_cast<HttpConnection *>(self);
    if (!connection->done_)
        return;
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        const ExchangeEnd end =
            connection->bytesSent_ ? connection->failure_ : ExchangeEnd::ConnectFailed;
        return connection->finish({ .end = end,
            .response = {},
            .connectionRefused = end == ExchangeEnd::ConnectFailed && connection->wasRefused() });
    }
    if (!connection->isComplete(request))
        return connection->finish({ .end = ExchangeEnd::Broken, .response = {} });
    connection->finish({ .end = ExchangeEnd::Complete, .response = readResponse(request) });
}

// A failure while the request is being made is one of this process, for instance without free
// descriptors. A connection that had been open is closed before its request fails.
bool HttpConnection::wasRefused() const
{
    return !isRequesting_ && reusable_;
}

void HttpConnection::onFailure(evhttp_request_error error, void *self)
{
    auto *connection = static_cast<HttpConnection *>(self);
    if (error == EVREQ_HTTP_TIMEOUT)
        connection->failure_ = ExchangeEnd::Timeout;
    if (error == EVREQ_HTTP_DATA_TOO_LONG)
        connection->failure_ = ExchangeEnd::TooLarge;
}

void HttpConnection::onClosed(evhttp_connection *, void *self)
{
    static_cast<HttpConnection *>(self)->reusable_ = false;
}

// Reports from the event loop, because evhttp still uses the connection during its callbacks.
void HttpConnection::finish(ExchangeResult result)
{
    if (reportTimer_.isPending())
        return;
    timeoutTimer_.cancel();
    result.bytesSent = bytesSent_;
    if (result.end != ExchangeEnd::Complete)
        reusable_ = false;
    const auto close = findHeader(result.response.headers, "Connection");
    if (close && *close == "close")
        reusable_ = false;
    result_ = std::move(result);
    reportTimer_.startOnce(Millis(0));
}

void fetchOnce(EventLoop &loop, const std::string &address, const HttpRequest &request,
    Millis timeout, std::function<void(ExchangeResult)> done)
{
    auto connection =
        std::make_shared<HttpConnection>(loop, HttpConnection::Options{ .address = address });
    connection->exchange(request, timeout, [connection, done](ExchangeResult result) mutable {
        done(std::move(result));
        connection.reset();
    });
}

ExchangeResult fetchAndWait(const std::string &address, const HttpRequest &request, Millis timeout)
{
    EventLoop loop;
    ExchangeResult result;
    fetchOnce(loop, address, request, timeout, [&](ExchangeResult ended) {
        result = std::move(ended);
        loop.stop();
    });
    loop.run();
    return result;
}

} // namespace basilgap::network
