#include <gtest/gtest.h>

#include "Basilgap/Entry/ClaimService.h"
#include "FakeResponder.h"

namespace basilgap::entry {

namespace {

const ClaimKey Key{ TeamName("ghat"), "key" };

// An entry whose calls to the leader are recorded.
class ClaimServiceTest : public testing::Test
{
protected:
    void SetUp() override
    {
        auto listening = ClaimService::listen(loop_,
            { .entry = EntryId("e1"),
                .incarnation = Incarnation(11),
                .peerAddress = "127.0.0.1:0",
                .cellKey = "key",
                .rpc = rpc_,
                .runRequest = [this](const RequestPointer &) { runs_++; } },
            view_);
        ASSERT_TRUE(listening.has_value()) << listening.error().text();
        claims_ = std::move(*listening);
    }

    void submit()
    {
        auto request = std::make_unique<Request>();
        request->claim = Key;
        request->responder = std::make_shared<FakeResponder>();
        request->deadline = steadyNow() + Millis(60000);
        claims_->submit(std::move(request));
    }

    // The leader accepts the latest call.
    void accept()
    {
        schema::RpcReply reply;
        reply.set_id(sent_.back().id());
        rpc_.handleReply(reply);
    }

    network::EventLoop loop_;
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

} // namespace basilgap::entry
