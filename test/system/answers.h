#pragma once

#include <string>
#include <vector>

namespace mangoshift::testing {

/// Returns a description of the first contradiction between an answer's statements and its rows,
/// or an empty string if there is none. All rows must belong to the stated snapshot and request,
/// each shard must occur once, in a row or as missing, and the stated numbers of shards and the
/// `complete` flag must agree with that.
std::string findInconsistency(const std::string &body);

/// Returns whether the answer states that it is complete.
bool isComplete(const std::string &body);

} // namespace mangoshift::testing
