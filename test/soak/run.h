#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/shape.h"
#include "soak/violations.h"

namespace mangoshift::soak {

/// What one run of the soak is to do.
struct RunOptions
{
    std::uint64_t seed = 1;
    Shape shape;
    std::chrono::seconds faultTime{20};
    bool isFaultFree = false;
    Strictness strictness = Strictness::Timed;
    /// The second number of the loopback addresses.
    int network = 120;
    /// Where logs and records are kept.
    std::string folder;
};

struct RunResult
{
    std::vector<Violation> violations;
    std::vector<std::string> faults;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t partial = 0;
    /// The processor time of the VMs that still ran at the end, and the most memory that one used.
    double vmCpuSeconds = 0;
    std::size_t vmPeakKb = 0;
};

/// Starts the processes, plays the plan of the seed while callers send requests, lets all recover,
/// and judges what was seen. Throws where a stand-in fails, which says nothing of the product.
RunResult runSoak(const RunOptions &options);

} // namespace mangoshift::soak
