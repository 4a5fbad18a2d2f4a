#include "Harness.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Program = "target/platform/basilgap-platform";
constexpr const char *Key = "6x73d3zji9n73hh2b9wu";
constexpr const char *RouteHost = "nony24.example";
constexpr size_t MaxListedEnds = 500; // "500 at a time"
constexpr int64_t TickMs = 5;

int64_t steadyMs()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(steady_clock::now().time_since_epoch()).count();
}

uint64_t unixMs()
{
    using namespace std::chrono;
    return static_cast<uint64_t>(
        duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count());
}

struct Delayed
{
    event *timer;
    std::function<void()> action;
};

void runDelayed(evutil_socket_t, short, void *pointer)
{
    std::unique_ptr<Delayed> delayed(static_cast<Delayed *>(pointer));
    event_free(delayed->timer);
    delayed->action();
}

std::pair<std::string, uint16_t> split(const std::string &address)
{
    const size_t colon = address.rfind(':');
    return { address.substr(0, colon),
        static_cast<uint16_t>(std::stoi(address.substr(colon + 1))) };
}

// Tasks of a step differ: from five sixths to seven sixths of the work, by their index.
int64_t workOf(const std::string &task, int64_t workMs)
{
    const int64_t index = std::atoll(task.c_str() + task.rfind('.') + 1);
    return workMs * 5 / 6 + workMs / 3 * (index * 7919 % 1000) / 1000;
}

bool canBind(const std::string &ip, int port)
{
    const int file = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool bound = bind(file, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    close(file);
    return bound;
}

} // namespace

Loop::Loop()
    : base_(event_base_new())
    , startedAt_(steadyMs())
{
    std::signal(SIGPIPE, SIG_IGN);
}

Loop::~Loop()
{
    event_base_free(base_);
}

int64_t Loop::now() const
{
    return steadyMs() - startedAt_;
}

void Loop::after(int64_t ms, std::function<void()> action)
{
    auto *delayed = new Delayed{ nullptr, std::move(action) };
    delayed->timer = evtimer_new(base_, runDelayed, delayed);
    const timeval time{ ms / 1000, (ms % 1000) * 1000 };
    evtimer_add(delayed->timer, &time);
}

void Loop::runFor(int64_t ms)
{
    bool done = false;
    after(ms, [&] { done = true; });
    while (!done)
        event_base_loop(base_, EVLOOP_ONCE);
}

bool Loop::waitFor(int64_t ms, const std::function<bool()> &condition)
{
    const int64_t end = now() + ms;
    while (now() < end) {
        if (condition())
            return true;
        runFor(10);
    }
    return condition();
}

Record::Record(const Loop &loop, const std::string &path)
    : loop_(loop)
    , file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr)
        throw std::runtime_error("cannot write " + path);
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::line(const std::string &text)
{
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(loop_.now()) / 1000, text.c_str());
    std::fflush(file_);
}

namespace {

struct Exchange
{
    Loop *loop;
    evhttp_connection *connection;
    std::function<void(Answer)> done;
};

void handleAnswer(evhttp_request *request, void *pointer)
{
    auto *exchange = static_cast<Exchange *>(pointer);
    Answer answer;
    if (request != nullptr) {
        answer.status = evhttp_request_get_response_code(request);
        evbuffer *buffer = evhttp_request_get_input_buffer(request);
        answer.body.resize(evbuffer_get_length(buffer));
        evbuffer_remove(buffer, answer.body.data(), answer.body.size());
    }
    // The connection is still in use further up the call stack.
    exchange->loop->after(0, [exchange, answer] {
        const std::unique_ptr<Exchange> owned(exchange);
        evhttp_connection_free(owned->connection);
        owned->done(answer);
    });
}

} // namespace

