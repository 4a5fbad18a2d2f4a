#include "Basilgap/Settings/FieldCheck.h"

#include <algorithm>
#include <charconv>

#include <arpa/inet.h>

namespace basilgap::settings {

namespace {

constexpr size_t MaxNameLength = 64;
constexpr size_t MaxPathLength = 512;
constexpr size_t Sha256HexLength = 64;

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
        || c == '_' || c == '.';
}

bool isLowerHex(char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

bool isIpNumber(const std::string &host)
{
    in6_addr buffer{};
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1
        || inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

bool isVisible(char c)
{
    return c > ' ' && c < 127;
}

} // namespace

bool splitAddress(const std::string &text, std::string *host, uint16_t *port)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return false;
    *host = text.substr(0, colon);
    if (host->size() > 2 && host->front() == '[' && host->back() == ']')
        *host = host->substr(1, host->size() - 2);
    const char *end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data() + colon + 1, end, *port);
    return error == std::errc() && stop == end && isIpNumber(*host);
}

std::optional<std::string> checkFormat(const std::string &text, schema::TextFormat format)
{
    std::string host;
    uint16_t port = 0;
    switch (format) {
    case schema::NAME:
        if (text.empty() || text.size() > MaxNameLength)
            return "must have 1 to 64 characters";
        if (!std::all_of(text.begin(), text.end(), isNameCharacter))
            return "may hold letters, digits, '-', '_' and '.' only";
        return std::nullopt;
    case schema::ADDRESS:
        if (!splitAddress(text, &host, &port))
            return "must be an IP number and a port, as in 127.0.0.1:7000";
        return std::nullopt;
    case schema::SHA256_HEX:
        if (text.size() != Sha256HexLength || !std::all_of(text.begin(), text.end(), isLowerHex))
            return "must be 64 lower case hexadecimal digits";
        return std::nullopt;
    case schema::PATH:
        if (text.empty() || text.front() != '/' || text.size() > MaxPathLength
            || !std::all_of(text.begin(), text.end(), isVisible))
            return "must be a path that starts with '/', of at most 512 visible characters";
        return std::nullopt;
    default:
        return std::nullopt;
    }
}

} // namespace basilgap::settings
