#include "Basilgap/Network/Json.h"

#include <google/protobuf/util/json_util.h>

#include "Http.pb.h"

namespace basilgap::network {

namespace {

constexpr size_t MaxJsonBytes = 4 * 1024 * 1024;

// The message of the parser names the field in parentheses, after "Cannot find field: " or before
// ": ".
std::string fieldNamedIn(const std::string &message)
{
    const size_t open = message.find('(');
    const size_t close = message.find(')', open);
    if (open != std::string::npos && close != std::string::npos && close > open + 1)
        return message.substr(open + 1, close - open - 1);
    const std::string marker = "Cannot find field: ";
    const size_t found = message.find(marker);
    if (found != std::string::npos)
        return message.substr(found + marker.size());
    const size_t name = message.find(": ");
    return name == std::string::npos ? "" : message.substr(0, name);
}

std::string firstLine(const std::string &text)
{
    return text.substr(0, text.find('\n'));
}

} // namespace

std::string toJson(const google::protobuf::Message &message)
{
    google::protobuf::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : "{}";
}

Result<void> parseJson(
    const std::string &text, UnknownFields unknown, google::protobuf::Message *message)
{
    if (text.size() > MaxJsonBytes)
        return fail({ ErrorCode::Invalid, "parse-json", "", "larger than 4 MiB" });
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = unknown == UnknownFields::Ignore;
    const auto status = google::protobuf::util::JsonStringToMessage(text, message, options);
    if (status.ok())
        return {};
    const std::string reason(status.message().data(), status.message().size());
    return fail({ ErrorCode::Invalid, "parse-json", fieldNamedIn(reason), firstLine(reason) });
}

HttpResponse jsonMessage(int status, const google::protobuf::Message &message)
{
    return jsonResponse(status, toJson(message));
}

HttpResponse errorResponse(const ErrorAnswer &answer)
{
    schema::ErrorBody body;
    body.set_error(answer.error);
    body.set_outcome(answer.outcome);
    body.set_field(answer.field);
    body.set_step(answer.step);
    body.set_peer(answer.peer);
    HttpResponse response = jsonMessage(answer.status, body);
    response.headers.push_back({ "Basilgap-Outcome", answer.outcome });
    if (answer.retryAfterSeconds > 0)
        response.headers.push_back({ "Retry-After", std::to_string(answer.retryAfterSeconds) });
    return response;
}

} // namespace basilgap::network
