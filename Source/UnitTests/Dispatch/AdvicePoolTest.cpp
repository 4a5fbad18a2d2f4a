#include <map>
#include <optional>

#include <gtest/gtest.h>

#include "Basilgap/Dispatch/AdvicePool.h"
#include "Basilgap/Network/PeerLink.h"
#include "Basilgap/Network/PeerServer.h"

namespace basilgap::dispatch {

namespace {

constexpr Millis RunTimeout{ 5000 };
constexpr Millis AdviceTimeout{ 60000 };

class NeverAnswers : public AdvicePort
{
public:
    void requestAdvice(const std::string &, const std::vector<std::string> &, Millis,
        std::function<void(AdviceAnswer)>) override
    {}
    std::string stepName(const std::string &work, uint32_t, uint32_t) const override
    {
        return work;
    }
};

schema::AdviceReply replyTo(uint64_t call, const std::string &ticket)
{
    schema::AdviceReply reply;
    reply.set_id(call);
    reply.set_answered(true);
    reply.add_permits()->set_ticket(ticket);
    return reply;
}

// A proxy that records the calls it gets, connected to the process of a leader.
class AdvicePoolTest : public testing::Test
{
protected:
    void SetUp() override
    {
        auto listening = network::PeerServer::listen(loop_,
            { .address = "127.0.0.1:0",
                .cellKey = "key",
                .onMessage = [this](network::PeerStream &stream,
                                 const schema::PeerMessage &) { toProxy_ = &stream; },
                .onClosed = [](network::PeerStream &) {} });
        ASSERT_TRUE(listening.has_value()) << listening.error().text();
        server_ = std::move(*listening);
        schema::Hello hello;
        hello.set_id("proxy");
        link_ = std::make_unique<network::PeerLink>(loop_,
            network::PeerLink::Options{ .address = server_->address(),
                .cellKey = "key",
                .hello = hello,
                .onMessage =
                    [this](const schema::PeerMessage &message) {
                        const schema::AdviceCall &call = message.advice_call();
                        calls_[call.step()] = call.id();
                    },
                .onUp = [] {},
                .onDown = [] {} });
        ASSERT_TRUE(runUntil([this] { return toProxy_ != nullptr; }));
    }

    bool runUntil(const std::function<bool()> &condition)
    {
        const Millis end = steadyNow() + RunTimeout;
        network::Timer checker(loop_, [&] {
            if (condition() || steadyNow() >= end)
                loop_.stop();
        });
        checker.startRepeating(Millis(5));
        loop_.run();
        return condition();
    }

    network::EventLoop loop_;
    NeverAnswers local_;
    network::PeerStream *toProxy_ = nullptr;
    std::unique_ptr<network::PeerServer> server_;
    std::unique_ptr<network::PeerLink> link_;
    // Ids of the calls that the proxy got, by step.
    std::map<std::string, uint64_t> calls_;
};

} // namespace

// Guards against tickets of one step being used for another after a change of leader.
TEST_F(AdvicePoolTest, replyToACallOfTheLeaderBeforeIsIgnored)
{
    AdvicePool earlierLeader(local_);
    AdvicePool laterLeader(local_);
    std::optional<AdviceAnswer> earlierAnswer;
    std::optional<AdviceAnswer> laterAnswer;
    earlierLeader.addProxy(*toProxy_);
    laterLeader.addProxy(*toProxy_);
    ASSERT_TRUE(earlierLeader.requestAdvice("step-1", { "w1" }, AdviceTimeout,
        [&](const AdviceAnswer &answer) { earlierAnswer = answer; }));
    ASSERT_TRUE(laterLeader.requestAdvice("step-2", { "w1" }, AdviceTimeout,
        [&](const AdviceAnswer &answer) { laterAnswer = answer; }));
    ASSERT_TRUE(runUntil([this] { return calls_.size() == 2; }));

    laterLeader.receiveReply(replyTo(calls_.at("step-1"), "ticket-1"));
    EXPECT_FALSE(laterAnswer.has_value());

    laterLeader.receiveReply(replyTo(calls_.at("step-2"), "ticket-2"));
    ASSERT_TRUE(laterAnswer.has_value());
    ASSERT_EQ(laterAnswer->permits.size(), 1U);
    EXPECT_EQ(laterAnswer->permits[0].ticket(), "ticket-2");
    EXPECT_FALSE(earlierAnswer.has_value());
}

} // namespace basilgap::dispatch
