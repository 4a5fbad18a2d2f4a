#include <cstdlib>
#include <iostream>
#include <map>
#include <sstream>

#include <docopt/docopt.h>

#include "Basilgap/Settings/SettingsReference.h"
#include "Basilgap/Settings/YamlReader.h"
#include "CommandLine/Commands.h"

namespace {

constexpr const char *Usage = R"(basilgapctl: operates a basilgap cell.

Usage:
  basilgapctl check FILE
  basilgapctl apply FILE [options]
  basilgapctl zone (out | in) ZONE [--operation=ID] [options]
  basilgapctl (status | teams | jobs | hosts) [options]
  basilgapctl dump ADDRESS [options]
  basilgapctl key new
  basilgapctl job submit FILE [--idempotency-key=KEY] [options]
  basilgapctl explain JOB [LOG...]
  basilgapctl settings
  basilgapctl (-h | --help)
  basilgapctl --version

Options:
  --admin=LIST            Admin listeners of any processes, separated by commas; also from the
                          environment variable BASILGAP_ADMIN.
  --key-file=FILE         File with the operators' key; also from BASILGAP_KEY_FILE.
  --public=LIST           Public listeners of entries, for job submit; also from BASILGAP_PUBLIC.
  --team-key-file=FILE    File with a team's key, for job submit; also from BASILGAP_TEAM_KEY_FILE.
  --operation=ID          Id of the zone command; a repeat with the same id has no effect.
  --idempotency-key=KEY   Key of the submission; a repeat with the same key adds no second job.

Exit status: 0 done, 1 not reachable, 2 bad input, 3 refused.
)";

using Arguments = std::map<std::string, docopt::value>;

std::string option(const Arguments &arguments, const char *name, const char *variable)
{
    const docopt::value &value = arguments.at(name);
    if (value)
        return value.asString();
    const char *fromEnvironment = variable == nullptr ? nullptr : std::getenv(variable);
    return fromEnvironment == nullptr ? "" : fromEnvironment;
}

std::vector<std::string> splitAddresses(const std::string &text)
{
    std::vector<std::string> addresses;
    std::istringstream stream(text);
    std::string address;
    while (std::getline(stream, address, ','))
        addresses.push_back(address);
    return addresses;
}

basilgap::commandline::ExitStatus run(const Arguments &arguments)
{
    using namespace basilgap::commandline;
    namespace settings = basilgap::settings;
    const auto isSelected = [&](const char *name) { return arguments.at(name).asBool(); };
    const auto text = [&](const char *name) { return arguments.at(name).asString(); };
    if (isSelected("check"))
        return checkFile(text("FILE"));
    if (isSelected("key"))
        return newKey();
    if (isSelected("settings")) {
        std::cout << settings::settingsReference();
        return ExitStatus::Done;
    }
    if (isSelected("explain"))
        return explainJob(text("JOB"), arguments.at("LOG").asStringList());
    const bool isJobCommand = isSelected("job");
    const std::string keyFile = isJobCommand
        ? option(arguments, "--team-key-file", "BASILGAP_TEAM_KEY_FILE")
        : option(arguments, "--key-file", "BASILGAP_KEY_FILE");
    const auto key = settings::readKeyFile(keyFile);
    if (!key) {
        std::cerr << key.error().text() << '\n';
        return ExitStatus::BadInput;
    }
    std::string addresses = isJobCommand ? option(arguments, "--public", "BASILGAP_PUBLIC")
                                         : option(arguments, "--admin", "BASILGAP_ADMIN");
    if (isSelected("dump"))
        addresses = text("ADDRESS");
    const AdminClient client(splitAddresses(addresses), *key);
    if (isJobCommand)
        return submitJob(client, text("FILE"), option(arguments, "--idempotency-key", nullptr));
    if (isSelected("apply"))
        return applyFile(client, text("FILE"));
    if (isSelected("zone"))
        return changeZone(client, text("ZONE"), isSelected("out") ? "out" : "in",
            option(arguments, "--operation", nullptr));
    for (const char *page : { "status", "teams", "jobs", "hosts" }) {
        if (isSelected(page))
            return show(client, std::string("/v1/") + page);
    }
    return show(client, "/v1/state");
}

} // namespace

int main(int argc, char **argv)
{
    const auto arguments =
        docopt::docopt(Usage, { argv + 1, argv + argc }, true, "basilgapctl " BASILGAP_VERSION);
    return static_cast<int>(run(arguments));
}
