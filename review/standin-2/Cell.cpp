#include "Cell.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <rapidjson/document.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Zones[] = { "perth-depot", "bunbury-yard", "albany-shed" };
constexpr int ControlPort = 8180;
constexpr int FrontPort = 8183;
constexpr int ReadinessPort = 8184;
constexpr int64_t StartMs = 30000;
constexpr const char *Key = "6x73d3zji9n73hh2b9wu";

bool isFree(const std::string &ip, int port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    const bool free =
        ::bind(socket, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0;
    ::close(socket);
    return free;
}

std::string prefixFor(int number)
{
    return "127." + std::to_string(1 + number / 250 % 200) + "." + std::to_string(1 + number % 250)
        + ".";
}

std::string jobBody(const std::string &spec, const std::vector<Step> &steps)
{
    std::string text = "{\"spec\":\"" + spec + "\",\"steps\":[";
    for (size_t i = 0; i < steps.size(); i++) {
        const Step &step = steps[i];
        text += std::string(i == 0 ? "" : ",") + "{\"count\":" + std::to_string(step.count)
            + ",\"cpu\":" + std::to_string(step.cpu) + ",\"mem_mb\":"
            + std::to_string(step.memoryMb) + ",\"estimate_ms\":" + std::to_string(step.estimateMs);
        if (step.longRunning)
            text += ",\"long_running\":true";
        if (step.gang)
            text += ",\"gang\":true";
        if (!step.requiredLabel.empty())
            text += ",\"required_label\":\"" + step.requiredLabel + "\"";
        text += "}";
    }
    return text + "]}";
}

} // namespace

Cell::Cell(Record &record)
    : record_(record)
    , runs_(record)
{
    int number = static_cast<int>(getpid());
    do {
        prefix_ = prefixFor(number++);
    } while (!isFree(ip(1), ControlPort) || !isFree(ip(21), FrontPort));
    std::string folder = std::filesystem::temp_directory_path() / "basilgap-review-XXXXXX";
    if (mkdtemp(folder.data()) == nullptr)
        throw CannotRun{ "no temporary folder" };
    folder_ = folder;
}

Cell::~Cell()
{
    for (const pid_t process : processes_)
        ::kill(process, SIGKILL);
    for (const pid_t process : processes_)
        ::waitpid(process, nullptr, 0);
    executors_.clear();
    if (std::getenv("KEEP") == nullptr)
        std::filesystem::remove_all(folder_);
}

// The `run` line of a role in the deploy file.
std::string Cell::commandOf(const std::string &role)
{
    std::ifstream file("deploy/system.toml");
    std::string line;
    bool isInRole = false;
    while (std::getline(file, line)) {
        if (line.starts_with("["))
            isInRole = line == "[roles." + role + "]";
        if (isInRole && line.starts_with("run = \""))
            return line.substr(7, line.rfind('"') - 7);
    }
    throw CannotRun{ "the deploy file has no command for " + role };
}

