#include "RelayFixture.h"

namespace basilgap::dispatch {
namespace {

using Results = std::vector<OrderResult>;

class RelayedWorkerPortTest : public RelayFixture
{};

// Guards against a field that is lost on the way.
TEST_F(RelayedWorkerPortTest, aStartArrivesUnchangedAndItsAnswerComesBack)
{
    addRelay("a");
    start(1);
    deliverCalls();
    ASSERT_EQ(relay("a").workers.starts.size(), 1U);
    const FakeWorkerPort::Start &start = relay("a").workers.starts[0];
    const StartOrder expected = startOrder();
    EXPECT_EQ(start.worker.id, "i-1");
    EXPECT_EQ(start.worker.address, "10.0.0.1:80");
    EXPECT_EQ(start.order.task, expected.task);
    EXPECT_EQ(start.order.run, expected.run);
    EXPECT_EQ(start.order.payload, expected.payload);
    EXPECT_EQ(start.order.leaseEnd, expected.leaseEnd);
    EXPECT_EQ(start.order.fencingToken, expected.fencingToken);
    EXPECT_EQ(start.order.checkpoint, expected.checkpoint);
    EXPECT_EQ(start.order.ticket, expected.ticket);
    start.done({ OrderResult::Accepted, Millis(12345) });
    deliverAnswers();
    ASSERT_EQ(answers[1].size(), 1U);
    EXPECT_EQ(answers[1][0].result, OrderResult::Accepted);
    EXPECT_EQ(answers[1][0].workerClock, Millis(12345));
    EXPECT_TRUE(direct.starts.empty());
    EXPECT_EQ(port->callsInFlight(), 0U);
    EXPECT_EQ(port->relayedCalls(), 1U);
}

TEST_F(RelayedWorkerPortTest, stopsAndThrottlesArriveUnchanged)
{
    addRelay("a");
    std::vector<OrderAnswer> results;
    const auto done = [&](const OrderAnswer &answer) { results.push_back(answer); };
    port->stop(worker(1), StopOrder{ { "job", 4, 5, 6 }, 7, 8 }, Timeout, done);
    port->throttle(worker(2), ThrottleOrder{ { "job", 4, 5, 6 }, 7, 8, 60 }, Timeout, done);
    deliverCalls();
    ASSERT_EQ(relay("a").workers.stops.size(), 1U);
    const StopOrder &stop = relay("a").workers.stops[0].order;
    EXPECT_EQ(stop.task, (TaskName{ "job", 4, 5, 6 }));
    EXPECT_EQ(stop.run, 7U);
    EXPECT_EQ(stop.fencingToken, 8U);
    ASSERT_EQ(relay("a").workers.throttles.size(), 1U);
    const ThrottleOrder &throttle = relay("a").workers.throttles[0];
    EXPECT_EQ(throttle.task, (TaskName{ "job", 4, 5, 6 }));
    EXPECT_EQ(throttle.run, 7U);
    EXPECT_EQ(throttle.fencingToken, 8U);
    EXPECT_EQ(throttle.speedPercent, 60U);
    relay("a").workers.stops[0].done({ OrderResult::Fenced, std::nullopt });
    deliverAnswers();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[0].result, OrderResult::Accepted);
    EXPECT_EQ(results[1].result, OrderResult::Fenced);
    EXPECT_FALSE(results[1].workerClock);
}

TEST_F(RelayedWorkerPortTest, aPollStaysOpenAndItsReportComesBackUnchanged)
{
    addRelay("a");
    std::vector<PollAnswer> results;
    const auto done = [&](const PollAnswer &answer) { results.push_back(answer); };
    port->poll(worker(1), PollRequest{ 5, 17, Millis(99), Millis(1400), {} }, Millis(1650), done);
    port->poll(worker(2), PollRequest{ 5, 0, std::nullopt, Millis(200), {} }, Millis(450), done);
    deliverCalls();
    ASSERT_EQ(relay("a").workers.polls.size(), 2U);
    const PollRequest &first = relay("a").workers.polls[0].order;
    EXPECT_EQ(first.fencingToken, 5U);
    EXPECT_EQ(first.ackedEndSequence, 17U);
    EXPECT_EQ(first.leaseEnd, Millis(99));
    EXPECT_EQ(first.wait, Millis(1400));
    EXPECT_FALSE(relay("a").workers.polls[1].order.leaseEnd);
    advance(Millis(1400));
    deliverAnswers();
    EXPECT_EQ(port->callsInFlight(), 1U) << "the second poll is overdue, the first is open";
    ASSERT_EQ(results.size(), 1U);
    EXPECT_EQ(results[0].result, OrderResult::Unanswered);
    PollAnswer answer;
    answer.result = OrderResult::Accepted;
    answer.workerClock = Millis(5);
    answer.incarnationStartMs = 1234;
    answer.running = { { { "r", 1, 2, 3 }, 4, "point", 55, 6.5 } };
    answer.ended = { { 18, { "e", 1, 2, 3 }, 4, schema::RUN_FAILED, "other" },
        { 19, { "f", 0, 0, 0 }, 1, schema::RUN_DONE, "" } };
    answer.mayHaveMoreEnds = true;
    relay("a").workers.polls[0].done(answer);
    deliverAnswers();
    ASSERT_EQ(results.size(), 2U);
    EXPECT_EQ(results[1].result, OrderResult::Accepted);
    EXPECT_EQ(results[1].workerClock, Millis(5));
    EXPECT_EQ(results[1].incarnationStartMs, 1234U);
    ASSERT_EQ(results[1].running.size(), 1U);
    EXPECT_EQ(results[1].running[0].task, (TaskName{ "r", 1, 2, 3 }));
    EXPECT_EQ(results[1].running[0].run, 4U);
    EXPECT_EQ(results[1].running[0].checkpoint, "point");
    EXPECT_EQ(results[1].running[0].progressPercent, 55);
    EXPECT_EQ(results[1].running[0].latencyMsOrMillicores, 6.5);
    ASSERT_EQ(results[1].ended.size(), 2U);
    EXPECT_EQ(results[1].ended[0].sequence, 18U);
    EXPECT_EQ(results[1].ended[0].task, (TaskName{ "e", 1, 2, 3 }));
    EXPECT_EQ(results[1].ended[0].run, 4U);
    EXPECT_EQ(results[1].ended[0].outcome, schema::RUN_FAILED);
    EXPECT_EQ(results[1].ended[0].checkpoint, "other");
    EXPECT_EQ(results[1].ended[1].task, (TaskName{ "f", 0, 0, 0 }));
    EXPECT_TRUE(results[1].mayHaveMoreEnds);
}

// Guards against a result that the leader takes for another one, which decides whether a run may
// still start.
TEST_F(RelayedWorkerPortTest, everyResultComesBackAsItIs)
{
    addRelay("a");
    const Results sent{ OrderResult::Accepted, OrderResult::Fenced, OrderResult::StaleRun,
        OrderResult::LeaseExpired, OrderResult::NoCapacity, OrderResult::NoTicket,
        OrderResult::Invalid, OrderResult::Unavailable, OrderResult::WrongWorker,
        OrderResult::Unanswered, OrderResult::NotSent, OrderResult::ConnectionRefused };
    for (size_t i = 0; i < sent.size(); i++)
        start(1);
    deliverCalls();
    ASSERT_EQ(relay("a").workers.starts.size(), sent.size());
    for (size_t i = 0; i < sent.size(); i++)
        relay("a").workers.starts[i].done({ sent[i], std::nullopt });
    deliverAnswers();
    EXPECT_EQ(resultsOf(1), sent);
}

TEST_F(RelayedWorkerPortTest, callsOfOneIterationShareOneMessage)
{
    addRelay("a");
    for (int i = 0; i < 20; i++)
        start(i);
    port->flush();
    EXPECT_EQ(onTheWay.size(), 1U);
    deliverCalls();
    EXPECT_EQ(relay("a").flushes, 0);
    for (const auto &start : relay("a").workers.starts)
        start.done({ OrderResult::Accepted, std::nullopt });
    EXPECT_EQ(relay("a").flushes, 1);
    relay("a").relay.flush();
    EXPECT_EQ(relay("a").sent.size(), 1U);
}

TEST_F(RelayedWorkerPortTest, aBatchThatGrowsLargeIsSentAtOnce)
{
    addRelay("a");
    StartOrder order = startOrder();
    order.payload.assign(100 * 1024, 'x');
    for (int i = 0; i < 3; i++)
        start(i, order);
    EXPECT_EQ(onTheWay.size(), 1U);
    start(3, order);
    port->flush();
    EXPECT_EQ(onTheWay.size(), 2U);
    deliverCalls();
    EXPECT_EQ(relay("a").workers.starts.size(), 4U);
}

TEST_F(RelayedWorkerPortTest, callsGoDirectWhileRelaysAreNotToBeUsed)
{
    addRelay("a");
    port->setRelaying(false);
    start(1);
    deliverCalls();
    EXPECT_EQ(direct.starts.size(), 1U);
    EXPECT_TRUE(relay("a").workers.starts.empty());
}

// A call that a relay has is answered after the leader has gone back to direct calls.
TEST_F(RelayedWorkerPortTest, callsInFlightEndWhereTheyBegan)
{
    addRelay("a");
    start(1);
    deliverCalls();
    port->setRelaying(false);
    relay("a").workers.starts[0].done({ OrderResult::Accepted, std::nullopt });
    deliverAnswers();
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::Accepted });
}

