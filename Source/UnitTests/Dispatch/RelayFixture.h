#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <gtest/gtest.h>

#include "Basilgap/Dispatch/OrderRelay.h"
#include "Basilgap/Dispatch/RelayedWorkerPort.h"
#include "FakeWorkerPort.h"

namespace basilgap::dispatch {

// A process that makes calls for the leader, with a fake of its workers.
struct FakeRelay
{
    explicit FakeRelay(std::function<Millis()> clock)
        : relay({
            .workers = workers,
            .send = [this](uint64_t stream,
                        const schema::PeerMessage &message) { sent.emplace_back(stream, message); },
            .scheduleFlush = [this] { flushes++; },
            .clock = std::move(clock),
        })
    {}

    FakeWorkerPort workers;
    std::vector<std::pair<uint64_t, schema::PeerMessage>> sent;
    int flushes = 0;
    OrderRelay relay;
};

// A leader's port and some relays, connected by a network that the test operates.
class RelayFixture : public testing::Test
{
protected:
    static constexpr uint64_t StreamId = 7;
    static constexpr Millis Timeout{ 150 };

    RelayFixture() { lead(5); }

    // The process becomes the leader of a term.
    void lead(uint64_t term)
    {
        port = std::make_unique<RelayedWorkerPort>(RelayedWorkerPort::Options{
            .direct = direct,
            .term = term,
            .send =
                [this](const std::string &id, const schema::PeerMessage &message) {
                    if (isLinkDown)
                        return false;
                    schema::PeerMessage copy;
                    EXPECT_TRUE(copy.ParseFromString(message.SerializeAsString()));
                    onTheWay.emplace_back(id, std::move(copy));
                    return true;
                },
            .scheduleFlush = [] {},
            .clock = [this] { return now; },
        });
        port->setRelaying(true);
    }

    void addRelay(const std::string &id, const std::string &zone = "z1")
    {
        if (!relays.contains(id))
            relays[id] = std::make_unique<FakeRelay>([this] { return now; });
        port->noteRelay(id, zone);
        exchangeClocks();
        relay(id).flushes = 0;
    }

    // The relays answer requests for their clocks.
    void exchangeClocks()
    {
        port->tick(now);
        deliverCalls();
        deliverAnswers();
    }

    FakeRelay &relay(const std::string &id) { return *relays.at(id); }

    // Delivers what the leader has sent.
    void deliverCalls()
    {
        port->flush();
        for (; !onTheWay.empty(); onTheWay.pop_front())
            relay(onTheWay.front().first)
                .relay.receive(StreamId, onTheWay.front().second.order_calls());
    }

    // Delivers what the relays have answered.
    void deliverAnswers()
    {
        for (auto &[id, relay] : relays) {
            relay->relay.flush();
            auto sent = std::exchange(relay->sent, {});
            for (auto &[stream, message] : sent) {
                schema::PeerMessage copy;
                EXPECT_TRUE(copy.ParseFromString(message.SerializeAsString()));
                port->receive(id, copy.mutable_order_answers());
            }
        }
    }

    void advance(Millis time)
    {
        now += time;
        port->tick(now);
    }

    // The relays stay in contact while the time passes.
    void advanceInContact(Millis time)
    {
        for (const Millis end = now + time; now < end;) {
            advance(Millis(50));
            exchangeClocks();
        }
    }

    static WorkerEndpoint worker(int number, const std::string &zone = "z1")
    {
        return { "i-" + std::to_string(number), "10.0.0." + std::to_string(number) + ":80", zone };
    }

    static StartOrder startOrder(uint32_t run = 1)
    {
        return { .task = { "job", 1, 2, 3 },
            .run = run,
            .payload = std::string("pay\0load\xff", 9),
            .leaseEnd = Millis(-77),
            .fencingToken = 5,
            .checkpoint = "check",
            .ticket = "ticket",
            .isStillWanted = {} };
    }

    // Makes a start; its answers are recorded.
    void start(int number, const StartOrder &order = startOrder())
    {
        port->start(worker(number), order, Timeout,
            [this, number](const OrderAnswer &answer) { answers[number].push_back(answer); });
    }

    std::vector<OrderResult> resultsOf(int number)
    {
        std::vector<OrderResult> results;
        for (const OrderAnswer &answer : answers[number])
            results.push_back(answer.result);
        return results;
    }

    // The only relay that has got a start of the worker since the last call; empty if none has.
    std::string takeRelayOf(int number)
    {
        std::string found;
        for (auto &[id, relay] : relays) {
            for (const auto &start : std::exchange(relay->workers.starts, {})) {
                if (start.worker.id != worker(number).id)
                    continue;
                EXPECT_EQ(found, "");
                found = id;
            }
        }
        return found;
    }

    Millis now{ 100000 };
    bool isLinkDown = false;
    FakeWorkerPort direct;
    std::map<std::string, std::unique_ptr<FakeRelay>> relays;
    std::deque<std::pair<std::string, schema::PeerMessage>> onTheWay;
    std::map<int, std::vector<OrderAnswer>> answers;
    std::unique_ptr<RelayedWorkerPort> port;
};

} // namespace basilgap::dispatch
