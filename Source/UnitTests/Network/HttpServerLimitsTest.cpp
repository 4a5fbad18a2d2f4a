#include <algorithm>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <gtest/gtest.h>

#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"
#include "Basilgap/Network/SocketAddress.h"

namespace basilgap::network {

namespace {

constexpr Millis RunTimeout{ 8000 };

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

void runFor(EventLoop &loop, Millis time)
{
    Timer timer(loop, [&] { loop.stop(); });
    timer.startOnce(time);
    loop.run();
}

// A client that writes bytes as given and records what it reads.
class RawClient
{
public:
    RawClient(EventLoop &loop, const std::string &address)
        : buffer_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE))
    {
        sockaddr_storage storage{};
        const int length = toSockaddr(*parseAddress(address), &storage);
        bufferevent_setcb(buffer_, onRead, nullptr, onEvent, this);
        bufferevent_enable(buffer_, EV_READ | EV_WRITE);
        bufferevent_socket_connect(buffer_, reinterpret_cast<sockaddr *>(&storage), length);
    }
    ~RawClient() { bufferevent_free(buffer_); }
    RawClient(const RawClient &) = delete;
    RawClient &operator=(const RawClient &) = delete;

    void send(const std::string &bytes) { bufferevent_write(buffer_, bytes.data(), bytes.size()); }
    void stopReading() { bufferevent_disable(buffer_, EV_READ); }
    void startReading() { bufferevent_enable(buffer_, EV_READ); }
    size_t unsentBytes() const { return evbuffer_get_length(bufferevent_get_output(buffer_)); }
    const std::string &received() const { return received_; }
    bool isClosed() const { return isClosed_; }

    int count(const std::string &text) const
    {
        int count = 0;
        for (size_t at = received_.find(text); at != std::string::npos;
             at = received_.find(text, at + 1))
            count++;
        return count;
    }

private:
    static void onRead(bufferevent *buffer, void *self)
    {
        evbuffer *input = bufferevent_get_input(buffer);
        std::string bytes(evbuffer_get_length(input), '\0');
        evbuffer_remove(input, bytes.data(), bytes.size());
        static_cast<RawClient *>(self)->received_ += bytes;
    }

    static void onEvent(bufferevent *, short events, void *self)
    {
        if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            static_cast<RawClient *>(self)->isClosed_ = true;
    }

    bufferevent *buffer_;
    std::string received_;
    bool isClosed_ = false;
};

// A listener whose handler answers with the length of the body.
class HttpServerLimits : public testing::Test
{
protected:
    void listen(HttpServerOptions options)
    {
        options.address = "127.0.0.1:0";
        options.tooLargeBody = "too large";
        options.tooLargeHeaders = { { "Basilgap-Outcome", "not-run" } };
        options.limits = limits_;
        auto server = HttpServer::listen(loop_, std::move(options),
            [this](const HttpRequest &request, const ResponderPointer &responder) {
                handled_++;
                responder->answer({ 200, {}, answerPrefix_ + std::to_string(request.body.size()) });
            });
        ASSERT_TRUE(server.has_value());
        server_ = std::move(*server);
    }

    std::unique_ptr<RawClient> connect()
    {
        return std::make_unique<RawClient>(loop_, server_->address());
    }

    int statusOfOrdinaryRequest()
    {
        int status = -1;
        fetchOnce(loop_, server_->address(), { .method = "GET", .target = "/" }, RunTimeout,
            [&](const ExchangeResult &result) { status = result.response.status; });
        runUntil(loop_, [&] { return status >= 0; });
        return status;
    }

    static std::string post(const std::string &header)
    {
        return "POST / HTTP/1.1\r\nHost: h\r\n" + header + "\r\n\r\n";
    }

    static std::string get() { return "GET / HTTP/1.1\r\nHost: h\r\n\r\n"; }

    EventLoop loop_;
    std::shared_ptr<ClientLimits> limits_ = std::make_shared<ClientLimits>(256 * 1024);
    std::string answerPrefix_ = "length ";
    int handled_ = 0;
    std::unique_ptr<HttpServer> server_;
};

} // namespace

// Guards against reading a body over the limit before it is refused.
TEST_F(HttpServerLimits, aBodyOverTheLimitIsRefusedOnceItIsAnnounced)
{
    listen({ .maxBodyBytes = 1000 });
    auto client = connect();
    client->send(post("Content-Length: 1001"));
    ASSERT_TRUE(runUntil(loop_, [&] { return client->isClosed(); }));
    EXPECT_EQ(client->received().find("HTTP/1.1 413 "), 0U) << client->received();
    EXPECT_NE(client->received().find("Basilgap-Outcome: not-run\r\n"), std::string::npos);
    EXPECT_NE(client->received().find("\r\n\r\ntoo large"), std::string::npos);
    EXPECT_EQ(handled_, 0);
    EXPECT_NE(limits_->metricText().find("{reason=\"too-large\"} 1\n"), std::string::npos);
}

