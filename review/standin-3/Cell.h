#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Network/HttpServer.h"
#include "Executor.h"
#include "Record.h"

namespace review {

// A process of the system that the case started.
class Process
{
public:
    Process(const std::vector<std::string> &command, const std::string &settings,
        const std::string &logFile);
    ~Process();
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const;
    // Sends SIGKILL and waits for the end.
    void kill();
    bool isKilled() const { return pid_ <= 0; }
    // Whether it has ended by itself.
    bool hasEnded();

private:
    int pid_ = -1;
};

struct Queue
{
    std::string name = "spot";
    std::string prefix = "/spot/";
    int priority = 0;
    int maxAttempts = 2;
};

// A small deployment on loopback addresses with the settings of the site stilewright-wa: three
// control processes and some entries, started with the commands of the deploy file.
class Cell
{
public:
    Cell(const std::string &caseFolder, int entries);
    ~Cell();

    // Puts the configuration, and waits until it is acknowledged and all entries are ready.
    bool configure(
        const std::vector<Queue> &queues, basilgap::Millis patience = basilgap::Millis(20000));
    Executor &addExecutor(ExecutorOptions options);

    // A call of a client to the entry's front address. Status 0: no answer in this time.
    basilgap::network::HttpResponse call(int entry, const std::string &method,
        const std::string &target, const std::string &body, basilgap::Millis patience);
    // The same, without waiting for the answer.
    void send(int entry, const std::string &method, const std::string &target,
        const std::string &body, basilgap::Millis patience,
        std::function<void(const basilgap::network::HttpResponse &)> done);
    // A call of the operator.
    basilgap::network::HttpResponse operate(int control, const std::string &method,
        const std::string &target, const std::string &body = {},
        basilgap::Millis patience = basilgap::Millis(1000));

    void runFor(basilgap::Millis time);
    bool waitUntil(const std::function<bool()> &condition, basilgap::Millis patience);

    Process &entry(int number) { return *entries_.at(static_cast<size_t>(number) - 1); }
    Process &control(int number) { return *controls_.at(static_cast<size_t>(number) - 1); }
    void restartControl(int number);
    void restartEntry(int number);
    // Whether a process has ended by itself.
    bool hasEndedProcess();
    // The control process whose log last said that it leads; 0 if none does. Used only to choose
    // the process that a disruption strikes.
    int leader() const;
    std::string ip(int host) const { return prefix_ + std::to_string(host); }
    std::string controlAddress(int number) const { return ip(number) + ":8180"; }
    std::vector<std::string> controlAddresses() const;

    basilgap::network::EventLoop &loop() { return loop_; }
    Record &record() { return record_; }
    Runs &runs() { return runs_; }
    std::vector<std::unique_ptr<Executor>> &executors() { return executors_; }

    static std::string jobId(int number);
    // One step; each task takes this long.
    static std::string job(int count, int cpu, int takesMs, const std::string &more = {});

private:
    void takeAddresses();
    std::string writeSettings(const std::string &role, int host, bool isFirstStart) const;
    std::unique_ptr<Process> start(const std::string &role, int host, bool isFirstStart) const;

    std::string prefix_;
    std::string folder_;
    Record record_;
    Runs runs_;
    basilgap::network::EventLoop loop_;
    std::unique_ptr<basilgap::network::HttpServer> addressGuard_;
    std::map<std::string, std::string> commands_;
    std::vector<std::unique_ptr<Process>> controls_;
    std::vector<std::unique_ptr<Process>> entries_;
    std::vector<std::unique_ptr<Executor>> executors_;
};

} // namespace review
