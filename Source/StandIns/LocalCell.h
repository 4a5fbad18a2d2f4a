#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <sys/types.h>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Network/HttpConnection.h"

namespace basilgap::standins {

// A child process. It is killed when the object is destroyed.
class ChildProcess
{
public:
    ChildProcess() = default;
    ~ChildProcess();
    ChildProcess(ChildProcess &&other) noexcept;
    ChildProcess &operator=(ChildProcess &&other) noexcept;

    // Starts a program with its output appended to a log file.
    static ChildProcess start(const std::vector<std::string> &command, const std::string &logFile);

    void signal(int number) const;
    // Waits until the process ends and returns its exit status, or -1 if a signal ended it or the
    // timeout passed.
    int wait(Millis timeout);
    // Sends SIGKILL and waits for the end.
    void kill();
    bool isRunning();
    pid_t pid() const { return pid_; }

private:
    pid_t pid_ = -1;
    int status_ = 0;
};

struct LocalTeam
{
    std::string name;
    uint32_t share = 1;
    // 0: unlimited.
    uint32_t slots = 0;
};

// A cell of real processes on the loopback interface, with its files in one folder.
class LocalCell
{
public:
    struct Options
    {
        std::string folder;
        int controls = 3;
        int entries = 3;
        std::vector<std::string> zones = { "z1", "z2", "z3" };
        std::vector<LocalTeam> teams = { { "ghat", 2, 0 }, { "boatyard", 1, 0 } };
        uint32_t routeTimeoutMs = 5000;
        // Optional: maps a control's address to the one under which another process reaches it.
        std::function<std::string(
            const std::string &from, const std::string &to, const std::string &address)>
            route;
        // Additional settings for the control and entry processes.
        std::string controlExtra;
        std::string entryExtra;
    };

    struct Host
    {
        std::string id;
        std::string zone;
        std::string settingsFile;
        // By listener: "public", "service", "admin", "peer".
        std::map<std::string, std::string> addresses;
        std::string dataFolder;
        ChildProcess process;
    };

    explicit LocalCell(Options options);

    // Starts all processes and applies the first cell file.
    Result<void> start();
    void startControl(size_t index);
    void startEntry(size_t index);
    // Sends SIGTERM to all processes; true if each exits with status 0.
    bool stop();

    std::vector<Host> &controls() { return controls_; }
    std::vector<Host> &entries() { return entries_; }

    // The configured teams; a change takes effect with the next applyNext().
    std::vector<LocalTeam> &teams() { return options_.teams; }
    std::string keyOf(const std::string &team) const { return "key-of-" + team; }
    // Revokes or grants the team's key; takes effect with the next applyNext().
    void setKeyGranted(const std::string &team, bool granted);

    // The cell file with the given version.
    std::string cellFile(uint64_t version) const;
    // Applies a cell file with the next version and returns the answer of the first entry.
    network::ExchangeResult applyNext(bool wait = true);
    uint64_t version() const { return version_; }

    network::ExchangeResult admin(const Host &host, const std::string &method,
        const std::string &path, const std::string &body = "",
        const network::Headers &headers = {}) const;
    network::ExchangeResult zone(const std::string &zone, const std::string &action,
        const std::string &operation, bool wait = true) const;

    // Sends a caller's request to one entry.
    network::ExchangeResult call(size_t entry, const std::string &team, const std::string &method,
        const std::string &path, const std::string &body = "", const network::Headers &headers = {},
        Millis timeout = Millis(15000)) const;

    // Index of the control process that is the leader, or -1 if there is none.
    int leader() const;
    int waitForLeader(Millis timeout) const;

    std::string serviceAddresses() const;
    std::string folder() const { return options_.folder; }
    std::string logFile(const std::string &id) const { return options_.folder + "/" + id + ".log"; }
    const std::string &operatorKey() const { return operatorKey_; }

    // The description of the cell that Tools/demo --keep writes.
    std::string describeJson() const;

private:
    void writeSettings();
    std::string zoneOf(size_t index) const;

    Options options_;
    std::vector<Host> controls_;
    std::vector<Host> entries_;
    std::map<std::string, bool> keyRevoked_;
    std::string operatorKey_ = "operator-key-of-this-cell";
    uint64_t version_ = 0;
};

// Polls until the condition is true; false on timeout.
bool waitUntil(Millis timeout, const std::function<bool()> &condition);

// Path of a program of this build, such as "EntryDaemon/basilgap-entry".
std::string programPath(const std::string &program);

// Creates a new empty temporary folder.
std::string makeFolder(const std::string &name);

// The number value of the first key `name` in JSON; -1 if there is none.
int64_t jsonNumber(const std::string &json, const std::string &name);

} // namespace basilgap::standins
