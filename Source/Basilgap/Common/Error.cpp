#include "Basilgap/Common/Error.h"

#include <cerrno>
#include <cstring>

namespace basilgap {

std::string Error::text() const
{
    std::string line = step;
    if (!peer.empty())
        line += " " + peer;
    return line + ": " + message;
}

Error systemError(std::string step, std::string peer)
{
    const int number = errno;
    const bool full = number == ENOSPC || number == EDQUOT || number == EFBIG;
    return Error{ .code = full ? ErrorCode::Full : ErrorCode::Io,
        .step = std::move(step),
        .peer = std::move(peer),
        .message = std::strerror(number) };
}

} // namespace basilgap