TEST_F(RelayedWorkerPortTest, callsGoDirectWithoutARelayInTheZoneOfTheWorker)
{
    addRelay("a", "z2");
    start(1);
    EXPECT_EQ(direct.starts.size(), 1U);
    addRelay("b", "z1");
    start(1);
    EXPECT_EQ(direct.starts.size(), 1U);
    deliverCalls();
    EXPECT_EQ(takeRelayOf(1), "b");
}

// Guards against calls that move between relays, each of which then opens connections to a worker.
TEST_F(RelayedWorkerPortTest, onlyWorkersOfALostRelayChangeTheirs)
{
    constexpr int Workers = 300;
    for (const char *id : { "a", "b", "c", "d" })
        addRelay(id);
    std::map<int, std::string> before;
    std::map<std::string, int> load;
    for (int i = 0; i < Workers; i++) {
        start(i);
        deliverCalls();
        before[i] = takeRelayOf(i);
        load[before[i]]++;
    }
    for (const char *id : { "a", "b", "c", "d" })
        EXPECT_NEAR(load[id], Workers / 4, Workers / 10) << id;
    port->removeRelay("b");
    for (int i = 0; i < Workers; i++) {
        start(i);
        deliverCalls();
        const std::string after = takeRelayOf(i);
        if (before[i] == "b")
            EXPECT_NE(after, "b");
        else
            EXPECT_EQ(after, before[i]);
    }
    addRelay("b");
    for (int i = 0; i < Workers; i++) {
        start(i);
        deliverCalls();
        EXPECT_EQ(takeRelayOf(i), before[i]);
    }
}

