#include "Basilgap/Settings/SettingsReference.h"

#include <sstream>

#include "Cell.pb.h"
#include "Rules.pb.h"
#include "Settings.pb.h"

namespace basilgap::settings {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

std::string typeText(const FieldDescriptor *field)
{
    std::string type;
    switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        type = "text";
        break;
    case FieldDescriptor::CPPTYPE_BOOL:
        type = "true or false";
        break;
    case FieldDescriptor::CPPTYPE_MESSAGE:
        type = "mapping";
        break;
    default:
        type = "number";
    }
    return field->is_repeated() ? "list of " + type : type;
}

std::string defaultText(const FieldDescriptor *field)
{
    if (field->is_required())
        return "required";
    if (!field->has_default_value())
        return "";
    switch (field->cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
        return std::to_string(field->default_value_uint32());
    case FieldDescriptor::CPPTYPE_UINT64:
        return std::to_string(field->default_value_uint64());
    case FieldDescriptor::CPPTYPE_DOUBLE: {
        std::ostringstream text;
        text << field->default_value_double();
        return text.str();
    }
    default:
        return "";
    }
}

std::string boundsText(const schema::FieldRule &rule)
{
    if (rule.has_max())
        return std::to_string(rule.min()) + " to " + std::to_string(rule.max());
    if (rule.has_max_items())
        return std::to_string(rule.min_items()) + " to " + std::to_string(rule.max_items())
            + " items";
    return "";
}

void addRows(const Descriptor *type, const std::string &prefix, std::ostringstream *text)
{
    for (int i = 0; i < type->field_count(); i++) {
        const FieldDescriptor *field = type->field(i);
        const auto &rule = field->options().GetExtension(schema::rule);
        const std::string key = prefix + field->json_name();
        *text << "| `" << key << "` | " << typeText(field) << " | " << rule.unit() << " | "
              << defaultText(field) << " | " << boundsText(rule) << " | " << rule.doc() << " |\n";
        if (field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
            addRows(field->message_type(), key + (field->is_repeated() ? "[]." : "."), text);
    }
}

void addTable(const char *title, const Descriptor *type, std::ostringstream *text)
{
    *text << "### " << title << "\n\n"
          << "| field | type | unit | default | bounds | meaning |\n|---|---|---|---|---|---|\n";
    addRows(type, "", text);
    *text << '\n';
}

} // namespace

std::string settingsReference()
{
    std::ostringstream text;
    addTable("entry.yaml", schema::EntrySettings::descriptor(), &text);
    addTable("control.yaml", schema::ControlSettings::descriptor(), &text);
    addTable("cell.yaml", schema::CellConfig::descriptor(), &text);
    return text.str();
}

} // namespace basilgap::settings
