#include "Executor.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include <rapidjson/document.h>

namespace review {

namespace {

// How runs end that the case leaves running.
constexpr const char *EndOfCase = "end of the case";

constexpr int64_t StopMs = 30;
constexpr int64_t TickMs = 5;
constexpr size_t MaxListedEnds = 500;
constexpr int64_t StartupMs = 200;
constexpr int HeartbeatTimeoutMs = 1000;

uint64_t number(const rapidjson::Document &body, const char *name)
{
    return body.HasMember(name) && body[name].IsUint64() ? body[name].GetUint64() : 0;
}

std::string text(const rapidjson::Document &body, const char *name)
{
    return body.HasMember(name) && body[name].IsString() ? body[name].GetString() : "";
}

} // namespace

size_t RunLog::begin(const std::string &executor, const std::string &task, uint32_t number)
{
    const std::lock_guard lock(mutex_);
    runs_.push_back({ executor, task, number, nowMs(), {}, {} });
    record_.add("run  " + executor + " starts " + task + " run " + std::to_string(number));
    return runs_.size() - 1;
}

void RunLog::end(size_t run, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    Run &ended = runs_[run];
    ended.endedAt = nowMs();
    ended.how = how;
    if (how == EndOfCase)
        return;
    record_.add("run  " + ended.executor + " ended " + ended.task + " run "
        + std::to_string(ended.number) + " " + how);
}

std::vector<Run> RunLog::all() const
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::vector<Run> RunLog::of(const std::string &task) const
{
    std::vector<Run> found = all();
    std::erase_if(found, [&task](const Run &run) { return run.task != task; });
    return found;
}

std::optional<Run> RunLog::running(const std::string &task) const
{
    for (const Run &run : of(task)) {
        if (!run.endedAt)
            return run;
    }
    return std::nullopt;
}

Executor::Executor(Options options, RunLog &runs, Record &record)
    : options_(std::move(options))
    , log_(runs)
    , record_(record)
{
    open();
}

Executor::~Executor()
{
    if (workThread_.joinable())
        close(EndOfCase);
}

void Executor::open()
{
    born_ = unixMs();
    bootedAt_ = nowMs();
    sequence_ = 0;
    fencingToken_ = 0;
    leaseEnd_ = 0;
    nextEnd_ = 1;
    server_ = std::make_unique<HttpServer>(
        options_.address, [this](const Request &request) { return handle(request); });
    up_ = true;
    record_.add("exec " + options_.id + " is up at " + options_.address);
    workThread_ = std::thread([this] { work(); });
    beatThread_ = std::thread([this] { beat(); });
}

void Executor::close(const std::string &how)
{
    up_ = false;
    changed_.notify_all();
    server_->stop();
    workThread_.join();
    beatThread_.join();
    const std::lock_guard lock(mutex_);
    for (const auto &[task, held] : held_)
        log_.end(held.run, how);
    held_.clear();
    highestEnded_.clear();
    ends_.clear();
}

void Executor::crash()
{
    record_.add("exec " + options_.id + " crashes");
    close("crashed");
}

void Executor::startAgain(const std::string &id)
{
    options_.id = id;
    open();
}

void Executor::lose()
{
    record_.add("exec " + options_.id + " is lost for good, without a word");
    server_->silence();
    up_ = false;
    changed_.notify_all();
    const std::lock_guard lock(mutex_);
    for (const auto &[task, held] : held_)
        log_.end(held.run, "crashed");
    held_.clear();
}

void Executor::holdBackStart(const std::string &task)
{
    const std::lock_guard lock(mutex_);
    heldBackTask_ = task;
}

bool Executor::hasHeldBackStart() const
{
    const std::lock_guard lock(mutex_);
    return heldBackStart_.has_value();
}

void Executor::carryOutHeldBackStart()
{
    holdBackStart("");
    record_.add("exec " + options_.id + " carries out a start that it has not answered");
    handle(*std::exchange(heldBackStart_, std::nullopt));
}

bool Executor::endTask(const std::string &task, const std::string &how)
{
    const std::lock_guard lock(mutex_);
    if (!held_.contains(task))
        return false;
    finish(task, how);
    return true;
}

bool Executor::runs(const std::string &task) const
{
    const std::lock_guard lock(mutex_);
    return held_.contains(task);
}

std::vector<std::string> Executor::tasks() const
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> names;
    for (const auto &[task, held] : held_)
        names.push_back(task);
    return names;
}

