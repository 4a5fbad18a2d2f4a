#include "ModelRelays.h"

#include <algorithm>
#include <utility>

namespace basilgap::dispatch {

namespace {

constexpr int64_t MaxDelayMs = 4;
constexpr Millis ContactInterval{ 200 };
// As in network::PeerStream.
constexpr Millis SilenceTimeout{ 1600 };

} // namespace

ModelRelays::Process::Process(ModelRelays &owner, std::string processId)
    : id(std::move(processId))
    , network(owner.time_, owner.workers_)
    , relay(std::make_unique<OrderRelay>(OrderRelay::Options{
          .workers = network,
          .send = [&owner](uint64_t stream,
                      const schema::PeerMessage &message) { owner.answer(stream, message); },
          .scheduleFlush =
              [this, &owner] {
                  owner.time_.after(Millis(), [this] { run([this] { relay->flush(); }); });
              },
          .clock = [&owner] { return owner.time_.now(); },
      }))
{}

void ModelRelays::Process::run(std::function<void()> event)
{
    if (!isUp)
        return;
    if (isFrozen)
        waitingEvents.push_back(std::move(event));
    else
        event();
}

ModelRelays::ModelRelays(SimulatedTime &time, ModelNetwork::Workers &workers)
    : time_(time)
    , workers_(workers)
{
    for (const char *id : { "r1", "r2", "r3" })
        startProcess(id);
    time_.after(ContactInterval, [this] { keepContact(); });
}

ModelRelays::Process &ModelRelays::startProcess(const std::string &id)
{
    Process &process = *processes_.emplace_back(std::make_unique<Process>(*this, id));
    process.network.setTrouble(trouble_);
    return process;
}

void ModelRelays::setTrouble(const NetworkTrouble &trouble)
{
    trouble_ = trouble;
    for (const auto &process : processes_)
        process->network.setTrouble(trouble);
}

void ModelRelays::connect(const std::shared_ptr<LeaderEnd> &leader)
{
    leaders_.push_back(leader);
    for (const auto &process : processes_) {
        if (process->isUp)
            open(leader, process.get());
    }
}

Millis ModelRelays::nextDelay(Millis *last)
{
    *last = std::max(*last, time_.now() + time_.millisBetween(0, MaxDelayMs));
    return *last - time_.now();
}

void ModelRelays::open(const std::shared_ptr<LeaderEnd> &leader, Process *relay)
{
    Connection &connection = connections_[++lastStream_];
    connection.leader = leader;
    connection.relay = relay;
    connection.lastHeardAt = time_.now();
    if (relay->isFrozen)
        return;
    leader->run([leader, id = relay->id] {
        if (leader->port != nullptr)
            leader->port->noteRelay(id, "z1");
    });
}

void ModelRelays::close(Connection *connection)
{
    connection->isOpen = false;
    connection->leader->run([leader = connection->leader, id = connection->relay->id] {
        if (leader->port != nullptr)
            leader->port->removeRelay(id);
    });
}

bool ModelRelays::send(
    const LeaderEnd *leader, const std::string &relay, const schema::PeerMessage &message)
{
    for (auto &[stream, connection] : connections_) {
        if (!connection.isOpen || connection.leader.get() != leader
            || connection.relay->id != relay)
            continue;
        // What has been sent may arrive although the connection is closed meanwhile.
        time_.after(nextDelay(&connection.lastCallsArriveAt),
            [process = connection.relay, stream = stream, calls = message.order_calls()] {
                process->run([process, stream, calls] { process->relay->receive(stream, calls); });
            });
        return true;
    }
    return false;
}

void ModelRelays::answer(uint64_t stream, const schema::PeerMessage &message)
{
    Connection &connection = connections_.at(stream);
    if (!connection.isOpen)
        return;
    time_.after(nextDelay(&connection.lastAnswersArriveAt), [&connection, message] {
        if (!connection.isOpen)
            return;
        connection.leader->run([leader = connection.leader, id = connection.relay->id,
                                   answers = message.order_answers()] {
            schema::OrderAnswers copy = answers;
            if (leader->port != nullptr)
                leader->port->receive(id, &copy);
        });
    });
}

ModelRelays::Process *ModelRelays::randomProcess()
{
    std::vector<Process *> running;
    for (const auto &process : processes_) {
        if (process->isUp && !process->isFrozen)
            running.push_back(process.get());
    }
    if (running.empty())
        return nullptr;
    return running[static_cast<size_t>(time_.between(0, static_cast<int64_t>(running.size()) - 1))];
}

void ModelRelays::killOne()
{
    Process *process = randomProcess();
    if (process == nullptr)
        return;
    process->isUp = false;
    process->relay.reset();
    for (auto &[stream, connection] : connections_) {
        if (connection.isOpen && connection.relay == process)
            close(&connection);
    }
    time_.after(time_.millisBetween(1, 4000), [this, id = process->id] {
        Process &next = startProcess(id);
        for (const auto &leader : leaders_)
            open(leader, &next);
    });
}

void ModelRelays::freezeOne()
{
    Process *process = randomProcess();
    if (process == nullptr)
        return;
    process->isFrozen = true;
    process->network.freeze();
    time_.after(time_.millisBetween(50, 6000), [this, process] {
        process->isFrozen = false;
        process->network.thaw();
        // It reads what has arrived before it sees that a connection was closed.
        for (const auto &event : std::exchange(process->waitingEvents, {}))
            event();
        for (const auto &[stream, connection] : connections_) {
            if (connection.relay == process && !connection.isOpen)
                process->relay->removeStream(stream);
        }
    });
}

void ModelRelays::keepContact()
{
    time_.after(ContactInterval, [this] { keepContact(); });
    std::vector<std::pair<std::shared_ptr<LeaderEnd>, Process *>> lost;
    for (auto &[stream, connection] : connections_) {
        if (!connection.isOpen)
            continue;
        if (!connection.relay->isFrozen) {
            connection.lastHeardAt = time_.now();
            connection.leader->run([leader = connection.leader, id = connection.relay->id] {
                if (leader->port != nullptr)
                    leader->port->noteRelay(id, "z1");
            });
        } else if (time_.now() - connection.lastHeardAt > SilenceTimeout) {
            close(&connection);
            lost.emplace_back(connection.leader, connection.relay);
        }
    }
    for (const auto &[leader, relay] : lost)
        open(leader, relay);
}

} // namespace basilgap::dispatch
