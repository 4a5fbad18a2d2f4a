#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace basilgap {

// SHA-256 as 32 raw bytes.
std::string sha256(std::string_view data);

// SHA-256 as 64 lower case hexadecimal digits.
std::string sha256Hex(std::string_view data);

// Compares in a time that depends only on the lengths.
bool equalConstantTime(std::string_view left, std::string_view right);

// 64-bit XXH3 hash, for checksums and hash tables. Not cryptographically secure.
uint64_t checksum(std::string_view data);

// 64 random bits from the operating system.
uint64_t randomNumber();

// A new random key, 43 URL-safe characters (256 bits).
std::string randomKey();

} // namespace basilgap
