#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "ModelWorker.h"

namespace basilgap::dispatch {

// Percentages of calls, while the network is in trouble.
struct NetworkTrouble
{
    int64_t lost = 0;
    int64_t answerLost = 0;
    // Carried out up to 12 s later, after newer calls.
    int64_t late = 0;
    int64_t notSent = 0;
    // The call waits in the leader's process before it is sent.
    int64_t queued = 0;
    int64_t unavailable = 0;
    // Calls that are carried out late reach a worker also if it has restarted under its id since.
    bool isCarriedOutAfterRestarts = false;
};

// Carries the calls of one leader to the workers. A call outlives the leader that made it.
class ModelNetwork : public WorkerPort
{
public:
    using Workers = std::map<std::string, std::unique_ptr<ModelWorker>>;

    ModelNetwork(SimulatedTime &time, Workers &workers)
        : time_(time)
        , workers_(workers)
    {}

    void setTrouble(const NetworkTrouble &trouble) { trouble_ = trouble; }
    // While the process is frozen, answers and timeouts wait.
    void freeze() { isFrozen_ = true; }
    void thaw();
    // Runs the event in the leader's process.
    void runInLeader(std::function<void()> event);

    void start(const WorkerEndpoint &worker, const StartOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) override;
    void stop(const WorkerEndpoint &worker, const StopOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) override;
    void throttle(const WorkerEndpoint &worker, const ThrottleOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) override;
    void poll(const WorkerEndpoint &worker, const PollRequest &order, Millis timeout,
        std::function<void(PollAnswer)> done) override;
    void closeIdleConnections(const WorkerEndpoint &) override {}

private:
    template<typename Answer>
    using Execute = std::function<void(ModelWorker &, std::function<void(Answer)>)>;

    template<typename Answer>
    void call(const std::string &worker, Millis timeout, const std::function<bool()> &isStillWanted,
        Execute<Answer> execute, std::function<void(Answer)> done);
    template<typename Answer>
    void send(const std::string &worker, Millis timeout, Execute<Answer> execute,
        std::function<void(Answer)> done);

    SimulatedTime &time_;
    Workers &workers_;
    NetworkTrouble trouble_;
    bool isFrozen_ = false;
    std::vector<std::function<void()>> waitingEvents_;
};

} // namespace basilgap::dispatch
