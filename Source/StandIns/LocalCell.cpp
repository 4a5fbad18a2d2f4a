#include "StandIns/LocalCell.h"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/socket.h>
#include <unistd.h>

#include "Basilgap/Common/Hash.h"

namespace basilgap::standins {

namespace {

constexpr Millis StartTimeout{ 20000 };
constexpr Millis StopTimeout{ 15000 };
constexpr Millis AdminTimeout{ 15000 };
constexpr Millis PollInterval{ 20 };

// Ports below the kernel's ephemeral range, in blocks that a process locks until it ends, so that
// tests that run in parallel never use the same ports.
constexpr uint16_t FirstPort = 12000;
constexpr uint16_t PortsInBlock = 64;
constexpr uint16_t PortBlocks = 300;

uint16_t lockPortBlock()
{
    const std::string folder = std::filesystem::temp_directory_path().string();
    for (uint16_t block = 0; block < PortBlocks; block++) {
        const std::string path = folder + "/basilgap-ports-" + std::to_string(block);
        const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (file >= 0 && ::flock(file, LOCK_EX | LOCK_NB) == 0)
            return static_cast<uint16_t>(FirstPort + block * PortsInBlock);
        if (file >= 0)
            ::close(file);
    }
    return 0;
}

bool isFree(uint16_t port)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool free = bind(socket, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0;
    ::close(socket);
    return free;
}

// The settings need the port numbers before the processes start, so port 0 can't be used.
std::string freeAddress()
{
    static const uint16_t block = lockPortBlock();
    static uint16_t next = 0;
    while (!isFree(static_cast<uint16_t>(block + next % PortsInBlock)))
        next++;
    return "127.0.0.1:" + std::to_string(block + next++ % PortsInBlock);
}

void writeFile(const std::string &path, const std::string &text)
{
    std::ofstream(path) << text;
}

} // namespace

bool waitUntil(Millis timeout, const std::function<bool()> &condition)
{
    const Millis end = steadyNow() + timeout;
    while (!condition()) {
        if (steadyNow() >= end)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(PollInterval.count()));
    }
    return true;
}

std::string programPath(const std::string &program)
{
    return std::string(BASILGAP_BUILD_DIR) + "/Source/" + program;
}

std::string makeFolder(const std::string &name)
{
    std::string pattern = std::filesystem::temp_directory_path().string() + "/" + name + "-XXXXXX";
    return mkdtemp(pattern.data()) == nullptr ? "" : pattern;
}

int64_t jsonNumber(const std::string &json, const std::string &name)
{
    const size_t found = json.find("\"" + name + "\":");
    if (found == std::string::npos)
        return -1;
    const size_t digits = json.find_first_of("-0123456789", found + name.size() + 3);
    return digits == std::string::npos ? -1 : std::atoll(json.c_str() + digits);
}

LocalCell::LocalCell(Options options)
    : options_(std::move(options))
{
    for (int i = 0; i < options_.controls; i++) {
        Host host;
        host.id = "r" + std::to_string(i + 1);
        host.zone = zoneOf(static_cast<size_t>(i));
        for (const char *listener : { "admin", "peer" })
            host.addresses[listener] = freeAddress();
        host.dataFolder = options_.folder + "/" + host.id + "-data";
        host.settingsFile = options_.folder + "/" + host.id + ".yaml";
        controls_.push_back(std::move(host));
    }
    for (int i = 0; i < options_.entries; i++) {
        Host host;
        host.id = "e" + std::to_string(i + 1);
        host.zone = zoneOf(static_cast<size_t>(i));
        for (const char *listener : { "public", "service", "admin", "peer" })
            host.addresses[listener] = freeAddress();
        host.settingsFile = options_.folder + "/" + host.id + ".yaml";
        entries_.push_back(std::move(host));
    }
    writeSettings();
}

std::string LocalCell::zoneOf(size_t index) const
{
    return options_.zones[index % options_.zones.size()];
}