void send(Loop &loop, const std::string &address, const std::string &method,
    const std::string &path, const std::map<std::string, std::string> &headers,
    const std::string &body, int64_t timeoutMs, std::function<void(Answer)> done)
{
    const auto [host, port] = split(address);
    evhttp_connection *connection =
        evhttp_connection_base_new(loop.base(), nullptr, host.c_str(), port);
    const timeval timeout{ timeoutMs / 1000, (timeoutMs % 1000) * 1000 };
    evhttp_connection_set_timeout_tv(connection, &timeout);
    evhttp_connection_set_retries(connection, 0);
    auto *exchange = new Exchange{ &loop, connection, std::move(done) };
    evhttp_request *request = evhttp_request_new(handleAnswer, exchange);
    evkeyvalq *out = evhttp_request_get_output_headers(request);
    evhttp_add_header(out, "Connection", "close");
    if (!headers.contains("Host"))
        evhttp_add_header(out, "Host", address.c_str());
    for (const auto &[name, value] : headers)
        evhttp_add_header(out, name.c_str(), value.c_str());
    if (!body.empty())
        evhttp_add_header(out, "Content-Type", "application/json");
    evhttp_add_header(out, "Content-Length", std::to_string(body.size()).c_str());
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    const evhttp_cmd_type type = method == "PUT" ? EVHTTP_REQ_PUT
        : method == "GET"                        ? EVHTTP_REQ_GET
        : method == "DELETE"                     ? EVHTTP_REQ_DELETE
                                                 : EVHTTP_REQ_POST;
    evhttp_make_request(connection, request, type, path.c_str());
}

Executor::Executor(Loop &loop, Record &record, Options options, RunEvents &events)
    : loop_(loop)
    , record_(record)
    , options_(std::move(options))
    , events_(events)
{
    listen();
}

Executor::~Executor()
{
    close();
}

void Executor::listen()
{
    bornAt_ = loop_.now();
    bornUnixMs_ = unixMs();
    http_ = evhttp_new(loop_.base());
    evhttp_set_max_body_size(http_, 1 << 20);
    evhttp_set_gencb(
        http_,
        [](evhttp_request *request, void *self) { static_cast<Executor *>(self)->handle(request); },
        this);
    const auto [host, port] = split(options_.address);
    if (evhttp_bind_socket(http_, host.c_str(), port) != 0)
        throw std::runtime_error("cannot listen on " + options_.address);
    record_.line("executor " + options_.id + " begins, born " + std::to_string(bornUnixMs_));
    announce(0);
    tick();
}

void Executor::close()
{
    life_ = std::make_shared<int>(0);
    polls_.clear();
    lostRequests_.clear();
    if (http_ != nullptr)
        evhttp_free(http_);
    http_ = nullptr;
}

void Executor::crash(int64_t downMs)
{
    record_.line(
        "executor " + options_.id + " crashes with " + std::to_string(running_.size()) + " runs");
    for (const auto &[task, run] : running_)
        events_.onEnd(options_.id, task, run.number, "crashed");
    close();
    running_.clear();
    highestEnded_.clear();
    ends_.clear();
    sequence_ = 0;
    fence_ = 0;
    nextEnd_ = 1;
    leaseEnd_ = 0;
    beatAddress_.clear();
    loop_.after(downMs, [this] { listen(); });
}

void Executor::cutOff(int64_t ms)
{
    record_.line("executor " + options_.id + " is cut off with " + std::to_string(running_.size())
        + " runs");
    isCutOff_ = true;
    for (const Poll &poll : polls_)
        lostRequests_.push_back(poll.request);
    polls_.clear();
    loop_.after(ms, [this] {
        record_.line("executor " + options_.id + " is connected again with "
            + std::to_string(running_.size()) + " runs and " + std::to_string(ends_.size())
            + " ends that are not taken note of");
        isCutOff_ = false;
        for (evhttp_request *request : lostRequests_)
            evhttp_connection_free(evhttp_request_get_connection(request));
        lostRequests_.clear();
    });
}

void Executor::tick()
{
    for (const auto &[task, run] : std::map(running_)) {
        if (clock() > leaseEnd_)
            end(task, "lapsed");
        else if (loop_.now() >= run.endsAt)
            end(task, run.stopping ? "stopped" : "done");
    }
    std::vector<Poll> due;
    std::erase_if(polls_, [&](const Poll &poll) {
        if (ends_.empty() && loop_.now() < poll.until)
            return false;
        due.push_back(poll);
        return true;
    });
    for (const Poll &poll : due)
        answer(poll.request, 200, lists());
    loop_.after(TickMs, [this, life = std::weak_ptr<int>(life_)] {
        if (!life.expired())
            tick();
    });
}

