#include "Basilgap/Settings/YamlReader.h"

#include <fstream>
#include <set>
#include <sstream>

#include <yaml-cpp/yaml.h>

#include "Basilgap/Settings/FieldCheck.h"
#include "Rules.pb.h"

namespace basilgap::settings {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr int MaxDepth = 16;

// Thrown to abort parsing; readYaml() converts it to an Error.
struct ParseError
{
    int line;
    std::string field;
    std::string reason;
};

[[noreturn]] void reject(
    const YAML::Node &node, const std::string &field, const std::string &reason)
{
    throw ParseError{ node.Mark().line + 1, field, reason };
}

const schema::FieldRule &ruleOf(const FieldDescriptor *field)
{
    return field->options().GetExtension(schema::rule);
}

const FieldDescriptor *findField(const Descriptor *type, const std::string &key)
{
    for (int i = 0; i < type->field_count(); i++) {
        if (type->field(i)->json_name() == key)
            return type->field(i);
    }
    return nullptr;
}

std::string scalarText(const YAML::Node &node, const std::string &path)
{
    if (!node.IsScalar())
        reject(node, path, "must be a single value");
    return node.Scalar();
}

template<typename Number>
Number readNumber(const YAML::Node &node, const std::string &path, const schema::FieldRule &rule)
{
    const std::string text = scalarText(node, path);
    Number number{};
    // yaml-cpp converts negative numbers to unsigned types by wrapping around.
    const bool isNegative = std::is_unsigned_v<Number> && text.find('-') != std::string::npos;
    if (isNegative || !YAML::convert<Number>::decode(node, number))
        reject(node, path, isNegative ? "must not be negative" : "must be a number");
    const auto value = static_cast<double>(number);
    if (value != value || (rule.has_min() && value < static_cast<double>(rule.min())))
        reject(node, path, "must be at least " + std::to_string(rule.min()));
    if (rule.has_max() && value > static_cast<double>(rule.max()))
        reject(node, path, "must be at most " + std::to_string(rule.max()));
    return number;
}

bool readBool(const YAML::Node &node, const std::string &path)
{
    bool value = false;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value))
        reject(node, path, "must be true or false");
    return value;
}

std::string readText(const YAML::Node &node, const std::string &path, const schema::FieldRule &rule)
{
    const std::string text = scalarText(node, path);
    if (const auto reason = checkFormat(text, rule.format()))
        reject(node, path, *reason);
    return text;
}

void readMessage(const YAML::Node &node, const std::string &path, Message *message, int depth);

void setScalar(
    const YAML::Node &node, const std::string &path, const FieldDescriptor *field, Message *message)
{
    const Reflection *reflection = message->GetReflection();
    const schema::FieldRule &rule = ruleOf(field);
    switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        return reflection->SetUInt32(message, field, readNumber<uint32_t>(node, path, rule));
    case FieldDescriptor::CPPTYPE_UINT64:
        return reflection->SetUInt64(message, field, readNumber<uint64_t>(node, path, rule));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return reflection->SetDouble(message, field, readNumber<double>(node, path, rule));
    case FieldDescriptor::CPPTYPE_BOOL:
        return reflection->SetBool(message, field, readBool(node, path));
    case FieldDescriptor::CPPTYPE_STRING:
        return reflection->SetString(message, field, readText(node, path, rule));
    default:
        reject(node, path, "has a type that settings files do not support");
    }
}

std::string uniqueText(const YAML::Node &item, const std::string &key)
{
    if (key == ".")
        return item.IsScalar() ? item.Scalar() : "";
    return item.IsMap() && item[key].IsDefined() && item[key].IsScalar() ? item[key].Scalar() : "";
}

void readItem(const YAML::Node &item, const std::string &path, const FieldDescriptor *field,
    Message *message, int depth)
{
    const Reflection *reflection = message->GetReflection();
    if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
        readMessage(item, path, reflection->AddMessage(message, field), depth + 1);
    else
        reflection->AddString(message, field, readText(item, path, ruleOf(field)));
}

