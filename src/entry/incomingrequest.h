#pragma once

#include <chrono>
#include <string>

#include "http/callerconnection.h"
#include "http/httpexchange.h"
#include "http/httpstatus.h"
#include "mangoshift/clock.h"
#include "mangoshift/routing.h"
#include "mangoshift/verdict.h"

namespace mangoshift {

/// A caller's request with what the filters have settled about it.
struct IncomingRequest
{
    CallerConnectionPtr connection;
    HttpRequest http;
    Clock::time_point receivedAt;
    /// The caller's name for this attempt.
    std::string id;
    /// The version in force when the request came; it stays in force for this request.
    RoutingTablePtr routing;
    const Route *route = nullptr;
    /// When the caller gets a final answer at the latest.
    Clock::time_point deadline;
};

/// Why a request is answered without any target having seen it.
struct Rejection
{
    int status = httpstatus::ServiceUnavailable;
    Verdict verdict;
};

} // namespace mangoshift
