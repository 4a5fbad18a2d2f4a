#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "Basilgap/Common/Error.h"
#include "Basilgap/Network/HttpMessage.h"

namespace basilgap::network {

enum class UnknownFields { Refuse, Ignore };

// JSON text of a message with lowerCamelCase names, including fields with default values.
std::string toJson(const google::protobuf::Message &message);

// Parses JSON text. The `peer` of the error is the field, if it is known.
Result<void> parseJson(
    const std::string &text, UnknownFields unknown, google::protobuf::Message *message);

// A response with the message as its JSON body.
HttpResponse jsonMessage(int status, const google::protobuf::Message &message);

// An error response: the body says what is wrong, the header whether the request ran.
struct ErrorAnswer
{
    int status = 500;
    std::string error;
    // "not-run", "unknown" or "ran".
    std::string outcome = "not-run";
    std::string field;
    std::string step;
    std::string peer;
    // Seconds after which a retry makes sense; 0 omits the header Retry-After.
    int retryAfterSeconds = 0;
};
HttpResponse errorResponse(const ErrorAnswer &answer);

} // namespace basilgap::network
