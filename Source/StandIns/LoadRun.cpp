#include "StandIns/LoadRun.h"

namespace basilgap::standins {

namespace {

constexpr Millis TickInterval{ 1 };

// How long after the timeout an answer may arrive before it counts as missing.
constexpr Millis AnswerGrace{ 2000 };

} // namespace

LoadRun::LoadRun(network::EventLoop &loop, LoadOptions options, std::function<void()> done)
    : loop_(loop)
    , options_(std::move(options))
    , done_(std::move(done))
    , random_(options_.seed)
    , startedAt_(steadyNow())
    , tickTimer_(loop, [this] { tick(); })
{
    for (const LoadTeam &team : options_.teams)
        results_[team.name];
    tickTimer_.startRepeating(TickInterval);
}

void LoadRun::tick()
{
    const Millis elapsedTime = elapsed();
    std::exponential_distribution<double> gap(options_.requestsPerSecond / 1000);
    while (elapsedTime < options_.duration + TickInterval
        && nextArrivalMs_ <= static_cast<double>(elapsedTime.count())
        && nextArrivalMs_ < static_cast<double>(options_.duration.count())) {
        sendOne(startedAt_ + Millis(static_cast<int64_t>(nextArrivalMs_)));
        nextArrivalMs_ += gap(random_);
    }
    const bool over = elapsedTime >= options_.duration;
    const bool gaveUp = elapsedTime >= options_.duration + options_.timeout + AnswerGrace;
    if (finished_ || !over || (outstanding_ > 0 && !gaveUp))
        return;
    finished_ = true;
    tickTimer_.cancel();
    done_();
}

void LoadRun::sendOne(Millis scheduledAt)
{
    std::vector<double> weights;
    for (const LoadTeam &team : options_.teams)
        weights.push_back(team.weight);
    std::discrete_distribution<size_t> pick(weights.begin(), weights.end());
    const LoadTeam &team = options_.teams[pick(random_)];
    const std::string target = options_.targets[sent_++ % options_.targets.size()];
    LoadTeamResult &result = results_[team.name];
    result.sent++;
    if (outstanding_ >= options_.maxConnections) {
        result.failed++;
        return;
    }
    auto &idle = idle_[target];
    std::shared_ptr<network::HttpConnection> connection;
    while (!connection && !idle.empty()) {
        if (idle.back()->isReusable())
            connection = idle.back();
        idle.pop_back();
    }
    if (!connection)
        connection = std::make_shared<network::HttpConnection>(
            loop_, network::HttpConnection::Options{ .address = target });
    network::HttpRequest request{ .method = options_.method, .target = options_.path };
    request.body = options_.body;
    request.headers = { { "Authorization", "Bearer " + team.key },
        { "Basilgap-Timeout-Ms", std::to_string(options_.timeout.count()) } };
    if (!options_.fake.empty())
        request.headers.push_back({ "X-Fake", options_.fake });
    outstanding_++;
    const Millis limit = options_.timeout + AnswerGrace;
    connection->exchange(request, limit,
        [this, name = team.name, target, scheduledAt, connection](
            const network::ExchangeResult &answer) {
            handleAnswer(name, target, scheduledAt, connection, answer);
        });
}

void LoadRun::handleAnswer(const std::string &team, const std::string &target, Millis scheduledAt,
    std::shared_ptr<network::HttpConnection> connection, const network::ExchangeResult &answer)
{
    outstanding_--;
    LoadTeamResult &result = results_[team];
    const Millis latency = steadyNow() - scheduledAt;
    if (answer.end != network::ExchangeEnd::Complete) {
        result.failed++;
        return;
    }
    const auto outcome = network::findHeader(answer.response.headers, "Basilgap-Outcome");
    if (answer.response.status < 400) {
        result.ok++;
        result.latency.add(static_cast<double>(latency.count()));
        result.late += latency > options_.timeout ? 1 : 0;
    } else if (outcome == "not-run") {
        result.refused++;
    } else if (outcome == "unknown") {
        result.unknown++;
    } else {
        result.failed++;
    }
    if (connection->isReusable())
        idle_[target].push_back(std::move(connection));
}

} // namespace basilgap::standins
