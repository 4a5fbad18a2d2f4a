#pragma once

#include <csignal>
#include <iostream>
#include <string>

#include "Basilgap/Common/EventLog.h"
#include "Basilgap/Network/EventLoop.h"
#include "Basilgap/Settings/YamlReader.h"

namespace basilgap::network {

// Exit status of a program whose settings are invalid.
constexpr int ExitBadSettings = 2;

// Runs a daemon whose Process has start(loop, settings), stop(), dump() and hasFailed(). Reads and
// checks the settings, stops the process on SIGTERM or SIGINT, and writes its state to standard
// error on SIGUSR1. Returns the exit status.
template<typename Process, typename Settings>
int runDaemon(const char *program, const std::string &settingsFile)
{
    Settings settings;
    if (const auto read = settings::readYamlFile(settingsFile, &settings); !read) {
        std::cerr << read.error().peer << ": " << read.error().message << '\n';
        return ExitBadSettings;
    }
    startEventLog(program, settings.id());
    EventLoop loop;
    auto process = Process::start(loop, settings);
    if (!process) {
        LogEvent("start-failed", LogLevel::Error).with(process.error());
        return 1;
    }
    const SignalWatch onTerminate(loop, SIGTERM, [&] { (*process)->stop(); });
    const SignalWatch onInterrupt(loop, SIGINT, [&] { (*process)->stop(); });
    const SignalWatch onDump(loop, SIGUSR1, [&] { std::cerr << (*process)->dump() << std::endl; });
    LogEvent("started").with("zone", settings.zone());
    loop.run();
    LogEvent("stopped");
    return (*process)->hasFailed() ? 1 : 0;
}

} // namespace basilgap::network
