#include "Http.h"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <stdexcept>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Record.h"

namespace review {

namespace {

constexpr int PollMs = 50;

sockaddr_in toSocketAddress(const std::string &address)
{
    const size_t colon = address.find(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<uint16_t>(std::atoi(address.c_str() + colon + 1)));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
        [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

// Splits the head of a message into its first line and its headers.
std::string readHead(const std::string &head, std::map<std::string, std::string> *headers)
{
    const size_t firstEnd = head.find("\r\n");
    size_t start = firstEnd + 2;
    while (start < head.size()) {
        const size_t end = std::min(head.find("\r\n", start), head.size());
        const std::string line = head.substr(start, end - start);
        const size_t colon = line.find(':');
        if (colon != std::string::npos) {
            const size_t value = line.find_first_not_of(' ', colon + 1);
            (*headers)[lower(line.substr(0, colon))] =
                value == std::string::npos ? "" : line.substr(value);
        }
        start = end + 2;
    }
    return head.substr(0, firstEnd);
}

// Takes one message with its body from the start of the buffer, if it is complete.
bool takeMessage(std::string *buffer, std::string *firstLine,
    std::map<std::string, std::string> *headers, std::string *body)
{
    const size_t headEnd = buffer->find("\r\n\r\n");
    if (headEnd == std::string::npos)
        return false;
    headers->clear();
    *firstLine = readHead(buffer->substr(0, headEnd + 2), headers);
    const auto length = headers->find("content-length");
    const size_t bytes =
        length == headers->end() ? 0 : std::strtoul(length->second.c_str(), nullptr, 10);
    if (buffer->size() < headEnd + 4 + bytes)
        return false;
    *body = buffer->substr(headEnd + 4, bytes);
    buffer->erase(0, headEnd + 4 + bytes);
    return true;
}

bool sendAll(int socket, const std::string &bytes)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

// Appends what arrives within the time. Returns 1 for bytes, 0 for none, -1 at the end.
int receive(int socket, std::string *buffer, int timeoutMs)
{
    pollfd waiting{ .fd = socket, .events = POLLIN, .revents = 0 };
    if (::poll(&waiting, 1, timeoutMs) <= 0)
        return 0;
    char bytes[16384];
    const ssize_t n = ::recv(socket, bytes, sizeof bytes, 0);
    if (n <= 0)
        return -1;
    buffer->append(bytes, static_cast<size_t>(n));
    return 1;
}

} // namespace

Response call(const std::string &address, const std::string &method, const std::string &path,
    const std::string &body, int timeoutMs,
    const std::vector<std::pair<std::string, std::string>> &headers)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toSocketAddress(address);
    Response response;
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    bool hasHost = false;
    for (const auto &[name, value] : headers) {
        text += name + ": " + value + "\r\n";
        hasHost = hasHost || name == "Host";
    }
    if (!hasHost)
        text += "Host: " + address + "\r\n";
    if (!body.empty())
        text += "Content-Type: application/json\r\n";
    text +=
        "Content-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
    const int64_t end = nowMs() + timeoutMs;
    const bool isConnected =
        ::connect(socket, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0;
    if (isConnected && sendAll(socket, text)) {
        std::string buffer;
        std::string firstLine;
        std::map<std::string, std::string> received;
        while (nowMs() < end) {
            if (receive(socket, &buffer, static_cast<int>(end - nowMs())) < 0)
                break;
            if (takeMessage(&buffer, &firstLine, &received, &response.body)) {
                response.status = std::atoi(firstLine.c_str() + firstLine.find(' ') + 1);
                break;
            }
        }
    }
    ::close(socket);
    return response;
}

HttpServer::HttpServer(const std::string &address, Handler handler)
    : handler_(std::move(handler))
    , listener_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in own = toSocketAddress(address);
    if (::bind(listener_, reinterpret_cast<const sockaddr *>(&own), sizeof own) != 0
        || ::listen(listener_, 128) != 0)
        throw std::runtime_error("cannot listen on " + address + ": " + std::strerror(errno));
    acceptThread_ = std::thread([this] { accept(); });
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (stopped_.exchange(true))
        return;
    acceptThread_.join();
    ::close(listener_);
    {
        const std::lock_guard lock(mutex_);
        for (const int socket : open_)
            ::shutdown(socket, SHUT_RDWR);
    }
    for (std::thread &thread : threads_)
        thread.join();
}

void HttpServer::accept()
{
    while (!stopped_) {
        pollfd waiting{ .fd = listener_, .events = POLLIN, .revents = 0 };
        if (::poll(&waiting, 1, PollMs) <= 0)
            continue;
        const int socket = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0)
            continue;
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        const std::lock_guard lock(mutex_);
        open_.insert(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void HttpServer::serve(int socket)
{
    std::string buffer;
    std::string firstLine;
    Request request;
    while (!stopped_) {
        if (!takeMessage(&buffer, &firstLine, &request.headers, &request.body)) {
            if (receive(socket, &buffer, PollMs) < 0)
                break;
            continue;
        }
        const size_t space = firstLine.find(' ');
        request.method = firstLine.substr(0, space);
        request.path = firstLine.substr(space + 1, firstLine.rfind(' ') - space - 1);
        const std::optional<Response> response = silent_ ? std::nullopt : handler_(request);
        while (!stopped_ && (silent_ || !response))
            sleepMs(PollMs);
        if (stopped_)
            break;
        const std::string text = "HTTP/1.1 " + std::to_string(response->status)
            + " -\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(response->body.size()) + "\r\n\r\n" + response->body;
        if (!sendAll(socket, text))
            break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(socket);
    ::close(socket);
}

} // namespace review
