#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace mangoshift {

enum class FindingSeverity : std::uint8_t {
    Warning, ///< The configuration takes effect, but probably not as intended.
    Error, ///< The configuration is rejected, or cannot keep what it states.
};

enum class FindingKind : std::uint8_t {
    Rejected, ///< The entry VMs do not put the configuration in force.
    Unused, ///< An entry that can never match or be used.
    Contradiction, ///< Limits that contradict each other, or that nothing can meet.
};

/// A fault in a configuration that has not been sent yet.
struct Finding
{
    FindingSeverity severity = FindingSeverity::Warning;
    FindingKind kind = FindingKind::Rejected;
    /// The entry at fault, such as `route maps`, or the JSON pointer of a field.
    std::string place;
    std::string text;

    bool operator==(const Finding &) const = default;
};

using Findings = std::vector<Finding>;

} // namespace mangoshift
