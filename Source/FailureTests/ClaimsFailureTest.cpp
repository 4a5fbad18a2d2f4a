#include <csignal>
#include <thread>

#include "FailureTests/TestCell.h"

namespace basilgap::failuretests {

namespace {

class ClaimsFailure : public CellTest
{
protected:
    network::ExchangeResult send(size_t entry, const std::string &key, const std::string &fake,
        const std::string &body = "body")
    {
        return cell_->call(entry, "ghat", "POST", "/once/x", body,
            { { "Idempotency-Key", key }, { "X-Fake", fake }, { "X-Fake-Id", key } });
    }
};

} // namespace

TEST_F(ClaimsFailure, resendsJoinTheExchangeOrGetTheRetainedAnswer)
{
    startCell({ .controls = 3, .entries = 3 });
    BackendProcess backend(*cell_, "b1");
    ASSERT_NO_FATAL_FAILURE(waitUntilServing());
    network::ExchangeResult first;
    std::thread caller([&] { first = send(0, "k1", "delay=1000"); });
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return backend.runsOf("k1") == 1; }));
    const auto elsewhere = send(1, "k1", "delay=1000");
    const auto sameEntry = send(0, "k1", "delay=1000");
    caller.join();
    const auto later = send(2, "k1", "delay=1000");
    for (const auto &answer : { first, elsewhere, sameEntry, later }) {
        EXPECT_EQ(answer.response.status, 200) << answer.response.body;
        EXPECT_EQ(answer.response.body, first.response.body);
    }
    EXPECT_EQ(backend.runsOf("k1"), 1);
    const auto otherBody = send(1, "k1", "", "another body");
    EXPECT_EQ(otherBody.response.status, 422);
    EXPECT_EQ(jsonText(otherBody.response.body, "field"), "Idempotency-Key");
}

TEST_F(ClaimsFailure, entryKilledBeforeTheAnswerLeavesOneRun)
{
    startCell({ .controls = 3, .entries = 3 });
    BackendProcess backend(*cell_, "b1");
    ASSERT_NO_FATAL_FAILURE(waitUntilServing());
    network::ExchangeResult first;
    std::thread caller([&] { first = send(0, "k1", "delay=1500"); });
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return backend.runsOf("k1") == 1; }));
    cell_->entries()[0].process.kill();
    caller.join();
    EXPECT_NE(first.end, network::ExchangeEnd::Complete);
    for (int i = 0; i < 3; i++) {
        const auto resent = send(1, "k1", "");
        EXPECT_EQ(resent.response.status, 409);
        EXPECT_EQ(outcomeOf(resent), "unknown");
    }
    // The claim also survives the restart of the entry under the same id, and the end of the old
    // session.
    cell_->startEntry(0);
    waitUntil(DefaultTimeout,
        [&] { return cell_->call(0, "", "GET", "/healthz").response.status == 200; });
    EXPECT_EQ(send(0, "k1", "").response.status, 409);
    EXPECT_EQ(backend.runsOf("k1"), 1);
}

TEST_F(ClaimsFailure, leaderKilledWhileAClaimRunsLeavesOneRun)
{
    startCell({ .controls = 3, .entries = 2 });
    BackendProcess backend(*cell_, "b1");
    ASSERT_NO_FATAL_FAILURE(waitUntilServing());
    network::ExchangeResult first;
    std::thread caller([&] { first = send(0, "k1", "delay=2500"); });
    ASSERT_TRUE(waitUntil(DefaultTimeout, [&] { return backend.runsOf("k1") == 1; }));
    cell_->controls()[static_cast<size_t>(cell_->waitForLeader(DefaultTimeout))].process.kill();
    const auto resent = send(1, "k1", "");
    caller.join();
    EXPECT_EQ(first.response.status, 200);
    EXPECT_EQ(resent.response.status, 200) << resent.response.body;
    EXPECT_EQ(resent.response.body, first.response.body);
    EXPECT_EQ(backend.runsOf("k1"), 1);
}

TEST_F(ClaimsFailure, refusedRequestMayBeSentAgain)
{
    startCell({ .controls = 1, .entries = 2 });
    // There is no backend server: the request waits until its deadline and does not run.
    network::Headers headers = { { "Idempotency-Key", "k1" }, { "X-Fake-Id", "k1" },
        { "Basilgap-Timeout-Ms", "300" } };
    const auto refused = cell_->call(0, "ghat", "POST", "/once/x", "body", headers);
    EXPECT_EQ(refused.response.status, 503);
    EXPECT_EQ(outcomeOf(refused), "not-run");
    BackendProcess backend(*cell_, "b1");
    headers.back().value = "5000";
    EXPECT_TRUE(waitUntil(DefaultTimeout, [&] {
        return cell_->call(1, "ghat", "POST", "/once/x", "body", headers).response.status == 200;
    }));
    EXPECT_EQ(backend.runsOf("k1"), 1);
}

TEST_F(ClaimsFailure, jobWithOneIdempotencyKeyIsCreatedOnce)
{
    startCell({ .controls = 3, .entries = 3 });
    const std::string body = R"({"name": "once", "class": "batch", "tasks": 1,
        "perTask": {"millicores": 1, "memoryMb": 1}})";
    const std::string id = submit("ghat", body, { { "Idempotency-Key", "j" } });
    cell_->controls()[static_cast<size_t>(cell_->waitForLeader(DefaultTimeout))].process.kill();
    for (size_t entry = 0; entry < 3; entry++) {
        const auto again =
            cell_->call(entry, "ghat", "POST", "/v1/jobs", body, { { "Idempotency-Key", "j" } });
        EXPECT_EQ(again.response.status, 202) << again.response.body;
        EXPECT_EQ(jsonText(again.response.body, "id"), id);
    }
    EXPECT_EQ(cell_->call(0, "boatyard", "GET", "/v1/jobs/" + id).response.status, 404);
}

} // namespace basilgap::failuretests
