#include <fstream>
#include <iostream>

#include <docopt/docopt.h>

#include "StandIns/FakeBackend.h"
#include "StandIns/LoadReport.h"
#include "StandIns/LoadRun.h"

namespace {

constexpr const char *Usage = R"(load: sends requests at a set rate and measures the answers.

Usage:
  load --targets=LIST --teams=LIST [options]

Options:
  --targets=LIST     Public listeners of entries, separated by commas, asked in turn.
  --teams=LIST       NAME:KEY:WEIGHT for each team, separated by commas.
  --rate=N           Requests a second over all teams [default: 100].
  --seconds=N        Length of the run [default: 10].
  --method=METHOD    Method [default: POST].
  --path=PATH        Path [default: /desk/check].
  --body=TEXT        Body [default: check].
  --fake=WORDS       Value of the header X-Fake for stand-in backend servers.
  --timeout-ms=MS    Time limit of each request [default: 5000].
  --seed=N           Seed of arrivals and teams [default: 1].
  --json             Print the summary as JSON.

Latencies count from the intended time of each request. One line of figures is printed a second.
)";

} // namespace

int main(int argc, char **argv)
{
    using namespace basilgap;
    const auto arguments = docopt::docopt(Usage, { argv + 1, argv + argc });
    const auto text = [&](const char *name) { return arguments.at(name).asString(); };
    standins::LoadOptions options;
    options.targets = standins::splitList(text("--targets"));
    for (const std::string &word : standins::splitList(text("--teams"))) {
        const auto parts = standins::splitList(word, ':');
        if (parts.size() < 2) {
            std::cerr << "--teams: NAME:KEY:WEIGHT expected, got " << word << '\n';
            return 2;
        }
        options.teams.push_back({ .name = parts[0],
            .key = parts[1],
            .weight = parts.size() > 2 ? std::stod(parts[2]) : 1 });
    }
    options.method = text("--method");
    options.path = text("--path");
    options.body = text("--body");
    options.fake = arguments.at("--fake") ? text("--fake") : "";
    options.requestsPerSecond = std::stod(text("--rate"));
    options.duration = Millis(static_cast<int64_t>(std::stod(text("--seconds")) * 1000));
    options.timeout = Millis(arguments.at("--timeout-ms").asLong());
    options.seed = static_cast<uint64_t>(arguments.at("--seed").asLong());
    const bool json = arguments.at("--json").asBool();

    network::EventLoop loop;
    standins::LoadRun run(loop, options, [&loop] { loop.stop(); });
    network::Timer progress(loop, [&] { std::cerr << standins::loadLine(run) << std::endl; });
    progress.startRepeating(Millis(1000));
    loop.run();
    std::cout << (json ? standins::loadJson(run) : standins::loadText(run));
    return 0;
}
