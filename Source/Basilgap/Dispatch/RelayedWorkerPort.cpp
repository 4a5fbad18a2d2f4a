#include "Basilgap/Dispatch/RelayedWorkerPort.h"

#include <algorithm>
#include <utility>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Dispatch/OrderCodec.h"

namespace basilgap::dispatch {

namespace {

// Further calls go direct: a relay with so many open exchanges is slower than the leader itself.
constexpr size_t MaxCallsInFlight = 4096;

// A single lost answer may be due to its worker's host; two in a row are due to the relay.
constexpr int UnansweredCallsToSuspend = 2;
constexpr Millis SuspensionTime{ 3000 };

// Of a call besides its payload, checkpoint and ticket, with the introduction of its worker.
constexpr size_t BaseCallBytes = 256;

size_t approximateBytes(const StartOrder &order)
{
    return BaseCallBytes + order.payload.size() + order.checkpoint.size() + order.ticket.size();
}

template<typename Order>
size_t approximateBytes(const Order &)
{
    return BaseCallBytes;
}

// Its clock is requested from a relay that has not answered for this time.
constexpr Millis ClockRequestInterval{ 50 };

// A relay whose clock is older is not used: it may be frozen, and the age of the clock is taken off
// the time that a call has.
constexpr Millis MaxClockAge{ 200 };

} // namespace

size_t RelayedWorkerPort::EndpointHash::operator()(const WorkerEndpoint &endpoint) const
{
    return checksum(endpoint.id) ^ (checksum(endpoint.address) * 3);
}

RelayedWorkerPort::RelayedWorkerPort(Options options)
    : options_(std::move(options))
{}

RelayedWorkerPort::~RelayedWorkerPort() = default;

void RelayedWorkerPort::noteRelay(const std::string &id, const std::string &zone)
{
    Relay &relay = relays_[id];
    if (relay.isConnected && relay.zone == zone)
        return;
    relay.id = id;
    relay.zone = zone;
    relay.isConnected = true;
    relayRevision_++;
}

void RelayedWorkerPort::removeRelay(const std::string &id)
{
    const auto found = relays_.find(id);
    if (found == relays_.end() || !found->second.isConnected)
        return;
    Relay &relay = found->second;
    relay.isConnected = false;
    relay.clock.reset();
    relay.clockRequestedAt = Millis();
    relay.knownWorkers.clear();
    relay.unansweredCalls = 0;
    updateUsability(&relay, options_.clock());
    discardBatch(&relay);
    const std::vector<Done> lost =
        takeCallsIf([&relay](const PendingCall &call) { return call.relay == &relay; });
    if (!lost.empty())
        LogEvent("relay-lost").with("relay", id).with("calls", lost.size());
    for (const Done &call : lost)
        end(call, OrderResult::Unanswered);
}

void RelayedWorkerPort::updateUsability(Relay *relay, Millis now)
{
    const bool isClockNew = relay->clock && now - relay->clockReceivedAt <= MaxClockAge;
    const bool isUsable = relay->isConnected && isClockNew && now >= relay->suspendedUntil;
    if (isUsable == relay->isUsable)
        return;
    relay->isUsable = isUsable;
    relayRevision_++;
    if (relay->isConnected && isRelaying_ && !isClockNew)
        logUnusable(*relay, "silent");
}

void RelayedWorkerPort::requestClock(Relay *relay, Millis now)
{
    if (!isRelaying_ || !relay->isConnected || now < relay->clockRequestedAt + ClockRequestInterval
        || (relay->clock && now < relay->clockReceivedAt + ClockRequestInterval))
        return;
    relay->clockRequestedAt = now;
    batchOf(relay);
}

void RelayedWorkerPort::logUnusable(const Relay &relay, const char *reason)
{
    LogEvent("relay-suspended", LogLevel::Warning)
        .with("relay", relay.id)
        .with("reason", reason)
        .with("calls", relay.callsInFlight);
}

void RelayedWorkerPort::suspend(Relay *relay, const char *reason, Millis now)
{
    logUnusable(*relay, reason);
    relay->unansweredCalls = 0;
    relay->suspendedUntil = now + SuspensionTime;
    updateUsability(relay, now);
}

size_t RelayedWorkerPort::connectedRelays() const
{
    return static_cast<size_t>(std::count_if(relays_.begin(), relays_.end(),
        [](const auto &entry) { return entry.second.isConnected; }));
}

size_t RelayedWorkerPort::usableRelays() const
{
    return static_cast<size_t>(std::count_if(
        relays_.begin(), relays_.end(), [](const auto &entry) { return entry.second.isUsable; }));
}

// Rendezvous hashing: when a relay comes or goes, only the workers that it serves change theirs.
RelayedWorkerPort::Relay *RelayedWorkerPort::chooseRelay(const WorkerEndpoint &endpoint)
{
    Relay *chosen = nullptr;
    uint64_t highest = 0;
    for (auto &[id, relay] : relays_) {
        if (!relay.isUsable || relay.zone != endpoint.zone)
            continue;
        const uint64_t score = checksum(endpoint.id + ' ' + id);
        if (chosen != nullptr && score <= highest)
            continue;
        chosen = &relay;
        highest = score;
    }
    return chosen;
}

RelayedWorkerPort::Relay *RelayedWorkerPort::relayFor(
    const WorkerEndpoint &endpoint, Worker **worker)
{
    if (!isRelaying_)
        return nullptr;
    const auto [found, isNew] = workers_.try_emplace(endpoint);
    *worker = &found->second;
    if (isNew)
        found->second.number = nextWorkerNumber_++;
    if (found->second.chosenAt != relayRevision_) {
        found->second.relay = chooseRelay(endpoint);
        found->second.chosenAt = relayRevision_;
    }
    Relay *relay = found->second.relay;
    return relay == nullptr || relay->callsInFlight >= MaxCallsInFlight ? nullptr : relay;
}

schema::OrderCalls *RelayedWorkerPort::batchOf(Relay *relay)
{
    if (relay->batch == nullptr) {
        relay->batch = google::protobuf::Arena::CreateMessage<schema::PeerMessage>(&relay->arena);
        relay->batch->mutable_order_calls()->set_term(options_.term);
        options_.scheduleFlush();
    }
    return relay->batch->mutable_order_calls();
}

template<typename Order, typename Callback>
bool RelayedWorkerPort::tryRelay(const WorkerEndpoint &endpoint, const Order &order, Millis timeout,
    const std::function<bool()> &isStillWanted, Callback *done)
{
    calls_++;
    Worker *worker = nullptr;
    Relay *relay = relayFor(endpoint, &worker);
    if (relay == nullptr)
        return false;
    const size_t bytes = approximateBytes(order);
    if (bytes > MaxRelayBatchBytes)
        return false;
    if (relay->batchBytes + bytes > MaxRelayBatchBytes)
        sendBatch(relay);
    // It may just have become unreachable.
    if (!relay->isUsable)
        return false;
    schema::OrderCalls *batch = batchOf(relay);
    if (worker->number >= relay->knownWorkers.size())
        relay->knownWorkers.resize(nextWorkerNumber_);
    if (!relay->knownWorkers[worker->number]) {
        relay->knownWorkers[worker->number] = true;
        schema::RelayedWorker *introduction = batch->add_workers();
        introduction->set_number(worker->number);
        introduction->set_id(endpoint.id);
        introduction->set_address(endpoint.address);
    }
    const uint64_t id = nextCallId_++;
    schema::OrderCall *call = batch->add_calls();
    call->set_id(id);
    call->set_worker(worker->number);
    call->set_timeout_ms(static_cast<uint32_t>(timeout.count()));
    write(order, call);
    relay->batchBytes += bytes;
    relay->queued.push_back({ id, isStillWanted });
    pendingCalls_.emplace(
        id, PendingCall{ relay, options_.clock() + timeout + RelayAnswerMargin, std::move(*done) });
    relay->callsInFlight++;
    relayedCalls_++;
    return true;
}

void RelayedWorkerPort::start(
    const WorkerEndpoint &worker, const StartOrder &order, Millis timeout, OrderDone done)
{
    if (!tryRelay(worker, order, timeout, order.isStillWanted, &done))
        options_.direct.start(worker, order, timeout, std::move(done));
}

void RelayedWorkerPort::stop(
    const WorkerEndpoint &worker, const StopOrder &order, Millis timeout, OrderDone done)
{
    if (!tryRelay(worker, order, timeout, {}, &done))
        options_.direct.stop(worker, order, timeout, std::move(done));
}

void RelayedWorkerPort::throttle(
    const WorkerEndpoint &worker, const ThrottleOrder &order, Millis timeout, OrderDone done)
{
    if (!tryRelay(worker, order, timeout, {}, &done))
        options_.direct.throttle(worker, order, timeout, std::move(done));
}

void RelayedWorkerPort::poll(
    const WorkerEndpoint &worker, const PollRequest &order, Millis timeout, PollDone done)
{
    if (!tryRelay(worker, order, timeout, order.isStillWanted, &done))
        options_.direct.poll(worker, order, timeout, std::move(done));
}

void RelayedWorkerPort::closeIdleConnections(const WorkerEndpoint &worker)
{
    options_.direct.closeIdleConnections(worker);
    const auto gone = workers_.extract(worker);
    if (gone.empty())
        return;
    const uint32_t number = gone.mapped().number;
    for (auto &[id, relay] : relays_) {
        if (number >= relay.knownWorkers.size() || !relay.knownWorkers[number])
            continue;
        relay.knownWorkers[number] = false;
        batchOf(&relay)->add_gone_workers(number);
    }
}

void RelayedWorkerPort::flush()
{
    for (auto &[id, relay] : relays_)
        sendBatch(&relay);
    // The callbacks may make further calls.
    for (const auto &[call, result] : std::exchange(unsentCalls_, {}))
        end(call, result);
}

// Removes the calls that are no longer wanted from the batch.
void RelayedWorkerPort::endUnwantedCalls(Relay *relay)
{
    auto *calls = relay->batch->mutable_order_calls()->mutable_calls();
    for (int i = calls->size() - 1; i >= 0; i--) {
        QueuedCall &queued = relay->queued[static_cast<size_t>(i)];
        if (!queued.isStillWanted || queued.isStillWanted())
            continue;
        endLater(queued.id, OrderResult::Dropped);
        calls->SwapElements(i, calls->size() - 1);
        calls->RemoveLast();
        std::swap(queued, relay->queued.back());
        relay->queued.pop_back();
    }
}

void RelayedWorkerPort::sendBatch(Relay *relay)
{
    if (relay->batch == nullptr)
        return;
    endUnwantedCalls(relay);
    relay->batch->mutable_order_calls()->set_relay_clock_ms(
        relay->clock.value_or(Millis()).count());
    if (!options_.send(relay->id, *relay->batch)) {
        for (const QueuedCall &queued : relay->queued)
            endLater(queued.id, OrderResult::NotSent);
        // The workers introduced in this batch are not known to the relay.
        relay->knownWorkers.clear();
        suspend(relay, "not-sent", options_.clock());
    }
    discardBatch(relay);
}

void RelayedWorkerPort::discardBatch(Relay *relay)
{
    relay->batch = nullptr;
    relay->batchBytes = 0;
    relay->queued.clear();
    relay->arena.Reset();
}

std::optional<RelayedWorkerPort::Done> RelayedWorkerPort::takeCall(uint64_t id)
{
    auto call = pendingCalls_.extract(id);
    if (call.empty())
        return std::nullopt;
    call.mapped().relay->callsInFlight--;
    return std::move(call.mapped().done);
}

template<typename Predicate>
std::vector<RelayedWorkerPort::Done> RelayedWorkerPort::takeCallsIf(Predicate predicate)
{
    std::vector<Done> taken;
    for (auto call = pendingCalls_.begin(); call != pendingCalls_.end();) {
        if (!predicate(call->second)) {
            ++call;
            continue;
        }
        call->second.relay->callsInFlight--;
        taken.push_back(std::move(call->second.done));
        call = pendingCalls_.erase(call);
    }
    return taken;
}

void RelayedWorkerPort::endLater(uint64_t id, OrderResult result)
{
    if (auto done = takeCall(id))
        unsentCalls_.emplace_back(std::move(*done), result);
}

void RelayedWorkerPort::end(const Done &call, OrderResult result)
{
    if (const auto *order = std::get_if<OrderDone>(&call))
        return (*order)({ result, std::nullopt });
    PollAnswer answer;
    answer.result = result;
    std::get<PollDone>(call)(std::move(answer));
}

void RelayedWorkerPort::receive(const std::string &id, schema::OrderAnswers *answers)
{
    const auto found = relays_.find(id);
    if (answers->term() != options_.term || found == relays_.end() || !found->second.isConnected)
        return;
    found->second.clock = Millis(answers->clock_ms());
    found->second.clockReceivedAt = options_.clock();
    updateUsability(&found->second, options_.clock());
    for (schema::RelayedAnswer &answer : *answers->mutable_answers()) {
        auto call = pendingCalls_.extract(answer.id());
        // It has timed out.
        if (call.empty())
            continue;
        Relay *relay = call.mapped().relay;
        relay->callsInFlight--;
        relay->unansweredCalls = 0;
        if (const auto *done = std::get_if<OrderDone>(&call.mapped().done))
            (*done)(readOrderAnswer(answer));
        else
            std::get<PollDone>(call.mapped().done)(takePollAnswer(&answer));
    }
}

void RelayedWorkerPort::tick(Millis now)
{
    const std::vector<Done> overdue = takeCallsIf([now](const PendingCall &call) {
        if (now < call.deadline)
            return false;
        call.relay->unansweredCalls++;
        return true;
    });
    for (auto &[id, relay] : relays_) {
        if (relay.unansweredCalls >= UnansweredCallsToSuspend)
            suspend(&relay, "unanswered", now);
        updateUsability(&relay, now);
        requestClock(&relay, now);
    }
    for (const Done &call : overdue)
        end(call, OrderResult::Unanswered);
}

} // namespace basilgap::dispatch