std::string Executor::refusal(const std::string &reason) const
{
    return "{\"clock_ms\":" + std::to_string(clock()) + ",\"reason\":\"" + reason + "\"}";
}

void Executor::extendLease(int64_t deadline)
{
    leaseEnd_ = std::max(leaseEnd_, std::min(deadline, clock() + options_.maxHoldMs));
}

std::optional<Response> Executor::handle(const Request &request)
{
    const auto target = request.headers.find("x-target-instance");
    if (target != request.headers.end() && target->second != options_.id)
        return Response{ 421, refusal("instance") };
    if (request.method == "GET")
        return Response{ 200, "{}" };
    rapidjson::Document body;
    body.Parse(request.body.data(), request.body.size());
    if (body.HasParseError() || !body.IsObject())
        return Response{ 400, "{}" };
    std::unique_lock lock(mutex_);
    const uint64_t token = number(body, "fencing_token");
    if (token < fencingToken_)
        return Response{ 409, refusal("fence") };
    fencingToken_ = token;
    const std::string task = text(body, "task");
    const auto run = static_cast<uint32_t>(number(body, "run_id"));
    const auto deadline = static_cast<int64_t>(number(body, "deadline_ms"));
    const std::string plain = "{\"clock_ms\":" + std::to_string(clock()) + "}";
    if (request.path == "/run-start" && run == 1 && task == heldBackTask_) {
        record_.add("exec " + options_.id + " leaves a start of " + task + " unanswered");
        heldBackStart_ = request;
        return std::nullopt;
    }
    if (request.path == "/run-start")
        return start(task, run, text(body, "spec"), deadline);
    if (request.path == "/run-stop") {
        uint32_t &highest = highestEnded_[task];
        highest = std::max(highest, run);
        const auto found = held_.find(task);
        if (found != held_.end() && found->second.number <= run)
            found->second.stopAt = nowMs() + StopMs;
        return Response{ 200, plain };
    }
    if (request.path == "/pace")
        return Response{ 200, plain };
    if (request.path != "/hold")
        return Response{ 400, plain };
    if (deadline > 0)
        extendLease(deadline);
    std::erase_if(
        ends_, [seen = number(body, "ack_cursor")](const End &end) { return end.number <= seen; });
    const int64_t until = nowMs() + static_cast<int64_t>(number(body, "wait_ms"));
    changed_.wait_until(lock,
        std::chrono::steady_clock::now() + std::chrono::milliseconds(until - nowMs()),
        [this] { return !ends_.empty() || !up_; });
    if (!up_)
        return std::nullopt;
    return Response{ 200, lists() };
}

Response Executor::start(
    const std::string &task, uint32_t run, const std::string &spec, int64_t deadline)
{
    const std::string plain = "{\"clock_ms\":" + std::to_string(clock()) + "}";
    const auto found = held_.find(task);
    const bool isThere = found != held_.end() && found->second.number == run;
    const bool isOld = highestEnded_.contains(task) && run <= highestEnded_.at(task);
    if (!isThere && !isOld && deadline <= clock())
        return { 409, refusal("late") };
    extendLease(deadline);
    if (isThere)
        return { 200, plain };
    if (isOld || found != held_.end())
        return { 409, refusal("old") };
    Held held{ .number = run, .run = log_.begin(options_.id, task, run), .startedAt = nowMs() };
    if (spec.starts_with("work "))
        held.workMs = std::atoll(spec.c_str() + 5);
    held_[task] = held;
    return { 200, plain };
}

