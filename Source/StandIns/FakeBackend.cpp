#include "StandIns/FakeBackend.h"

#include <algorithm>
#include <sstream>

#include "Basilgap/Common/LeaseTimes.h"
#include "Basilgap/Network/Json.h"
#include "Http.pb.h"

namespace basilgap::standins {

namespace {

constexpr Millis AnnounceTimeout{ 900 };

// Value of the option "name=value" in the X-Fake header; empty for an option without value, none if
// it is missing.
std::optional<std::string> fakeOption(const network::HttpRequest &request, const std::string &name)
{
    const auto header = network::findHeader(request.headers, "X-Fake");
    for (const std::string &word : splitList(header.value_or(""), ';')) {
        if (word == name)
            return "";
        if (word.rfind(name + "=", 0) == 0)
            return word.substr(name.size() + 1);
    }
    return std::nullopt;
}

} // namespace

std::vector<std::string> splitList(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator)) {
        if (!part.empty())
            parts.push_back(part);
    }
    return parts;
}

void after(network::EventLoop &loop, Millis delay, std::function<void()> callback)
{
    auto timer = std::make_shared<std::unique_ptr<network::Timer>>();
    *timer = std::make_unique<network::Timer>(loop, [timer, callback = std::move(callback)] {
        callback();
        timer->reset();
    });
    (*timer)->startOnce(delay);
}

FakeBackend::FakeBackend(network::EventLoop &loop, Options options)
    : loop_(loop)
    , options_(std::move(options))
    , announceTimer_(loop, [this] { announce(); })
{}

Result<std::unique_ptr<FakeBackend>> FakeBackend::start(network::EventLoop &loop, Options options)
{
    std::unique_ptr<FakeBackend> backend(new FakeBackend(loop, std::move(options)));
    auto server = network::HttpServer::listen(loop, { .address = backend->options_.address },
        [self = backend.get()](const network::HttpRequest &request,
            const network::ResponderPointer &responder) { self->handle(request, responder); });
    if (!server)
        return fail(server.error());
    backend->server_ = std::move(*server);
    if (!backend->options_.entries.empty()) {
        backend->announceTimer_.startRepeating(AnnounceInterval);
        backend->announce();
    }
    return backend;
}

std::string FakeBackend::announcement() const
{
    schema::AnnounceBody body;
    body.set_id(options_.id);
    body.set_incarnation(static_cast<int64_t>(options_.incarnation));
    body.set_address(address());
    body.set_zone(options_.zone);
    body.set_pool(options_.pool);
    body.set_slots(options_.slots);
    body.set_connections(options_.connections);
    body.set_leaving(leaving_);
    for (const auto &[entry, count] : runningByEntry_) {
        if (entry.empty())
            continue;
        schema::RunningBody *row = body.add_running();
        row->set_entry(entry);
        row->set_count(count);
    }
    return network::toJson(body);
}

void FakeBackend::announce()
{
    const std::string &entry = options_.entries[nextEntry_ % options_.entries.size()];
    network::HttpRequest request{ .method = "POST", .target = "/v1/announce" };
    request.body = announcement();
    network::fetchOnce(
        loop_, entry, request, AnnounceTimeout, [this](const network::ExchangeResult &result) {
            if (result.end != network::ExchangeEnd::Complete)
                nextEntry_++;
        });
}

void FakeBackend::leave()
{
    leaving_ = true;
    announce();
}

void FakeBackend::handle(
    const network::HttpRequest &request, const network::ResponderPointer &responder)
{
    if (request.path() == "/fake/counts")
        return responder->answer(network::jsonResponse(200, countsJson()));
    if (request.path() == "/fake/leave") {
        leave();
        return responder->answer(network::jsonResponse(200, "{}"));
    }
    if (fakeOption(request, "fence"))
        return responder->answer({ 409, { { "Basilgap-Outcome", "not-run" } }, "" });
    const std::string entry = network::findHeader(request.headers, "Basilgap-Entry").value_or("");
    running_++;
    runningByEntry_[entry]++;
    peakRunning_ = std::max(peakRunning_, running_);
    runsById_[network::findHeader(request.headers, "X-Fake-Id").value_or("")]++;
    const auto delay = fakeOption(request, "delay");
    const Millis time = delay ? Millis(std::stol(*delay)) : options_.delay;
    const auto done = [this, request, responder, entry] {
        running_--;
        runningByEntry_[entry]--;
        served_++;
        finish(request, responder);
    };
    if (time.count() == 0)
        return done();
    after(loop_, time, done);
}

void FakeBackend::finish(
    const network::HttpRequest &request, const network::ResponderPointer &responder)
{
    if (fakeOption(request, "reset"))
        return responder->abort();
    const auto status = fakeOption(request, "status");
    network::HttpResponse response{ .status = status ? std::stoi(*status) : 200 };
    response.body = options_.id + " " + request.method + " " + request.target + " " + request.body;
    const auto attempt = network::findHeader(request.headers, "Basilgap-Attempt").value_or("");
    const bool isMismatch = fakeOption(request, "mismatch").has_value();
    response.headers.push_back({ "Basilgap-Attempt", isMismatch ? "another" : attempt });
    response.headers.push_back(
        { "X-Team", network::findHeader(request.headers, "Basilgap-Team").value_or("") });
    if (fakeOption(request, "truncate")) {
        const size_t announced = response.body.size() + 100;
        response.headers.push_back({ "Content-Length", std::to_string(announced) });
        response.headers.push_back({ "Connection", "close" });
    }
    responder->answer(std::move(response));
}

std::string FakeBackend::countsJson() const
{
    std::ostringstream text;
    text << "{\"served\": " << served_ << ", \"running\": " << running_
         << ", \"mostRunning\": " << peakRunning_ << ", \"runs\": {";
    const char *separator = "";
    for (const auto &[id, runs] : runsById_) {
        text << separator << '"' << id << "\": " << runs;
        separator = ", ";
    }
    text << "}}";
    return text.str();
}

} // namespace basilgap::standins
