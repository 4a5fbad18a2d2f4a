#pragma once

#include <string>

#include "StandIns/LoadRun.h"

namespace basilgap::standins {

// Totals of the run so far, as one line of key=value pairs.
std::string loadLine(const LoadRun &run);

// Results by team, as text with a line of totals or as JSON.
std::string loadText(const LoadRun &run);
std::string loadJson(const LoadRun &run);

} // namespace basilgap::standins
