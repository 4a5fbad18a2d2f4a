#include "CommandLine/AdminClient.h"

#include "Basilgap/Network/HttpConnection.h"

namespace basilgap::commandline {

namespace {

constexpr Millis RequestTimeout{ 12000 };

} // namespace

AdminClient::AdminClient(std::vector<std::string> addresses, std::string key)
    : addresses_(std::move(addresses))
    , key_(std::move(key))
{}

Result<network::HttpResponse> AdminClient::send(network::HttpRequest request) const
{
    request.headers.push_back({ "Authorization", "Bearer " + key_ });
    Error lastError{ ErrorCode::Unreachable, "send", "", "no address given" };
    for (const std::string &address : addresses_) {
        const auto result = network::fetchAndWait(address, request, RequestTimeout);
        if (result.end != network::ExchangeEnd::Complete) {
            lastError = { ErrorCode::Unreachable, "send", address, "no whole answer" };
            continue;
        }
        if (result.response.status != 503)
            return result.response;
        lastError = { ErrorCode::Unreachable, "send", address, result.response.body };
    }
    return fail(lastError);
}

} // namespace basilgap::commandline
