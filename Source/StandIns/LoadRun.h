#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "Basilgap/Common/LatencyHistogram.h"
#include "Basilgap/Network/HttpConnection.h"

namespace basilgap::standins {

struct LoadTeam
{
    std::string name;
    std::string key;
    // Share of the requests, relative to the other teams.
    double weight = 1;
};

struct LoadOptions
{
    std::vector<std::string> targets;
    std::vector<LoadTeam> teams;
    std::string method = "POST";
    std::string path = "/desk/check";
    std::string body = "check";
    std::string fake;
    double requestsPerSecond = 100;
    Millis duration{ 10000 };
    Millis timeout{ 5000 };
    uint64_t seed = 1;
    size_t maxConnections = 2000;
};

struct LoadTeamResult
{
    LatencyHistogram latency;
    uint64_t sent = 0;
    uint64_t ok = 0;
    uint64_t refused = 0;
    uint64_t unknown = 0;
    uint64_t failed = 0;
    // Answered successfully, but after the timeout.
    uint64_t late = 0;
};

// An open-loop load generator: the send times do not depend on the answers. The latency counts from
// the scheduled time, so that a stall of the sender or the target is not hidden (coordinated
// omission).
class LoadRun
{
public:
    LoadRun(network::EventLoop &loop, LoadOptions options, std::function<void()> done);

    const std::map<std::string, LoadTeamResult> &results() const { return results_; }
    std::map<std::string, LoadTeamResult> takeResults() { return std::move(results_); }
    Millis elapsed() const { return steadyNow() - startedAt_; }
    size_t outstanding() const { return outstanding_; }

private:
    void tick();
    void sendOne(Millis scheduledAt);
    void handleAnswer(const std::string &team, const std::string &target, Millis scheduledAt,
        std::shared_ptr<network::HttpConnection> connection, const network::ExchangeResult &result);

    network::EventLoop &loop_;
    LoadOptions options_;
    std::function<void()> done_;
    std::mt19937_64 random_;
    std::map<std::string, LoadTeamResult> results_;
    std::map<std::string, std::vector<std::shared_ptr<network::HttpConnection>>> idle_;
    Millis startedAt_;
    double nextArrivalMs_ = 0;
    size_t outstanding_ = 0;
    uint64_t sent_ = 0;
    bool finished_ = false;
    network::Timer tickTimer_;
};

} // namespace basilgap::standins
