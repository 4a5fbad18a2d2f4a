#pragma once

#include <string>

namespace basilgap::settings {

// A table of every settings field in Markdown, made from the schema: key, type, unit, default,
// bounds and meaning.
std::string settingsReference();

} // namespace basilgap::settings
