#include "Executor.h"

#include <algorithm>
#include <stdexcept>
#include <utility>

#include "Basilgap/Network/HttpConnection.h"
#include "platform/Json.h"

namespace review {

using namespace basilgap;
using platform::JsonObject;

namespace {

constexpr Millis TickInterval{ 5 };
constexpr Millis AnnounceInterval{ 1500 };
constexpr Millis StopTime{ 50 };
constexpr Millis AnnounceTimeout{ 1000 };
constexpr Millis AnnounceRetry{ 150 };
constexpr int64_t MaxHoldMs = 10000;
constexpr size_t MaxListedEnds = 500;

network::HttpResponse json(int status, const std::string &body)
{
    return { status, { { "Content-Type", "application/json" } }, body };
}

} // namespace

size_t Runs::begunOf(const std::string &job) const
{
    return static_cast<size_t>(std::count_if(begun.begin(), begun.end(),
        [&](const BegunRun &run) { return run.task.starts_with(job + "."); }));
}

size_t Runs::endedOf(const std::string &job, const std::string &how) const
{
    return static_cast<size_t>(std::count_if(ended.begin(), ended.end(),
        [&](const ListedEnd &end) { return end.task.starts_with(job + ".") && end.how == how; }));
}

Executor::Executor(network::EventLoop &loop, ExecutorOptions options, Runs &runs, Record &record)
    : loop_(loop)
    , options_(std::move(options))
    , allRuns_(runs)
    , record_(record)
    , tickTimer_(loop, [this] { tick(); })
    , announceTimer_(loop, [this] { announce(); })
{
    nextControl_ = options_.name.back();
    revive();
}

void Executor::revive()
{
    life_++;
    id_ = options_.name + (options_.keepsId || life_ == 1 ? "" : "-" + std::to_string(life_));
    born_ = wallNow().count();
    bornAt_ = steadyNow();
    clockStart_ = steadyNow() - Millis(1000);
    auto server = network::HttpServer::listen(loop_, { .address = options_.address },
        [this](const network::HttpRequest &request, network::ResponderPointer responder) {
            handle(request, std::move(responder));
        });
    if (!server)
        throw std::runtime_error(server.error().text());
    server_ = std::move(*server);
    tickTimer_.startRepeating(TickInterval);
    announceTimer_.startOnce(life_ == 1 ? Millis(0) : options_.announceDelay);
    record_.add("executor " + id_ + " is up");
}

void Executor::crash()
{
    record_.add(
        "executor " + id_ + " crashes, with " + std::to_string(running_.size()) + " runs on it");
    server_.reset();
    unanswered_.reset();
    polls_.clear();
    running_.clear();
    highestEnded_.clear();
    ends_.clear();
    nextEnd_ = 1;
    fencingToken_ = 0;
    leaseEnd_ = Millis();
    sequence_ = 0;
    heartbeatAddress_.clear();
    tickTimer_.cancel();
    announceTimer_.cancel();
}

void Executor::setUnhealthy(bool isUnhealthy)
{
    isUnhealthy_ = isUnhealthy;
    record_.add("executor " + id_ + (isUnhealthy ? " turns unhealthy" : " is healthy again"));
}

namespace {

// For an order whose caller no longer waits.
class NobodyWaits : public network::Responder
{
public:
    explicit NobodyWaits(Record &record)
        : record_(record)
    {}
    void answer(network::HttpResponse response) override
    {
        record_.add("the late order is carried out: " + std::to_string(response.status) + " "
            + response.body);
    }
    void abort() override {}
    bool isCallerGone() const override { return true; }
    void onCallerGone(std::function<void()>) override {}

private:
    Record &record_;
};

} // namespace

void Executor::carryOutLateOrder()
{
    const network::HttpRequest order = *std::exchange(lateOrder_, std::nullopt);
    handle(order, std::make_shared<NobodyWaits>(record_));
}

void Executor::extendLease(int64_t deadline)
{
    leaseEnd_ = std::max(leaseEnd_, std::min(Millis(deadline), clock() + Millis(MaxHoldMs)));
}

void Executor::handle(const network::HttpRequest &request, network::ResponderPointer responder)
{
    if (request.method == "GET")
        return responder->answer(json(200, "{}"));
    const auto target = network::findHeader(request.headers, "X-Target-Instance");
    if (target && *target != id_)
        return responder->answer(json(421, "{}"));
    rapidjson::Document document;
    if (!platform::parseJson(request.body, &document) || !document.IsObject())
        return responder->answer(json(400, "{}"));
    JsonObject object(document);
    const std::string clockText = "{\"clock_ms\":" + std::to_string(clock().count());
    if (isUnhealthy_ && request.target == "/run-start") {
        refusedStarts_++;
        return responder->answer(json(503, "{}"));
    }
    const std::string name = object.text("task");
    if (request.target == "/run-start" && !allRuns_.lateJob.empty()
        && name.starts_with(allRuns_.lateJob + ".")) {
        record_.add("executor " + id_ + " leaves the order to start " + name + " unanswered");
        allRuns_.lateJob.clear();
        lateOrder_ = request;
        unanswered_ = std::move(responder);
        return;
    }
    const uint64_t token = object.number("fencing_token");
    if (token < fencingToken_)
        return responder->answer(json(409, clockText + ",\"reason\":\"fence\"}"));
    fencingToken_ = token;
    if (request.target == "/run-start")
        return responder->answer(start(request.body));
    if (request.target == "/run-stop") {
        const std::string task = object.text("task");
        const auto run = static_cast<uint32_t>(object.number("run_id"));
        uint32_t &highest = highestEnded_[task];
        highest = std::max(highest, run);
        const auto found = running_.find(task);
        if (found != running_.end() && found->second.number == run
            && found->second.stopsAt == Millis())
            found->second.stopsAt = clock() + StopTime;
        return responder->answer(json(200, clockText + "}"));
    }
    if (request.target == "/pace")
        return responder->answer(json(200, clockText + "}"));
    if (request.target != "/hold")
        return responder->answer(json(400, clockText + "}"));
    extendLease(static_cast<int64_t>(object.number("deadline_ms")));
    const uint64_t seen = object.number("ack_cursor");
    std::erase_if(ends_, [&](const End &end) {
        if (end.number > seen)
            return false;
        allRuns_.noted.push_back({ id_, end.task, end.run, end.how });
        record_.add(
            "the end of " + end.task + " run " + std::to_string(end.run) + " is taken note of");
        return true;
    });
    const Millis wait(static_cast<int64_t>(object.number("wait_ms", 2000)));
    if (!ends_.empty() || wait == Millis())
        return responder->answer(json(200, lists()));
    polls_.push_back({ std::move(responder), clock() + wait });
}

network::HttpResponse Executor::start(const std::string &body)
{
    rapidjson::Document document;
    platform::parseJson(body, &document);
    JsonObject object(document);
    const std::string task = object.text("task");
    const auto run = static_cast<uint32_t>(object.number("run_id"));
    const auto deadline = static_cast<int64_t>(object.number("deadline_ms"));
    const std::string clockText = "{\"clock_ms\":" + std::to_string(clock().count());
    const auto found = running_.find(task);
    if (found != running_.end() && found->second.number == run) {
        extendLease(deadline);
        return json(200, clockText + "}");
    }
    const auto ended = highestEnded_.find(task);
    std::string reason;
    if (ended != highestEnded_.end() && run <= ended->second)
        reason = "old";
    else if (Millis(deadline) <= clock())
        reason = "late";
    else if (found != running_.end())
        reason = "room";
    if (reason != "late")
        extendLease(deadline);
    if (!reason.empty())
        return json(409, clockText + ",\"reason\":\"" + reason + "\"}");
    running_[task] = { .number = run,
        .beganAt = clock(),
        .takes = Millis(std::stoll(object.text("spec"))),
        .stopsAt = Millis() };
    allRuns_.begun.push_back({ id_, task, run, steadyNow() });
    record_.add("executor " + id_ + " begins " + task + " run " + std::to_string(run));
    return json(200, clockText + "}");
}

void Executor::endRun(const std::string &task, const std::string &how)
{
    const Run run = running_.at(task);
    running_.erase(task);
    uint32_t &highest = highestEnded_[task];
    highest = std::max(highest, run.number);
    ends_.push_back({ nextEnd_++, task, run.number, how });
    allRuns_.ended.push_back({ id_, task, run.number, how });
    record_.add(
        "executor " + id_ + " lists " + task + " run " + std::to_string(run.number) + " " + how);
}

std::string Executor::lists() const
{
    std::string text = "{\"clock_ms\":" + std::to_string(clock().count())
        + ",\"born\":" + std::to_string(born_) + ",\"running\":[";
    for (const auto &[task, run] : running_) {
        const int64_t percent = std::clamp<int64_t>(
            (clock() - run.beganAt).count() * 100 / std::max<int64_t>(1, run.takes.count()), 0, 99);
        text += std::string(text.back() == '[' ? "" : ",") + "[\"" + task + "\","
            + std::to_string(run.number) + ",\"\"," + std::to_string(percent) + ",1000]";
    }
    text += "],\"finished\":[";
    for (size_t i = 0; i < std::min(ends_.size(), MaxListedEnds); i++) {
        const End &end = ends_[i];
        text += std::string(text.back() == '[' ? "" : ",") + "[" + std::to_string(end.number)
            + ",\"" + end.task + "\"," + std::to_string(end.run) + ",\"" + end.how + "\",\"\"]";
    }
    return text + "]}";
}

void Executor::tick()
{
    for (const auto &[task, run] : std::map(running_)) {
        if (clock() > leaseEnd_)
            endRun(task, "lapsed");
        else if (run.stopsAt != Millis() && clock() >= run.stopsAt)
            endRun(task, "stopped");
        else if (run.stopsAt == Millis() && clock() >= run.beganAt + run.takes)
            endRun(task, "done");
    }
    std::vector<WaitingPoll> due;
    std::erase_if(polls_, [&](WaitingPoll &poll) {
        if (ends_.empty() && clock() < poll.until)
            return false;
        due.push_back(std::move(poll));
        return true;
    });
    for (const WaitingPoll &poll : due)
        poll.responder->answer(json(200, lists()));
}

void Executor::announce()
{
    announceTimer_.startOnce(AnnounceInterval);
    const std::string address = heartbeatAddress_.empty()
        ? options_.controls[nextControl_++ % options_.controls.size()]
        : heartbeatAddress_;
    network::HttpRequest request;
    request.method = "PUT";
    request.target = "/instances/" + id_;
    request.headers = { { "Content-Type", "application/json" } };
    request.body = "{\"service\":\"stileplan\",\"address\":\"" + options_.address + "\",\"zone\":\""
        + options_.zone
        + "\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,"
          "\"capacity\":{\"cpu\":"
        + std::to_string(options_.cpu) + ",\"mem_mb\":" + std::to_string(options_.memoryMb)
        + ",\"gpu\":0},\"labels\":[\"" + options_.kind + "\",\"" + options_.rack
        + "\"],\"clock_ms\":" + std::to_string(clock().count()) + ",\"born\":"
        + std::to_string(born_) + ",\"sequence\":" + std::to_string(++sequence_) + "}";
    network::fetchOnce(loop_, address, request, AnnounceTimeout,
        [this, life = life_](const network::ExchangeResult &result) {
            if (life != life_ || !isUp())
                return;
            heartbeatAddress_.clear();
            rapidjson::Document body;
            const bool isAcknowledged = result.end == network::ExchangeEnd::Complete
                && result.response.status >= 200 && result.response.status < 300;
            if (!isAcknowledged)
                return announceTimer_.startOnce(AnnounceRetry);
            if (platform::parseJson(result.response.body, &body) && body.IsObject())
                heartbeatAddress_ = JsonObject(body).text("heartbeat_addr");
        });
}

} // namespace review
