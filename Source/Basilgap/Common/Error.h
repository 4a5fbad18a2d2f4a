#pragma once

#include <string>

#include <tl/expected.hpp>

namespace basilgap {

enum class ErrorCode {
    Invalid,
    Io,
    Damaged,
    Full,
    // The process or host has run out of file descriptors.
    Exhausted,
    Unreachable,
    Timeout,
    Refused,
    Conflict,
    NotFound,
};

// An error: what went wrong, in which step, and with which peer, file or address.
struct Error
{
    ErrorCode code = ErrorCode::Invalid;
    std::string step;
    std::string peer;
    std::string message;

    // Human-readable line: "step peer: message".
    std::string text() const;
};

// Whether the failed operation changed nothing and may succeed later.
inline bool isTransient(const Error &error)
{
    return error.code == ErrorCode::Full || error.code == ErrorCode::Exhausted;
}

template<typename Value>
using Result = tl::expected<Value, Error>;

inline tl::unexpected<Error> fail(Error error)
{
    return tl::unexpected<Error>(std::move(error));
}

// The error of the last system call (errno).
Error systemError(std::string step, std::string peer);

} // namespace basilgap
