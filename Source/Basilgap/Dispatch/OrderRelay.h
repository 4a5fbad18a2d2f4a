#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include "Basilgap/Dispatch/Ports.h"
#include "Peer.pb.h"

namespace basilgap::dispatch {

// Makes calls to workers on behalf of the leader, which runs in another process, and sends back the
// answers. Decides nothing.
class OrderRelay
{
public:
    struct Options
    {
        WorkerPort &workers;
        // Sends a message on a stream to the leader; the stream may be closed.
        std::function<void(uint64_t stream, const schema::PeerMessage &)> send;
        // Has flush() called in the next iteration of the event loop.
        std::function<void()> scheduleFlush;
        std::function<Millis()> clock = steadyNow;
    };

    explicit OrderRelay(Options options);

    // Makes the calls, unless their leader has been replaced or no longer waits for the answer.
    void receive(uint64_t stream, const schema::OrderCalls &calls);
    // Answers to calls that arrived on the stream are dropped from now on.
    void removeStream(uint64_t stream);
    // Sends the answers that have arrived since the last call.
    void flush();

private:
    struct Stream
    {
        uint64_t term = 0;
        // By the number that the leader has given to the worker.
        std::unordered_map<uint32_t, WorkerEndpoint> workers;
        // Holds the answers since the last flush.
        schema::PeerMessage answers;
        size_t answerBytes = 0;
        // The leader has asked for the clock.
        bool isClockDue = false;
    };
    // Identifies a call on its way back to the leader.
    struct Origin
    {
        uint64_t stream = 0;
        uint64_t term = 0;
        uint64_t id = 0;
    };

    void updateWorkers(Stream *stream, const schema::OrderCalls &calls);
    // Until when a call of this batch may be made.
    static Millis deadlineOf(const schema::OrderCalls &calls, Millis timeout, Millis now);
    void scheduleClock(Stream *stream);
    void carryOut(const Origin &origin, const WorkerEndpoint &worker, const schema::OrderCall &call,
        Millis deadline);
    std::function<bool()> wantedUntil(Millis deadline, uint64_t term) const;
    template<typename Answer>
    void addAnswer(const Origin &origin, Answer answer);
    template<typename Answer>
    std::function<void(Answer)> answerTo(const Origin &origin);
    void flushStream(uint64_t id, Stream *stream);

    Options options_;
    // Highest term of the calls that have arrived.
    uint64_t highestTerm_ = 0;
    std::unordered_map<uint64_t, Stream> streams_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace basilgap::dispatch
