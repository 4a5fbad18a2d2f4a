// The scenarios of the scripts. Each returns an exit code of Harness.h.
#pragma once

#include <string>

#include "Harness.h"

namespace review {

int runEnds(const std::string &folder);
int runCrashes(const std::string &folder);
int runHopeless(const std::string &folder);
int runHandOver(const std::string &folder);

} // namespace review
