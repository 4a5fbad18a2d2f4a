#include "StandIns/FakeWorker.h"

#include <algorithm>
#include <sstream>

#include "Basilgap/Network/Json.h"

namespace basilgap::standins {

namespace {

// Longer than an entry holds a long poll.
constexpr Millis PollTimeout{ 6000 };
constexpr Millis RetryDelay{ 200 };
constexpr Millis TickInterval{ 20 };
constexpr Millis MinPollInterval{ 20 };

} // namespace

FakeWorker::FakeWorker(network::EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , pollTimer_(loop, [this] { poll(); })
    , tickTimer_(loop, [this] { tick(); })
{
    // Spreads the workers of one process over the entries.
    nextEntry_ = std::hash<std::string>()(options_.id);
    pollTimer_.startOnce(Millis(0));
    tickTimer_.startRepeating(TickInterval);
}

std::string FakeWorker::report()
{
    schema::WorkerBody body;
    body.set_id(options_.id);
    body.set_incarnation(static_cast<int64_t>(options_.incarnation));
    body.set_zone(options_.zone);
    body.set_rack(options_.rack);
    body.set_sequence(static_cast<int64_t>(++sequence_));
    body.mutable_capacity()->set_millicores(options_.millicores);
    body.mutable_capacity()->set_memory_mb(options_.memoryMb);
    body.mutable_capacity()->set_accelerators(options_.accelerators);
    for (auto &[name, task] : tasks_) {
        schema::WorkerTaskBody *row = body.add_tasks();
        row->set_task(name);
        row->set_epoch(task.epoch);
        row->set_state(task.state);
        row->set_reason(task.reason);
        *row->mutable_usage() = task.reportedUsage;
        task.reportedUsage = task.usage;
    }
    return network::toJson(body);
}

void FakeWorker::poll()
{
    const std::string &entry = options_.entries[nextEntry_ % options_.entries.size()];
    if (!connection_ || !connection_->isReusable() || connectedTo_ != entry)
        connection_ = std::make_unique<network::HttpConnection>(
            loop_, network::HttpConnection::Options{ .address = entry });
    connectedTo_ = entry;
    network::HttpRequest request{ .method = "POST", .target = "/v1/worker" };
    request.body = report();
    polling_ = true;
    const Millis sentAt = steadyNow();
    connection_->exchange(
        request, PollTimeout, [this, sentAt](const auto &result) { handleReply(result, sentAt); });
}

void FakeWorker::handleReply(const network::ExchangeResult &result, Millis sentAt)
{
    polling_ = false;
    schema::WorkerReplyBody reply;
    const bool isValid = result.end == network::ExchangeEnd::Complete
        && result.response.status == 200
        && network::parseJson(result.response.body, network::UnknownFields::Ignore, &reply);
    if (!isValid) {
        nextEntry_++;
        connection_.reset();
        return pollTimer_.startOnce(RetryDelay);
    }
    tick();
    leaseEnd_ = sentAt + Millis(reply.lease_ms());
    applyOrders(reply);
    pollTimer_.startOnce(MinPollInterval);
}

void FakeWorker::applyOrders(const schema::WorkerReplyBody &reply)
{
    if (steadyNow() >= leaseEnd_)
        return;
    for (const auto &order : reply.stop())
        stop(order, "stopped");
    for (const auto &order : reply.checkpoint())
        stop(order, "checkpointed");
    for (const auto &order : reply.throttle()) {
        const auto task = tasks_.find(order.task());
        if (task != tasks_.end() && task->second.epoch == order.epoch())
            task->second.usage.set_millicores(order.millicores());
    }
    for (const auto &order : reply.start())
        start(order);
}

void FakeWorker::start(const schema::StartBody &order)
{
    uint32_t &lastEpoch = lastEpochs_[order.task()];
    if (order.epoch() <= lastEpoch)
        return;
    lastEpoch = order.epoch();
    Task task;
    task.epoch = order.epoch();
    task.reserved.set_millicores(order.per_task().millicores());
    task.reserved.set_memory_mb(order.per_task().memory_mb());
    task.reserved.set_accelerators(order.per_task().accelerators());
    task.usage = task.reserved;
    task.reportedUsage = task.reserved;
    const std::string kind = order.command_size() > 0 ? order.command(0) : "forever";
    const bool fails = options_.failAll || kind == "fail";
    if (fails) {
        task.state = "failed";
        task.reason = options_.failAll ? "the worker fails everything" : "told to fail";
    } else if (kind == "sleep" && order.command_size() > 1) {
        task.hasEndTime = true;
        task.endsAt = steadyNow() + Millis(std::stol(order.command(1)));
    } else if (kind == "memory" && order.command_size() > 2) {
        task.usage.set_memory_mb(std::stol(order.command(1)));
        task.hasEndTime = true;
        task.endsAt = steadyNow() + Millis(std::stol(order.command(2)));
    }
    tasks_[order.task()] = task;
    starts_.push_back({ order.task(), order.epoch(), steadyNow() });
    const schema::ResourcesBody sum = reserved();
    overcommitted_ = overcommitted_ || sum.millicores() > options_.millicores
        || sum.memory_mb() > options_.memoryMb || sum.accelerators() > options_.accelerators;
}

// A stop order for a task that has ended confirms the end, so the task is removed.
void FakeWorker::stop(const schema::OrderBody &order, const std::string &state)
{
    const auto task = tasks_.find(order.task());
    if (task == tasks_.end() || task->second.epoch != order.epoch())
        return;
    if (task->second.state == "running")
        task->second.state = state;
    else
        tasks_.erase(task);
}

void FakeWorker::tick()
{
    const Millis now = steadyNow();
    if (now >= leaseEnd_ && leaseEnd_.count() != 0)
        tasks_.clear();
    bool ended = false;
    for (auto &[name, task] : tasks_) {
        if (task.state == "running" && task.hasEndTime && now >= task.endsAt) {
            task.state = "done";
            ended = true;
        }
    }
    // The end of a task is reported immediately and not at the end of the current long poll.
    if (ended && polling_ && connection_) {
        connection_.reset();
        polling_ = false;
        pollTimer_.startOnce(Millis(0));
    }
}

size_t FakeWorker::runningTasks() const
{
    return static_cast<size_t>(std::count_if(tasks_.begin(), tasks_.end(),
        [](const auto &entry) { return entry.second.state == "running"; }));
}

schema::ResourcesBody FakeWorker::reserved() const
{
    schema::ResourcesBody sum;
    for (const auto &[name, task] : tasks_) {
        if (task.state != "running")
            continue;
        sum.set_millicores(sum.millicores() + task.reserved.millicores());
        sum.set_memory_mb(sum.memory_mb() + task.reserved.memory_mb());
        sum.set_accelerators(sum.accelerators() + task.reserved.accelerators());
    }
    return sum;
}

std::string FakeWorker::stateJson() const
{
    std::ostringstream text;
    text << "{\"id\": \"" << options_.id << "\", \"zone\": \"" << options_.zone
         << "\", \"running\": " << runningTasks()
         << ", \"overcommitted\": " << (overcommitted_ ? "true" : "false") << ", \"starts\": [";
    const char *separator = "";
    for (const Start &start : starts_) {
        text << separator << "{\"task\": \"" << start.task << "\", \"epoch\": " << start.epoch
             << ", \"at\": " << start.startedAt.count() << "}";
        separator = ", ";
    }
    text << "]}";
    return text.str();
}

} // namespace basilgap::standins
