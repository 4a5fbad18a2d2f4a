#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <docopt/docopt.h>

#include "StandIns/LocalCell.h"

namespace {

using namespace basilgap;

constexpr const char *Usage =
    R"(demo: runs a cell on loopback, sends a request and a gang job through it.

Usage:
  demo [--controls=N] [--entries=N] [--keep=DIR] [--no-stand-ins]

Options:
  --controls=N     Control processes [default: 3].
  --entries=N      Entry processes [default: 3].
  --keep=DIR       Leave the cell running in the folder until SIGINT or SIGTERM; the file cell.json
                   there describes it once it is up.
  --no-stand-ins   Start no stand-ins for backend servers and workers.
)";

constexpr Millis WorkTimeout{ 20000 };

volatile std::sig_atomic_t stopRequested = 0;

void requestStop(int)
{
    stopRequested = 1;
}

bool sendRequest(standins::LocalCell &cell)
{
    network::ExchangeResult answer;
    const bool succeeded = standins::waitUntil(WorkTimeout, [&] {
        answer = cell.call(0, "ghat", "POST", "/desk/check", "jacket 17");
        return answer.response.status == 200;
    });
    std::cout << "request: status " << answer.response.status << ", answer \""
              << answer.response.body << "\"\n";
    return succeeded && answer.response.body.find("jacket 17") != std::string::npos;
}

bool runGang(standins::LocalCell &cell)
{
    const char *body = R"({"name": "seam-check", "class": "gang", "tasks": 4,
        "perTask": {"millicores": 2000, "memoryMb": 1024}, "command": ["sleep", "300"]})";
    const auto accepted = cell.call(0, "boatyard", "POST", "/v1/jobs", body);
    std::cout << "gang job: status " << accepted.response.status << ", answer "
              << accepted.response.body << "\n";
    const size_t idStart = accepted.response.body.find("\"j");
    if (accepted.response.status != 202 || idStart == std::string::npos)
        return false;
    const size_t idEnd = accepted.response.body.find('"', idStart + 1);
    const std::string id = accepted.response.body.substr(idStart + 1, idEnd - idStart - 1);
    network::ExchangeResult state;
    const bool done = standins::waitUntil(WorkTimeout, [&] {
        state = cell.call(1 % cell.entries().size(), "boatyard", "GET", "/v1/jobs/" + id);
        return state.response.body.find("\"state\":\"done\",\"reason\"") != std::string::npos;
    });
    std::cout << "gang job: " << state.response.body << "\n";
    return done;
}

bool startStandIns(standins::LocalCell &cell, std::vector<standins::ChildProcess> *standIns)
{
    standIns->push_back(standins::ChildProcess::start(
        { standins::programPath("StandIns/fake-backend"), "--entries=" + cell.serviceAddresses(),
            "--count=3", "--zones=z1,z2,z3" },
        cell.logFile("backends")));
    standIns->push_back(standins::ChildProcess::start(
        { standins::programPath("StandIns/fake-worker"), "--entries=" + cell.serviceAddresses(),
            "--count=3", "--zones=z1,z2,z3" },
        cell.logFile("workers")));
    return (*standIns)[0].isRunning() && (*standIns)[1].isRunning();
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc });
    const bool keep = static_cast<bool>(arguments.at("--keep"));
    const std::string folder =
        keep ? arguments.at("--keep").asString() : standins::makeFolder("basilgap-demo");
    std::filesystem::create_directories(folder);
    std::signal(SIGINT, requestStop);
    std::signal(SIGTERM, requestStop);

    standins::LocalCell cell({ .folder = folder,
        .controls = static_cast<int>(arguments.at("--controls").asLong()),
        .entries = static_cast<int>(arguments.at("--entries").asLong()) });
    if (const auto started = cell.start(); !started) {
        std::cerr << started.error().text() << '\n';
        return 1;
    }
    std::ofstream(folder + "/cell.yaml") << cell.cellFile(cell.version());
    std::cout << "cell: " << cell.controls().size() << " control and " << cell.entries().size()
              << " entry processes in " << folder << "\n";
    std::vector<standins::ChildProcess> standIns;
    bool succeeded = arguments.at("--no-stand-ins").asBool() || startStandIns(cell, &standIns);
    if (keep) {
        std::ofstream(folder + "/cell.json.new") << cell.describeJson();
        std::filesystem::rename(folder + "/cell.json.new", folder + "/cell.json");
        std::cout << "described in " << folder << "/cell.json; end with SIGINT or SIGTERM"
                  << std::endl;
        standins::waitUntil(Millis(INT64_MAX / 2), [] { return stopRequested != 0; });
    } else {
        succeeded = succeeded && sendRequest(cell);
        succeeded = succeeded && runGang(cell);
    }
    for (standins::ChildProcess &standIn : standIns)
        standIn.signal(SIGTERM);
    for (standins::ChildProcess &standIn : standIns)
        succeeded = standIn.wait(WorkTimeout) == 0 && succeeded;
    succeeded = cell.stop() && succeeded;
    if (!keep && succeeded)
        std::filesystem::remove_all(folder);
    std::cout << (succeeded ? "demo: ok" : "demo: failed, logs in " + folder) << std::endl;
    return succeeded ? 0 : 1;
}
