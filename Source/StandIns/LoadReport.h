#pragma once

#include <string>

#include "StandIns/LoadRun.h"

namespace basilgap::standins {

// One line of key=value figures of the run so far.
std::string loadLine(const LoadRun &run);

// The figures of each team and of all, as text lines or as JSON.
std::string loadText(const LoadRun &run);
std::string loadJson(const LoadRun &run);

} // namespace basilgap::standins