void Executor::finish(const std::string &task, const std::string &how)
{
    const Held held = held_.at(task);
    held_.erase(task);
    uint32_t &highest = highestEnded_[task];
    highest = std::max(highest, held.number);
    ends_.push_back({ nextEnd_++, task, held.number, how });
    log_.end(held.run, how);
    changed_.notify_all();
}

std::string Executor::lists() const
{
    std::string text = "{\"clock_ms\":" + std::to_string(clock())
        + ",\"born\":" + std::to_string(born_) + ",\"running\":[";
    std::string comma;
    for (const auto &[task, held] : held_) {
        const int64_t age = nowMs() - held.startedAt;
        const int64_t percent = held.workMs ? std::min<int64_t>(99, age * 100 / *held.workMs)
            : age < StartupMs               ? 0
                                            : 100;
        text += comma + "[\"" + task + "\"," + std::to_string(held.number) + ",\"\","
            + std::to_string(percent) + ",0]";
        comma = ",";
    }
    text += "],\"finished\":[";
    comma.clear();
    for (size_t i = 0; i < std::min(ends_.size(), MaxListedEnds); i++) {
        const End &end = ends_[i];
        text += comma + "[" + std::to_string(end.number) + ",\"" + end.task + "\","
            + std::to_string(end.run) + ",\"" + end.how + "\",\"\"]";
        comma = ",";
    }
    return text + "]}";
}

// Ends tasks that are done or stopped, and all once the lease is over.
void Executor::work()
{
    while (up_) {
        sleepMs(TickMs);
        const std::lock_guard lock(mutex_);
        std::vector<std::pair<std::string, std::string>> over;
        for (const auto &[task, held] : held_) {
            const int64_t age = nowMs() - held.startedAt;
            if (clock() > leaseEnd_)
                over.emplace_back(task, "lapsed");
            else if (held.stopAt && nowMs() >= *held.stopAt)
                over.emplace_back(task, "stopped");
            else if (held.workMs && age >= *held.workMs)
                over.emplace_back(task, "done");
        }
        for (const auto &[task, how] : over)
            finish(task, how);
    }
}

std::string Executor::heartbeat(const std::string &service, int64_t born, uint64_t sequence) const
{
    std::string labels;
    for (const std::string &label : options_.labels)
        labels += (labels.empty() ? "\"" : ",\"") + label + "\"";
    return "{\"service\":\"" + service + "\",\"address\":\"" + options_.address + "\",\"zone\":\""
        + options_.zone
        + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
        + "\"capacity\":{\"cpu\":" + std::to_string(options_.cpu)
        + ",\"mem_mb\":" + std::to_string(options_.memoryMb) + ",\"gpu\":0},\"labels\":[" + labels
        + "],\"clock_ms\":" + std::to_string(clock()) + ",\"born\":" + std::to_string(born)
        + ",\"sequence\":" + std::to_string(sequence) + "}";
}

void Executor::beat()
{
    size_t next = static_cast<size_t>(born_);
    std::string named;
    while (up_) {
        const std::string address =
            named.empty() ? options_.controls[next++ % options_.controls.size()] : named;
        const Response answer = call(address, "PUT", "/instances/" + options_.id,
            heartbeat(options_.service, born_, ++sequence_), HeartbeatTimeoutMs);
        named.clear();
        if (answer.status != 200) {
            for (int i = 0; i < 10 && up_; i++)
                sleepMs(10);
            continue;
        }
        rapidjson::Document body;
        body.Parse(answer.body.data(), answer.body.size());
        if (!body.HasParseError() && body.IsObject())
            named = text(body, "heartbeat_addr");
        const int64_t until = nowMs() + options_.heartbeatMs;
        while (up_ && nowMs() < until)
            sleepMs(10);
    }
}

} // namespace review