void LocalCell::writeSettings()
{
    const std::string cellKeyFile = options_.folder + "/cell.key";
    const std::string operatorKeyFile = options_.folder + "/operator.key";
    writeFile(cellKeyFile, "key-shared-by-the-cell\n");
    writeFile(operatorKeyFile, operatorKey_ + "\n");
    const auto peersOf = [&](const Host &from) {
        std::ostringstream peers;
        for (const Host &host : controls_) {
            const std::string &own = host.addresses.at("peer");
            const bool routed = options_.route && host.id != from.id;
            peers << "  - {id: " << host.id << ", address: '"
                  << (routed ? options_.route(from.id, host.id, own) : own) << "'}\n";
        }
        return peers.str();
    };
    const auto common = [&](const Host &host) {
        std::ostringstream text;
        text << "id: " << host.id << "\nzone: " << host.zone << "\nadminAddress: '"
             << host.addresses.at("admin") << "'\npeerAddress: '" << host.addresses.at("peer")
             << "'\ncellKeyFile: " << cellKeyFile << "\noperatorKeyFile: " << operatorKeyFile
             << "\n";
        return text.str();
    };
    for (const Host &host : controls_)
        writeFile(host.settingsFile,
            common(host) + "dataFolder: " + host.dataFolder + "\npeers:\n" + peersOf(host)
                + options_.controlExtra);
    for (const Host &host : entries_)
        writeFile(host.settingsFile,
            common(host) + "publicAddress: '" + host.addresses.at("public") + "'\nserviceAddress: '"
                + host.addresses.at("service") + "'\ndrainMs: 200\ncontrols:\n" + peersOf(host)
                + options_.entryExtra);
}

void LocalCell::startControl(size_t index)
{
    Host &host = controls_[index];
    host.process = ChildProcess::start(
        { programPath("ControlDaemon/basilgap-control"), host.settingsFile }, logFile(host.id));
}

void LocalCell::startEntry(size_t index)
{
    Host &host = entries_[index];
    host.process = ChildProcess::start(
        { programPath("EntryDaemon/basilgap-entry"), host.settingsFile }, logFile(host.id));
}

Result<void> LocalCell::start()
{
    for (size_t i = 0; i < controls_.size(); i++)
        startControl(i);
    for (size_t i = 0; i < entries_.size(); i++)
        startEntry(i);
    if (waitForLeader(StartTimeout) < 0)
        return fail({ ErrorCode::Timeout, "start-cell", options_.folder, "no leader" });
    const auto applied = applyNext();
    if (applied.response.status != 200)
        return fail({ ErrorCode::Refused, "apply", options_.folder, applied.response.body });
    const bool healthy = waitUntil(StartTimeout, [this] {
        for (size_t i = 0; i < entries_.size(); i++) {
            if (call(i, "", "GET", "/healthz").response.status != 200)
                return false;
        }
        return true;
    });
    if (!healthy)
        return fail(
            { ErrorCode::Timeout, "start-cell", options_.folder, "an entry is not healthy" });
    return {};
}

bool LocalCell::stop()
{
    bool clean = true;
    for (std::vector<Host> *hosts : { &entries_, &controls_ }) {
        std::vector<Host *> running;
        for (Host &host : *hosts) {
            if (!host.process.isRunning())
                continue;
            host.process.signal(SIGTERM);
            running.push_back(&host);
        }
        for (Host *host : running)
            clean = host->process.wait(StopTimeout) == 0 && clean;
    }
    return clean;
}

void LocalCell::setKeyGranted(const std::string &team, bool granted)
{
    keyRevoked_[team] = !granted;
}

std::string LocalCell::cellFile(uint64_t version) const
{
    std::ostringstream text;
    text << "version: " << version << "\nreplicas:\n";
    for (const Host &host : controls_)
        text << "  - {id: " << host.id << ", address: '" << host.addresses.at("peer")
             << "', zone: " << host.zone << "}\n";
    text << "zones: [";
    for (size_t i = 0; i < options_.zones.size(); i++)
        text << (i == 0 ? "" : ", ") << options_.zones[i];
    text << "]\nteams:\n";
    for (const LocalTeam &team : options_.teams) {
        text << "  - name: " << team.name << "\n    share: " << team.share << "\n";
        if (team.slots > 0)
            text << "    limit: {slots: " << team.slots << "}\n";
        const auto revoked = keyRevoked_.find(team.name);
        if (revoked == keyRevoked_.end() || !revoked->second)
            text << "    keys: [{id: k1, sha256: " << sha256Hex(keyOf(team.name)) << "}]\n";
    }
    text << "routes:\n  - {prefix: /desk, pool: desk, timeoutMs: " << options_.routeTimeoutMs
         << "}\n  - {prefix: /once, pool: desk, repeatable: false, timeoutMs: "
         << options_.routeTimeoutMs << "}\n  - {prefix: /many, pool: desk, repeatable: true, "
         << "timeoutMs: " << options_.routeTimeoutMs
         << "}\n  - {prefix: /own, pool: desk, timeoutMs: " << options_.routeTimeoutMs
         << ", teams: [" << options_.teams.front().name << "]}\n";
    return text.str();
}