// Guards against a task that runs twice: a relay reads a start after a freeze, when the leader has
// given the run up, stopped it and had it run elsewhere, and the worker has restarted since and
// doesn't know of the stop.
TEST_F(RelayedWorkerPortTest, aCallThatARelayReadsLateIsNotMade)
{
    addRelay("a");
    start(1);
    port->flush();
    now += Timeout + Millis(199);
    start(2);
    deliverCalls();
    ASSERT_EQ(relay("a").workers.starts.size(), 2U) << "in time";
    start(3);
    port->flush();
    advance(Timeout + Millis(200));
    EXPECT_EQ(resultsOf(3), Results{ OrderResult::Unanswered });
    deliverCalls();
    EXPECT_EQ(relay("a").workers.starts.size(), 2U);
}

// Guards against a leader whose process freezes after it has given calls to a connection.
TEST_F(RelayedWorkerPortTest, theTimeSinceTheClockOfTheRelayCounts)
{
    addRelay("a");
    now += Millis(200);
    start(1);
    port->flush();
    now += Millis(150);
    deliverCalls();
    EXPECT_TRUE(relay("a").workers.starts.empty());
    deliverAnswers();
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::NotSent });
}

// Guards against calls that were sent before the relay's host, and with it its clock, began anew.
TEST_F(RelayedWorkerPortTest, aClockOfTheFutureIsNotTrusted)
{
    addRelay("a");
    start(1);
    port->flush();
    schema::PeerMessage calls = onTheWay.front().second;
    onTheWay.clear();
    calls.mutable_order_calls()->set_relay_clock_ms((now + Millis(1)).count());
    relay("a").relay.receive(StreamId, calls.order_calls());
    EXPECT_TRUE(relay("a").workers.starts.empty());
}

