#pragma once

#include <optional>
#include <string>

#include "Rules.pb.h"

namespace basilgap::settings {

// Why a text does not have the format, or nothing when it does.
std::optional<std::string> checkFormat(const std::string &text, schema::TextFormat format);

// Splits "1.2.3.4:80" or "[::1]:80"; false when the text is no IP number and port.
bool splitAddress(const std::string &text, std::string *host, uint16_t *port);

} // namespace basilgap::settings
