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

// Any process that this one started, ended when the object goes.
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
    // Waits for the end; the exit status, or -1 when a signal or the time limit ended it.
    int wait(Millis timeout);
    // SIGKILL and wait.
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
    // 0: not limited.
    uint32_t slots = 0;
};

// A cell of real processes on loopback in a folder of its own.
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
        // The address under which one process reaches a control, when it is not the control's own.
        std::function<std::string(
            const std::string &from, const std::string &to, const std::string &address)>
            route;
        // More lines for control.yaml and entry.yaml.
        std::string controlExtra;
        std::string entryExtra;
    };

    struct Host
    {
        std::string id;
        std::string zone;
        std::string settingsFile;
        // "public", "service", "admin", "peer".
        std::map<std::string, std::string> addresses;
        std::string dataFolder;
        ChildProcess process;
    };

    explicit LocalCell(Options options);

    // Starts all processes and applies the first cell file.
    Result<void> start();
    void startControl(size_t index);
    void startEntry(size_t index);
    // SIGTERM to all; true when each ended by itself with status 0.
    bool stop();

    std::vector<Host> &controls() { return controls_; }
    std::vector<Host> &entries() { return entries_; }

    // The teams and their keys; a change takes effect with the next applyNext().
    std::vector<LocalTeam> &teams() { return options_.teams; }
    std::string keyOf(const std::string &team) const { return "key-of-" + team; }
    // Withdraws or grants the team's key in the next file.
    void setKeyGranted(const std::string &team, bool granted);

    // The cell file with the given number.
    std::string cellFile(uint64_t version) const;
    // Applies a file with the next number; the answer of an entry's admin listener.
    network::ExchangeResult applyNext(bool wait = true);
    uint64_t version() const { return version_; }

    network::ExchangeResult admin(const Host &host, const std::string &method,
        const std::string &path, const std::string &body = "",
        const network::Headers &headers = {}) const;
    network::ExchangeResult zone(const std::string &zone, const std::string &action,
        const std::string &operation, bool wait = true) const;

    // A request of a caller to one entry.
    network::ExchangeResult call(size_t entry, const std::string &team, const std::string &method,
        const std::string &path, const std::string &body = "", const network::Headers &headers = {},
        Millis timeout = Millis(15000)) const;

    // Index of the leading control, or -1 when none says that it leads.
    int leader() const;
    int waitForLeader(Millis timeout) const;

    std::string serviceAddresses() const;
    std::string folder() const { return options_.folder; }
    std::string logFile(const std::string &id) const { return options_.folder + "/" + id + ".log"; }
    const std::string &operatorKey() const { return operatorKey_; }

    // The description that Tools/demo --keep writes.
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

// Polls until the condition holds; false when the time is up.
bool waitUntil(Millis timeout, const std::function<bool()> &condition);

// Path of a program of this build, such as "EntryDaemon/basilgap-entry".
std::string programPath(const std::string &program);

// A new empty folder for one test.
std::string makeFolder(const std::string &name);

// The number after `"name":` in a JSON text; -1 when it is not there.
int64_t jsonNumber(const std::string &json, const std::string &name);

} // namespace basilgap::standins