void Executor::announce(size_t attempt)
{
    if (isCutOff_)
        return loop_.after(100, [this, life = std::weak_ptr<int>(life_)] {
            if (!life.expired())
                announce(0);
        });
    const std::string address = !beatAddress_.empty()
        ? beatAddress_
        : options_.controls[nextControl_++ % options_.controls.size()];
    std::ostringstream body;
    body << R"({"service":"huvo11a","address":")" << options_.address << R"(","zone":")"
         << options_.zone << R"(","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,)"
         << R"("capacity":{"cpu":)" << options_.cpu << R"(,"mem_mb":)" << options_.memMb
         << R"(,"gpu":0},"labels":["a","r1-3"],"clock_ms":)" << clock() << R"(,"sequence":)"
         << ++sequence_ << R"(,"born":)" << bornUnixMs_ << "}";
    send(loop_, address, "PUT", "/instances/" + options_.id, {}, body.str(), 1000,
        [this, attempt, life = std::weak_ptr<int>(life_)](const Answer &answer) {
            if (life.expired())
                return;
            beatAddress_.clear();
            if (answer.status / 100 != 2 && attempt < 10)
                return announce(attempt + 1);
            rapidjson::Document json;
            json.Parse(answer.body.c_str());
            if (json.IsObject() && json.HasMember("heartbeat_addr"))
                beatAddress_ = json["heartbeat_addr"].GetString();
            loop_.after(HeartbeatMs, [this, life] {
                if (!life.expired())
                    announce(0);
            });
        });
}

void Executor::answer(evhttp_request *request, int status, const std::string &more)
{
    evbuffer *body = evbuffer_new();
    evbuffer_add_printf(
        body, "{\"clock_ms\":%lld%s}", static_cast<long long>(clock()), more.c_str());
    evhttp_add_header(
        evhttp_request_get_output_headers(request), "Content-Type", "application/json");
    evhttp_send_reply(request, status, nullptr, body);
    evbuffer_free(body);
}

void Executor::handle(evhttp_request *request)
{
    if (isCutOff_) {
        lostRequests_.push_back(request);
        return;
    }
    const char *target =
        evhttp_find_header(evhttp_request_get_input_headers(request), "X-Target-Instance");
    if (target != nullptr && options_.id != target)
        return answer(request, 421, "");
    evbuffer *buffer = evhttp_request_get_input_buffer(request);
    std::string text(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, text.data(), text.size());
    rapidjson::Document body;
    body.Parse(text.c_str());
    if (body.HasParseError() || !body.IsObject())
        return answer(request, 400, "");
    const auto number = [&](const char *name) -> int64_t {
        return body.HasMember(name) ? body[name].GetInt64() : 0;
    };
    const auto fence = static_cast<uint64_t>(number("fencing_token"));
    if (fence < fence_)
        return answer(request, 409, R"(,"reason":"fence")");
    fence_ = fence;
    const std::string path = evhttp_request_get_uri(request);
    const std::string task = body.HasMember("task") ? body["task"].GetString() : "";
    const auto run = static_cast<uint32_t>(number("run_id"));
    if (path == "/run-start" && events_.onOrder(options_.id, task, run)) {
        // The order is lost with the executor.
        lostRequests_.push_back(request);
        return;
    }
    if (path == "/run-start")
        return start(
            request, task, run, std::atoll(body["spec"].GetString()), number("deadline_ms"));
    if (path == "/run-stop") {
        stop(task, run);
        return answer(request, 200, "");
    }
    if (path == "/pace")
        return answer(request, 200, "");
    if (path != "/hold")
        return answer(request, 400, "");
    leaseEnd_ = std::max(leaseEnd_, std::min(number("deadline_ms"), clock() + MaxHoldMs));
    const auto seen = static_cast<uint64_t>(number("ack_cursor"));
    std::erase_if(ends_, [&](const End &ended) {
        if (ended.number > seen)
            return false;
        events_.onNoted(options_.id, ended.task, ended.run, ended.how);
        return true;
    });
    const int64_t wait = std::min<int64_t>(number("wait_ms"), 2000);
    if (wait == 0 || !ends_.empty())
        return answer(request, 200, lists());
    polls_.push_back({ request, loop_.now() + wait });
}

