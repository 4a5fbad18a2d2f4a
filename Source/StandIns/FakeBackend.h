#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"

namespace basilgap::standins {

// A backend server for tests and benchmarks. It announces itself, serves requests and counts them.
// The header X-Fake of a request selects its treatment by options separated by ';': delay=MS,
// reset, truncate, mismatch, status=N, fence.
class FakeBackend
{
public:
    struct Options
    {
        std::string id;
        uint64_t incarnation = 1;
        std::string zone;
        std::string pool;
        uint32_t slots = 8;
        uint32_t connections = 60;
        // Address of the listener; port 0 selects any free port.
        std::string address;
        // Service listeners of the entries; the next one is used when one does not answer.
        std::vector<std::string> entries;
        // Duration of a request without the option `delay`.
        Millis delay{ 0 };
    };

    static Result<std::unique_ptr<FakeBackend>> start(network::EventLoop &loop, Options options);

    // Announces that it is leaving; running requests continue.
    void leave();

    // Requests served, running, and running at most at once, and runs by the header X-Fake-Id, as
    // JSON.
    std::string countsJson() const;

    std::string address() const { return server_->address(); }
    uint32_t running() const { return running_; }
    uint32_t peakRunning() const { return peakRunning_; }
    uint64_t served() const { return served_; }

private:
    FakeBackend(network::EventLoop &loop, Options options);
    void announce();
    std::string announcement() const;
    void handle(const network::HttpRequest &request, const network::ResponderPointer &responder);
    void finish(const network::HttpRequest &request, const network::ResponderPointer &responder);

    network::EventLoop &loop_;
    Options options_;
    std::unique_ptr<network::HttpServer> server_;
    std::unique_ptr<network::HttpConnection> announcer_;
    size_t nextEntry_ = 0;
    bool leaving_ = false;
    uint32_t running_ = 0;
    uint32_t peakRunning_ = 0;
    uint64_t served_ = 0;
    std::map<std::string, uint32_t> runningByEntry_;
    std::map<std::string, uint64_t> runsById_;
    network::Timer announceTimer_;
};

// Calls the callback once after the delay.
void after(network::EventLoop &loop, Millis delay, std::function<void()> callback);

// Splits a list such as "a,b,c" and drops empty items.
std::vector<std::string> splitList(const std::string &text, char separator = ',');

} // namespace basilgap::standins
