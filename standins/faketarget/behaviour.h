#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <nlohmann/json_fwd.hpp>

namespace mangoshift {

/// How a target behaves, as set on the command line and through the control address.
struct Behaviour
{
    std::chrono::microseconds serviceTime{4000}; ///< Mean time that a request runs.
    /// Time between accepting a connection and reading its first request.
    std::chrono::microseconds connectCost{0};
    double slowFactor = 1; ///< Multiplies the service time.
    double stragglerShare = 0; ///< Fraction of requests that take `stragglerTime` longer.
    std::chrono::microseconds stragglerTime{50000};
    /// The snapshots held; a request pinned to any other snapshot gets a 409 response.
    std::uint64_t oldestSnapshot = 1;
    std::uint64_t newestSnapshot = 1;
    std::size_t queueLimit = 16; ///< Requests that may wait for a slot; further ones are shed.
    bool isDraining = false; ///< Refuses new requests with 503.
    bool isSilent = false; ///< Accepts requests and never responds.
    std::size_t shedThreshold = SIZE_MAX; ///< Sheds requests while at least this many run.
    /// Fraction of submissions that run and whose connection is then closed without a response.
    double crashBeforeResponse = 0;
    /// Fraction of submissions that do not run and whose connection is closed without a response.
    double crashBeforeRun = 0;
};

/// Applies the members of `change`, a JSON object in the format of the control address; settings
/// that it does not name keep their values.
void applyChange(Behaviour &behaviour, const nlohmann::json &change);

} // namespace mangoshift
