#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "soak/shape.h"
#include "soak/violations.h"

namespace mangoshift::soak {

/// The parameters of one run.
struct RunOptions
{
    std::uint64_t seed = 1;
    Shape shape;
    /// The time in which faults happen.
    std::chrono::seconds faultTime{20};
    bool isFaultFree = false;
    Strictness strictness = Strictness::Timed;
    /// The second number of the loopback addresses that the run uses.
    int network = 120;
    /// The folder of logs and records.
    std::string folder;
};

/// The violations of a run, and counts of its requests by outcome.
struct RunResult
{
    std::vector<Violation> violations;
    std::vector<std::string> faults;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t failed = 0;
    std::size_t partial = 0; ///< Served with missing parts; also counted in `served`.
    /// Processor time of all VM processes that ran at the end.
    double vmCpuSeconds = 0;
    /// The highest peak memory (resident set, in kB) of one of these processes.
    std::size_t vmPeakKb = 0;
};

/// Starts the processes, executes the plan of the seed while callers send requests, waits for the
/// recovery, and checks the invariants. Throws if a stand-in fails, which is no fault of the system
/// under test.
RunResult runSoak(const RunOptions &options);

} // namespace mangoshift::soak
