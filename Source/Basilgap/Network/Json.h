#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::network {

enum class UnknownFields { Refuse, Ignore };

// JSON text of a message with lowerCamelCase names, fields with default values included.
std::string toJson(const google::protobuf::Message &message);

// Reads JSON text; the error's peer is the field when it is known.
Result<void> parseJson(
    const std::string &text, UnknownFields unknown, google::protobuf::Message *message);

// A JSON response made from a message.
HttpResponse jsonMessage(int status, const google::protobuf::Message &message);

// A response that tells an error: the body names what is wrong, the header whether the request ran.
struct ErrorAnswer
{
    int status = 500;
    std::string error;
    // "not-run", "unknown" or "ran".
    std::string outcome = "not-run";
    std::string field;
    std::string step;
    std::string peer;
    // Seconds after which a resend makes sense; 0: not said.
    int retryAfterSeconds = 0;
};
HttpResponse errorResponse(const ErrorAnswer &answer);

} // namespace basilgap::network
