#pragma once

#include <string>
#include <vector>

namespace mangoshift::testing {

/// Returns what an answer states that its rows do not prove; empty where it is truthful: rows of
/// one snapshot and of this request, each shard once, and as many shards as are stated.
std::string findInconsistency(const std::string &body);

/// Returns true where the answer states that it is complete.
bool isComplete(const std::string &body);

} // namespace mangoshift::testing
