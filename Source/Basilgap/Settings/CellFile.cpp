#include "Basilgap/Settings/CellFile.h"

#include <algorithm>
#include <optional>
#include <set>
#include <sstream>

#include "Basilgap/Settings/YamlReader.h"

namespace basilgap::settings {

namespace {

// Returns the line of the first occurrence of the text, for errors found after parsing; 1 if none.
int lineOf(const std::string &file, const std::string &text)
{
    std::istringstream lines(file);
    std::string line;
    for (int number = 1; std::getline(lines, line); number++) {
        if (line.find(text) != std::string::npos)
            return number;
    }
    return 1;
}

struct ValidationError
{
    std::string field;
    std::string value;
    std::string reason;
};

std::optional<ValidationError> checkZones(const schema::CellConfig &config)
{
    for (const auto &replica : config.replicas()) {
        const auto &zones = config.zones();
        if (std::find(zones.begin(), zones.end(), replica.zone()) == zones.end())
            return ValidationError{ "replicas.zone", replica.zone(),
                "unknown zone " + replica.zone() };
    }
    return std::nullopt;
}

std::optional<ValidationError> checkRoutes(const schema::CellConfig &config)
{
    std::set<std::string> teams;
    for (const auto &team : config.teams())
        teams.insert(team.name());
    for (const auto &route : config.routes()) {
        if (route.prefix().rfind("/v1/", 0) == 0 || route.prefix() == "/v1")
            return ValidationError{ "routes.prefix", route.prefix(), "/v1 is reserved" };
        for (const auto &team : route.teams()) {
            if (!teams.contains(team))
                return ValidationError{ "routes.teams", team, "unknown team " + team };
        }
    }
    return std::nullopt;
}

std::optional<ValidationError> checkKeys(const schema::CellConfig &config)
{
    std::set<std::string> hashes;
    for (const auto &team : config.teams()) {
        for (const auto &key : team.keys()) {
            if (!hashes.insert(key.sha256()).second)
                return ValidationError{ "teams.keys", key.sha256(), "duplicate key " + key.id() };
        }
    }
    return std::nullopt;
}

} // namespace

Result<schema::CellConfig> readCellFile(const std::string &text, const std::string &source)
{
    schema::CellConfig config;
    if (const auto read = readYaml(text, source, &config); !read)
        return fail(read.error());
    for (const auto check : { checkZones, checkRoutes, checkKeys }) {
        const auto error = check(config);
        if (!error)
            continue;
        const int line = lineOf(text, error->value);
        return fail({ ErrorCode::Invalid, "read-settings", source,
            "line " + std::to_string(line) + ": " + error->field + ": " + error->reason });
    }
    return config;
}

std::string canonicalBytes(const schema::CellConfig &config)
{
    return config.SerializeAsString();
}

} // namespace basilgap::settings
