#pragma once

#include <optional>
#include <variant>
#include <vector>

#include "entry/incomingrequest.h"
#include "entry/wireadapter.h"

namespace mangoshift {

/// Reads the caller's name for the request; one without a name is a bad request.
struct ReadRequestId
{
    std::string requestIdHeader;
    std::optional<Rejection> apply(IncomingRequest &request) const;
};
/// Refuses requests while no configuration is known.
struct RequireConfiguration
{
    std::optional<Rejection> apply(IncomingRequest &request) const;
};
/// Finds the route by host and path.
struct MatchRoute
{
    std::optional<Rejection> apply(IncomingRequest &request) const;
};
/// Settles the deadline from what the caller states and the route's timeout.
struct SetDeadline
{
    std::string timeLeftHeader;
    std::optional<Rejection> apply(IncomingRequest &request) const;
};

using RequestFilter = std::variant<ReadRequestId, RequireConfiguration, MatchRoute, SetDeadline>;

/// The filters that a request passes before it is sent anywhere, in their order.
class RequestFilterChain
{
public:
    explicit RequestFilterChain(const EntryHeaderNames &names);

    /// Returns the first filter's rejection, or no value where all let the request pass.
    std::optional<Rejection> apply(IncomingRequest &request) const;

private:
    std::vector<RequestFilter> m_filters;
};

} // namespace mangoshift
