#pragma once

#include <optional>
#include <string>

#include "Rules.pb.h"

namespace basilgap::settings {

// Returns why the text does not match the format, or nothing if it does.
std::optional<std::string> checkFormat(const std::string &text, schema::TextFormat format);

// Splits "1.2.3.4:80" or "[::1]:80"; returns false if the text is not an IP address and a port.
bool splitAddress(const std::string &text, std::string *host, uint16_t *port);

} // namespace basilgap::settings
