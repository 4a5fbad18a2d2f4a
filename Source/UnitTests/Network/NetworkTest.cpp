#include <array>
#include <optional>
#include <thread>

#include <event2/bufferevent.h>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <rapidcheck/gtest.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Basilgap/Network/BackgroundThread.h"
#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"
#include "Basilgap/Network/Mailbox.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/PeerServer.h"

namespace basilgap::network {

namespace {

constexpr Millis RunTimeout{ 5000 };

// Runs the loop until the condition holds or the time is up. Returns whether it holds.
bool runUntil(EventLoop &loop, const std::function<bool()> &condition)
{
    const Millis end = steadyNow() + RunTimeout;
    Timer checker(loop, [&] {
        if (condition() || steadyNow() >= end)
            loop.stop();
    });
    checker.startRepeating(Millis(5));
    loop.run();
    return condition();
}

PeerServer::Options echoServer()
{
    return { .address = "127.0.0.1:0",
        .cellKey = "key",
        .onMessage = [](PeerStream &stream,
                         const schema::PeerMessage &message) { stream.send(message); },
        .onClosed = [](PeerStream &) {} };
}

} // namespace

TEST(PeerStream, carriesLargeMessagesBothWays)
{
    EventLoop loop;
    auto server = PeerServer::listen(loop, echoServer());
    std::vector<size_t> sizes;
    PeerLink link(loop,
        { .address = (*server)->address(),
            .cellKey = "key",
            .hello = {},
            .onMessage =
                [&](const schema::PeerMessage &message) {
                    if (message.has_join_request())
                        sizes.push_back(message.join_request().key_hash().size());
                },
            .onUp =
                [&] {
                    for (const size_t size : { 1, 100'000, 6'000'000, 2 }) {
                        schema::PeerMessage message;
                        message.mutable_join_request()->set_key_hash(std::string(size, 'x'));
                        link.send(message);
                    }
                },
            .onDown = [] {} });
    EXPECT_TRUE(runUntil(loop, [&] { return sizes.size() == 4; }));
    EXPECT_EQ(sizes, (std::vector<size_t>{ 1, 100'000, 6'000'000, 2 }));
}

TEST(PeerStream, wrongKeyIsRejected)
{
    EventLoop loop;
    int received = 0;
    auto options = echoServer();
    options.onMessage = [&](PeerStream &, const schema::PeerMessage &) { received++; };
    auto server = PeerServer::listen(loop, options);
    int downs = 0;
    PeerLink link(loop,
        { .address = (*server)->address(),
            .cellKey = "wrong",
            .hello = {},
            .onMessage = [](const schema::PeerMessage &) {},
            .onUp = [] {},
            .onDown = [&] { downs++; } });
    EXPECT_TRUE(runUntil(loop, [&] { return downs > 1; }));
    EXPECT_EQ(received, 0);
}

TEST(PeerLink, reconnectsAfterThePeerRestarts)
{
    EventLoop loop;
    auto server = PeerServer::listen(loop, echoServer());
    const std::string address = (*server)->address();
    int ups = 0;
    PeerLink link(loop,
        { .address = address,
            .cellKey = "key",
            .hello = {},
            .onMessage = [](const schema::PeerMessage &) {},
            .onUp = [&] { ups++; },
            .onDown = [] {} });
    ASSERT_TRUE(runUntil(loop, [&] { return ups == 1; }));
    server->reset();
    ASSERT_TRUE(runUntil(loop, [&] { return !link.isUp(); }));
    auto options = echoServer();
    options.address = address;
    server = PeerServer::listen(loop, options);
    ASSERT_TRUE(server.has_value());
    EXPECT_TRUE(runUntil(loop, [&] { return ups == 2; }));
}

RC_GTEST_PROP(PeerServerProperty, survivesRandomBytes, (const std::vector<uint8_t> &bytes))
{
    EventLoop loop;
    auto server = PeerServer::listen(loop, echoServer());
    const auto address = parseAddress((*server)->address());
    sockaddr_storage storage{};
    const int length = toSockaddr(*address, &storage);
    bufferevent *raw = bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_socket_connect(raw, reinterpret_cast<sockaddr *>(&storage), length);
    // Half of the inputs follow the HTTP/2 connection preface.
    if (*rc::gen::arbitrary<bool>())
        bufferevent_write(raw, NGHTTP2_CLIENT_MAGIC, NGHTTP2_CLIENT_MAGIC_LEN);
    bufferevent_write(raw, bytes.data(), bytes.size());
    Timer end(loop, [&] { loop.stop(); });
    end.startOnce(Millis(3));
    loop.run();
    bufferevent_free(raw);
    RC_SUCCEED("no crash");
}

TEST(HttpServer, answersAndRefusesLargeBodies)
{
    EventLoop loop;
    auto server = HttpServer::listen(loop,
        { .address = "127.0.0.1:0",
            .maxBodyBytes = 1000,
            .tooLargeBody = "too large",
            .tooLargeHeaders = { { "Basilgap-Outcome", "not-run" } } },
        [](const HttpRequest &request, const ResponderPointer &responder) {
            responder->answer({ 200, {}, request.method + request.body });
        });
    std::vector<ExchangeResult> results;
    HttpRequest small{ .method = "POST", .target = "/x" };
    small.body = "hello";
    HttpRequest large = small;
    large.body = std::string(5000, 'x');
    const auto keep = [&](const ExchangeResult &result) { results.push_back(result); };
    fetchOnce(loop, (*server)->address(), small, RunTimeout, keep);
    ASSERT_TRUE(runUntil(loop, [&] { return results.size() == 1; }));
    fetchOnce(loop, (*server)->address(), large, RunTimeout, keep);
    ASSERT_TRUE(runUntil(loop, [&] { return results.size() == 2; }));
    EXPECT_EQ(results[0].response.body, "POSThello");
    EXPECT_EQ(results[1].response.status, 413);
    EXPECT_EQ(findHeader(results[1].response.headers, "Basilgap-Outcome"), "not-run");
}

TEST(HttpServer, detectsACallerThatDisconnects)
{
    EventLoop loop;
    bool gone = false;
    ResponderPointer held;
    auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0" },
        [&](const HttpRequest &, const ResponderPointer &responder) {
            held = responder;
            responder->onCallerGone([&] { gone = true; });
        });
    auto connection = std::make_unique<HttpConnection>(
        loop, HttpConnection::Options{ .address = (*server)->address() });
    connection->exchange(
        { .method = "GET", .target = "/" }, RunTimeout, [](const ExchangeResult &) {});
    ASSERT_TRUE(runUntil(loop, [&] { return held != nullptr; }));
    connection.reset();
    EXPECT_TRUE(runUntil(loop, [&] { return gone; }));
    held->answer({ 200, {}, "" });
    EXPECT_EQ((*server)->pendingRequests(), 0U);
}

TEST(HttpConnection, reportsHowAnExchangeEnded)
{
    EventLoop loop;
    auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0" },
        [&](const HttpRequest &request, const ResponderPointer &responder) {
            if (request.target == "/reset")
                return responder->abort();
            if (request.target == "/short")
                return responder->answer(
                    { 200, { { "Content-Length", "50" }, { "Connection", "close" } }, "short" });
            if (request.target == "/never") {
                static ResponderPointer held;
                held = responder;
            }
        });
    const auto endOf = [&](const std::string &address, const std::string &target) {
        std::optional<ExchangeResult> result;
        fetchOnce(loop, address, { .method = "GET", .target = target }, Millis(300),
            [&](const ExchangeResult &ended) { result = ended; });
        EXPECT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
        return *result;
    };
    const std::string address = (*server)->address();
    EXPECT_EQ(endOf(address, "/reset").end, ExchangeEnd::Broken);
    EXPECT_TRUE(endOf(address, "/reset").bytesSent);
    EXPECT_EQ(endOf(address, "/short").end, ExchangeEnd::Broken);
    EXPECT_EQ(endOf(address, "/never").end, ExchangeEnd::Timeout);
    const auto refused = endOf("127.0.0.1:1", "/");
    EXPECT_EQ(refused.end, ExchangeEnd::ConnectFailed);
    EXPECT_FALSE(refused.bytesSent);
    EXPECT_FALSE(endOf(address, "/reset").connectionRefused);
    EXPECT_FALSE(endOf(address, "/never").connectionRefused);
}

TEST(HttpConnection, refusalByTheServerIsReported)
{
    EventLoop loop;
    std::optional<ExchangeResult> result;
    fetchOnce(loop, "127.0.0.1:1", { .method = "GET", .target = "/" }, Millis(300),
        [&](const ExchangeResult &ended) { result = ended; });
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    EXPECT_EQ(result->end, ExchangeEnd::ConnectFailed);
    EXPECT_TRUE(result->connectionRefused);
}

// A process without free descriptors must not take its servers for dead.
TEST(HttpConnection, ownShortageIsNotReportedAsRefusal)
{
    EventLoop loop;
    auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0" },
        [](const HttpRequest &, const ResponderPointer &responder) {
            responder->answer({ 200, {}, "" });
        });
    std::optional<ExchangeResult> result;
    rlimit before{};
    ASSERT_EQ(getrlimit(RLIMIT_NOFILE, &before), 0);
    const rlimit none{ 0, before.rlim_max };
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &none), 0);
    fetchOnce(loop, (*server)->address(), { .method = "GET", .target = "/" }, Millis(300),
        [&](const ExchangeResult &ended) { result = ended; });
    ASSERT_EQ(setrlimit(RLIMIT_NOFILE, &before), 0);
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    EXPECT_EQ(result->end, ExchangeEnd::ConnectFailed);
    EXPECT_FALSE(result->bytesSent);
    EXPECT_FALSE(result->connectionRefused);
}

