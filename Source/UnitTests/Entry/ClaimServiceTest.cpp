#include <gtest/gtest.h>

#include "Basilgap/Entry/ClaimService.h"
#include "Basilgap/Network/PeerServer.h"
#include "FakeResponder.h"

namespace basilgap::entry {

namespace {

const ClaimKey Key{ TeamName("ghat"), "key" };

constexpr Millis RunTimeout{ 10000 };

std::string freeAddress(network::EventLoop &loop)
{
    const auto listening = network::PeerServer::listen(loop,
        {
            .address = "127.0.0.1:0",
            .cellKey = "key",
            .onMessage = [](network::PeerStream &, const schema::PeerMessage &) {},
            .onClosed = [](network::PeerStream &) {},
        });
    return listening ? (*listening)->address() : "";
}

// An entry whose calls to the leader are recorded.
class ClaimServiceTest : public testing::Test
{
protected:
    void SetUp() override
    {
        auto listening = ClaimService::listen(loop_,
            { .entry = EntryId("e1"),
                .incarnation = Incarnation(11),
                .peerAddress = address_,
                .cellKey = "key",
                .rpc = rpc_,
                .runRequest = [this](const RequestPointer &) { runs_++; } },
            view_);
        ASSERT_TRUE(listening.has_value()) << listening.error().text();
        claims_ = std::move(*listening);
    }

    std::shared_ptr<FakeResponder> submit(Millis timeout = Millis(60000))
    {
        auto responder = std::make_shared<FakeResponder>();
        auto request = std::make_unique<Request>();
        request->claim = Key;
        request->responder = responder;
        request->deadline = steadyNow() + timeout;
        claims_->submit(std::move(request));
        return responder;
    }

    // The leader accepts the latest call.
    void accept() { reply({}); }

    // The leader answers the latest call.
    void reply(const schema::CommandOutcome &outcome)
    {
        schema::RpcReply reply;
        reply.set_id(sent_.back().id());
        *reply.mutable_outcome() = outcome;
        rpc_.handleReply(reply);
    }

    // An earlier incarnation of this entry holds the claim, and may have run the request.
    void replyThatTheOutcomeIsUnknown()
    {
        schema::CommandOutcome outcome;
        outcome.set_code(schema::OUTCOME_UNKNOWN);
        outcome.set_owner("e1");
        reply(outcome);
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
    const std::string address_ = freeAddress(loop_);
    std::vector<schema::RpcRequest> sent_;
    network::RpcClient rpc_{ loop_, [this](const schema::PeerMessage &message) {
                                sent_.push_back(message.rpc_request());
                                return true;
                            } };
    ViewStore view_;
    std::unique_ptr<ClaimService> claims_;
    int runs_ = 0;
};

} // namespace

TEST_F(ClaimServiceTest, endCarriesTheNonceOfItsClaim)
{
    std::vector<uint64_t> nonces;
    for (int claim = 0; claim < 2; claim++) {
        submit();
        ASSERT_TRUE(sent_.back().command().has_claim_open());
        nonces.push_back(sent_.back().command().claim_open().nonce());
        accept();
        claims_->finishClaim(Key, { .outcome = "not-run", .answer = {} });
        ASSERT_TRUE(sent_.back().command().has_claim_end());
        EXPECT_EQ(sent_.back().command().claim_end().nonce(), nonces.back());
    }
    EXPECT_EQ(runs_, 2);
    EXPECT_NE(nonces[0], nonces[1]);
}

// Guards against an answer without a status to a resend that waits for a request which can't be
// claimed, because the entry's earlier incarnation holds the claim.
TEST_F(ClaimServiceTest, resendOfARequestOfTheEarlierIncarnationLearnsThatTheOutcomeIsUnknown)
{
    const auto first = submit();
    const auto resend = submit();
    replyThatTheOutcomeIsUnknown();
    EXPECT_EQ(first->status(), 409);
    ASSERT_TRUE(runUntil([this] { return sent_.size() == 2; }));
    replyThatTheOutcomeIsUnknown();
    EXPECT_EQ(resend->status(), 409);
}

TEST_F(ClaimServiceTest, resendGoesOnWhenTheLeaderDidNotAnswerTheFirstRequestInTime)
{
    const auto first = submit(Millis(50));
    const auto resend = submit();
    ASSERT_TRUE(runUntil([&first] { return first->isAnswered(); }));
    EXPECT_EQ(first->status(), 503);
    EXPECT_FALSE(resend->isAnswered());
    ASSERT_TRUE(sent_.back().command().has_claim_open());
    accept();
    EXPECT_EQ(runs_, 1);
}

// Guards against the outcome "not-run" for a request that the owner's earlier incarnation may have
// run: a join names the claim by its key, under which the later incarnation asks for a claim.
TEST_F(ClaimServiceTest, joinOfAClaimOfTheEarlierIncarnationIsNotAnsweredByTheLaterOne)
{
    submit();
    std::optional<schema::JoinReply> answer;
    schema::PeerMessage join;
    join.mutable_join_request()->set_team("ghat");
    join.mutable_join_request()->set_key_hash("key");
    network::PeerLink other(loop_,
        network::PeerLink::Options{
            .address = address_,
            .cellKey = "key",
            .hello = {},
            .onMessage = [&answer](
                             const schema::PeerMessage &message) { answer = message.join_reply(); },
            .onUp = [] {},
            .onDown = [] {},
        });
    ASSERT_TRUE(runUntil([&other] { return other.isUp(); }));
    ASSERT_TRUE(other.send(join));
    runUntil([end = steadyNow() + Millis(100)] { return steadyNow() >= end; });
    EXPECT_FALSE(answer.has_value());
    replyThatTheOutcomeIsUnknown();
    ASSERT_TRUE(runUntil([&answer] { return answer.has_value(); }));
    EXPECT_FALSE(answer->found()) << answer->outcome();
}

} // namespace basilgap::entry
