#include <docopt/docopt.h>

#include "Basilgap/Entry/EntryProcess.h"
#include "Basilgap/Network/RunDaemon.h"

namespace {

constexpr const char *Usage =
    R"(basilgap-entry: accepts requests of callers and dispatches them to backend servers.

Usage:
  basilgap-entry SETTINGS
  basilgap-entry (-h | --help)
  basilgap-entry --version

Arguments:
  SETTINGS  YAML file with the settings of this process; see docs/OPERATIONS.md.

SIGTERM stops without aborting a request; SIGUSR1 writes the state to standard error.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments =
        docopt::docopt(Usage, { argv + 1, argv + argc }, true, "basilgap-entry " BASILGAP_VERSION);
    return basilgap::network::runDaemon<basilgap::entry::EntryProcess,
        basilgap::schema::EntrySettings>(argv[0], arguments.at("SETTINGS").asString());
}
