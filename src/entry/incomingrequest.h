#pragma once

#include <chrono>
#include <string>

#include "http/callerconnection.h"
#include "http/httpexchange.h"
#include "http/httpstatus.h"
#include "mangoshift/clock.h"
#include "mangoshift/replylead.h"
#include "mangoshift/routing.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// A caller's request and what the filters have set for it.
struct IncomingRequest
{
    CallerConnectionPtr connection;
    HttpRequest http;
    Clock::time_point receivedAt;
    /// The way between the caller and this VM, as far as it is known.
    CallerWay way;
    /// The caller's id for this attempt.
    std::string id;
    /// The configuration that was in force when the request arrived; the request uses it to its
    /// end. Null while the targets have not been listed.
    RoutingTablePtr routing;
    const Route *route = nullptr;
    /// The latest time at which this VM sends a final response.
    Clock::time_point deadline;
};

/// Why a request was rejected or refused before it was sent to any target.
struct Rejection
{
    int status = httpstatus::ServiceUnavailable;
    Verdict verdict;
};

} // namespace mangoshift