TEST_F(RelayedWorkerPortTest, aRelayIsUsedOnceItsClockIsKnown)
{
    relays["a"] = std::make_unique<FakeRelay>([this] { return now; });
    port->noteRelay("a", "z1");
    start(1);
    EXPECT_EQ(direct.starts.size(), 1U);
    EXPECT_EQ(port->connectedRelays(), 1U);
    EXPECT_EQ(port->usableRelays(), 0U);
    exchangeClocks();
    EXPECT_EQ(port->usableRelays(), 1U);
    start(1);
    EXPECT_EQ(direct.starts.size(), 1U);
}

// Guards against traffic in a cell that uses no relays.
TEST_F(RelayedWorkerPortTest, clocksAreRequestedOnlyWhileRelaysAreUsed)
{
    addRelay("a");
    port->setRelaying(false);
    advance(Millis(5000));
    port->flush();
    EXPECT_TRUE(onTheWay.empty());
    port->setRelaying(true);
    advance(Millis(25));
    port->flush();
    EXPECT_EQ(onTheWay.size(), 1U);
}

// Guards against runs that wait for the timeout of a call whose relay is known to be gone, and
// against a second answer from a relay that only lost its connection.
TEST_F(RelayedWorkerPortTest, callsOfALostRelayAreUnansweredAtOnceAndOnlyOnce)
{
    addRelay("a");
    start(1);
    deliverCalls();
    start(2);
    std::vector<OrderResult> polls;
    port->poll(worker(3), PollRequest{ 5, 0, std::nullopt, Millis(1400), {} }, Millis(1650),
        [&](const PollAnswer &answer) { polls.push_back(answer.result); });
    port->removeRelay("a");
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::Unanswered });
    EXPECT_EQ(resultsOf(2), Results{ OrderResult::Unanswered });
    EXPECT_EQ(polls, Results{ OrderResult::Unanswered });
    EXPECT_EQ(port->callsInFlight(), 0U);
    deliverCalls();
    EXPECT_EQ(relay("a").workers.starts.size(), 1U) << "what was not sent is not sent later";
    relay("a").workers.starts[0].done({ OrderResult::Accepted, std::nullopt });
    deliverAnswers();
    advance(Millis(5000));
    EXPECT_EQ(answers[1].size(), 1U);
    start(4);
    EXPECT_EQ(direct.starts.size(), 1U);
}

TEST_F(RelayedWorkerPortTest, anAnswerAfterTheTimeoutIsIgnored)
{
    addRelay("a");
    start(1);
    deliverCalls();
    advance(Timeout + Millis(199));
    EXPECT_TRUE(answers[1].empty());
    advance(Millis(1));
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::Unanswered });
    relay("a").workers.starts[0].done({ OrderResult::Accepted, std::nullopt });
    deliverAnswers();
    EXPECT_EQ(answers[1].size(), 1U);
}

// Guards against a frozen relay to which calls go again and again.
TEST_F(RelayedWorkerPortTest, aRelayThatDoesNotAnswerIsNotUsedForThreeSeconds)
{
    addRelay("a");
    start(1);
    start(2);
    deliverCalls();
    advance(Millis(350));
    EXPECT_EQ(port->usableRelays(), 0U);
    start(3);
    EXPECT_EQ(direct.starts.size(), 1U);
    advanceInContact(Millis(2900));
    EXPECT_EQ(port->usableRelays(), 0U);
    advanceInContact(Millis(200));
    EXPECT_EQ(port->usableRelays(), 1U);
    start(4);
    deliverCalls();
    EXPECT_EQ(relay("a").workers.starts.size(), 3U);
}

// One lost answer is not the relay's fault if others arrive.
TEST_F(RelayedWorkerPortTest, anAnswerBetweenTwoLostOnesKeepsTheRelayInUse)
{
    addRelay("a");
    for (int i = 0; i < 4; i++) {
        start(1);
        deliverCalls();
        advanceInContact(Millis(400));
        start(2);
        deliverCalls();
        relay("a").workers.starts.back().done({ OrderResult::Accepted, std::nullopt });
        deliverAnswers();
    }
    EXPECT_EQ(resultsOf(1), Results(4, OrderResult::Unanswered));
    EXPECT_EQ(resultsOf(2), Results(4, OrderResult::Accepted));
    EXPECT_EQ(port->usableRelays(), 1U);
}