// The server closes a kept connection just when the next request is to go out. That alone does not
// mean that it refuses connections.
TEST(HttpConnection, aClosedConnectionIsNotReportedAsRefusal)
{
    EventLoop loop;
    auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0" },
        [](const HttpRequest &, const ResponderPointer &responder) {
            responder->answer({ 200, {}, "" });
        });
    HttpConnection connection(loop, { .address = (*server)->address() });
    std::optional<ExchangeResult> result;
    const auto fetch = [&] {
        result.reset();
        connection.exchange({ .method = "GET", .target = "/" }, Millis(300),
            [&](const ExchangeResult &ended) { result = ended; });
    };
    fetch();
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    ASSERT_EQ(result->end, ExchangeEnd::Complete);
    server->reset();
    fetch();
    ASSERT_TRUE(runUntil(loop, [&] { return result.has_value(); }));
    EXPECT_NE(result->end, ExchangeEnd::Complete);
    EXPECT_FALSE(result->connectionRefused);
}

TEST(Mailbox, deliversFromTheEventLoopUpToItsCapacity)
{
    EventLoop loop;
    std::vector<int> got;
    Mailbox<int> mailbox(loop, 2, [&](int value) { got.push_back(value); });
    EXPECT_TRUE(mailbox.post(1));
    EXPECT_TRUE(mailbox.post(2));
    EXPECT_FALSE(mailbox.post(3));
    EXPECT_TRUE(got.empty());
    EXPECT_TRUE(runUntil(loop, [&] { return got.size() == 2; }));
    EXPECT_EQ(mailbox.dropped(), 1U);
}

