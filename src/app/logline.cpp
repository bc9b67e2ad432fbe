#include "app/logline.h"

namespace mangoshift {

namespace {

/// Removes a value from the front of `text` and returns it: a quoted string with backslash escapes,
/// or the text up to the next space.
std::string parseValue(std::string_view &text)
{
    std::string value;
    if (text.empty() || text.front() != '"') {
        value = text.substr(0, text.find(' '));
        text.remove_prefix(value.size());
        return value;
    }
    text.remove_prefix(1);
    while (!text.empty() && text.front() != '"') {
        if (text.front() == '\\' && text.size() > 1)
            text.remove_prefix(1);
        value += text.front();
        text.remove_prefix(1);
    }
    if (!text.empty())
        text.remove_prefix(1);
    return value;
}

} // namespace

std::string LogLine::value(const std::string &field) const
{
    const auto it = fields.find(field);
    return it == fields.end() ? std::string() : it->second;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
    const auto start = text.find("time=");
    if (start == std::string_view::npos)
        return std::nullopt;
    text.remove_prefix(start);
    LogLine line;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos)
            break;
        std::string name(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        std::string value = parseValue(text);
        while (!text.empty() && text.front() == ' ')
            text.remove_prefix(1);
        if (name == "time")
            line.time = std::move(value);
        else if (name == "event")
            line.event = std::move(value);
        else
            line.fields.emplace(std::move(name), std::move(value));
    }
    if (line.event.empty())
        return std::nullopt;
    return line;
}

} // namespace mangoshift