TEST_F(HttpServerLimits, aChunkedBodyOverTheLimitIsRefused)
{
    listen({ .maxBodyBytes = 1000 });
    auto client = connect();
    client->send(post("Transfer-Encoding: chunked"));
    client->send("1f4\r\n" + std::string(500, 'x') + "\r\n1f5\r\n");
    ASSERT_TRUE(runUntil(loop_, [&] { return client->isClosed(); }));
    EXPECT_EQ(client->received().find("HTTP/1.1 413 "), 0U) << client->received();
    EXPECT_NE(client->received().find("Basilgap-Outcome: not-run\r\n"), std::string::npos);
}

// Guards against a reset of the connection, which loses the answer, when the caller is still
// sending.
TEST_F(HttpServerLimits, aCallerThatSendsAnOverlongBodyReadsTheRefusal)
{
    listen({ .maxBodyBytes = 1000 });
    for (int i = 0; i < 5; i++) {
        auto client = connect();
        client->send(post("Content-Length: 3000000") + std::string(3000000, 'x'));
        ASSERT_TRUE(runUntil(loop_, [&] { return client->isClosed(); }));
        EXPECT_EQ(client->received().find("HTTP/1.1 413 "), 0U) << i << client->received();
    }
}

TEST_F(HttpServerLimits, bodiesAtTheLimitAreServed)
{
    listen({ .maxBodyBytes = 100000 });
    auto client = connect();
    for (int i = 1; i <= 3; i++) {
        client->send(post("Content-Length: 100000") + std::string(100000, 'x'));
        ASSERT_TRUE(runUntil(loop_, [&] { return client->count("length 100000") == i; }));
    }
    client->send(post("Transfer-Encoding: chunked"));
    for (int i = 0; i < 1000; i++)
        client->send("64\r\n" + std::string(100, 'x') + "\r\n");
    client->send("0\r\n\r\n");
    EXPECT_TRUE(runUntil(loop_, [&] { return client->count("length 100000") == 4; }));
    EXPECT_FALSE(client->isClosed());
}

// Guards against reading pipelined requests without a bound while the answers are not read.
TEST_F(HttpServerLimits, readingStopsWhileAnswersAreNotRead)
{
    listen({ .maxBodyBytes = 1000000 });
    answerPrefix_ = std::string(1000, 'a');
    auto client = connect();
    client->stopReading();
    std::string requests;
    constexpr int Requests = 200000;
    for (int i = 0; i < Requests; i++)
        requests += get();
    client->send(requests);
    runFor(loop_, Millis(3000));
    EXPECT_GT(client->unsentBytes(), 0U) << "the crowd must fill the sockets";
    EXPECT_LT(limits_->heldBytes(), 64U * 1024);
    EXPECT_EQ(server_->openConnections(), 1U);
    // Once the caller reads, all are answered.
    client->startReading();
    const int before = handled_;
    EXPECT_TRUE(runUntil(loop_, [&] { return handled_ > before + 1000; }));
    EXPECT_FALSE(client->isClosed());
}

TEST_F(HttpServerLimits, aFewPipelinedRequestsAreAnswered)
{
    listen({ .maxBodyBytes = 100000 });
    auto client = connect();
    std::string requests;
    for (int i = 0; i < 8; i++)
        requests += get() + post("Content-Length: 50000") + std::string(50000, 'x');
    client->send(requests);
    EXPECT_TRUE(runUntil(loop_, [&] { return client->count("length ") == 16; }));
    EXPECT_EQ(client->count("length 50000"), 8);
    EXPECT_EQ(limits_->heldBytes(), 0U);
}

// Guards against a line with a chunk's size that is buffered without a bound.
TEST_F(HttpServerLimits, anEndlessChunkSizeClosesTheConnection)
{
    listen({ .maxBodyBytes = 1000 });
    auto client = connect();
    client->send(post("Transfer-Encoding: chunked") + std::string(200000, '0'));
    EXPECT_TRUE(runUntil(loop_, [&] { return client->isClosed(); }));
    EXPECT_EQ(server_->openConnections(), 0U);
    EXPECT_EQ(limits_->heldBytes(), 0U);
}

