#pragma once

#include <string>

#include "Basilgap/Common/Error.h"
#include "Cell.pb.h"

namespace basilgap::settings {

// A team whose limit of slots is this or more is not limited.
constexpr uint32_t UnlimitedSlots = 1000000;

// Reads a cell file and checks it whole, the references between its parts included.
Result<schema::CellConfig> readCellFile(const std::string &text, const std::string &source);

// Bytes that are equal for equal contents, whatever the layout of the file was.
std::string canonicalBytes(const schema::CellConfig &config);

} // namespace basilgap::settings
