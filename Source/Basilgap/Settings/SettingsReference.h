#pragma once

#include <string>

namespace basilgap::settings {

// Returns Markdown tables of all settings fields, generated from the schema: key, type, unit,
// default, bounds and meaning.
std::string settingsReference();

} // namespace basilgap::settings
