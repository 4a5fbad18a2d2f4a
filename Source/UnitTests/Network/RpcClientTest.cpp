#include <gtest/gtest.h>

#include "Basilgap/Network/RpcClient.h"

namespace basilgap::network {

namespace {

constexpr Millis RunTimeout{ 5000 };

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

} // namespace

// Guards against large requests without a bound that wait for a leader.
TEST(RpcClientLimits, aRequestWithoutRoomFailsAndIsNotSent)
{
    EventLoop loop;
    int sent = 0;
    RpcClient rpc(
        loop,
        [&](const schema::PeerMessage &) {
            sent++;
            return true;
        },
        100000);
    schema::RpcRequest request;
    request.mutable_queue_call()->set_path(std::string(60000, 'x'));
    std::vector<ErrorCode> errors;
    const auto keep = [&](const Result<schema::RpcReply> &reply) {
        errors.push_back(reply ? ErrorCode::Invalid : reply.error().code);
    };
    rpc.call(request, Millis(500), keep);
    rpc.call(request, Millis(500), keep);
    EXPECT_TRUE(errors.empty()) << "not answered inside the call";
    EXPECT_EQ(sent, 1);
    ASSERT_TRUE(runUntil(loop, [&] { return errors.size() == 2; }));
    EXPECT_EQ(errors, (std::vector{ ErrorCode::Full, ErrorCode::Timeout }));
    EXPECT_EQ(rpc.pendingBytes(), 0U);
    rpc.call(request, Millis(100), keep);
    EXPECT_EQ(sent, 2) << "there is room again";
}

} // namespace basilgap::network