TEST_F(HttpServerLimits, theGreediestConnectionIsClosedWhenTheTotalIsReached)
{
    listen({ .maxBodyBytes = 200000 });
    auto small = connect();
    small->send(post("Content-Length: 100000") + std::string(90000, 'x'));
    auto large = connect();
    large->send(post("Content-Length: 200000") + std::string(199000, 'x'));
    ASSERT_TRUE(runUntil(loop_, [&] { return large->isClosed(); }));
    EXPECT_LE(limits_->heldBytes(), 256U * 1024);
    small->send(std::string(10000, 'x'));
    EXPECT_TRUE(runUntil(loop_, [&] { return small->count("length 100000") == 1; }));
    EXPECT_NE(limits_->metricText().find("{reason=\"total-bytes\"} 1\n"), std::string::npos);
}

// Guards against many large answers that are given in one turn of the event loop.
TEST_F(HttpServerLimits, largeAnswersGivenAtOnceStayWithinTheTotal)
{
    std::vector<ResponderPointer> held;
    auto server = HttpServer::listen(loop_, { .address = "127.0.0.1:0", .limits = limits_ },
        [&](const HttpRequest &, ResponderPointer responder) { held.push_back(responder); });
    ASSERT_TRUE(server.has_value());
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int i = 0; i < 8; i++) {
        clients.push_back(std::make_unique<RawClient>(loop_, (*server)->address()));
        clients.back()->send(get());
    }
    ASSERT_TRUE(runUntil(loop_, [&] { return held.size() == 8; }));
    for (const ResponderPointer &responder : held)
        responder->answer({ 200, {}, std::string(100000, 'a') });
    EXPECT_LE(limits_->heldBytes(), 256U * 1024);
    held.clear();
    const auto isFinished = [](const auto &client) {
        return client->isClosed() || client->received().size() > 100000;
    };
    EXPECT_TRUE(
        runUntil(loop_, [&] { return std::all_of(clients.begin(), clients.end(), isFinished); }));
    EXPECT_EQ(std::count_if(clients.begin(), clients.end(),
                  [](const auto &client) { return client->received().size() > 100000; }),
        2);
}

// Guards against silent connections that lock out others until they time out.
TEST_F(HttpServerLimits, aSilentConnectionGivesItsPlaceToAnother)
{
    listen({ .maxConnections = 2 });
    auto first = connect();
    auto second = connect();
    ASSERT_TRUE(runUntil(loop_, [&] { return server_->openConnections() == 2; }));
    EXPECT_EQ(statusOfOrdinaryRequest(), 200);
    EXPECT_TRUE(first->isClosed() || second->isClosed());
}

// Guards against callers that send one request after another and so keep all places.
TEST_F(HttpServerLimits, aBusyConnectionGivesItsPlaceAfterAnAnswer)
{
    listen({ .maxConnections = 2 });
    auto first = connect();
    auto second = connect();
    Timer requests(loop_, [&] {
        first->send(get());
        second->send(get());
    });
    requests.startRepeating(Millis(20));
    ASSERT_TRUE(runUntil(loop_, [&] { return handled_ > 4; }));
    EXPECT_FALSE(first->isClosed() || second->isClosed());
    EXPECT_EQ(statusOfOrdinaryRequest(), 200);
    EXPECT_EQ(first->count("Connection: close") + second->count("Connection: close"), 1);
}

TEST_F(HttpServerLimits, aClosedSilentConnectionIsNotCounted)
{
    listen({ .maxConnections = 2 });
    auto client = connect();
    ASSERT_TRUE(runUntil(loop_, [&] { return server_->openConnections() == 1; }));
    client.reset();
    EXPECT_TRUE(runUntil(loop_, [&] { return server_->openConnections() == 0; }));
}

TEST_F(HttpServerLimits, aRequestThatDoesNotArriveInTimeIsClosed)
{
    listen({ .requestTimeout = Millis(300) });
    auto idle = connect();
    idle->send(get());
    auto slow = connect();
    slow->send("GET / HTTP/1.1\r\nHost:");
    ASSERT_TRUE(runUntil(loop_, [&] { return slow->isClosed(); }));
    EXPECT_FALSE(idle->isClosed());
    idle->send(get());
    EXPECT_TRUE(runUntil(loop_, [&] { return idle->count("length 0") == 2; }));
}

// A server may be destroyed while connections are open and refused ones are being discarded.
TEST_F(HttpServerLimits, destructionWithOpenConnections)
{
    listen({ .maxBodyBytes = 1000 });
    auto refused = connect();
    refused->send(post("Content-Length: 3000000") + std::string(2000000, 'x'));
    auto partial = connect();
    partial->send("GET / HTTP/1.1\r\n");
    ASSERT_TRUE(runUntil(loop_, [&] { return !refused->received().empty(); }));
    server_.reset();
    EXPECT_TRUE(runUntil(loop_, [&] { return partial->isClosed(); }));
    EXPECT_EQ(limits_->heldBytes(), 0U);
}

} // namespace basilgap::network