network::ExchangeResult LocalCell::applyNext(bool wait)
{
    return admin(
        entries_.front(), "PUT", wait ? "/v1/cell" : "/v1/cell?wait=0", cellFile(++version_));
}

network::ExchangeResult LocalCell::admin(const Host &host, const std::string &method,
    const std::string &path, const std::string &body, const network::Headers &headers) const
{
    network::HttpRequest request{ .method = method, .target = path, .headers = headers };
    request.headers.push_back({ "Authorization", "Bearer " + operatorKey_ });
    request.body = body;
    return network::fetchAndWait(host.addresses.at("admin"), request, AdminTimeout);
}

network::ExchangeResult LocalCell::zone(const std::string &zone, const std::string &action,
    const std::string &operation, bool wait) const
{
    return admin(entries_.front(), "POST",
        "/v1/zones/" + zone + "/" + action + (wait ? "" : "?wait=0"), "",
        { { "Operation-Id", operation } });
}

network::ExchangeResult LocalCell::call(size_t entry, const std::string &team,
    const std::string &method, const std::string &path, const std::string &body,
    const network::Headers &headers, Millis timeout) const
{
    network::HttpRequest request{ .method = method, .target = path, .headers = headers };
    if (!team.empty())
        request.headers.push_back({ "Authorization", "Bearer " + keyOf(team) });
    request.body = body;
    return network::fetchAndWait(entries_[entry].addresses.at("public"), request, timeout);
}

int LocalCell::leader() const
{
    for (size_t i = 0; i < controls_.size(); i++) {
        const auto status = admin(controls_[i], "GET", "/v1/status");
        if (status.response.body.find("\"role\":\"leader\"") != std::string::npos)
            return static_cast<int>(i);
    }
    return -1;
}

int LocalCell::waitForLeader(Millis timeout) const
{
    int index = -1;
    waitUntil(timeout, [&] { return (index = leader()) >= 0; });
    return index;
}

std::string LocalCell::serviceAddresses() const
{
    std::string list;
    for (const Host &host : entries_)
        list += (list.empty() ? "" : ",") + host.addresses.at("service");
    return list;
}

std::string LocalCell::describeJson() const
{
    std::ostringstream text;
    text << "{\"entries\": [";
    for (size_t i = 0; i < entries_.size(); i++) {
        const Host &host = entries_[i];
        text << (i == 0 ? "" : ", ") << "{\"id\": \"" << host.id << "\", \"zone\": \"" << host.zone
             << "\", \"pid\": " << host.process.pid();
        for (const char *listener : { "public", "service", "admin" })
            text << ", \"" << listener << "\": \"" << host.addresses.at(listener) << '"';
        text << "}";
    }
    text << "], \"controls\": [";
    for (size_t i = 0; i < controls_.size(); i++) {
        const Host &host = controls_[i];
        text << (i == 0 ? "" : ", ") << "{\"id\": \"" << host.id << "\", \"zone\": \"" << host.zone
             << "\", \"pid\": " << host.process.pid() << ", \"admin\": \""
             << host.addresses.at("admin") << "\", \"data\": \"" << host.dataFolder << "\"}";
    }
    text << "], \"teams\": {";
    for (size_t i = 0; i < options_.teams.size(); i++)
        text << (i == 0 ? "" : ", ") << '"' << options_.teams[i].name << "\": \""
             << keyOf(options_.teams[i].name) << '"';
    text << "}, \"operatorKey\": \"" << operatorKey_ << "\", \"cellFile\": \"" << options_.folder
         << "/cell.yaml\"}\n";
    return text.str();
}

} // namespace basilgap::standins
