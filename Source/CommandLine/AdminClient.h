#pragma once

#include <string>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::commandline {

// Sends requests to the first listener that answers, one after the other. Requests must be such
// that a repeat does no harm.
class AdminClient
{
public:
    AdminClient(std::vector<std::string> addresses, std::string key);

    // The first whole answer that is not a 503.
    Result<network::HttpResponse> send(network::HttpRequest request) const;

private:
    std::vector<std::string> addresses_;
    std::string key_;
};

} // namespace basilgap::commandline
