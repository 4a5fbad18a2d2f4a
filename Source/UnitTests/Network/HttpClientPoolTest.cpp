#include <map>

#include <gtest/gtest.h>

#include "Basilgap/Network/DescriptorBudget.h"
#include "Basilgap/Network/HttpClientPool.h"

namespace basilgap::network {

namespace {

using CallKind = HttpClientPool::CallKind;

// Connections of one test: how many are open, and the exchanges that wait for an answer.
struct FakeNetwork
{
    struct Exchange
    {
        std::string address;
        std::string target;
        std::function<void(ExchangeResult)> done;
    };

    int open = 0;
    int opened = 0;
    int mostOpen = 0;
    std::vector<Exchange> exchanges;

    // Answers the oldest exchange with the target.
    void answer(const std::string &target)
    {
        const auto found = std::find_if(exchanges.begin(), exchanges.end(),
            [&](const Exchange &exchange) { return exchange.target == target; });
        ASSERT_NE(found, exchanges.end());
        const Exchange exchange = std::move(*found);
        exchanges.erase(found);
        exchange.done({ .end = ExchangeEnd::Complete, .response = { .status = 200 } });
    }
};

class FakeConnection : public ClientConnection
{
public:
    FakeConnection(FakeNetwork &network, std::string address)
        : network_(network)
        , address_(std::move(address))
    {
        network_.opened++;
        network_.mostOpen = std::max(network_.mostOpen, ++network_.open);
    }
    ~FakeConnection() override { network_.open--; }

    void exchange(
        const HttpRequest &request, Millis, std::function<void(ExchangeResult)> done) override
    {
        network_.exchanges.push_back({ address_, request.target, std::move(done) });
    }
    bool isReusable() const override { return true; }

private:
    FakeNetwork &network_;
    std::string address_;
};

class HttpClientPoolTest : public testing::Test
{
protected:
    void makePool(size_t maxConnections)
    {
        pool = std::make_unique<HttpClientPool>(HttpClientPool::Options{
            .maxConnections = maxConnections, .connect = [this](const std::string &address) {
                return std::make_shared<FakeConnection>(network, address);
            } });
    }

    void call(const std::string &address, const std::string &target, CallKind kind)
    {
        HttpClientPool::Call call{ .address = address, .kind = kind };
        call.request.target = target;
        call.isStillWanted = [this] { return isWanted; };
        call.done = [this, target](const ExchangeResult &result) { ends[target] = result.end; };
        pool->call(std::move(call));
    }

    bool isSent(const std::string &target) const
    {
        return std::any_of(network.exchanges.begin(), network.exchanges.end(),
            [&](const auto &exchange) { return exchange.target == target; });
    }

    FakeNetwork network;
    std::unique_ptr<HttpClientPool> pool;
    std::map<std::string, ExchangeEnd> ends;
    bool isWanted = true;
};

} // namespace

// The load of a large fleet: a long poll at every worker and several starts to each at once.
TEST_F(HttpClientPoolTest, neverExceedsItsBoundAndSendsEverythingInTheEnd)
{
    constexpr int Workers = 100;
    makePool(120);
    for (int worker = 0; worker < Workers; worker++) {
        const std::string address = "w" + std::to_string(worker);
        call(address, address + "/poll", CallKind::LongPoll);
        for (int start = 0; start < 4; start++)
            call(address, address + "/start" + std::to_string(start), CallKind::Order);
    }
    while (!network.exchanges.empty())
        network.answer(network.exchanges.back().target);
    EXPECT_LE(network.mostOpen, 120);
    EXPECT_EQ(ends.size(), 5U * Workers);
    for (const auto &[target, end] : ends)
        EXPECT_EQ(end, ExchangeEnd::Complete) << target;
    EXPECT_EQ(pool->waitingCalls(), 0U);
}

TEST_F(HttpClientPoolTest, longPollsLeaveConnectionsToOrders)
{
    makePool(16);
    for (int worker = 0; worker < 16; worker++)
        call("w" + std::to_string(worker), "poll", CallKind::LongPoll);
    EXPECT_EQ(network.open, 14);
    call("w0", "start", CallKind::Order);
    EXPECT_TRUE(isSent("start"));
}

TEST_F(HttpClientPoolTest, closesTheConnectionThatWasIdleForLongest)
{
    makePool(3);
    for (const char *address : { "w0", "w1", "w2" }) {
        call(address, address, CallKind::Order);
        network.answer(address);
    }
    call("w3", "new", CallKind::Order);
    EXPECT_TRUE(isSent("new"));
    EXPECT_EQ(network.open, 3);
    const int opened = network.opened;
    call("w1", "kept", CallKind::Order);
    EXPECT_EQ(network.opened, opened);
    call("w0", "closed", CallKind::Order);
    EXPECT_EQ(network.opened, opened + 1);
}

TEST_F(HttpClientPoolTest, sendsSeveralOrdersToAServerOnlyWithRoom)
{
    makePool(8);
    for (const char *target : { "a", "b", "c", "d" })
        call("w0", target, CallKind::Order);
    EXPECT_TRUE(isSent("c"));
    EXPECT_FALSE(isSent("d"));
    makePool(4);
    network.exchanges.clear();
    for (const char *target : { "a", "b", "c" })
        call("w0", target, CallKind::Order);
    EXPECT_TRUE(isSent("b"));
    EXPECT_FALSE(isSent("c"));
    network.answer("a");
    EXPECT_TRUE(isSent("c"));
}

TEST_F(HttpClientPoolTest, dropsAWaitingOrderThatIsNoLongerWanted)
{
    makePool(1);
    call("w0", "first", CallKind::Order);
    call("w1", "second", CallKind::Order);
    isWanted = false;
    network.answer("first");
    EXPECT_EQ(ends.at("first"), ExchangeEnd::Complete);
    EXPECT_EQ(ends.at("second"), ExchangeEnd::Dropped);
    EXPECT_EQ(network.opened, 1);
}

TEST(DescriptorBudget, leavesDescriptorsForStorageAndPeers)
{
    for (const size_t limit : { 64U, 1024U, 3900U, 4124U, 1048576U }) {
        const DescriptorBudget budget = divideDescriptors(limit);
        const size_t used =
            budget.peerStreams + budget.workerConnections + budget.acceptedConnections;
        EXPECT_LE(used + std::min<size_t>(32, limit / 2), limit);
        EXPECT_GT(budget.workerConnections, budget.acceptedConnections);
        EXPECT_GT(budget.acceptedConnections, 0U);
    }
    // A poll and an order at each worker of the large fleet, and a stream of each process.
    EXPECT_GE(divideDescriptors(4124).workerConnections, 2U * 1100U);
    EXPECT_GE(divideDescriptors(4124).peerStreams, 608U);
}

} // namespace basilgap::network
