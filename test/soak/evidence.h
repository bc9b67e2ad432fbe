#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "mangoshift/clock.h"

namespace mangoshift::soak {

/// The routes that callers use.
enum class RouteKind : std::uint8_t {
    All, ///< Fans out over all shards.
    Moving, ///< Forwarded; each configuration sends it to another service.
    Orders, ///< Forwarded; may run once at most.
};

/// One version of the configuration, as the store took it.
struct PublishedConfig
{
    std::uint64_t version = 0;
    Clock::time_point sentAt;
    Clock::time_point acknowledgedAt;
    std::set<std::string> shards;
    std::string movingService;
};

/// What became of one request, as its caller saw it.
struct CallerRecord
{
    enum class Outcome : std::uint8_t {
        Responded,
        ConnectFailed,
        ConnectionClosed, ///< The connection ended without a whole answer.
        TimedOut, ///< Nothing came within the caller's patience.
        CallerDisconnected, ///< The caller went away itself.
        Malformed, ///< What came is no answer, or one that nobody had asked for.
    };

    std::string id;
    RouteKind route = RouteKind::All;
    int vm = 0;
    std::string requestSummary; ///< Method, target and body, as servers record them.
    Clock::time_point sentAt;
    Clock::time_point endedAt;
    /// When its connection was made.
    Clock::time_point connectedAt;
    Outcome outcome = Outcome::ConnectFailed;
    /// Whether the connection had carried another request before.
    bool isOnReusedConnection = false;
    int status = 0;
    std::string stamp;
    std::string partStamps;
    std::string missingParts;
    std::string body;
};

/// What a server recorded of one request.
struct TargetEvent
{
    enum class Kind : std::uint8_t { Arrived, Ran, Refused, Ended, Cancelled };

    Clock::time_point at;
    Kind kind = Kind::Arrived;
    std::string target;
    std::string service;
    std::string request;
    std::string what;
};

/// A time in which something was kept from working as it should.
struct Disturbance
{
    enum class Subject : std::uint8_t { Vm, Store, Targets };

    Subject subject = Subject::Vm;
    int index = 0; ///< Which VM or which group of servers.
    /// A stop, a new configuration or changed settings, through which nothing may be cut off.
    bool isPlanned = false;
    /// From then on, connections that stood carry nothing any more.
    bool silencesConnections = false;
    std::string description;
    Clock::time_point from;
    Clock::time_point to;
};

/// A server's announcement that it leaves, as the store took it, or the removal of its entry.
struct Departure
{
    std::string target;
    Clock::time_point acknowledgedAt;
};

/// The bounds that the deployment states.
struct Bounds
{
    std::chrono::milliseconds stableWindow{4000};
    std::chrono::milliseconds configApply{3000};
    std::chrono::milliseconds rollbackSlack{250};
    std::chrono::milliseconds drain{3000};
    double retryRatio = 0.2;
    int retrySlack = 54;
    std::chrono::milliseconds retryWindow{10000};
    std::chrono::milliseconds recovery{12000};
    std::chrono::milliseconds grace{6000};
};

/// The bounds of one route, as every configuration has them.
struct RouteBounds
{
    std::chrono::milliseconds timeout{0};
    std::size_t topK = 0;
    double minCoverage = 0.0;
};

/// Everything that a run is judged by: what callers, servers and the operator saw.
struct Evidence
{
    std::vector<CallerRecord> callers;
    std::vector<TargetEvent> targetEvents;
    std::vector<Disturbance> disturbances;
    std::vector<PublishedConfig> published;
    std::vector<Departure> departures;
    /// By VM, when its processes began to start.
    std::map<int, std::vector<Clock::time_point>> vmStarts;
    /// By server, its service; the groups of servers are numbered.
    std::map<std::string, std::string> serviceByTarget;
    std::map<std::string, int> groupByTarget;
    std::map<RouteKind, RouteBounds> routes;
    /// Processes of the product that ended by themselves or stopped otherwise than they should.
    std::vector<std::string> processFaults;
    Bounds bounds;
    /// Processor time of the VMs that ran to the end, and the most memory that one of them had.
    std::chrono::milliseconds vmProcessorTime{0};
    std::size_t vmPeakKb = 0;
    Clock::time_point lastFault;
    Clock::time_point end;
};

} // namespace mangoshift::soak