void Executor::start(evhttp_request *request, const std::string &task, uint32_t run, int64_t workMs,
    int64_t deadline)
{
    const auto present = running_.find(task);
    if (present != running_.end() && present->second.number == run)
        return answer(request, 200, "");
    const auto old = highestEnded_.find(task);
    if (old != highestEnded_.end() && run <= old->second)
        return answer(request, 409, R"(,"reason":"old")");
    if (deadline <= clock())
        return answer(request, 409, R"(,"reason":"late")");
    leaseEnd_ = std::max(leaseEnd_, std::min(deadline, clock() + MaxHoldMs));
    const int64_t endsAt = workMs == 0 ? INT64_MAX : loop_.now() + workOf(task, workMs);
    running_[task] = { run, endsAt, loop_.now(), false };
    events_.onStart(options_.id, options_.zone, task, run);
    answer(request, 200, "");
}

void Executor::stop(const std::string &task, uint32_t run)
{
    uint32_t &highest = highestEnded_[task];
    highest = std::max(highest, run);
    const auto present = running_.find(task);
    if (present == running_.end() || present->second.number != run)
        return;
    present->second.stopping = true;
    present->second.endsAt = std::min(present->second.endsAt, loop_.now() + StopMs);
}

void Executor::end(const std::string &task, const std::string &how)
{
    const Run run = running_.at(task);
    running_.erase(task);
    uint32_t &highest = highestEnded_[task];
    highest = std::max(highest, run.number);
    ends_.push_back({ nextEnd_++, task, run.number, how });
    events_.onEnd(options_.id, task, run.number, how);
}

std::string Executor::lists() const
{
    std::ostringstream text;
    text << ",\"born\":" << bornUnixMs_ << ",\"running\":[";
    const char *comma = "";
    for (const auto &[task, run] : running_) {
        // A task that lasts is at work at 100.
        int64_t percent = 100;
        if (run.endsAt != INT64_MAX) {
            const int64_t total = std::max<int64_t>(1, run.endsAt - run.beganAt);
            percent = std::clamp<int64_t>((loop_.now() - run.beganAt) * 100 / total, 0, 99);
        }
        text << comma << "[\"" << task << "\"," << run.number << ",\"\"," << percent << ",0]";
        comma = ",";
    }
    text << "],\"finished\":[";
    comma = "";
    for (size_t i = 0; i < std::min(ends_.size(), MaxListedEnds); i++) {
        text << comma << "[" << ends_[i].number << ",\"" << ends_[i].task << "\"," << ends_[i].run
             << ",\"" << ends_[i].how << "\",\"\"]";
        comma = ",";
    }
    text << "]";
    return text.str();
}

Cell::Cell(Loop &loop, Record &record, Options options)
    : loop_(loop)
    , record_(record)
    , options_(std::move(options))
{
    const auto id = static_cast<unsigned>(getpid());
    prefix_ = "127." + std::to_string(64 + id / 250 % 120) + "." + std::to_string(id % 250) + ".";
    folder_ = (std::filesystem::temp_directory_path() / ("review-" + std::to_string(id))).string();
    std::filesystem::remove_all(folder_);
    std::filesystem::create_directories(folder_);
    // The same ports on all machines: control, front, readiness, executor, then the port range.
    for (basePort_ = 20000 + static_cast<int>(id % 300) * 30; basePort_ < 32000; basePort_ += 30) {
        bool isFree = true;
        for (int offset = 0; offset < 25 && isFree; offset++)
            isFree = canBind(ip(1), basePort_ + offset) && canBind(ip(60), basePort_ + offset);
        if (isFree)
            break;
    }
    for (int i = 0; i < options_.cores; i++)
        controls_.push_back(ip(1 + i) + ":" + std::to_string(basePort_));
    static const char *zones[] = { "howrah-ghat", "chandannagar", "budge-budge" };
    for (int i = 0; i < options_.cores; i++)
        cores_.push_back(start("core", "core-" + std::to_string(i), ip(1 + i), zones[i % 3], true));
    for (int i = 0; i < options_.edges; i++)
        edges_.push_back(
            start("edge", "edge-" + std::to_string(i), ip(21 + i), zones[i % 3], true));
}

