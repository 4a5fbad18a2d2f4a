#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace basilgap::network {

struct Header
{
    std::string name;
    std::string value;
};

using Headers = std::vector<Header>;

// Value of the first header with the name; names are case-insensitive.
std::optional<std::string> findHeader(const Headers &headers, std::string_view name);

// True for headers that apply only to one connection (RFC 9110, 7.6.1) or to its framing.
bool isHopByHop(std::string_view name);

// True for 1 to maxLength printable ASCII characters without spaces.
bool isVisibleText(std::string_view text, size_t maxLength);

struct HttpRequest
{
    std::string method;
    // Path and query, undecoded.
    std::string target;
    Headers headers;
    std::string body;
    std::string peer;

    // The target without its query.
    std::string path() const;
    // Value of a query parameter, undecoded.
    std::optional<std::string> query(std::string_view name) const;
};

struct HttpResponse
{
    // 0 if there is no response.
    int status = 0;
    Headers headers;
    std::string body;
};

// A response with a JSON body.
HttpResponse jsonResponse(int status, std::string body);

} // namespace basilgap::network