void readList(const YAML::Node &node, const std::string &path, const FieldDescriptor *field,
    Message *message, int depth)
{
    const schema::FieldRule &rule = ruleOf(field);
    if (!node.IsSequence())
        reject(node, path, "must be a list");
    if (rule.has_max_items() && node.size() > rule.max_items())
        reject(node, path, "may have at most " + std::to_string(rule.max_items()) + " items");
    if (node.size() < rule.min_items())
        reject(node, path, "must have at least " + std::to_string(rule.min_items()) + " items");
    std::set<std::string> seen;
    for (size_t i = 0; i < node.size(); i++) {
        const std::string itemPath = path + "[" + std::to_string(i) + "]";
        const YAML::Node item = node[i];
        readItem(item, itemPath, field, message, depth);
        if (rule.has_unique() && !seen.insert(uniqueText(item, rule.unique())).second)
            reject(item, itemPath, "duplicate " + uniqueText(item, rule.unique()));
    }
}

void readField(const YAML::Node &value, const std::string &path, const FieldDescriptor *field,
    Message *message, int depth)
{
    if (field->is_repeated())
        return readList(value, path, field, message, depth);
    if (field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE)
        return setScalar(value, path, field, message);
    readMessage(value, path, message->GetReflection()->MutableMessage(message, field), depth + 1);
}

void checkPresence(const YAML::Node &node, const std::string &prefix, const Message &message)
{
    const Descriptor *type = message.GetDescriptor();
    for (int i = 0; i < type->field_count(); i++) {
        const FieldDescriptor *field = type->field(i);
        const std::string path = prefix + field->json_name();
        if (field->is_required() && !message.GetReflection()->HasField(message, field))
            reject(node, path, "is missing");
        const bool isEmptyList =
            field->is_repeated() && message.GetReflection()->FieldSize(message, field) == 0;
        if (isEmptyList && ruleOf(field).min_items() > 0)
            reject(node, path, "is missing");
    }
}

void readMessage(const YAML::Node &node, const std::string &path, Message *message, int depth)
{
    if (!node.IsMap())
        reject(node, path.empty() ? "file" : path, "must be a mapping of keys to values");
    if (depth > MaxDepth)
        reject(node, path, "is nested too deeply");
    const std::string prefix = path.empty() ? "" : path + ".";
    std::set<std::string> seen;
    for (const auto &pair : node) {
        const std::string key = scalarText(pair.first, prefix + "?");
        const FieldDescriptor *field = findField(message->GetDescriptor(), key);
        if (field == nullptr)
            reject(pair.first, prefix + key, "unknown key");
        if (!seen.insert(key).second)
            reject(pair.first, prefix + key, "duplicate key");
        readField(pair.second, prefix + key, field, message, depth);
    }
    checkPresence(node, prefix, *message);
}

Error toError(const ParseError &parseError, const std::string &source)
{
    return Error{ .code = ErrorCode::Invalid,
        .step = "read-settings",
        .peer = source,
        .message = "line " + std::to_string(parseError.line) + ": " + parseError.field + ": "
            + parseError.reason };
}

} // namespace

Result<void> readYaml(const std::string &text, const std::string &source, Message *message)
{
    message->Clear();
    if (text.size() > MaxFileBytes)
        return fail(toError({ 1, "file", "is larger than 4 MiB" }, source));
    try {
        // Aliases can make a small text expand without bound.
        if (text.find("<<:") != std::string::npos || text.find(": *") != std::string::npos)
            return fail(toError({ 1, "file", "aliases are not supported" }, source));
        readMessage(YAML::Load(text), "", message, 0);
    } catch (const ParseError &parseError) {
        return fail(toError(parseError, source));
    } catch (const YAML::Exception &error) {
        return fail(toError({ error.mark.line + 1, "file", error.msg }, source));
    }
    return {};
}

Result<std::string> readTextFile(const std::string &path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return fail(systemError("open-file", path));
    std::ostringstream text;
    text << file.rdbuf();
    if (text.str().size() > MaxFileBytes)
        return fail({ ErrorCode::Invalid, "read-file", path, "is larger than 4 MiB" });
    return text.str();
}

Result<void> readYamlFile(const std::string &path, Message *message)
{
    const auto text = readTextFile(path);
    if (!text)
        return fail(text.error());
    return readYaml(*text, path, message);
}

Result<std::string> readKeyFile(const std::string &path)
{
    const auto text = readTextFile(path);
    if (!text)
        return fail(text.error());
    constexpr const char *Whitespace = " \t\r\n";
    const size_t begin = text->find_first_not_of(Whitespace);
    if (begin == std::string::npos)
        return fail({ ErrorCode::Invalid, "read-key", path, "the file holds no key" });
    const size_t end = text->find_first_of(Whitespace, begin);
    return text->substr(begin, end - begin);
}

} // namespace basilgap::settings
