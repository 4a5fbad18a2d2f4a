#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include <google/protobuf/arena.h>

#include "Basilgap/Dispatch/Ports.h"
#include "Peer.pb.h"

namespace basilgap::dispatch {

// Size of a batch of calls, and size at which a batch of answers is sent. A larger call goes
// direct; a larger answer is not divided.
constexpr size_t MaxRelayBatchBytes = 256 * 1024;

// The leader waits for an answer for this time beyond the timeout of the exchange: the way to the
// relay and back, and the relay's own work.
constexpr Millis RelayAnswerMargin{ 200 };

// Passes the leader's calls to workers to other replicas, which make the exchanges, or to the
// direct port. All calls to one worker go to the same relay in the worker's zone, for as long as it
// is usable.
class RelayedWorkerPort : public WorkerPort
{
public:
    struct Options
    {
        WorkerPort &direct;
        // The leader's term. Answers to calls of other terms are ignored.
        uint64_t term = 0;
        // Sends a message to a relay. Returns false if it was not queued.
        std::function<bool(const std::string &relay, const schema::PeerMessage &)> send;
        // Has flush() called in the next iteration of the event loop.
        std::function<void()> scheduleFlush;
        std::function<Millis()> clock = steadyNow;
    };

    explicit RelayedWorkerPort(Options options);
    ~RelayedWorkerPort() override;
    RelayedWorkerPort(const RelayedWorkerPort &) = delete;
    RelayedWorkerPort &operator=(const RelayedWorkerPort &) = delete;

    // Whether new calls may go through relays.
    void setRelaying(bool isRelaying) { isRelaying_ = isRelaying; }

    // Called for each message from a process that relays orders and to which messages can be sent.
    void noteRelay(const std::string &id, const std::string &zone);
    // Called when the connection to the relay is lost. Its calls are answered as Unanswered.
    void removeRelay(const std::string &id);
    // Takes the answers out of the message.
    void receive(const std::string &relay, schema::OrderAnswers *answers);
    // Sends the calls made since the last call.
    void flush();
    // Ends calls whose answer is overdue, and updates which relays are usable. Times are those of
    // Options::clock.
    void tick(Millis now);

    size_t connectedRelays() const;
    // Number of those that have answered recently and are not suspended.
    size_t usableRelays() const;
    size_t callsInFlight() const { return pendingCalls_.size(); }
    // Number of calls made so far, relayed or direct.
    uint64_t calls() const { return calls_; }
    // Number of calls given to relays so far.
    uint64_t relayedCalls() const { return relayedCalls_; }

    void start(const WorkerEndpoint &worker, const StartOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) override;
    void stop(const WorkerEndpoint &worker, const StopOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) override;
    void throttle(const WorkerEndpoint &worker, const ThrottleOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) override;
    void poll(const WorkerEndpoint &worker, const PollRequest &order, Millis timeout,
        std::function<void(PollAnswer)> done) override;
    void closeIdleConnections(const WorkerEndpoint &worker) override;

private:
    using OrderDone = std::function<void(OrderAnswer)>;
    using PollDone = std::function<void(PollAnswer)>;
    using Done = std::variant<OrderDone, PollDone>;

    // A call that is collected for the next batch.
    struct QueuedCall
    {
        uint64_t id = 0;
        // Empty if the call need not be asked about.
        std::function<bool()> isStillWanted;
    };

    struct Relay
    {
        std::string id;
        std::string zone;
        bool isConnected = false;
        bool isUsable = false;
        // The relay's clock as it was last received on the present connection, and when that was.
        std::optional<Millis> clock;
        Millis clockReceivedAt;
        Millis clockRequestedAt;
        Millis suspendedUntil;
        size_t callsInFlight = 0;
        // Since the last answer.
        int unansweredCalls = 0;
        // Whether a worker, by number, was sent on the present connection.
        std::vector<bool> knownWorkers;
        google::protobuf::Arena arena;
        // The next batch, owned by the arena; null if it is empty.
        schema::PeerMessage *batch = nullptr;
        size_t batchBytes = 0;
        // One for each call in the batch.
        std::vector<QueuedCall> queued;
    };

    struct Worker
    {
        uint32_t number = 0;
        // Chosen when the set of usable relays last changed; null if there is none.
        Relay *relay = nullptr;
        uint64_t chosenAt = 0;
    };

    struct PendingCall
    {
        Relay *relay = nullptr;
        Millis deadline;
        Done done;
    };

    struct EndpointHash
    {
        size_t operator()(const WorkerEndpoint &endpoint) const;
    };

    // The relay for a call to the worker; null if the call goes direct.
    Relay *relayFor(const WorkerEndpoint &endpoint, Worker **worker);
    Relay *chooseRelay(const WorkerEndpoint &endpoint);
    // Queues the call and takes the callback, or returns false if the call goes direct.
    template<typename Order, typename Callback>
    bool tryRelay(const WorkerEndpoint &endpoint, const Order &order, Millis timeout,
        const std::function<bool()> &isStillWanted, Callback *done);
    schema::OrderCalls *batchOf(Relay *relay);
    void sendBatch(Relay *relay);
    void endUnwantedCalls(Relay *relay);
    void discardBatch(Relay *relay);
    void updateUsability(Relay *relay, Millis now);
    void requestClock(Relay *relay, Millis now);
    static void logUnusable(const Relay &relay, const char *reason);
    void suspend(Relay *relay, const char *reason, Millis now);
    // Removes the call and returns its callback; absent if it has ended before.
    std::optional<Done> takeCall(uint64_t id);
    // Removes the calls that match and returns their callbacks.
    template<typename Predicate>
    std::vector<Done> takeCallsIf(Predicate predicate);
    // Has the call end in flush().
    void endLater(uint64_t id, OrderResult result);
    static void end(const Done &call, OrderResult result);

    Options options_;
    bool isRelaying_ = false;
    std::map<std::string, Relay> relays_;
    // Increases whenever a relay becomes usable or unusable.
    uint64_t relayRevision_ = 1;
    std::unordered_map<WorkerEndpoint, Worker, EndpointHash> workers_;
    uint32_t nextWorkerNumber_ = 1;
    std::unordered_map<uint64_t, PendingCall> pendingCalls_;
    uint64_t nextCallId_ = 1;
    // Calls that were not sent. They end in flush(), as a caller does not expect its callback while
    // it makes a call.
    std::vector<std::pair<Done, OrderResult>> unsentCalls_;
    uint64_t calls_ = 0;
    uint64_t relayedCalls_ = 0;
};

} // namespace basilgap::dispatch