// Guards against reporting a sent request as unsent. It was seen as LIMIT next to a lossy link: the
// timeout fired in the same loop iteration in which the connection opened, so the order was sent
// after its result had been set.
TEST(HttpConnection, requestSentAfterTheTimeoutIsReportedAsSent)
{
    EventLoop loop;
    int seen = 0;
    auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0" },
        [&](const HttpRequest &, const ResponderPointer &responder) {
            seen++;
            responder->answer(jsonResponse(200, "{}"));
        });
    ASSERT_TRUE(server);
    constexpr int Requests = 200;
    int sent = 0;
    int reported = 0;
    for (int i = 0; i < Requests; i++) {
        const HttpRequest request{ "POST", "/", {}, "x", "" };
        fetchOnce(
            loop, (*server)->address(), request, Millis(i % 3), [&](const ExchangeResult &result) {
                sent += result.bytesSent ? 1 : 0;
                reported++;
            });
        Timer timer(loop, [&loop] { loop.stop(); });
        timer.startOnce(Millis(4));
        loop.run();
    }
    // On a busy host the loop may stop before a result is reported.
    ASSERT_TRUE(runUntil(loop, [&] { return reported == Requests; }));
    EXPECT_GE(sent, seen);
}

// A listening socket that completes no further connection until it accepts the one that fills its
// queue. The kernel drops the first packet of a later connection and repeats it after a second.
class FullListener
{
public:
    FullListener()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto *generic = reinterpret_cast<sockaddr *>(&address);
        socklen_t length = sizeof(address);
        const timeval limit{ 5, 0 };
        setsockopt(listener_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
        isFull_ = bind(listener_, generic, length) == 0 && listen(listener_, 0) == 0
            && getsockname(listener_, generic, &length) == 0
            && connect(filler_, generic, length) == 0;
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    }
    ~FullListener()
    {
        close(listener_);
        close(filler_);
    }
    FullListener(const FullListener &) = delete;
    FullListener &operator=(const FullListener &) = delete;

