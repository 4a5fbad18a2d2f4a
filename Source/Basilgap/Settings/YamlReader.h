#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "Basilgap/Common/Error.h"

namespace basilgap::settings {

// Largest settings or cell file that is read, in bytes.
constexpr size_t MaxFileBytes = 4 * 1024 * 1024;

// Fills a message of the settings schema from YAML text and checks it against the rules of its
// fields. Keys are the schema's names in lowerCamelCase. An unknown key, a wrong type, a value out
// of range, a missing required field or a duplicate is an error whose message reads
// "line N: field: reason"; its peer is the source name.
Result<void> readYaml(
    const std::string &text, const std::string &source, google::protobuf::Message *message);

// Reads a file with readYaml().
Result<void> readYamlFile(const std::string &path, google::protobuf::Message *message);

// Reads a whole file of at most MaxFileBytes.
Result<std::string> readTextFile(const std::string &path);

// Reads a key file: its first line without white space at the ends.
Result<std::string> readKeyFile(const std::string &path);

} // namespace basilgap::settings
