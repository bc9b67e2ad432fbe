#include "mangoshift/configcheck.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

#include "mangoshift/configstore.h"

namespace mangoshift {

namespace {

/// Prevents a rounding error from making a share such as 1 - 0.9 exceed 0.1.
constexpr double ShareTolerance = 1e-9;

std::string percentOf(double share)
{
    return std::to_string(std::lround(share * 100)) + "%";
}

std::string millisecondsOf(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

/// Collects what is found in a routing document.
class RoutingCheck
{
public:
    RoutingCheck(const RoutingDocument &document, const std::optional<HedgeTerms> &hedges)
        : m_document(document)
        , m_hedges(hedges)
    {
    }

    Findings run()
    {
        for (const Route &route : m_document.routes)
            checkRoute(route);
        std::set<std::string> names;
        for (const auto &[name, service] : m_document.services)
            names.insert(name);
        for (const std::string &name : names)
            if (!m_usedServices.contains(name))
                add(FindingKind::Unused, "service " + name, "no route uses it");
        checkLimits(m_document.limits);
        return std::move(m_findings);
    }

private:
    void add(FindingKind kind, const std::string &place, std::string text,
             FindingSeverity severity = FindingSeverity::Warning)
    {
        m_findings.push_back({severity, kind, place, std::move(text)});
    }

    void checkRoute(const Route &route)
    {
        const std::string place = "route " + route.name;
        if (!m_routeNames.insert(route.name).second)
            add(FindingKind::Contradiction, place, "another route has the same name");
        checkMatching(route, place);
        checkTimes(route, place);
        if (const auto *fanOut = std::get_if<FanOutTo>(&route.destination))
            checkFanOut(*fanOut, place);
        else
            for (const WeightedService &each : std::get<ForwardTo>(route.destination).services)
                useService(each.service, place);
        if (m_hedges && route.isIdempotent && route.maxAttempts > 1
            && m_hedges->hedgedShare > m_hedges->budgetRatio + ShareTolerance)
            add(FindingKind::Contradiction, place,
                "up to " + percentOf(m_hedges->hedgedShare)
                    + " of its requests are hedged, but beyond its slack the retry budget allows "
                    + percentOf(m_hedges->budgetRatio));
    }

    void checkMatching(const Route &route, const std::string &place)
    {
        const auto [it, isNew] =
            m_routesByPrefix.emplace(std::pair(route.host, route.pathPrefix), route.name);
        if (!isNew)
            add(FindingKind::Unused, place,
                "route " + it->second + " has the same host and prefix and takes precedence");
        if (route.host.find(':') != std::string::npos)
            add(FindingKind::Unused, place,
                "never matches: the host has a port, which is removed from the host of a request");
        if (!route.pathPrefix.starts_with('/') || route.pathPrefix.find('?') != std::string::npos)
            add(FindingKind::Unused, place,
                "never matches: the prefix does not begin with '/', or contains '?'");
    }

    void checkTimes(const Route &route, const std::string &place)
    {
        if (route.latencyTarget > route.timeout)
            add(FindingKind::Contradiction, place,
                "the latency target of " + millisecondsOf(route.latencyTarget)
                    + " is above the timeout of " + millisecondsOf(route.timeout),
                FindingSeverity::Error);
        if (route.timeout.count() == 0)
            add(FindingKind::Contradiction, place, "the timeout of 0 ms leaves no time to respond");
        if (route.latencyTarget.count() == 0)
            add(FindingKind::Contradiction, place, "no response meets a latency target of 0 ms");
    }

    void checkFanOut(const FanOutTo &fanOut, const std::string &place)
    {
        std::size_t listed = 0;
        for (const std::string &shard : fanOut.shards)
            listed += useService(shard, place) ? 1 : 0;
        if (listed < fanOut.minShards())
            add(FindingKind::Contradiction, place,
                "the least coverage requires " + std::to_string(fanOut.minShards()) + " of "
                    + std::to_string(fanOut.shards.size()) + " shards, but only "
                    + std::to_string(listed) + " are listed as services",
                FindingSeverity::Error);
        if (fanOut.records == 0)
            add(FindingKind::Contradiction, place, "an answer may have 0 records");
    }

    /// Records that a route uses the service. Returns whether the document lists it.
    bool useService(const std::string &name, const std::string &place)
    {
        m_usedServices.insert(name);
        const bool isListed = m_document.services.contains(name);
        if (!isListed)
            add(FindingKind::Contradiction, place,
                "service " + name + " is not listed and gets the default limits");
        return isListed;
    }

    void checkLimits(const CallerLimits &limits)
    {
        if (limits.headerBytes == 0)
            add(FindingKind::Contradiction, "limits", "0 header bytes admit no request");
        if (limits.headerTimeout.count() == 0)
            add(FindingKind::Contradiction, "limits", "a header timeout of 0 ms admits no request");
    }

    const RoutingDocument &m_document;
    const std::optional<HedgeTerms> &m_hedges;
    std::set<std::string> m_routeNames;
    std::map<std::pair<std::string, std::string>, std::string> m_routesByPrefix;
    std::set<std::string> m_usedServices;
    Findings m_findings;
};

/// Adds the entries of a document that nothing uses and the targets that share an address.
void checkEntries(Findings &findings, const Document &document)
{
    std::set<std::size_t> usedKinds;
    std::set<std::size_t> usedTargets;
    for (const Service &service : document.services) {
        usedKinds.insert(service.kind);
        for (const Shard &shard : service.shards)
            usedTargets.insert(shard.replicas.begin(), shard.replicas.end());
    }
    for (std::size_t i = 0; i < document.kinds.size(); ++i)
        if (!usedKinds.contains(i))
            findings.push_back({FindingSeverity::Warning, FindingKind::Unused,
                                "kind " + document.kinds[i].name, "no service uses it"});
    std::map<std::string, std::string> namesByAddress;
    for (std::size_t i = 0; i < document.targets.size(); ++i) {
        const Target &target = document.targets[i];
        const std::string place = "target " + target.name;
        if (!usedTargets.contains(i))
            findings.push_back(
                {FindingSeverity::Warning, FindingKind::Unused, place, "no shard uses it"});
        const auto [it, isNew] = namesByAddress.emplace(target.address, target.name);
        if (!isNew)
            findings.push_back({FindingSeverity::Warning, FindingKind::Contradiction, place,
                                "target " + it->second
                                    + " has the same address, so that the slots and connections "
                                      "of both count separately"});
    }
}

/// Adds the conditions under which a document does not replace the one in force.
void checkSuccession(Findings &findings, const Document &current, const Document &next)
{
    if (!next.allowMassRemoval && removesMostTargets(current, next))
        findings.push_back({FindingSeverity::Error, FindingKind::Rejected, "document",
                            "lacks more than half of the targets in force, and mass removal is "
                            "not allowed"});
    // The document in force has a greater version than the one that it was edited from.
    if (next.baseVersion != 0 && next.baseVersion <= current.baseVersion)
        findings.push_back({FindingSeverity::Warning, FindingKind::Contradiction, "document",
                            "was edited from an older version than the one in force and may "
                            "revert its changes"});
}

} // namespace

bool ConfigCheck::hasErrors() const
{
    return std::any_of(findings.begin(), findings.end(), [](const Finding &finding) {
        return finding.severity == FindingSeverity::Error;
    });
}

ConfigCheck checkDocument(const Document &next, const Document *current)
{
    ConfigCheck check;
    checkEntries(check.findings, next);
    if (current == nullptr)
        return check;
    check.differences = differencesOf(*current, next);
    if (!check.differences->empty())
        checkSuccession(check.findings, *current, next);
    return check;
}

ConfigCheck checkRouting(const RoutingDocument &next, const RoutingDocument *current,
                         const std::optional<HedgeTerms> &hedges)
{
    ConfigCheck check{RoutingCheck(next, hedges).run(), std::nullopt};
    if (current == nullptr)
        return check;
    check.differences = differencesOf(*current, next);
    if (!check.differences->empty() && next.version <= current->version)
        check.findings.push_back({FindingSeverity::Error, FindingKind::Rejected, "document",
                                  "version " + std::to_string(next.version)
                                      + " is not above version " + std::to_string(current->version)
                                      + ", which is in force"});
    return check;
}

} // namespace mangoshift
