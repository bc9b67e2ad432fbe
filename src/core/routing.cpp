#include "mangoshift/routing.h"

#include <algorithm>
#include <cctype>
#include <cmath>
#include <utility>

namespace mangoshift {

namespace {

/// Prevents a share such as 0.9 of 20 shards from being rounded up to 19.
constexpr double ShareTolerance = 1e-9;

std::string normalizedHost(std::string_view host)
{
    std::string name(host.substr(0, host.find(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

std::size_t FanOutTo::minShards() const
{
    const double least = minCoverage * static_cast<double>(shards.size());
    return std::max<std::size_t>(1, static_cast<std::size_t>(std::ceil(least - ShareTolerance)));
}

RoutingTable::RoutingTable(RoutingDocument document)
    : m_document(std::move(document))
{
    for (const Route &route : m_document.routes)
        m_byHost[route.host].push_back(&route);
    for (auto &[host, routes] : m_byHost)
        std::stable_sort(routes.begin(), routes.end(), [](const Route *a, const Route *b) {
            return a->pathPrefix.size() > b->pathPrefix.size();
        });
}

const Route *RoutingTable::match(std::string_view host, std::string_view path) const
{
    const auto it = m_byHost.find(normalizedHost(host));
    if (it == m_byHost.end())
        return nullptr;
    path = path.substr(0, path.find('?'));
    for (const Route *route : it->second)
        if (path.starts_with(route->pathPrefix))
            return route;
    return nullptr;
}

RoutedService RoutingTable::serviceOf(const std::string &name) const
{
    const auto it = m_document.services.find(name);
    return it == m_document.services.end() ? RoutedService{} : it->second;
}

std::size_t WeightedRoundRobin::next(const std::vector<WeightedService> &services)
{
    if (m_credits.size() != services.size())
        m_credits.assign(services.size(), 0.0);
    double total = 0.0;
    for (std::size_t i = 0; i < services.size(); ++i) {
        m_credits[i] += services[i].weight;
        total += services[i].weight;
    }
    const auto highestCredit = std::max_element(m_credits.begin(), m_credits.end());
    *highestCredit -= total;
    return static_cast<std::size_t>(highestCredit - m_credits.begin());
}

} // namespace mangoshift
