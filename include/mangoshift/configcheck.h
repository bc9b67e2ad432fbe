#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mangoshift/document.h"
#include "mangoshift/finding.h"
#include "mangoshift/routing.h"

namespace mangoshift {

/// A difference from the configuration in force. Without a value before, the field or entry is new;
/// without a value after, it is removed.
struct ConfigDifference
{
    /// The entry that differs, such as `route maps`.
    std::string place;
    /// Empty if the whole entry is new or removed.
    std::string field;
    std::optional<std::string> before;
    std::optional<std::string> after;

    bool operator==(const ConfigDifference &) const = default;
};

using ConfigDifferences = std::vector<ConfigDifference>;

/// What the check of a configuration has found.
struct ConfigCheck
{
    Findings findings;
    /// No value if there was no configuration to compare with.
    std::optional<ConfigDifferences> differences;

    bool hasErrors() const;
};

/// How many requests are hedged and how many the budget for extra requests pays for, both as shares
/// of the first requests.
struct HedgeTerms
{
    double hedgedShare = 0.0;
    double budgetRatio = 0.0;
};

/// Checks a valid document of the operators and, if `current` is not null, compares it with the one
/// in force.
ConfigCheck checkDocument(const Document &next, const Document *current);

/// Checks a valid routing document and, if `current` is not null, compares it with the one in
/// force. Without `hedges`, hedges are not compared with the budget.
ConfigCheck checkRouting(const RoutingDocument &next, const RoutingDocument *current,
                         const std::optional<HedgeTerms> &hedges);

/// Return what differs between two configurations. The order of entries counts only for routes, as
/// the first of two routes with the same host and prefix takes precedence.
ConfigDifferences differencesOf(const Document &before, const Document &after);
ConfigDifferences differencesOf(const RoutingDocument &before, const RoutingDocument &after);

} // namespace mangoshift
