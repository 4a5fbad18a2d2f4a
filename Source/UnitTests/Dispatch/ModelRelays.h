#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Dispatch/OrderRelay.h"
#include "Basilgap/Dispatch/RelayedWorkerPort.h"
#include "ModelNetwork.h"

namespace basilgap::dispatch {

// Processes that relay the calls of leaders to the workers. They die and freeze with calls in hand.
class ModelRelays
{
public:
    // The end of the connections of one leader.
    struct LeaderEnd
    {
        // Runs an event in the leader's process.
        std::function<void(std::function<void()>)> run;
        // Null once the leader's process has ended.
        RelayedWorkerPort *port = nullptr;
    };

    ModelRelays(SimulatedTime &time, ModelNetwork::Workers &workers);

    void setTrouble(const NetworkTrouble &trouble);
    // Connects a leader with all relays that are up.
    void connect(const std::shared_ptr<LeaderEnd> &leader);
    // For the leader's port. Returns false if there is no connection.
    bool send(
        const LeaderEnd *leader, const std::string &relay, const schema::PeerMessage &message);

    void killOne();
    void freezeOne();

private:
    // From a start of the process to its end.
    struct Process
    {
        Process(ModelRelays &owner, std::string id);

        // While the process is frozen, the event waits.
        void run(std::function<void()> event);

        std::string id;
        bool isUp = true;
        bool isFrozen = false;
        std::vector<std::function<void()>> waitingEvents;
        ModelNetwork network;
        // Null once the process has ended.
        std::unique_ptr<OrderRelay> relay;
    };
    struct Connection
    {
        std::shared_ptr<LeaderEnd> leader;
        Process *relay = nullptr;
        bool isOpen = true;
        Millis lastHeardAt;
        // Messages arrive in order.
        Millis lastCallsArriveAt;
        Millis lastAnswersArriveAt;
    };

    Process &startProcess(const std::string &id);
    Process *randomProcess();
    // Delays until the next message of a connection arrives, after that which arrives at `last`.
    Millis nextDelay(Millis *last);
    void open(const std::shared_ptr<LeaderEnd> &leader, Process *relay);
    void close(Connection *connection);
    void answer(uint64_t stream, const schema::PeerMessage &message);
    // Each relay sends its leaders signs of life. A connection without them is closed and opened
    // again.
    void keepContact();

    SimulatedTime &time_;
    ModelNetwork::Workers &workers_;
    NetworkTrouble trouble_;
    std::vector<std::shared_ptr<LeaderEnd>> leaders_;
    // Processes that have ended are kept, because their calls may still be carried out.
    std::vector<std::unique_ptr<Process>> processes_;
    // By stream.
    std::map<uint64_t, Connection> connections_;
    uint64_t lastStream_ = 0;
};

} // namespace basilgap::dispatch
