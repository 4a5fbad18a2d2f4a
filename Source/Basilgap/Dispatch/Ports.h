#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"
#include "Work.pb.h"

// Ports through which the dispatcher reaches workers and the advisor. An adapter implements them.
namespace basilgap::dispatch {

// Name of a task in messages between processes.
struct TaskName
{
    std::string work;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;
};

// Address of one incarnation of a worker.
struct WorkerEndpoint
{
    std::string id;
    std::string address;
    // Availability zone.
    std::string zone;

    bool operator==(const WorkerEndpoint &) const = default;
};

// The fencing token of orders to an incarnation of a worker. Orders of a later leader carry a
// higher token than those of an earlier one. Of one leader's orders, those to a later incarnation
// carry a higher token: a worker that restarts under its id receives calls that were meant for its
// earlier incarnation, and refuses them once it has taken an order of its own.
uint64_t fencingTokenOf(uint64_t term, state::WorkerNumber incarnation);

struct StartOrder
{
    TaskName task;
    uint32_t run = 0;
    std::string payload;
    // End of the lease on the worker's clock.
    Millis leaseEnd;
    // A worker rejects orders with a lower token than the highest it has seen.
    uint64_t fencingToken = 0;
    std::string checkpoint;
    // Permit from the placement advice; empty if the queue needs none.
    std::string ticket;
    // Asked again if the order has waited for a connection; if false, it is dropped.
    std::function<bool()> isStillWanted;
};

struct StopOrder
{
    TaskName task;
    uint32_t run = 0;
    uint64_t fencingToken = 0;
};

struct ThrottleOrder
{
    TaskName task;
    uint32_t run = 0;
    uint64_t fencingToken = 0;
    // Speed limit of the task in percent of its full speed, 0 to 100.
    uint32_t speedPercent = 100;
};

struct PollRequest
{
    uint64_t fencingToken = 0;
    // The worker need not report ends up to this number again.
    uint64_t ackedEndSequence = 0;
    // Absent while the worker's clock is unknown, and when the lease must not be renewed.
    std::optional<Millis> leaseEnd;
    // How long the worker may delay the answer until a run ends.
    Millis wait;
    // As in StartOrder.
    std::function<bool()> isStillWanted;
};

enum class OrderResult {
    Accepted,
    // The worker has seen an order of a newer leader.
    Fenced,
    // The run number is not higher than one that has ended or was stopped on the worker.
    StaleRun,
    // The lease had expired when the worker processed the order.
    LeaseExpired,
    NoCapacity,
    NoTicket,
    Invalid,
    // The worker is overloaded or unhealthy and did nothing.
    Unavailable,
    // The address now belongs to another worker.
    WrongWorker,
    // The order may have been carried out, or may still be.
    Unanswered,
    // The order never left this process, for instance because connections are scarce or opening one
    // took too long.
    NotSent,
    // The order never left this process, since the worker's host refused the connection.
    ConnectionRefused,
    // The order never left this process, since it was no longer wanted when its turn came.
    Dropped,
};

const char *toText(OrderResult result);

struct OrderAnswer
{
    OrderResult result = OrderResult::Unanswered;
    std::optional<Millis> workerClock;
};

struct RunningReport
{
    TaskName task;
    uint32_t run = 0;
    std::string checkpoint;
    // Progress of the task, 0 to 100.
    int progressPercent = 0;
    // Tail latency in milliseconds for a service task, millicores in use for any other.
    double latencyMsOrMillicores = 0;
};

struct EndReport
{
    uint64_t sequence = 0;
    TaskName task;
    uint32_t run = 0;
    schema::RunOutcome outcome = schema::RUN_LOST;
    std::string checkpoint;
};

struct PollAnswer
{
    OrderResult result = OrderResult::Unanswered;
    std::optional<Millis> workerClock;
    // Start time of the incarnation that answered; absent if the answer does not contain it.
    std::optional<uint64_t> incarnationStartMs;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
    // The worker may have ended further runs, whose ends it lists once these are acknowledged.
    bool mayHaveMoreEnds = false;
};

// Sends orders to workers. Every callback is called exactly once, from the event loop.
class WorkerPort
{
public:
    virtual ~WorkerPort() = default;
    virtual void start(const WorkerEndpoint &worker, const StartOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) = 0;
    virtual void stop(const WorkerEndpoint &worker, const StopOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) = 0;
    virtual void throttle(const WorkerEndpoint &worker, const ThrottleOrder &order, Millis timeout,
        std::function<void(OrderAnswer)> done) = 0;
    virtual void poll(const WorkerEndpoint &worker, const PollRequest &order, Millis timeout,
        std::function<void(PollAnswer)> done) = 0;
    // Called when the worker is gone.
    virtual void closeIdleConnections(const WorkerEndpoint &worker) = 0;
};

struct AdviceAnswer
{
    bool answered = false;
    std::vector<schema::Permit> permits;
    // How long the tickets are valid, counted from the answer.
    Millis validity;
};

// Asks the advisor which workers a step may run on.
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;
    // Takes the step's name as workers see it. Only one call at a time is allowed.
    virtual void requestAdvice(const std::string &step, const std::vector<std::string> &workers,
        Millis timeout, std::function<void(AdviceAnswer)> done) = 0;
    // Name of a step in calls to workers and the advisor.
    virtual std::string stepName(
        const std::string &work, uint32_t occurrence, uint32_t step) const = 0;
};

} // namespace basilgap::dispatch
