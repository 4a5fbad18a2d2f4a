#pragma once

#include <string>
#include <vector>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Common/Millis.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::commandline {

// Sends a request to the listeners in turn until one answers. Requests must be idempotent, since an
// earlier listener may have executed them.
class AdminClient
{
public:
    AdminClient(std::vector<std::string> addresses, std::string key);

    // Returns the first complete response whose status is not 503.
    Result<network::HttpResponse> send(network::HttpRequest request) const;

private:
    std::vector<std::string> addresses_;
    std::string key_;
};

} // namespace basilgap::commandline
