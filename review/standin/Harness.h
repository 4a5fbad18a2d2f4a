// Stand-ins and helpers of the review's scripts: a cell of the project's own processes, executors,
// clients and an operator that speak what PROTOCOL.md says, and the record of what they see.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <event2/event.h>
#include <event2/http.h>
#include <sys/types.h>

namespace review {

constexpr int ExitHeld = 0;
constexpr int ExitBroken = 1;
constexpr int ExitCouldNotRun = 2;

// Bounds of hrmfsb-basilgap; those of stilewright-wa-grown are no tighter.
constexpr int64_t HeartbeatMs = 1500;
constexpr int64_t MaxHoldMs = 6000;
constexpr int64_t StopMs = 50; // at most stop_timeout_ms, 200

class Loop
{
public:
    Loop();
    ~Loop();
    event_base *base() const { return base_; }
    // Milliseconds since the start of the script.
    int64_t now() const;
    void after(int64_t ms, std::function<void()> action);
    // Runs events for that long.
    void runFor(int64_t ms);
    // Runs events until the condition holds; false after that many milliseconds without.
    bool waitFor(int64_t ms, const std::function<bool()> &condition);

private:
    event_base *base_;
    int64_t startedAt_;
};

// Writes record.txt: a line for all that is sent, answered, run and judged.
class Record
{
public:
    Record(const Loop &loop, const std::string &path);
    ~Record();
    void line(const std::string &text);

private:
    const Loop &loop_;
    FILE *file_;
};

struct Answer
{
    int status = 0; // 0: no answer in time, or a broken connection
    std::string body;
};

// Sends one request on a connection of its own.
void send(Loop &loop, const std::string &address, const std::string &method,
    const std::string &path, const std::map<std::string, std::string> &headers,
    const std::string &body, int64_t timeoutMs, std::function<void(Answer)> done);

struct Run
{
    uint32_t number = 0;
    int64_t endsAt = 0; // on the loop's clock
    int64_t beganAt = 0;
    bool stopping = false;
};

struct End
{
    uint64_t number = 0;
    std::string task;
    uint32_t run = 0;
    std::string how;
};

// Called for each start and end of a run on any executor.
struct RunEvents
{
    std::function<void(const std::string &executor, const std::string &zone,
        const std::string &task, uint32_t run)>
        onStart = [](auto &&...) {};
    std::function<void(
        const std::string &executor, const std::string &task, uint32_t run, const std::string &how)>
        onEnd = [](auto &&...) {};
    // An order to start a run has come in. Returns whether the executor has crashed just before it,
    // so that it isn't carried out.
    std::function<bool(const std::string &executor, const std::string &task, uint32_t run)>
        onOrder = [](auto &&...) { return false; };
    // The end has been taken note of: ack_cursor has reached it.
    std::function<void(
        const std::string &executor, const std::string &task, uint32_t run, const std::string &how)>
        onNoted = [](auto &&...) {};
};

// An executor as PROTOCOL.md describes it. The `spec` of a job is the work of each of its tasks in
// milliseconds; 0 means that they last.
class Executor
{
public:
    struct Options
    {
        std::string id;
        std::string address;
        std::string zone;
        std::vector<std::string> controls;
        int64_t cpu = 32000;
        int64_t memMb = 65536;
    };

    Executor(Loop &loop, Record &record, Options options, RunEvents &events);
    ~Executor();

    // Loses all it holds and knows, and starts again under its id after that long.
    void crash(int64_t downMs);
    // Cuts it off from all machines for that long; it runs on. Requests of that time are lost.
    void cutOff(int64_t ms);
    size_t running() const { return running_.size(); }
    const std::string &id() const { return options_.id; }
    bool isUp() const { return http_ != nullptr; }

private:
    struct Poll
    {
        evhttp_request *request;
        int64_t until;
    };

