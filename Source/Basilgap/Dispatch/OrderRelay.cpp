#include "Basilgap/Dispatch/OrderRelay.h"

#include <algorithm>
#include <utility>

#include "Basilgap/Dispatch/OrderCodec.h"
#include "Basilgap/Dispatch/RelayedWorkerPort.h"

namespace basilgap::dispatch {

OrderRelay::OrderRelay(Options options)
    : options_(std::move(options))
{}

void OrderRelay::receive(uint64_t stream, const schema::OrderCalls &calls)
{
    if (calls.term() < highestTerm_)
        return;
    highestTerm_ = calls.term();
    Stream &source = streams_[stream];
    if (source.term != calls.term()) {
        // The leader numbers calls and workers anew in each term.
        source = Stream{};
        source.term = calls.term();
    }
    updateWorkers(&source, calls);
    if (calls.calls().empty())
        return scheduleClock(&source);
    const Millis now = options_.clock();
    for (const schema::OrderCall &call : calls.calls()) {
        const Origin origin{ stream, calls.term(), call.id() };
        const auto worker = source.workers.find(call.worker());
        const Millis deadline = deadlineOf(calls, Millis(call.timeout_ms()), now);
        if (worker == source.workers.end() || now >= deadline)
            addAnswer(origin, OrderAnswer{ OrderResult::NotSent, std::nullopt });
        else
            carryOut(origin, worker->second, call, deadline);
    }
}

// The leader sent the calls after this process had sent its clock. So a call that was held up on
// its way, as by a freeze of this process, is known to be old. It must not be made once the leader
// has given it up: the worker may have restarted since, and no longer knows that the run was
// stopped.
Millis OrderRelay::deadlineOf(const schema::OrderCalls &calls, Millis timeout, Millis now)
{
    const Millis clock(calls.relay_clock_ms());
    // The host has restarted since, and its clock with it.
    if (clock > now)
        return now;
    return std::min(clock + timeout + RelayAnswerMargin, now + timeout);
}

void OrderRelay::scheduleClock(Stream *stream)
{
    stream->isClockDue = true;
    options_.scheduleFlush();
}

void OrderRelay::updateWorkers(Stream *stream, const schema::OrderCalls &calls)
{
    for (const schema::RelayedWorker &worker : calls.workers())
        stream->workers[worker.number()] = { worker.id(), worker.address(), {} };
    for (const uint32_t number : calls.gone_workers()) {
        const auto gone = stream->workers.extract(number);
        if (!gone.empty())
            options_.workers.closeIdleConnections(gone.mapped());
    }
}

void OrderRelay::carryOut(const Origin &origin, const WorkerEndpoint &worker,
    const schema::OrderCall &call, Millis deadline)
{
    const Millis timeout(call.timeout_ms());
    if (call.has_start()) {
        StartOrder order = readStart(call.start());
        order.isStillWanted = wantedUntil(deadline, origin.term);
        options_.workers.start(worker, order, timeout, answerTo<OrderAnswer>(origin));
    } else if (call.has_stop()) {
        options_.workers.stop(
            worker, readStop(call.stop()), timeout, answerTo<OrderAnswer>(origin));
    } else if (call.has_throttle()) {
        options_.workers.throttle(
            worker, readThrottle(call.throttle()), timeout, answerTo<OrderAnswer>(origin));
    } else if (call.has_poll()) {
        PollRequest order = readPoll(call.poll());
        order.isStillWanted = wantedUntil(deadline, origin.term);
        options_.workers.poll(worker, order, timeout, answerTo<PollAnswer>(origin));
    }
}

// Asked by the port about a call that has waited for a connection.
std::function<bool()> OrderRelay::wantedUntil(Millis deadline, uint64_t term) const
{
    return [this, alive = std::weak_ptr<bool>(alive_), deadline, term] {
        return !alive.expired() && options_.clock() < deadline && term >= highestTerm_;
    };
}

template<typename Answer>
std::function<void(Answer)> OrderRelay::answerTo(const Origin &origin)
{
    return [this, alive = std::weak_ptr<bool>(alive_), origin](Answer answer) {
        if (!alive.expired())
            addAnswer(origin, std::move(answer));
    };
}

template<typename Answer>
void OrderRelay::addAnswer(const Origin &origin, Answer answer)
{
    const auto stream = streams_.find(origin.stream);
    if (stream == streams_.end() || stream->second.term != origin.term)
        return;
    schema::OrderAnswers *answers = stream->second.answers.mutable_order_answers();
    schema::RelayedAnswer *message = answers->add_answers();
    message->set_id(origin.id);
    write(std::move(answer), message);
    stream->second.answerBytes += message->ByteSizeLong();
    if (stream->second.answerBytes >= MaxRelayBatchBytes)
        return flushStream(origin.stream, &stream->second);
    if (answers->answers_size() == 1)
        options_.scheduleFlush();
}

void OrderRelay::flush()
{
    for (auto &[id, stream] : streams_)
        flushStream(id, &stream);
}

void OrderRelay::flushStream(uint64_t id, Stream *stream)
{
    schema::OrderAnswers *answers = stream->answers.mutable_order_answers();
    if (answers->answers_size() == 0 && !stream->isClockDue)
        return;
    stream->isClockDue = false;
    answers->set_term(stream->term);
    answers->set_clock_ms(options_.clock().count());
    options_.send(id, stream->answers);
    // Keeps the memory of a batch of the usual size for the next one.
    if (stream->answerBytes < MaxRelayBatchBytes)
        answers->Clear();
    else
        stream->answers.clear_body();
    stream->answerBytes = 0;
}

void OrderRelay::removeStream(uint64_t stream)
{
    streams_.erase(stream);
}

} // namespace basilgap::dispatch
