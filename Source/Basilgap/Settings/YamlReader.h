#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "Basilgap/Common/Error.h"

namespace basilgap::settings {

// Maximum size of a settings or cell file.
constexpr size_t MaxFileBytes = 4 * 1024 * 1024;

// Parses YAML text into a message of the settings schema and validates it by the rules of its
// fields. Keys are the schema's names in lowerCamelCase. An unknown key, a wrong type, a value out
// of range, a missing required field or a duplicate is an error with the message
// "line N: field: reason" and the source as peer.
Result<void> readYaml(
    const std::string &text, const std::string &source, google::protobuf::Message *message);

// Reads a file with readYaml().
Result<void> readYamlFile(const std::string &path, google::protobuf::Message *message);

// Reads a text file of at most MaxFileBytes.
Result<std::string> readTextFile(const std::string &path);

// Reads a key file and returns its first word.
Result<std::string> readKeyFile(const std::string &path);

} // namespace basilgap::settings
