#pragma once

#include <string>
#include <vector>

#include "CommandLine/AdminClient.h"

namespace basilgap::commandline {

// Exit status of the program.
enum class ExitStatus { Done = 0, Failed = 1, BadInput = 2, Refused = 3 };

// Checks a cell file without applying it.
ExitStatus checkFile(const std::string &file);

ExitStatus applyFile(const AdminClient &client, const std::string &file);

// Takes a zone out of service or puts it back; `action` is "out" or "in".
ExitStatus changeZone(const AdminClient &client, const std::string &zone, const std::string &action,
    const std::string &operationId);

// Prints the response of the operators' HTTP interface to a path.
ExitStatus show(const AdminClient &client, const std::string &path);

// Prints the history of a job from the logs of all processes; reads standard input if no log is
// given.
ExitStatus explainJob(const std::string &job, const std::vector<std::string> &logs);

// Prints a new key and its hash for the cell file.
ExitStatus newKey();

// Submits a job file in JSON with a team's key.
ExitStatus submitJob(
    const AdminClient &client, const std::string &file, const std::string &idempotencyKey);

} // namespace basilgap::commandline