    void listen();
    void close();
    void tick();
    void announce(size_t attempt);
    void handle(evhttp_request *request);
    void start(evhttp_request *request, const std::string &task, uint32_t run, int64_t workMs,
        int64_t deadline);
    void stop(const std::string &task, uint32_t run);
    void end(const std::string &task, const std::string &how);
    void answer(evhttp_request *request, int status, const std::string &more);
    std::string lists() const;
    int64_t clock() const { return loop_.now() - bornAt_ + 1000; }

    Loop &loop_;
    Record &record_;
    Options options_;
    RunEvents &events_;
    std::shared_ptr<int> life_ = std::make_shared<int>(0);
    evhttp *http_ = nullptr;
    int64_t bornAt_ = 0;
    uint64_t bornUnixMs_ = 0;
    uint64_t sequence_ = 0;
    uint64_t fence_ = 0;
    uint64_t nextEnd_ = 1;
    int64_t leaseEnd_ = 0;
    std::string beatAddress_;
    size_t nextControl_ = 0;
    std::map<std::string, Run> running_;
    std::map<std::string, uint32_t> highestEnded_;
    std::vector<End> ends_;
    std::vector<Poll> polls_;
    bool isCutOff_ = false;
    std::vector<evhttp_request *> lostRequests_;
};

// The project's processes, started with the commands of the deploy file.
class Cell
{
public:
    struct Options
    {
        int cores = 3;
        int edges = 2;
        int toleratedMachines = 1;
        // The table of the settings file, as `fleetbench wire` prints it for hrmfsb-basilgap.
        std::string bounds =
            "  seed_lag_s: 3\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  catch_up_s: 4\n"
            "  drain_ms: 2000\n  grace_s: 6\n  config_apply_ms: 2000\n  evacuate_ms: 5000\n"
            "  max_hold_ms: 6000\n  stop_timeout_ms: 200\n  gang_timeout_ms: 3000\n"
            "  cancel_ms: 3000\n  visible_ms: 3000\n  finish_s: 14\n  status_s: 120\n"
            "  require_fencing: true\n  lease_ms: 3000\n";
    };

    Cell(Loop &loop, Record &record, Options options);
    ~Cell();

    const std::vector<std::string> &controls() const { return controls_; }
    std::string front(int edge) const;
    std::string executorAddress(int number) const;
    pid_t corePid(int core) const { return cores_.at(static_cast<size_t>(core)); }
    pid_t edgePid(int edge) const { return edges_.at(static_cast<size_t>(edge)); }
    // Starts a core process again, as the platform does after its end.
    void restartCore(int core);
    void kill(pid_t pid, int signal, const std::string &what);
    // The number of the core process that leads by its own log; -1 if none says so.
    int leader() const;
    // Whether a core or edge process has ended without a signal from the script.
    bool isAlive(pid_t pid) const;
    const std::string &folder() const { return folder_; }

private:
    pid_t start(const std::string &role, const std::string &name, const std::string &ip,
        const std::string &zone, bool first);
    std::string ip(int host) const;

    Loop &loop_;
    Record &record_;
    Options options_;
    std::string prefix_;
    std::string folder_;
    int basePort_ = 0;
    std::vector<std::string> controls_;
    std::vector<pid_t> cores_;
    std::vector<pid_t> edges_;
};

// Sends an order of the operator; after a failure, a 5xx or a second without a response it goes to
// the next daemon of the list. The answer is the acknowledgement, or the last answer after the
// time is over.
void operate(Loop &loop, Record &record, std::vector<std::string> controls,
    const std::string &method, const std::string &path, const std::string &body, int64_t giveUpMs,
    std::function<void(Answer)> done);

// A call of a client, with its key, to one entry.
void call(Loop &loop, Record &record, const std::string &front, const std::string &method,
    const std::string &path, const std::string &body, std::function<void(Answer)> done);

struct Route
{
    std::string name;
    std::string prefix;
    int priority = 0;
    int maxAttempts = 3;
};

// A complete configuration with one service and one tenant.
std::string configuration(int version, const std::vector<Route> &routes);

// A job of steps of `count` tasks, each after the one before it.
std::string job(int64_t workMs, const std::vector<int> &counts, int64_t cpu, int64_t memMb);

bool withTrouble();

} // namespace review
