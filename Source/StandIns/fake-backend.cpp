#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

#include "StandIns/FakeBackend.h"

namespace {

constexpr const char *Usage =
    R"(fake-backend: stands in for backend servers in tests and measurements.

Usage:
  fake-backend --entries=LIST [options]

Options:
  --entries=LIST      Service listeners of entries, separated by commas.
  --id=ID             Name, or prefix of the names when there are several [default: b].
  --count=N           Number of backend servers in this process [default: 1].
  --incarnation=N     Incarnation [default: 1].
  --zones=LIST        Availability zones, taken in turn [default: z1].
  --pool=POOL         Pool [default: desk].
  --slots=N           Slots of each [default: 8].
  --connections=N     Connections of each [default: 60].
  --address=ADDRESS   Listener of the first; port 0 takes any [default: 127.0.0.1:0].
  --delay-ms=MS       Time that a request takes [default: 0].

SIGTERM makes them leave: they announce it, finish what runs, and end.
)";

constexpr basilgap::Millis LeaveCheckInterval{ 100 };
constexpr basilgap::Millis LeaveTime{ 1500 };

} // namespace

int main(int argc, char **argv)
{
    using namespace basilgap;
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc });
    const auto text = [&](const char *name) { return arguments.at(name).asString(); };
    network::EventLoop loop;
    std::vector<std::unique_ptr<standins::FakeBackend>> backends;
    const auto zones = standins::splitList(text("--zones"));
    const long count = arguments.at("--count").asLong();
    for (long i = 0; i < count; i++) {
        auto backend = standins::FakeBackend::start(loop,
            { .id = count == 1 ? text("--id") : text("--id") + std::to_string(i + 1),
                .incarnation = static_cast<uint64_t>(arguments.at("--incarnation").asLong()),
                .zone = zones[static_cast<size_t>(i) % zones.size()],
                .pool = text("--pool"),
                .slots = static_cast<uint32_t>(arguments.at("--slots").asLong()),
                .connections = static_cast<uint32_t>(arguments.at("--connections").asLong()),
                .address = i == 0 ? text("--address") : "127.0.0.1:0",
                .entries = standins::splitList(text("--entries")),
                .delay = Millis(arguments.at("--delay-ms").asLong()) });
        if (!backend) {
            std::cerr << backend.error().text() << '\n';
            return 1;
        }
        std::cout << "address=" << (*backend)->address() << std::endl;
        backends.push_back(std::move(*backend));
    }
    Millis leftAt;
    network::Timer leaving(loop, [&] {
        bool idle = true;
        for (const auto &backend : backends)
            idle = idle && backend->running() == 0;
        if (idle && steadyNow() - leftAt > LeaveTime)
            loop.stop();
    });
    const network::SignalWatch onTerminate(loop, SIGTERM, [&] {
        leftAt = steadyNow();
        for (const auto &backend : backends)
            backend->leave();
        leaving.startRepeating(LeaveCheckInterval);
    });
    loop.run();
    return 0;
}
