#include <csignal>
#include <iostream>
#include <sstream>

#include <docopt/docopt.h>

#include "Basilgap/Network/HttpServer.h"
#include "StandIns/FakeBackend.h"
#include "StandIns/FakeWorker.h"

namespace {

constexpr const char *Usage = R"(fake-worker: stands in for workers in tests and measurements.

Usage:
  fake-worker --entries=LIST [options]

Options:
  --entries=LIST      Service listeners of entries, separated by commas.
  --id=ID             Name, or prefix of the names when there are several [default: w].
  --count=N           Number of workers in this process [default: 1].
  --incarnation=N     Incarnation [default: 1].
  --zones=LIST        Availability zones, taken in turn [default: z1].
  --rack-size=N       Workers in a rack [default: 8].
  --millicores=N      Processor of each [default: 64000].
  --memory-mb=N       Memory of each [default: 262144].
  --accelerators=N    Accelerators of each [default: 0].
  --fail-all          Fail whatever is started.
  --listen=ADDRESS    Serve GET /state; port 0 takes any [default: 127.0.0.1:0].
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace basilgap;
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc });
    const auto text = [&](const char *name) { return arguments.at(name).asString(); };
    const auto number = [&](const char *name) { return arguments.at(name).asLong(); };
    network::EventLoop loop;
    std::vector<std::unique_ptr<standins::FakeWorker>> workers;
    const auto zones = standins::splitList(text("--zones"));
    const long count = number("--count");
    for (long i = 0; i < count; i++) {
        const std::string &zone = zones[static_cast<size_t>(i) % zones.size()];
        const long rack = i / static_cast<long>(zones.size()) / number("--rack-size");
        workers.push_back(std::make_unique<standins::FakeWorker>(loop,
            standins::FakeWorker::Options{
                .id = count == 1 ? text("--id") : text("--id") + std::to_string(i + 1),
                .incarnation = static_cast<uint64_t>(number("--incarnation")),
                .zone = zone,
                .rack = zone + "-r" + std::to_string(rack),
                .millicores = number("--millicores"),
                .memoryMb = number("--memory-mb"),
                .accelerators = number("--accelerators"),
                .entries = standins::splitList(text("--entries")),
                .failAll = arguments.at("--fail-all").asBool() }));
    }
    auto server = network::HttpServer::listen(loop, { .address = text("--listen") },
        [&](const network::HttpRequest &, const network::ResponderPointer &responder) {
            std::ostringstream body;
            body << "[";
            for (size_t i = 0; i < workers.size(); i++)
                body << (i == 0 ? "" : ", ") << workers[i]->stateJson();
            body << "]";
            responder->answer(network::jsonResponse(200, body.str()));
        });
    if (!server) {
        std::cerr << server.error().text() << '\n';
        return 1;
    }
    std::cout << "address=" << (*server)->address() << std::endl;
    const network::SignalWatch onTerminate(loop, SIGTERM, [&] { loop.stop(); });
    loop.run();
    return 0;
}
