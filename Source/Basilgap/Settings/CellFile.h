#pragma once

#include <string>

#include "Basilgap/Common/Error.h"
#include "Cell.pb.h"

namespace basilgap::settings {

// A team whose slot limit is at least this value is unlimited.
constexpr uint32_t UnlimitedSlots = 1000000;

// Reads a cell file and validates it, including the references between its parts.
Result<schema::CellConfig> readCellFile(const std::string &text, const std::string &source);

// Returns a serialized form that is equal for equal contents, regardless of the file's layout.
std::string canonicalBytes(const schema::CellConfig &config);

} // namespace basilgap::settings