std::string Cell::writeSettings(const std::string &role, int host, const std::string &zone)
{
    const std::string name = role + "-" + zone;
    const std::string data = folder_ + "/" + name;
    std::filesystem::create_directories(data);
    std::ofstream out(data + ".yaml");
    const bool isControl = role == "control";
    out << "node_name: \"" << name << "\"\nrole: \"" << role << "\"\nmachine_class: \""
        << (isControl ? "core" : "edge") << "\"\nserves:\n  - \""
        << (isControl ? "control" : "edge") << "\"\nip: \"" << ip(host) << "\"\nzone: \"" << zone
        << "\"\nregion: \"wa-south\"\nzones:\n";
    for (const char *each : Zones)
        out << "  " << each << ": \"wa-south\"\n";
    out << "listen:\n";
    if (isControl)
        out << "  control: \"" << ip(host) << ":" << ControlPort << "\"\n";
    else
        out << "  front: \"" << ip(host) << ":" << FrontPort << "\"\n  readiness: \"" << ip(host)
            << ":" << ReadinessPort << "\"\n";
    out << "port_range:\n  - 7420\n  - 7435\nseeds:\n";
    for (const std::string &seed : controls_)
        out << "  - \"" << seed << "\"\n";
    out << "bootstrap: true\ncounts_as_loss: " << (isControl ? "true" : "false")
        << "\nlimits:\n  cpu_quota: 0.5\n  cores: 1\n  memory_mb: 256\n  max_fds: 4096\n"
           "  link_mbps: 1000.0\n  disk_mb: "
        << (isControl ? 128 : 0)
        << "\ndata_dir: " << (isControl ? "\"" + data + "\"" : std::string("null"))
        << "\ndiscovery: \"registry\"\nentry: \"vip\"\nheartbeat_ms: 1500\n"
           "fault_tolerance:\n  machines: 1\n  zones: 1\n  regions: 0\n"
           "bounds:\n  contact_ms: 3000\n  ack_timeout_ms: 4000\n  drain_ms: 2000\n  grace_s: 6\n"
           "  config_apply_ms: 2000\n  evacuate_ms: 5000\n  max_hold_ms: 10000\n"
           "  stop_timeout_ms: 200\n  gang_timeout_ms: 3000\n  cancel_ms: 3000\n"
           "  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n"
           "  lease_ms: 3000\nconfig_mode: \"highest\"\norders: \"rpc\"\nadvisor: \""
        << ip(250) << ":8182\"\ncloud:\n  address: \"" << ip(251)
        << ":8182\"\n  rate_per_s: 60.0\n  duties: []\n  duty_per_s: 60.0\n";
    return data + ".yaml";
}

void Cell::startProcess(const std::string &role, int host, const std::string &zone)
{
    const std::string settings = writeSettings(role, host, zone);
    std::istringstream words(commandOf(role));
    std::vector<std::string> command;
    for (std::string word; words >> word;)
        command.push_back(word);
    if (::access(command[0].c_str(), X_OK) != 0)
        throw CannotRun{ command[0] + " is not built" };
    std::vector<std::string> variables{ "BASILGAP_BOOT=" + settings };
    for (const char *name : { "PATH", "HOME", "LANG" }) {
        if (const char *value = std::getenv(name))
            variables.push_back(std::string(name) + "=" + value);
    }
    std::vector<char *> arguments;
    std::vector<char *> environment;
    for (std::string &word : command)
        arguments.push_back(word.data());
    for (std::string &variable : variables)
        environment.push_back(variable.data());
    arguments.push_back(nullptr);
    environment.push_back(nullptr);
    const std::string log = settings + ".log";
    const pid_t child = ::fork();
    if (child == 0) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, STDOUT_FILENO);
        ::dup2(out, STDERR_FILENO);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    processes_.push_back(child);
}

void Cell::start(const std::vector<Queue> &queues)
{
    for (int i = 0; i < 3; i++) {
        controls_.push_back(ip(1 + i) + ":" + std::to_string(ControlPort));
        fronts_.push_back(ip(21 + i) + ":" + std::to_string(FrontPort));
        readiness_.push_back(ip(21 + i) + ":" + std::to_string(ReadinessPort));
    }
    for (int i = 0; i < 3; i++) {
        startProcess("control", 1 + i, Zones[i]);
        startProcess("entry", 21 + i, Zones[i]);
    }
    configure(1, queues);
    for (const std::string &address : readiness_) {
        if (!waitFor(
                StartMs, [&] { return call(address, "GET", "/ready", "", 1000).status == 200; }))
            throw CannotRun{ "an entry is not ready" };
    }
    record_.add("cell all entries are ready");
}

