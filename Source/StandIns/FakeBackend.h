#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "Basilgap/Network/HttpConnection.h"
#include "Basilgap/Network/HttpServer.h"

namespace basilgap::standins {

// A backend server for tests and measurements. It announces itself, serves requests and counts what
// it does. A request chooses its treatment with the header X-Fake, words separated by ';':
// delay=MS, reset, truncate, mismatch, status=N, fence.
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
        // Listener; port 0 takes any.
        std::string address;
        // Service listeners of entries, asked in turn.
        std::vector<std::string> entries;
        // Time that a request takes unless it says otherwise.
        Millis delay{ 0 };
    };

    static Result<std::unique_ptr<FakeBackend>> start(network::EventLoop &loop, Options options);

    // Announces that it leaves; running requests go on.
    void leave();

    // Counts as JSON: requests run, most at once, and runs by the header X-Fake-Id.
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

// Calls back once after a delay.
void after(network::EventLoop &loop, Millis delay, std::function<void()> callback);

// Splits "a,b,c".
std::vector<std::string> splitList(const std::string &text, char separator = ',');

} // namespace basilgap::standins
