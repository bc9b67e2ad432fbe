#pragma once

#include <string>

#include <nlohmann/json.hpp>

namespace mangoshift {

/// Returns a JSON value as text. Bytes in it that are not UTF-8, as in a name that another program
/// has sent, are replaced; the library throws for them otherwise. Takes ordered values too.
template <typename JsonValue>
std::string jsonText(const JsonValue &value)
{
    return value.dump(-1, ' ', false, JsonValue::error_handler_t::replace);
}

} // namespace mangoshift