    bool isFull() const { return isFull_; }
    const std::string &address() const { return address_; }

    // Blocks until the next connection is open, and returns its descriptor.
    int acceptNext() const
    {
        close(accept(listener_, nullptr, nullptr));
        return accept(listener_, nullptr, nullptr);
    }

private:
    int listener_ = socket(AF_INET, SOCK_STREAM, 0);
    int filler_ = socket(AF_INET, SOCK_STREAM, 0);
    bool isFull_ = false;
    std::string address_;
};

// The connection opens after the timeout, in the loop iteration in which the result is reported.
TEST(HttpConnection, requestSentBetweenTheTimeoutAndItsReportIsReportedAsSent)
{
    FullListener server;
    ASSERT_TRUE(server.isFull());
    EventLoop loop;
    std::optional<ExchangeResult> result;
    fetchOnce(loop, server.address(), { "POST", "/", {}, "x", "" }, Millis(10),
        [&](ExchangeResult ended) {
            result = std::move(ended);
            loop.stop();
        });
    int accepted = -1;
    Timer accepter(loop, [&] { accepted = server.acceptNext(); });
    accepter.startOnce(Millis(11));
    // Both timers are due in the first iteration of the loop.
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
    loop.run();
    ASSERT_GE(accepted, 0);
    std::array<char, 64> received{};
    const ssize_t size = recv(accepted, received.data(), received.size(), 0);
    close(accepted);
    ASSERT_GT(size, 0) << "the request was not sent";
    EXPECT_EQ(result->end, ExchangeEnd::Timeout);
    EXPECT_TRUE(result->bytesSent);
}

namespace {

// Answers each request on one connection at once, from a thread of its own.
class PromptServer
{
public:
    PromptServer()
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        bind(listener_, reinterpret_cast<sockaddr *>(&address), length);
        listen(listener_, 1);
        getsockname(listener_, reinterpret_cast<sockaddr *>(&address), &length);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread([this] { serve(); });
    }
    ~PromptServer()
    {
        shutdown(listener_, SHUT_RDWR);
        thread_.join();
        close(listener_);
    }
    PromptServer(const PromptServer &) = delete;
    PromptServer &operator=(const PromptServer &) = delete;

    const std::string &address() const { return address_; }

private:
    void serve() const
    {
        const int connection = accept(listener_, nullptr, nullptr);
        std::array<char, 4096> received{};
        const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        // A request is small enough to arrive in one piece.
        while (connection >= 0 && recv(connection, received.data(), received.size(), 0) > 0)
            send(connection, answer.data(), answer.size(), MSG_NOSIGNAL);
        close(connection);
    }

    int listener_ = socket(AF_INET, SOCK_STREAM, 0);
    std::string address_;
    std::thread thread_;
};

} // namespace

