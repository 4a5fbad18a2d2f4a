#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Basilgap/Network/HttpServer.h"
#include "Record.h"

namespace review {

struct ExecutorOptions
{
    // The id without the number of the life.
    std::string name;
    std::string address;
    std::string zone = "perth-depot";
    std::vector<std::string> controls;
    int64_t cpu = 16000;
    int64_t memoryMb = 32768;
    std::string kind = "a";
    std::string rack = "r1-1";
    // Whether a new life keeps the id.
    bool keepsId = false;
    // From the start of a later life to its first heartbeat.
    basilgap::Millis announceDelay;
};

// One run that an executor has begun.
struct BegunRun
{
    std::string executor;
    std::string task;
    uint32_t run = 0;
    basilgap::Millis at;
};

// An end of a run, as an executor lists it.
struct ListedEnd
{
    std::string executor;
    std::string task;
    uint32_t run = 0;
    std::string how;
};

// What all executors of a case have seen.
struct Runs
{
    std::vector<BegunRun> begun;
    std::vector<ListedEnd> ended;
    // Ends that ack_cursor has reached.
    std::vector<ListedEnd> noted;
    // The first order to start a task of this job is left unanswered and carried out late.
    std::string lateJob;

    size_t begunOf(const std::string &job) const;
    size_t endedOf(const std::string &job, const std::string &how) const;
};

// A sound executor as the users' pages describe it (PROTOCOL, Running tasks and Service discovery).
// The spec of a job gives the time in milliseconds that each of its tasks takes; a task of a step
// that lasts is given a long time.
class Executor
{
public:
    Executor(
        basilgap::network::EventLoop &loop, ExecutorOptions options, Runs &runs, Record &record);

    // Ends at once with all that runs here, and answers nothing until revive().
    void crash();
    // A new life at the same address.
    void revive();
    bool isUp() const { return server_ != nullptr; }
    // An unhealthy executor answers starts with 503 and does nothing (PROTOCOL, POST /run-start).
    void setUnhealthy(bool isUnhealthy);
    // Whether an order is held here that got no answer.
    bool hasLateOrder() const { return lateOrder_.has_value(); }
    // Carries that order out.
    void carryOutLateOrder();

    bool runs(const std::string &task) const { return running_.contains(task); }
    bool isEmpty() const { return running_.empty(); }
    const std::string &id() const { return id_; }
    const std::string &address() const { return options_.address; }
    size_t refusedStarts() const { return refusedStarts_; }
    basilgap::Millis bornAt() const { return bornAt_; }

private:
    struct Run
    {
        uint32_t number = 0;
        basilgap::Millis beganAt;
        basilgap::Millis takes;
        // When its stop takes effect; 0 while there is none.
        basilgap::Millis stopsAt;
    };
    struct End
    {
        uint64_t number = 0;
        std::string task;
        uint32_t run = 0;
        std::string how;
    };
    struct WaitingPoll
    {
        basilgap::network::ResponderPointer responder;
        basilgap::Millis until;
    };

    basilgap::Millis clock() const { return basilgap::steadyNow() - clockStart_; }
    void handle(const basilgap::network::HttpRequest &request,
        basilgap::network::ResponderPointer responder);
    basilgap::network::HttpResponse start(const std::string &body);
    void endRun(const std::string &task, const std::string &how);
    std::string lists() const;
    void tick();
    void announce();
    void extendLease(int64_t deadline);

    basilgap::network::EventLoop &loop_;
    ExecutorOptions options_;
    Runs &allRuns_;
    Record &record_;
    basilgap::network::Timer tickTimer_;
    basilgap::network::Timer announceTimer_;
    std::unique_ptr<basilgap::network::HttpServer> server_;
    std::string id_;
    int life_ = 0;
    int64_t born_ = 0;
    basilgap::Millis bornAt_;
    basilgap::Millis clockStart_;
    uint64_t sequence_ = 0;
    size_t nextControl_ = 0;
    std::string heartbeatAddress_;
    uint64_t fencingToken_ = 0;
    basilgap::Millis leaseEnd_;
    uint64_t nextEnd_ = 1;
    std::map<std::string, Run> running_;
    std::map<std::string, uint32_t> highestEnded_;
    std::deque<End> ends_;
    std::vector<WaitingPoll> polls_;
    std::optional<basilgap::network::HttpRequest> lateOrder_;
    basilgap::network::ResponderPointer unanswered_;
    bool isUnhealthy_ = false;
    size_t refusedStarts_ = 0;
};

} // namespace review