TEST_F(RelayedWorkerPortTest, aRelayThatIsNotHeardIsNotUsed)
{
    addRelay("a");
    advance(Millis(1001));
    start(1);
    EXPECT_EQ(direct.starts.size(), 1U);
    addRelay("a");
    advance(Millis(25));
    start(1);
    EXPECT_EQ(direct.starts.size(), 1U);
}

// Guards against calls that count as sent, and are then stopped, although they never left.
TEST_F(RelayedWorkerPortTest, aCallThatCannotBeSentIsReportedAsNotSent)
{
    addRelay("a");
    isLinkDown = true;
    start(1);
    port->flush();
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::NotSent });
    EXPECT_EQ(port->callsInFlight(), 0U);
    EXPECT_EQ(port->usableRelays(), 0U);
    isLinkDown = false;
    advanceInContact(Millis(3100));
    start(1);
    deliverCalls();
    EXPECT_EQ(takeRelayOf(1), "a") << "the relay is told the worker's address again";
}

TEST_F(RelayedWorkerPortTest, aStartThatIsNoLongerWantedIsNotSent)
{
    addRelay("a");
    bool isWanted = true;
    StartOrder order = startOrder();
    order.isStillWanted = [&] { return isWanted; };
    start(1, order);
    start(2);
    start(3, order);
    start(4);
    isWanted = false;
    deliverCalls();
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::Dropped });
    EXPECT_EQ(resultsOf(3), Results{ OrderResult::Dropped });
    ASSERT_EQ(relay("a").workers.starts.size(), 2U);
    for (const auto &start : relay("a").workers.starts)
        start.done({ OrderResult::Accepted, std::nullopt });
    deliverAnswers();
    EXPECT_EQ(resultsOf(2), Results{ OrderResult::Accepted });
    EXPECT_EQ(resultsOf(4), Results{ OrderResult::Accepted });
}

TEST_F(RelayedWorkerPortTest, atMost4096CallsAreInFlightThroughOneRelay)
{
    addRelay("a");
    for (int i = 0; i < 4100; i++)
        start(i % 50);
    EXPECT_EQ(port->callsInFlight(), 4096U);
    EXPECT_EQ(direct.starts.size(), 4U);
    deliverCalls();
    relay("a").workers.starts[0].done({ OrderResult::Accepted, std::nullopt });
    deliverAnswers();
    start(1);
    EXPECT_EQ(direct.starts.size(), 4U);
}

// Guards against an answer to a call of an earlier term that has the same id as one of this term.
TEST_F(RelayedWorkerPortTest, answersToCallsOfAnEarlierTermAreIgnored)
{
    addRelay("a");
    start(1);
    deliverCalls();
    lead(9);
    addRelay("a");
    start(2);
    relay("a").workers.starts[0].done({ OrderResult::Accepted, std::nullopt });
    deliverAnswers();
    EXPECT_TRUE(answers[2].empty());
    deliverCalls();
    ASSERT_EQ(relay("a").workers.starts.size(), 2U);
    EXPECT_EQ(relay("a").workers.starts[1].worker.id, "i-2");
    relay("a").workers.starts[1].done({ OrderResult::StaleRun, std::nullopt });
    deliverAnswers();
    EXPECT_EQ(resultsOf(2), Results{ OrderResult::StaleRun });
    EXPECT_TRUE(answers[1].empty()) << "the sessions of the earlier term are gone";
}

// Guards against orders of a replaced leader that a slow link delivers late.
TEST_F(RelayedWorkerPortTest, aRelayDropsCallsOfALowerTerm)
{
    addRelay("a");
    start(1);
    port->flush();
    schema::OrderCalls newer;
    newer.set_term(6);
    relay("a").relay.receive(StreamId + 1, newer);
    deliverCalls();
    EXPECT_TRUE(relay("a").workers.starts.empty());
}

