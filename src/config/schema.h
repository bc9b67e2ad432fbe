#pragma once

#include <memory>

#include <nlohmann/json_fwd.hpp>

#include "config/fault.h"

namespace mangoshift {

/// The texts of `schemas/*.schema.json`, embedded at build time.
extern const char *const SettingsSchemaText;
extern const char *const DocumentSchemaText;
extern const char *const EntrySchemaText;

/// A JSON Schema for validating JSON values. May be used from any thread.
class JsonSchema
{
public:
    explicit JsonSchema(const char *text);
    ~JsonSchema();
    JsonSchema(const JsonSchema &) = delete;
    JsonSchema &operator=(const JsonSchema &) = delete;

    /// Returns all faults of `json`, or none if it conforms to the schema.
    Faults check(const nlohmann::json &json) const;

private:
    struct Parts;
    std::unique_ptr<const Parts> m_parts;
};

const JsonSchema &settingsSchema();
const JsonSchema &documentSchema();
const JsonSchema &entrySchema();

} // namespace mangoshift
