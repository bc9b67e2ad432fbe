#pragma once

#include <optional>
#include <string>
#include <vector>

#include "mangoshift/configstore.h"

namespace mangoshift {

/// Splits a document's JSON text into parts that change independently: one part for each service,
/// one for each run of consecutive targets, and one for everything else. Where a run ends depends
/// on the names and the number of its targets, so adding one target usually changes only one or two
/// parts. Returns no value if the text is not a JSON object. If targets or services are not arrays,
/// the whole document is one part.
std::optional<std::vector<ConfigPart>> splitDocument(const std::string &text);

/// Joins the texts of parts, in order, into a document's JSON text. Returns no value if a part is
/// malformed.
std::optional<std::string> joinDocument(const std::vector<std::string> &parts);

} // namespace mangoshift
