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

namespace {

ErrorCode codeOf(int systemErrorNumber)
{
    switch (systemErrorNumber) {
    case ENOSPC:
    case EDQUOT:
    case EFBIG:
        return ErrorCode::Full;
    case EMFILE:
    case ENFILE:
        return ErrorCode::Exhausted;
    default:
        return ErrorCode::Io;
    }
}

} // namespace

Error systemError(std::string step, std::string peer)
{
    const int number = errno;
    return Error{ .code = codeOf(number),
        .step = std::move(step),
        .peer = std::move(peer),
        .message = std::strerror(number) };
}

} // namespace basilgap
