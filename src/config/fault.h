#pragma once

#include <string>
#include <vector>

namespace mangoshift {

/// A validation error in a JSON text, with its location.
struct Fault
{
    /// A JSON pointer, such as `/services/0/shards/3/replicas/1`.
    std::string path;
    std::string message;
};

using Faults = std::vector<Fault>;

} // namespace mangoshift
