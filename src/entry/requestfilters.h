#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "entry/incomingrequest.h"
#include "entry/wireadapter.h"

namespace mangoshift {

/// Reads the caller's request id; a request without one is rejected.
struct ReadRequestId
{
    std::string requestIdHeader;
    std::optional<Rejection> apply(IncomingRequest &request) const;
};
/// Refuses requests while no configuration is in force or the targets have not been listed.
struct RequireConfiguration
{
    std::optional<Rejection> apply(IncomingRequest &request) const;
};
/// Finds the route by host and path; a request without one is rejected.
struct MatchRoute
{
    std::optional<Rejection> apply(IncomingRequest &request) const;
};
/// Sets the deadline to the earlier of the caller's, which the request states as the time left, and
/// the end of the route's timeout. Refuses requests with no time left.
struct SetDeadline
{
    std::string timeLeftHeader;
    std::optional<Rejection> apply(IncomingRequest &request) const;
};

using RequestFilter = std::variant<ReadRequestId, RequireConfiguration, MatchRoute, SetDeadline>;

/// The filters that a request passes, in order, before it is sent to any target.
class RequestFilterChain
{
public:
    explicit RequestFilterChain(const EntryHeaderNames &names);

    /// Returns the rejection of the first filter that does not let the request pass; no value if
    /// all do.
    std::optional<Rejection> apply(IncomingRequest &request) const;

private:
    std::vector<RequestFilter> m_filters;
};

} // namespace mangoshift
