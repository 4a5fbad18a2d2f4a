#include "FailureTests/TestCell.h"

#include <filesystem>
#include <fstream>
#include <sstream>

namespace basilgap::failuretests {

namespace {

// Waits for the line "address=..." that a stand-in prints when it starts.
std::string addressFrom(const std::string &logFile)
{
    std::string address;
    waitUntil(DefaultTimeout, [&] {
        std::ifstream log(logFile);
        std::string line;
        while (std::getline(log, line)) {
            if (line.rfind("address=", 0) == 0)
                address = line.substr(8);
        }
        return !address.empty();
    });
    return address;
}

std::string fetch(const std::string &address, const std::string &path)
{
    return network::fetchAndWait(address, { .method = "GET", .target = path }, Millis(3000))
        .response.body;
}

} // namespace

BackendProcess::BackendProcess(
    const LocalCell &cell, const std::string &id, const std::vector<std::string> &options)
{
    std::vector<std::string> command = { standins::programPath("StandIns/fake-backend"),
        "--id=" + id, "--entries=" + cell.serviceAddresses() };
    command.insert(command.end(), options.begin(), options.end());
    const std::string log = cell.logFile(id + "-" + std::to_string(steadyNow().count()));
    process_ = standins::ChildProcess::start(command, log);
    address_ = addressFrom(log);
}

int64_t BackendProcess::count(const std::string &name) const
{
    return standins::jsonNumber(fetch(address_, "/fake/counts"), name);
}

WorkerProcess::WorkerProcess(
    const LocalCell &cell, const std::string &id, const std::vector<std::string> &options)
{
    std::vector<std::string> command = { standins::programPath("StandIns/fake-worker"),
        "--id=" + id, "--entries=" + cell.serviceAddresses() };
    command.insert(command.end(), options.begin(), options.end());
    const std::string log = cell.logFile(id + "-" + std::to_string(steadyNow().count()));
    process_ = standins::ChildProcess::start(command, log);
    address_ = addressFrom(log);
}

std::string WorkerProcess::state() const
{
    return fetch(address_, "/state");
}

int WorkerProcess::startsOf(const std::string &task) const
{
    const std::string json = state();
    const std::string pattern = "\"task\": \"" + task + "\"";
    int count = 0;
    for (size_t position = json.find(pattern); position != std::string::npos;
         position = json.find(pattern, position + 1))
        count++;
    return count;
}

int64_t WorkerProcess::running() const
{
    return standins::jsonNumber(state(), "running");
}

void CellTest::startCell(LocalCell::Options options)
{
    options.folder = standins::makeFolder("basilgap-test");
    cell_ = std::make_unique<LocalCell>(std::move(options));
    const auto started = cell_->start();
    ASSERT_TRUE(started.has_value()) << started.error().text();
}

void CellTest::TearDown()
{
    if (!cell_)
        return;
    const std::string folder = cell_->folder();
    cell_.reset();
    if (!HasFailure())
        std::filesystem::remove_all(folder);
    else
        std::cerr << "logs are kept in " << folder << '\n';
}

void CellTest::waitUntilServing(size_t entry)
{
    ASSERT_TRUE(waitUntil(DefaultTimeout,
        [&] { return cell_->call(entry, "ghat", "GET", "/desk/ready").response.status == 200; }));
}

std::string CellTest::submit(
    const std::string &team, const std::string &body, const network::Headers &headers)
{
    const auto answer = cell_->call(0, team, "POST", "/v1/jobs", body, headers);
    EXPECT_EQ(answer.response.status, 202) << answer.response.body;
    return jsonText(answer.response.body, "id");
}

std::string CellTest::jobState(const std::string &team, const std::string &id)
{
    return jsonText(cell_->call(0, team, "GET", "/v1/jobs/" + id).response.body, "state");
}

bool CellTest::waitForJob(
    const std::string &team, const std::string &id, const std::string &state, Millis timeout)
{
    return waitUntil(timeout, [&] { return jobState(team, id) == state; });
}

std::string jsonText(const std::string &json, const std::string &name)
{
    const std::string start = "\"" + name + "\":\"";
    const size_t found = json.find(start);
    if (found == std::string::npos)
        return "";
    const size_t begin = found + start.size();
    return json.substr(begin, json.find('"', begin) - begin);
}

std::string outcomeOf(const network::ExchangeResult &result)
{
    return network::findHeader(result.response.headers, "Basilgap-Outcome").value_or("");
}

} // namespace basilgap::failuretests
