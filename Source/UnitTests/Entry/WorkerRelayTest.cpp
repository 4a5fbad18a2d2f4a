#include <memory>
#include <string>

#include <gtest/gtest.h>

#include "Basilgap/Entry/WorkerRelay.h"
#include "FakeResponder.h"

namespace basilgap::entry {

namespace {

std::string reportOf(uint64_t incarnation, uint64_t sequence)
{
    return R"({"id": "w1", "zone": "z1", "rack": "r1", "incarnation": )"
        + std::to_string(incarnation) + R"(, "sequence": )" + std::to_string(sequence)
        + R"(, "capacity": {"millicores": 1000, "memoryMb": 1000, "accelerators": 0}})";
}

class WorkerRelayTest : public testing::Test
{
protected:
    std::shared_ptr<FakeResponder> poll(uint64_t incarnation, uint64_t sequence)
    {
        auto responder = std::make_shared<FakeResponder>();
        network::HttpRequest request;
        request.body = reportOf(incarnation, sequence);
        relay_.handlePoll(request, responder);
        return responder;
    }

    void receive(const schema::WorkerOrders &orders)
    {
        schema::WorkerOrdersBatch batch;
        *batch.add_orders() = orders;
        relay_.handleOrders(batch);
    }

    static schema::WorkerOrders ordersFor(uint64_t incarnation, uint64_t sequence)
    {
        schema::WorkerOrders orders;
        orders.set_worker("w1");
        orders.set_incarnation(incarnation);
        orders.set_sequence(sequence);
        orders.set_lease_ms(10000);
        return orders;
    }

    static schema::WorkerOrders stopOrderFor(uint64_t incarnation, uint64_t sequence)
    {
        schema::WorkerOrders orders = ordersFor(incarnation, sequence);
        orders.add_stop()->set_job(1);
        return orders;
    }

    network::EventLoop loop_;
    ViewStore view_;
    WorkerRelay relay_{ loop_,
        { .entry = EntryId("e1"),
            .sendDigest = [](const schema::WorkerDigest &) {},
            .connectionGeneration = [] { return 1; } },
        view_ };
};

} // namespace

// Guards against a worker that carries out orders, or trusts a lease, of its earlier incarnation.
TEST_F(WorkerRelayTest, ordersForAnEarlierIncarnationDoNotAnswerAPollWithTheSameSequence)
{
    const auto later = poll(2, 1);
    receive(stopOrderFor(1, 1));
    EXPECT_FALSE(later->isAnswered());
    receive(stopOrderFor(2, 1));
    EXPECT_EQ(later->status(), 200);
}

TEST_F(WorkerRelayTest, leaseOfAnEarlierIncarnationDoesNotConfirmAPoll)
{
    const auto later = poll(2, 1);
    receive(ordersFor(1, 1));
    // Would answer a confirmed poll.
    receive(stopOrderFor(2, 0));
    EXPECT_FALSE(later->isAnswered());
}

TEST_F(WorkerRelayTest, refusalOfAnEarlierIncarnationDoesNotAnswerAPoll)
{
    const auto later = poll(2, 1);
    schema::WorkerOrders refusal = ordersFor(1, 1);
    refusal.set_refused("a later incarnation has reported");
    receive(refusal);
    EXPECT_FALSE(later->isAnswered());
}

// Pushed orders carry the sequence of an earlier poll.
TEST_F(WorkerRelayTest, ordersPushedToAnEarlierIncarnationDoNotAnswerAConfirmedPoll)
{
    const auto later = poll(2, 1);
    receive(ordersFor(2, 1));
    receive(stopOrderFor(1, 7));
    EXPECT_FALSE(later->isAnswered());
    receive(stopOrderFor(2, 0));
    EXPECT_EQ(later->status(), 200);
}

TEST_F(WorkerRelayTest, ordersWithoutAnIncarnationAnswerBySequence)
{
    const auto later = poll(2, 1);
    schema::WorkerOrders orders = stopOrderFor(2, 1);
    orders.clear_incarnation();
    receive(orders);
    EXPECT_EQ(later->status(), 200);
}

// Guards against a worker that loses its poll to a call of its earlier incarnation which comes
// late.
TEST_F(WorkerRelayTest, latePollOfTheEarlierIncarnationDoesNotEndThatOfTheLaterOne)
{
    const auto later = poll(2, 1);
    const auto late = poll(1, 9);
    EXPECT_FALSE(later->isAnswered());
    EXPECT_EQ(late->status(), 409);
    receive(stopOrderFor(2, 1));
    EXPECT_EQ(later->status(), 200);
}

TEST_F(WorkerRelayTest, latePollDoesNotEndALaterOneOfTheSameIncarnation)
{
    const auto later = poll(2, 5);
    const auto late = poll(2, 4);
    EXPECT_FALSE(later->isAnswered());
    EXPECT_EQ(late->status(), 409);
}

} // namespace basilgap::entry
