#include "Benchmarks/Bench.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <unistd.h>

namespace basilgap::benchmarks {

namespace {

constexpr Millis ServingTimeout{ 20000 };

} // namespace

void report(const std::string &name, double value)
{
    std::cout << name << '=' << value << std::endl;
}

BenchCell::BenchCell(standins::LocalCell::Options options)
{
    options.folder = standins::makeFolder("basilgap-bench");
    cell_ = std::make_unique<standins::LocalCell>(std::move(options));
    if (const auto started = cell_->start(); !started)
        std::cerr << started.error().text() << '\n';
}

BenchCell::~BenchCell()
{
    standIns_.clear();
    const std::string folder = cell_->folder();
    cell_.reset();
    std::filesystem::remove_all(folder);
}

void BenchCell::start(const std::string &program, const std::vector<std::string> &options)
{
    std::vector<std::string> command = { standins::programPath("StandIns/" + program),
        "--entries=" + cell_->serviceAddresses() };
    command.insert(command.end(), options.begin(), options.end());
    standIns_.push_back(standins::ChildProcess::start(command, cell_->logFile(program)));
}

void BenchCell::startBackends(const std::vector<std::string> &options)
{
    start("fake-backend", options);
}

void BenchCell::startWorkers(const std::vector<std::string> &options)
{
    start("fake-worker", options);
}

std::string BenchCell::workerState() const
{
    std::ifstream log(cell_->logFile("fake-worker"));
    std::string line;
    std::getline(log, line);
    const std::string address = line.substr(std::string("address=").size());
    return network::fetchAndWait(address, { .method = "GET", .target = "/state" }, Millis(5000))
        .response.body;
}

bool BenchCell::waitUntilServing(const std::string &team)
{
    return standins::waitUntil(ServingTimeout, [&] {
        for (size_t i = 0; i < cell_->entries().size(); i++) {
            if (cell_->call(i, team, "GET", "/desk/ready").response.status != 200)
                return false;
        }
        return true;
    });
}

std::map<std::string, standins::LoadTeamResult> BenchCell::load(standins::LoadOptions options)
{
    for (const auto &host : cell_->entries())
        options.targets.push_back(host.addresses.at("public"));
    network::EventLoop loop;
    standins::LoadRun run(loop, options, [&loop] { loop.stop(); });
    loop.run();
    return run.takeResults();
}

standins::LoadTeamResult sumOf(std::map<std::string, standins::LoadTeamResult> results)
{
    standins::LoadTeamResult totals;
    for (const auto &[name, team] : results) {
        totals.sent += team.sent;
        totals.ok += team.ok;
        totals.refused += team.refused;
        totals.unknown += team.unknown;
        totals.failed += team.failed;
        totals.late += team.late;
    }
    return totals;
}

double processorMs(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/stat");
    std::string text;
    std::getline(file, text);
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int i = 0; i < 11; i++)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) * 1000 / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double residentMb(pid_t process)
{
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / (1024 * 1024);
}

} // namespace basilgap::benchmarks
