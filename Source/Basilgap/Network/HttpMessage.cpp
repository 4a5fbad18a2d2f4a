#include "Basilgap/Network/HttpMessage.h"

#include <algorithm>

#include <strings.h>

namespace basilgap::network {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return left.size() == right.size() && strncasecmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace

std::optional<std::string> findHeader(const Headers &headers, std::string_view name)
{
    for (const Header &header : headers) {
        if (equalsIgnoringCase(header.name, name))
            return header.value;
    }
    return std::nullopt;
}

bool isHopByHop(std::string_view name)
{
    constexpr std::string_view Names[] = {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "host",
        "expect",
    };
    return std::any_of(std::begin(Names), std::end(Names),
        [name](std::string_view known) { return equalsIgnoringCase(name, known); });
}

bool isVisibleText(std::string_view text, size_t maxLength)
{
    return !text.empty() && text.size() <= maxLength
        && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

std::string HttpRequest::path() const
{
    return target.substr(0, target.find('?'));
}

std::optional<std::string> HttpRequest::query(std::string_view name) const
{
    size_t begin = target.find('?');
    while (begin != std::string::npos) {
        const size_t end = target.find('&', begin + 1);
        const std::string pair = target.substr(begin + 1, end - begin - 1);
        if (pair.size() > name.size() && pair.compare(0, name.size(), name) == 0
            && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        begin = end;
    }
    return std::nullopt;
}

HttpResponse jsonResponse(int status, std::string body)
{
    return HttpResponse{ .status = status,
        .headers = { { "Content-Type", "application/json" } },
        .body = std::move(body) };
}

} // namespace basilgap::network
