#pragma once

#include <string>
#include <vector>

namespace mangoshift::testing {

/// Returns a description of the first contradiction between an answer's statements and its rows,
/// or an empty string if there is none. All rows must belong to one snapshot and to this request,
/// each shard may occur once, and the stated coverage must equal the number of shards with rows.
std::string findInconsistency(const std::string &body);

/// Returns whether the answer states that it is complete.
bool isComplete(const std::string &body);

} // namespace mangoshift::testing
