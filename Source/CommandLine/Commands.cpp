#include "CommandLine/Commands.h"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iostream>

#include "Basilgap/Admin/JobHistory.h"
#include "Basilgap/Common/Hash.h"
#include "Basilgap/Settings/CellFile.h"
#include "Basilgap/Settings/YamlReader.h"

namespace basilgap::commandline {

namespace {

ExitStatus printError(const Error &error)
{
    std::cerr << error.text() << '\n';
    return error.code == ErrorCode::Invalid ? ExitStatus::BadInput : ExitStatus::Failed;
}

ExitStatus sendAndPrint(const AdminClient &client, network::HttpRequest request)
{
    const auto response = client.send(std::move(request));
    if (!response)
        return printError(response.error());
    const bool isSuccess = response->status < 300;
    (isSuccess ? std::cout : std::cerr) << response->body << '\n';
    return isSuccess ? ExitStatus::Done : ExitStatus::Refused;
}

Result<std::string> readCell(const std::string &file)
{
    const auto text = settings::readTextFile(file);
    if (!text)
        return fail({ ErrorCode::Invalid, text.error().step, file, text.error().message });
    const auto config = settings::readCellFile(*text, file);
    if (!config)
        return fail(config.error());
    return *text;
}

} // namespace

ExitStatus checkFile(const std::string &file)
{
    const auto text = readCell(file);
    if (!text) {
        std::cerr << text.error().peer << ": " << text.error().message << '\n';
        return ExitStatus::BadInput;
    }
    std::cout << file << ": ok\n";
    return ExitStatus::Done;
}

ExitStatus applyFile(const AdminClient &client, const std::string &file)
{
    const auto text = readCell(file);
    if (!text) {
        std::cerr << text.error().peer << ": " << text.error().message << '\n';
        return ExitStatus::BadInput;
    }
    network::HttpRequest request{ .method = "PUT", .target = "/v1/cell" };
    request.body = *text;
    return sendAndPrint(client, std::move(request));
}

ExitStatus changeZone(const AdminClient &client, const std::string &zone, const std::string &action,
    const std::string &operationId)
{
    network::HttpRequest request{ .method = "POST", .target = "/v1/zones/" + zone + "/" + action };
    request.headers.push_back({ "Operation-Id", operationId.empty() ? randomKey() : operationId });
    return sendAndPrint(client, std::move(request));
}

ExitStatus show(const AdminClient &client, const std::string &path)
{
    return sendAndPrint(client, { .method = "GET", .target = path });
}

ExitStatus explainJob(const std::string &job, const std::vector<std::string> &logs)
{
    admin::JobHistory history(job);
    const auto readAll = [&history](std::istream &stream) {
        std::string line;
        while (std::getline(stream, line))
            history.add(line);
    };
    if (logs.empty())
        readAll(std::cin);
    for (const std::string &log : logs) {
        std::ifstream stream(log);
        if (!stream) {
            std::cerr << "read-log " << log << ": " << std::strerror(errno) << '\n';
            return ExitStatus::BadInput;
        }
        readAll(stream);
    }
    if (history.isEmpty()) {
        std::cerr << "no line tells of job " << job << '\n';
        return ExitStatus::Failed;
    }
    std::cout << history.text();
    return ExitStatus::Done;
}

ExitStatus newKey()
{
    const std::string key = randomKey();
    std::cout << "key: " << key << "\nsha256: " << sha256Hex(key) << '\n';
    return ExitStatus::Done;
}

ExitStatus submitJob(
    const AdminClient &client, const std::string &file, const std::string &idempotencyKey)
{
    const auto text = settings::readTextFile(file);
    if (!text)
        return printError(text.error());
    network::HttpRequest request{ .method = "POST", .target = "/v1/jobs" };
    request.body = *text;
    request.headers.push_back(
        { "Idempotency-Key", idempotencyKey.empty() ? randomKey() : idempotencyKey });
    return sendAndPrint(client, std::move(request));
}

} // namespace basilgap::commandline
