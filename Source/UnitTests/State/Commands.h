#pragma once

#include <string>

#include "State.pb.h"

namespace basilgap::state {

// Commands for tests.
schema::Command applyCellCommand(uint64_t version, const std::string &hash);
schema::Command zoneCommand(const std::string &zone, bool out, const std::string &operation);
schema::Command openSessionCommand(const std::string &entry, uint64_t incarnation);
schema::Command claimCommand(const std::string &key, const std::string &body,
    const std::string &entry, uint64_t incarnation);
schema::Command submitCommand(const std::string &team, uint32_t tasks, const std::string &key);
schema::Command startCommand(uint64_t job, uint32_t task, uint32_t worker);
schema::Command endCommand(uint64_t job, uint32_t task, schema::TaskEnd end);

// Any command over a few names, drawn by RapidCheck.
schema::Command randomCommand();

} // namespace basilgap::state
