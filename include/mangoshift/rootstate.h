#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

#include "mangoshift/clock.h"
#include "mangoshift/exchange.h"
#include "mangoshift/hedgebudget.h"
#include "mangoshift/homemonitor.h"
#include "mangoshift/latencydigest.h"
#include "mangoshift/snapshottracker.h"

namespace mangoshift {

/// The reason for sending another copy of a shard request.
enum class ExtraCopy {
    Retry, ///< The earlier copy failed.
    SilentHome, ///< The home of the earlier copy is lost, or silent since the copy was sent.
    Straggler, ///< The earlier copy is late, although its home replies to others.
};

/// The state that a VM keeps as the root of queries, shared by all its queries.
///
/// Bounds the extra copies of shard requests. Retries and hedges together stay under `ExtraRatio`
/// of first copies. Copies that replace those sent to lost homes may use another `FailoverRatio` of
/// first copies, plus an initial `FailoverBurst`: copies sent to a lost home put no load on
/// targets, and a VM with few queries, which have earned little budget, must not give partial
/// answers for that reason.
/// Copies of queries that are restarted on another snapshot stay under `RestartRatio` of first
/// copies, plus an initial `RestartBurst`, as nothing is known of snapshots at the start. Not
/// thread safe.
class RootState
{
public:
    /// The first exchange gets the id after `lastExchange`.
    explicit RootState(ExchangeId lastExchange = 0)
        : m_lastExchange(lastExchange)
    {
    }

    /// Returns the id for a new exchange.
    ExchangeId nextExchange() { return ++m_lastExchange; }
    SnapshotTracker &snapshots() { return m_snapshots; }
    const SnapshotTracker &snapshots() const { return m_snapshots; }
    HomeMonitor &homes() { return m_homes; }
    const HomeMonitor &homes() const { return m_homes; }

    /// Counts first copies of shard requests that were sent, which earn extra copies.
    void onFirstCopies(std::size_t count);
    /// Takes one extra copy out of the budget. Returns false if the copy must not be sent. A part
    /// of the budget is reserved for retries and lost homes, and not available to stragglers.
    bool trySpend(ExtraCopy kind);
    /// Takes the copies of a restarted query out of the budget for restarts. Returns false, and
    /// takes none, if the budget does not cover all of them.
    bool trySpendRestart(std::size_t copies);
    /// Returns how many retries and hedges may be sent now.
    std::uint32_t extraTokens() const { return m_extraCopies.tokens(); }

    /// Records how long a home took to reply for a shard of the service.
    void onReplyTime(const std::string &service, std::chrono::microseconds time);
    /// Returns the 90th percentile of the service's reply times, or zero while there are too few
    /// samples.
    std::chrono::microseconds typicalReplyTime(const std::string &service) const;
    /// Returns how long a shard request stays pending before it is hedged to another home: the 99th
    /// percentile of the service's reply times, at least 3 ms and at most a quarter of `deadline`.
    /// With too few samples it is a quarter of `deadline`.
    std::chrono::microseconds hedgeDelay(const std::string &service,
                                         std::chrono::microseconds deadline) const;

    /// Retries and hedges for each first copy.
    static constexpr double ExtraRatio = 0.007;
    /// Further copies in place of those sent to lost homes, for each first copy.
    static constexpr double FailoverRatio = 0.002;
    /// Copies of restarted queries for each first copy.
    static constexpr double RestartRatio = 0.001;
    static constexpr std::uint32_t ExtraBurst = 256;
    /// The part of `ExtraBurst` that stragglers may not use.
    static constexpr std::uint32_t StragglerReserve = 32;
    static constexpr std::uint32_t FailoverBurst = 64;
    static constexpr std::uint32_t RestartBurst = 1024;

private:
    ExchangeId m_lastExchange;
    SnapshotTracker m_snapshots;
    HomeMonitor m_homes;
    HedgeBudget m_extraCopies{ExtraRatio, ExtraBurst};
    double m_failoverCopies = FailoverBurst;
    double m_restartCopies = RestartBurst;
    std::unordered_map<std::string, LatencyDigest> m_replyTimes;
};

} // namespace mangoshift
