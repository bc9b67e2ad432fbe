#include "config/schema.h"

#include <memory>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

namespace mangoshift {

namespace {

using Adapter = valijson::adapters::NlohmannJsonAdapter;

void appendToken(std::string &pointer, std::string_view token)
{
    pointer += '/';
    for (const char c : token) {
        if (c == '~')
            pointer += "~0";
        else if (c == '/')
            pointer += "~1";
        else
            pointer += c;
    }
}

/// Converts the validator's error context to a JSON pointer: `<root>`, `[services]`, `[0]` becomes
/// `/services/0`.
std::string jsonPointer(const std::vector<std::string> &context)
{
    std::string pointer;
    for (std::size_t i = 1; i < context.size(); ++i)
        appendToken(pointer, std::string_view(context[i]).substr(1, context[i].size() - 2));
    return pointer;
}

/// Returns the text between the first and the last single quote, or an empty text.
std::string quotedText(const std::string &text)
{
    const auto first = text.find('\'');
    const auto last = text.rfind('\'');
    return last > first ? text.substr(first + 1, last - first - 1) : std::string();
}

bool startsWith(const std::string &text, std::string_view prefix)
{
    return text.compare(0, prefix.size(), prefix) == 0;
}

/// Maps an error message of the validation library to the message of a fault.
std::string_view faultMessage(const std::string &text)
{
    if (startsWith(text, "Missing required property"))
        return "must be given";
    if (startsWith(text, "Value type not permitted"))
        return "has the wrong type";
    if (startsWith(text, "Failed to match against any enum"))
        return "is not one of the allowed values";
    return text;
}

/// Adds the fault for an error of the validation library. Skips errors that only report that a
/// nested value is invalid, and unknown fields, of which the library reports only the first;
/// `addUnknownFieldFaults` reports all of them.
void addFault(const valijson::ValidationResults::Error &error, Faults &faults)
{
    const std::string &text = error.description;
    if (startsWith(text, "Failed to validate") || startsWith(text, "Object contains a property"))
        return;
    std::string pointer = jsonPointer(error.context);
    if (startsWith(text, "Missing required property"))
        appendToken(pointer, quotedText(text));
    faults.push_back({std::move(pointer), std::string(faultMessage(text))});
}

/// Adds a fault for each field that the schema does not define.
void addUnknownFieldFaults(const nlohmann::json &schema, const nlohmann::json &json,
                           const std::string &pointer, Faults &faults)
{
    if (json.is_array() && schema.contains("items")) {
        std::size_t index = 0;
        for (const nlohmann::json &item : json) {
            std::string childPointer = pointer;
            appendToken(childPointer, std::to_string(index++));
            addUnknownFieldFaults(schema["items"], item, childPointer, faults);
        }
    }
    if (!json.is_object() || !schema.contains("properties"))
        return;
    for (const auto &[key, value] : json.items()) {
        std::string childPointer = pointer;
        appendToken(childPointer, key);
        if (schema["properties"].contains(key))
            addUnknownFieldFaults(schema["properties"][key], value, childPointer, faults);
        else
            faults.push_back({std::move(childPointer), "is not a known field"});
    }
}

} // namespace

struct JsonSchema::Parts
{
    nlohmann::json json;
    valijson::Schema schema;
};

JsonSchema::JsonSchema(const char *text)
{
    auto parts = std::make_unique<Parts>();
    parts->json = nlohmann::json::parse(text);
    valijson::SchemaParser().populateSchema(Adapter(parts->json), parts->schema);
    m_parts = std::move(parts);
}

JsonSchema::~JsonSchema() = default;

Faults JsonSchema::check(const nlohmann::json &json) const
{
    valijson::Validator validator(valijson::Validator::kStrongTypes);
    valijson::ValidationResults results;
    Faults faults;
    if (!validator.validate(m_parts->schema, Adapter(json), &results))
        for (const auto &error : results)
            addFault(error, faults);
    addUnknownFieldFaults(m_parts->json, json, "", faults);
    return faults;
}

const JsonSchema &settingsSchema()
{
    static const JsonSchema schema(SettingsSchemaText);
    return schema;
}

const JsonSchema &documentSchema()
{
    static const JsonSchema schema(DocumentSchemaText);
    return schema;
}

const JsonSchema &entrySchema()
{
    static const JsonSchema schema(EntrySchemaText);
    return schema;
}

} // namespace mangoshift
