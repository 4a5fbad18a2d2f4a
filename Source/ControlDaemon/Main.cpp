#include <docopt/docopt.h>

#include "Basilgap/Control/ControlProcess.h"
#include "Basilgap/Network/RunDaemon.h"

namespace {

constexpr const char *Usage =
    R"(basilgap-control: keeps the replicated state of a cell; the leader schedules.

Usage:
  basilgap-control SETTINGS
  basilgap-control (-h | --help)
  basilgap-control --version

Arguments:
  SETTINGS  YAML file with the settings of this process; see docs/OPERATIONS.md.

SIGTERM transfers leadership and stops; SIGUSR1 writes the state to standard error.
)";

} // namespace

int main(int argc, char **argv)
{
    const auto arguments = docopt::docopt(
        Usage, { argv + 1, argv + argc }, true, "basilgap-control " BASILGAP_VERSION);
    return basilgap::network::runDaemon<basilgap::control::ControlProcess,
        basilgap::schema::ControlSettings>(argv[0], arguments.at("SETTINGS").asString());
}
