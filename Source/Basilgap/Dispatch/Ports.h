#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "Basilgap/Common/Millis.h"
#include "Basilgap/State/WorkTable.h"
#include "Work.pb.h"

// What the dispatcher asks of the outside world. An adapter implements these for one platform.
namespace basilgap::dispatch {

// A task under the name that crosses process borders.
struct TaskName
{
    std::string work;
    uint32_t occurrence = 0;
    uint32_t step = 0;
    uint32_t index = 0;

    auto operator<=>(const TaskName &) const = default;
};

// Where calls for one life of a worker go.
struct WorkerEndpoint
{
    std::string id;
    std::string address;
};

struct StartOrder
{
    TaskName task;
    uint32_t run = 0;
    std::string payload;
    // End of the lease, on the worker's clock.
    Millis leaseEnd;
    // Raised by every change of leader; a worker obeys no lower one than it has seen.
    uint64_t fencingToken = 0;
    std::string checkpoint;
    // Permit of the placement advice; empty where none is needed.
    std::string ticket;
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
    // Share of its speed at which the task may work, 0 to 100.
    uint32_t speedPercent = 100;
};

struct PollRequest
{
    uint64_t fencingToken = 0;
    // Ends up to this number need not be told again.
    uint64_t ackedEndSequence = 0;
    // Absent while the worker's clock is unknown.
    std::optional<Millis> leaseEnd;
    // How long the answer may wait for an end.
    Millis wait;
};

enum class OrderResult {
    Accepted,
    // A newer leader has given orders.
    Fenced,
    // Not higher than a run that ended or was stopped there.
    StaleRun,
    // The lease was over when the order was looked at.
    LeaseExpired,
    NoCapacity,
    NoTicket,
    Invalid,
    // The worker is unwell and did nothing.
    Unavailable,
    // The address belongs to another worker by now.
    WrongWorker,
    // May have been carried out, or may still be.
    Unanswered,
    // Never left this process.
    NotSent,
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
    // How far the task is, 0 to 100.
    int progressPercent = 0;
    // Tail latency in milliseconds of a task that serves, millicores in use of any other.
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
    // Start of the life that answered; absent when it was not told.
    std::optional<uint64_t> incarnationStartMs;
    std::vector<RunningReport> running;
    std::vector<EndReport> ended;
};

// Orders to workers. Every callback is called once, from the event loop.
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
    // The worker is gone; idle connections to it may be closed.
    virtual void closeIdleConnections(const WorkerEndpoint &worker) = 0;
};

struct AdviceAnswer
{
    bool answered = false;
    std::vector<schema::Permit> permits;
    // How long the tickets hold from the answer on.
    Millis validity;
};

// Asks which workers a step may run on.
class AdvicePort
{
public:
    virtual ~AdvicePort() = default;
    // The step's name as workers see it; one call at a time.
    virtual void requestAdvice(const std::string &step, const std::vector<std::string> &workers,
        Millis timeout, std::function<void(AdviceAnswer)> done) = 0;
    // Name of a step towards the outside.
    virtual std::string stepName(
        const std::string &work, uint32_t occurrence, uint32_t step) const = 0;
};

} // namespace basilgap::dispatch