// A process whose event loop is late took servers that answer at once for silent: the time was over
// before the request was written, or before the answer was read.
TEST(HttpConnection, lateLoopDoesNotTakeAPromptServerForSilent)
{
    constexpr Millis Timeout{ 30 };
    constexpr std::chrono::milliseconds TurnOfLateLoop{ 60 };
    // The first one opens the connection, the second uses it again.
    constexpr size_t Requests = 2;
    PromptServer server;
    EventLoop loop;
    HttpConnection connection(loop, { .address = server.address() });
    std::vector<ExchangeEnd> ends;
    const auto exchange = [&] {
        connection.exchange({ "POST", "/", {}, "x", "" }, Timeout,
            [&](const ExchangeResult &result) { ends.push_back(result.end); });
    };
    size_t requests = 0;
    // Runs in each turn of the loop, and makes the loop late after it has called.
    std::unique_ptr<Timer> work;
    work = std::make_unique<Timer>(loop, [&] {
        if (ends.size() == Requests)
            return loop.stop();
        if (requests == ends.size()) {
            requests++;
            exchange();
        }
        std::this_thread::sleep_for(TurnOfLateLoop);
        work->startOnce(Millis(0));
    });
    work->startOnce(Millis(0));
    loop.run();
    EXPECT_EQ(ends, std::vector<ExchangeEnd>(Requests, ExchangeEnd::Complete));
}

TEST(BackgroundThread, runsItemsInOrderAndCallsBackFromTheEventLoop)
{
    EventLoop loop;
    BackgroundThread worker(loop);
    std::vector<int> worked;
    std::vector<int> calledBack;
    const auto loopThread = std::this_thread::get_id();
    for (int i = 0; i < 50; i++) {
        worker.run(
            [&worked, loopThread, i] {
                EXPECT_NE(std::this_thread::get_id(), loopThread);
                worked.push_back(i);
            },
            [&calledBack, loopThread, i] {
                EXPECT_EQ(std::this_thread::get_id(), loopThread);
                calledBack.push_back(i);
            });
    }
    ASSERT_TRUE(runUntil(loop, [&calledBack] { return calledBack.size() == 50; }));
    EXPECT_EQ(worked, calledBack);
    EXPECT_TRUE(std::is_sorted(calledBack.begin(), calledBack.end()));
}

TEST(BackgroundThread, makesNoCallbackAfterItsDestruction)
{
    EventLoop loop;
    int calledBack = 0;
    std::atomic<int> worked = 0;
    {
        BackgroundThread worker(loop);
        for (int i = 0; i < 10; i++)
            worker.run([&worked] { worked++; }, [&calledBack] { calledBack++; });
    }
    EXPECT_LE(worked, 10);
    int turns = 0;
    ASSERT_TRUE(runUntil(loop, [&turns] { return ++turns > 3; }));
    EXPECT_EQ(calledBack, 0);
}

TEST(HttpServer, acceptsNoConnectionBeyondItsBound)
{
    EventLoop loop;
    std::vector<ResponderPointer> held;
    auto server = HttpServer::listen(loop, { .address = "127.0.0.1:0", .maxConnections = 2 },
        [&](const HttpRequest &, ResponderPointer responder) { held.push_back(responder); });
    ASSERT_TRUE(server.has_value());
    std::vector<std::unique_ptr<HttpConnection>> callers;
    std::vector<ExchangeEnd> ends;
    const auto call = [&] {
        callers.push_back(std::make_unique<HttpConnection>(
            loop, HttpConnection::Options{ .address = (*server)->address() }));
        HttpRequest request;
        request.method = "GET";
        request.target = "/";
        callers.back()->exchange(
            request, RunTimeout, [&](const ExchangeResult &result) { ends.push_back(result.end); });
    };
    call();
    call();
    ASSERT_TRUE(runUntil(loop, [&] { return held.size() == 2; }));
    EXPECT_EQ((*server)->openConnections(), 2U);
    call();
    // Whatever was accepted beyond the bound would show within these round trips to the listener.
    for (int i = 0; i < 10; i++)
        runUntil(loop, [] { return true; });
    EXPECT_EQ(held.size(), 2U);
    // Once a caller has closed its connection, there is room for the next one.
    held[0]->answer({ .status = 200 });
    ASSERT_TRUE(runUntil(loop, [&] { return ends.size() == 1; }));
    callers.erase(callers.begin());
    ASSERT_TRUE(runUntil(loop, [&] { return held.size() == 3; }));
    held.back()->answer({ .status = 200 });
    EXPECT_TRUE(runUntil(loop, [&] { return ends.size() == 2; }));
    EXPECT_EQ(ends.back(), ExchangeEnd::Complete);
}

} // namespace basilgap::network