void Cell::configure(int version, const std::vector<Queue> &queues)
{
    std::string routes;
    for (const Queue &queue : queues)
        routes += std::string(routes.empty() ? "" : ",") + "{\"name\":\"" + queue.route
            + "\",\"host\":\"" + Host + "\",\"path_prefix\":\"/" + queue.name
            + "/\",\"type\":\"non_idempotent\",\"timeout_ms\":3000,\"target_latency_ms\":"
            + std::to_string(queue.targetLatencyMs)
            + ",\"priority\":" + std::to_string(queue.priority) + ",\"service\":\"" + Service
            + "\",\"max_attempts\":3,\"slack_factor\":" + std::to_string(queue.slackFactor)
            + ",\"public\":false}";
    const std::string config = "{\"version\":" + std::to_string(version) + ",\"routes\":[" + routes
        + "],\"services\":[{\"name\":\"" + Service
        + "\",\"health_path\":\"/health\",\"max_connections\":64,\"protocol\":\"h1\",\"tls\":false,"
          "\"cold_start_s\":0.0,\"cold_per_s\":0.0,\"admission_check\":false,\"standby\":false}],"
          "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
          "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"kaje80\","
          "\"api_keys\":[\""
        + Key + "\"],\"priority\":1,\"weight\":12,\"cap\":{\"cpu\":0,\"mem_mb\":0,\"gpu\":0}}]}";
    size_t next = 0;
    const bool isConfigured = waitFor(StartMs, [&] {
        return call(controls_[next++ % controls_.size()], "PUT", "/config", config, 1000).status
            == 200;
    });
    if (!isConfigured)
        throw CannotRun{ "the configuration was not acknowledged" };
    record_.add("oper configuration " + std::to_string(version) + " is acknowledged");
}

Executor &Cell::addExecutor(
    const std::string &id, const std::vector<std::string> &labels, int64_t cpu, int64_t memoryMb)
{
    const auto number = static_cast<int>(executors_.size());
    std::vector<std::string> controls = controls_;
    executors_.push_back(std::make_unique<Executor>(
        Executor::Options{
            .id = id,
            .address = ip(101 + number) + ":8080",
            .zone = Zones[number % 3],
            .service = Service,
            .labels = labels,
            .cpu = cpu,
            .memoryMb = memoryMb,
            .controls = controls,
        },
        runs_, record_));
    return *executors_.back();
}

Response Cell::callEntry(size_t entry, const std::string &method, const std::string &path,
    const std::string &body, int timeoutMs)
{
    const Response response = call(fronts_[entry % fronts_.size()], method, path, body, timeoutMs,
        { { "Host", Host }, { "X-Api-Key", Key }, { "X-Deadline-Ms", std::to_string(timeoutMs) } });
    record_.add("call " + method + " " + path + " at entry " + std::to_string(entry % 3) + " -> "
        + std::to_string(response.status) + " " + response.body);
    return response;
}

void Cell::submit(const std::string &queue, const std::string &id, const std::string &spec,
    const std::vector<Step> &steps)
{
    size_t entry = 0;
    const bool isAccepted = waitFor(StartMs, [&] {
        const int status =
            callEntry(entry++, "POST", "/" + queue + "/" + id, jobBody(spec, steps)).status;
        return status >= 200 && status < 300;
    });
    if (!isAccepted)
        throw CannotRun{ "job " + id + " was not accepted" };
}

std::string Cell::stateOf(const std::string &queue, const std::string &id)
{
    const Response response = callEntry(0, "GET", "/" + queue + "/" + id);
    rapidjson::Document body;
    body.Parse(response.body.data(), response.body.size());
    if (response.status != 200 || body.HasParseError() || !body.IsObject()
        || !body.HasMember("state") || !body["state"].IsString())
        return "";
    return body["state"].GetString();
}

bool Cell::waitFor(int64_t ms, const std::function<bool()> &condition)
{
    const int64_t end = nowMs() + ms;
    while (nowMs() < end) {
        if (condition())
            return true;
        sleepMs(20);
    }
    return false;
}

// Ends in a letter, so that no name of a task reads like an address.
std::string Cell::jobId(int number)
{
    char text[17];
    std::snprintf(text, sizeof text, "5c0e7a2%08xf", static_cast<unsigned>(number));
    return text;
}

std::string Cell::taskOf(const std::string &job, int index, int step)
{
    return job + ".0." + std::to_string(step) + "." + std::to_string(index);
}

} // namespace review