// Guards against a start that waited at the relay for a connection until its leader was replaced,
// or until the leader no longer waits for the answer.
TEST_F(RelayedWorkerPortTest, aRelayDoesNotSendACallThatHasWaitedTooLong)
{
    addRelay("a");
    start(1);
    start(2);
    deliverCalls();
    const auto &starts = relay("a").workers.starts;
    ASSERT_EQ(starts.size(), 2U);
    EXPECT_TRUE(starts[0].order.isStillWanted());
    now += Timeout;
    EXPECT_FALSE(starts[0].order.isStillWanted());
    now = now - Timeout;
    schema::OrderCalls newer;
    newer.set_term(6);
    relay("a").relay.receive(StreamId + 1, newer);
    EXPECT_FALSE(starts[1].order.isStillWanted());
    starts[0].done({ OrderResult::Dropped, std::nullopt });
    deliverAnswers();
    EXPECT_EQ(resultsOf(1), Results{ OrderResult::NotSent });
}

TEST_F(RelayedWorkerPortTest, aRelayThatHasLostTheStreamAnswersNothing)
{
    addRelay("a");
    start(1);
    deliverCalls();
    relay("a").relay.removeStream(StreamId);
    relay("a").workers.starts[0].done({ OrderResult::Accepted, std::nullopt });
    relay("a").relay.flush();
    EXPECT_TRUE(relay("a").sent.empty());
}

TEST_F(RelayedWorkerPortTest, aRelayThatConnectsAgainLearnsTheWorkersAgain)
{
    addRelay("a");
    start(1);
    deliverCalls();
    port->removeRelay("a");
    relays["a"] = std::make_unique<FakeRelay>([this] { return now; });
    addRelay("a");
    start(1);
    deliverCalls();
    EXPECT_EQ(takeRelayOf(1), "a");
}

// Guards against connections to workers that are gone, which use up the descriptors of relays.
TEST_F(RelayedWorkerPortTest, aRelayClosesConnectionsToAWorkerThatIsGone)
{
    addRelay("a");
    start(1);
    start(2);
    deliverCalls();
    port->closeIdleConnections(worker(1));
    deliverCalls();
    EXPECT_EQ(direct.goneWorkers.size(), 1U);
    ASSERT_EQ(relay("a").workers.goneWorkers.size(), 1U);
    EXPECT_EQ(relay("a").workers.goneWorkers[0].address, worker(1).address);
    start(1);
    deliverCalls();
    EXPECT_EQ(relay("a").workers.starts.size(), 3U) << "it may come back";
}

// Guards against a call to the earlier address of a worker that has moved.
TEST_F(RelayedWorkerPortTest, twoAddressesOfOneWorkerAreKeptApart)
{
    addRelay("a");
    WorkerEndpoint moved = worker(1);
    moved.address = "10.0.0.99:80";
    start(1);
    port->stop(moved, StopOrder{ { "job", 0, 0, 0 }, 1, 5 }, Timeout, [](const OrderAnswer &) {});
    start(1);
    deliverCalls();
    ASSERT_EQ(relay("a").workers.starts.size(), 2U);
    EXPECT_EQ(relay("a").workers.starts[0].worker.address, worker(1).address);
    EXPECT_EQ(relay("a").workers.starts[1].worker.address, worker(1).address);
    ASSERT_EQ(relay("a").workers.stops.size(), 1U);
    EXPECT_EQ(relay("a").workers.stops[0].worker.address, "10.0.0.99:80");
}

// A callback may make the next call, as a session repeats an unanswered start.
TEST_F(RelayedWorkerPortTest, aCallbackMayMakeFurtherCalls)
{
    addRelay("a");
    int calls = 0;
    std::function<void(OrderAnswer)> repeat;
    repeat = [&](const OrderAnswer &) {
        if (++calls < 50)
            port->start(worker(calls), startOrder(), Timeout, repeat);
    };
    for (int i = 0; i < 10; i++)
        port->start(worker(1), startOrder(), Timeout, repeat);
    deliverCalls();
    advance(Millis(350));
    EXPECT_EQ(calls, 10);
    port->removeRelay("a");
    for (const auto &start : std::exchange(direct.starts, {}))
        start.done({ OrderResult::Unanswered, std::nullopt });
    EXPECT_EQ(port->callsInFlight(), 0U);
    EXPECT_EQ(calls, 20);
}

} // namespace
} // namespace basilgap::dispatch
