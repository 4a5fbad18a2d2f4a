#include <csignal>
#include <iostream>

#include <docopt/docopt.h>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Entry/EntryTask.h"
#include "Basilgap/Settings/YamlReader.h"

namespace {

constexpr const char *Usage =
    R"(basilgap-entry: takes requests of callers and hands them to backend servers.

Usage:
  basilgap-entry SETTINGS
  basilgap-entry (-h | --help)
  basilgap-entry --version

Arguments:
  SETTINGS  YAML file with the settings of this process; see docs/OPERATIONS.md.

SIGTERM stops without cutting off a request; SIGUSR1 writes the state to standard error.
)";

constexpr int ExitBadSettings = 2;

} // namespace

int main(int argc, char **argv)
{
    using namespace basilgap;
    const auto arguments =
        docopt::docopt(Usage, { argv + 1, argv + argc }, true, "basilgap-entry " BASILGAP_VERSION);
    schema::EntrySettings settings;
    if (const auto read = settings::readYamlFile(arguments.at("SETTINGS").asString(), &settings);
        !read) {
        std::cerr << read.error().peer << ": " << read.error().message << '\n';
        return ExitBadSettings;
    }
    startEventLog(argv[0], settings.id());
    network::EventLoop loop;
    auto task = entry::EntryTask::start(loop, settings);
    if (!task) {
        LogEvent("start-failed", LogLevel::Error).with(task.error());
        return 1;
    }
    const network::SignalWatch onTerminate(loop, SIGTERM, [&] { (*task)->stop(); });
    const network::SignalWatch onInterrupt(loop, SIGINT, [&] { (*task)->stop(); });
    const network::SignalWatch onDump(
        loop, SIGUSR1, [&] { std::cerr << (*task)->dump() << std::endl; });
    LogEvent("started").with("zone", settings.zone());
    loop.run();
    LogEvent("stopped");
    return 0;
}