Cell::~Cell()
{
    for (const auto *pids : { &cores_, &edges_ }) {
        for (const pid_t pid : *pids) {
            ::kill(pid, SIGCONT);
            ::kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    if (std::getenv("KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder_);
}

std::string Cell::ip(int host) const
{
    return prefix_ + std::to_string(host);
}

std::string Cell::front(int edge) const
{
    return ip(21 + edge) + ":" + std::to_string(basePort_ + 1);
}

std::string Cell::executorAddress(int number) const
{
    return ip(60 + number) + ":" + std::to_string(basePort_ + 3);
}

pid_t Cell::start(const std::string &role, const std::string &name, const std::string &ip,
    const std::string &zone, bool first)
{
    const std::string settings = folder_ + "/" + name + ".yaml";
    const std::string data = folder_ + "/data-" + name;
    if (role == "core")
        std::filesystem::create_directories(data);
    std::ofstream out(settings);
    out << "node_name: \"" << name << "\"\nrole: \"" << role << "\"\nmachine_class: \"" << role
        << "\"\nserves:\n  - \"" << (role == "core" ? "control" : "edge") << "\"\nip: \"" << ip
        << "\"\nzone: \"" << zone << "\"\nregion: \"hooghly-belt\"\nzones:\n"
        << "  howrah-ghat: \"hooghly-belt\"\n  chandannagar: \"hooghly-belt\"\n  budge-budge: "
           "\"hooghly-belt\"\n"
        << "listen:\n";
    if (role == "core")
        out << "  control: \"" << ip << ":" << basePort_ << "\"\n";
    else
        out << "  front: \"" << ip << ":" << basePort_ + 1 << "\"\n  readiness: \"" << ip << ":"
            << basePort_ + 2 << "\"\n";
    out << "port_range:\n  - " << basePort_ + 4 << "\n  - " << basePort_ + 19 << "\nseeds:\n";
    for (size_t i = 0; i < std::min<size_t>(3, controls_.size()); i++)
        out << "  - \"" << controls_[i] << "\"\n";
    out << "bootstrap: " << (first ? "true" : "false")
        << "\ncounts_as_loss: " << (role == "core" ? "true" : "false")
        << "\nlimits:\n  cpu_quota: 0.5\n  cores: 1\n  memory_mb: 256\n  max_fds: 4096\n"
        << "  link_mbps: 1000.0\n  disk_mb: 128\ndata_dir: "
        << (role == "core" ? "\"" + data + "\"" : "null")
        << "\ndiscovery: \"registry\"\nentry: \"vip\"\nheartbeat_ms: 1500\n"
        << "fault_tolerance:\n  machines: " << options_.toleratedMachines
        << "\n  zones: 1\n  regions: 0\nbounds:\n"
        << options_.bounds << "config_mode: \"highest\"\norders: \"rpc\"\n";
    out.close();
    const pid_t pid = fork();
    if (pid != 0) {
        record_.line("start " + name + " (" + Program + " " + role + ")");
        return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
        ::open((folder_ + "/" + name + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    for (int file = 3; file < 1024; file++)
        ::close(file);
    setenv("BASILGAP_BOOT", settings.c_str(), 1);
    execl(Program, Program, role.c_str(), nullptr);
    _exit(127);
}

void Cell::restartCore(int core)
{
    static const char *zones[] = { "howrah-ghat", "chandannagar", "budge-budge" };
    pid_t &pid = cores_.at(static_cast<size_t>(core));
    waitpid(pid, nullptr, 0);
    pid = start("core", "core-" + std::to_string(core), ip(1 + core), zones[core % 3], false);
}

void Cell::kill(pid_t pid, int signal, const std::string &what)
{
    record_.line(what);
    ::kill(pid, signal);
}

bool Cell::isAlive(pid_t pid) const
{
    return waitpid(pid, nullptr, WNOHANG) == 0;
}

int Cell::leader() const
{
    int found = -1;
    std::string newest;
    for (size_t i = 0; i < cores_.size(); i++) {
        std::ifstream file(folder_ + "/core-" + std::to_string(i) + ".log");
        const std::string log(std::istreambuf_iterator<char>(file), {});
        const size_t gained = log.rfind("event=leading");
        const size_t lost = log.rfind("event=not-leading");
        if (gained != std::string::npos && (lost == std::string::npos || lost < gained))
            found = static_cast<int>(i);
    }
    return found;
}

namespace {

struct Order
{
    std::vector<std::string> controls;
    std::string method;
    std::string path;
    std::string body;
    int64_t giveUpAt;
    std::function<void(Answer)> done;
    size_t attempt = 0;
};

void attempt(Loop &loop, Record &record, const std::shared_ptr<Order> &order)
{
    const std::string address = order->controls[order->attempt++ % order->controls.size()];
    const std::string name = "operator " + order->method + " " + order->path + " at " + address;
    record.line(name);
    send(loop, address, order->method, order->path, {}, order->body, 1000,
        [&loop, &record, order, name](const Answer &answer) {
            record.line(
                name + " -> " + (answer.status == 0 ? "no answer" : std::to_string(answer.status)));
            const bool isUnclear = answer.status == 0 || answer.status >= 500;
            if (!isUnclear || loop.now() >= order->giveUpAt)
                return order->done(answer);
            loop.after(50, [&loop, &record, order] { attempt(loop, record, order); });
        });
}

} // namespace

void operate(Loop &loop, Record &record, std::vector<std::string> controls,
    const std::string &method, const std::string &path, const std::string &body, int64_t giveUpMs,
    std::function<void(Answer)> done)
{
    attempt(loop, record,
        std::make_shared<Order>(Order{
            std::move(controls), method, path, body, loop.now() + giveUpMs, std::move(done) }));
}

void call(Loop &loop, Record &record, const std::string &front, const std::string &method,
    const std::string &path, const std::string &body, std::function<void(Answer)> done)
{
    const std::string name = "client " + method + " " + path + " at " + front;
    record.line(name);
    send(loop, front, method, path,
        { { "Host", RouteHost }, { "X-Api-Key", Key }, { "X-Deadline-Ms", "3000" } }, body, 3000,
        [&record, name, done](const Answer &answer) {
            record.line(name + " -> "
                + (answer.status == 0 ? "no answer"
                                      : std::to_string(answer.status) + " " + answer.body));
            done(answer);
        });
}

std::string configuration(int version, const std::vector<Route> &routes)
{
    std::ostringstream text;
    text << R"({"version":)" << version << R"(,"routes":[)";
    for (size_t i = 0; i < routes.size(); i++)
        text << (i > 0 ? "," : "") << R"({"name":")" << routes[i].name << R"(","host":")"
             << RouteHost << R"(","path_prefix":")" << routes[i].prefix
             << R"(","type":"non_idempotent","timeout_ms":3000,"target_latency_ms":250,)"
             << R"("priority":)" << routes[i].priority << R"(,"service":"huvo11a","max_attempts":)"
             << routes[i].maxAttempts << R"(,"slack_factor":1.5,"public":false})";
    text << R"(],"services":[{"name":"huvo11a","health_path":"/health","max_connections":64,)"
         << R"("protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0,)"
         << R"("admission_check":false,"standby":false}],"limits":{"max_header_bytes":16384,)"
         << R"("max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
         << R"("tenants":[{"name":"kaje80","api_keys":[")" << Key
         << R"("],"priority":1,"weight":12,"cap":{"cpu":0,"mem_mb":0,"gpu":0}}]})";
    return text.str();
}

std::string job(int64_t workMs, const std::vector<int> &counts, int64_t cpu, int64_t memMb)
{
    std::ostringstream text;
    text << R"({"spec":")" << workMs << R"(","steps":[)";
    for (size_t i = 0; i < counts.size(); i++) {
        text << (i > 0 ? "," : "") << R"({"count":)" << counts[i] << R"(,"cpu":)" << cpu
             << R"(,"mem_mb":)" << memMb << R"(,"estimate_ms":)" << workMs;
        if (i > 0)
            text << R"(,"after":[)" << i - 1 << "]";
        text << "}";
    }
    text << "]}";
    return text.str();
}

bool withTrouble()
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::strcmp(trouble, "0") != 0;
}

} // namespace review
