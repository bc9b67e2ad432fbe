#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "mangoshift/clock.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// Keeps the shards that were recently removed from the configuration, for roots that still use an
/// older version.
///
/// VMs do not all receive a version at the same time, and a query finishes on the shards that it
/// was planned with. A home therefore serves a shard for `GracePeriod` after its removal, provided
/// that its service and some of its targets are still in the document in force. Reads no clock. Not
/// thread safe.
class RetiredShards
{
public:
    /// Sets the document in force. Returns it with the retired shards added.
    DocumentPtr onDocument(DocumentPtr document, Clock::time_point now);
    /// Removes the shards whose grace period has ended. Returns the document in force with the
    /// other retired shards added, or a null pointer if there is no document in force.
    DocumentPtr onTimer(Clock::time_point now);
    /// Returns when `onTimer` is to be called next, or no value if no shard is retired.
    std::optional<Clock::time_point> nextExpiry() const;

    /// The grace period of a removed shard: longer than a version takes to reach every VM that
    /// counts as alive.
    static constexpr std::chrono::seconds GracePeriod{10};

private:
    struct Retired
    {
        std::string service;
        std::string shard;
        /// The name and address of each replica.
        std::vector<std::pair<std::string, std::string>> replicas;
        Clock::time_point expiresAt;
    };

    void retire(const Document &previous, const IndexedDocument &next, Clock::time_point expiresAt);
    DocumentPtr combinedDocument() const;

    DocumentPtr m_inForce;
    std::vector<Retired> m_retired; ///< Ordered by `expiresAt`.
};

} // namespace mangoshift
