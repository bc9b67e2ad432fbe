#include <algorithm>
#include <array>
#include <charconv>
#include <map>
#include <set>
#include <utility>

#include "mangoshift/configcheck.h"

namespace mangoshift {

namespace {

using Fields = std::map<std::string, std::string>;

/// The fields of each entry, by the entry's place.
using EntryFields = std::map<std::string, Fields>;

// The functions below unpack every struct with a structured binding, which no longer compiles once
// the struct has another member. So no member can be left out of the comparison.

std::string textOf(bool value)
{
    return value ? "true" : "false";
}

std::string textOf(std::chrono::milliseconds time)
{
    return std::to_string(time.count()) + " ms";
}

/// Returns the shortest text that is unique to the value.
std::string textOf(double value)
{
    std::array<char, 32> text{};
    const auto result = std::to_chars(text.data(), text.data() + text.size(), value);
    return {text.data(), result.ptr};
}

void addDestination(Fields &fields, const ForwardTo &forward)
{
    const auto &[services] = forward;
    fields["destination"] = "one service";
    std::map<std::string, double> weights;
    for (const auto &[service, weight] : services)
        weights[service] += weight;
    for (const auto &[service, weight] : weights)
        fields["weight of " + service] = textOf(weight);
}

void addDestination(Fields &fields, const FanOutTo &fanOut)
{
    const auto &[shards, records, minCoverage] = fanOut;
    fields["destination"] = "fan-out";
    fields["records"] = std::to_string(records);
    fields["least coverage"] = textOf(minCoverage);
    for (const std::string &shard : shards)
        fields["shard " + shard] = "present";
}

Fields fieldsOf(const Route &route)
{
    const auto &[name, host, pathPrefix, isIdempotent, timeout, latencyTarget, priority,
                 maxAttempts, destination] = route;
    Fields fields{{"host", host},
                  {"prefix", pathPrefix},
                  {"may run more than once", textOf(isIdempotent)},
                  {"timeout", textOf(timeout)},
                  {"latency target", textOf(latencyTarget)},
                  {"priority", std::to_string(priority)},
                  {"attempts", std::to_string(maxAttempts)}};
    std::visit([&fields](const auto &each) { addDestination(fields, each); }, destination);
    return fields;
}

Fields fieldsOf(const RoutedService &service)
{
    const auto &[maxConnections, warmupRate, maxWarmup] = service;
    return {{"connections", std::to_string(maxConnections)},
            {"warm-up rate", textOf(warmupRate)},
            {"warm-up time", maxWarmup ? textOf(*maxWarmup) : std::string()}};
}

Fields fieldsOf(const CallerLimits &limits)
{
    const auto &[headerBytes, bodyBytes, headerTimeout, idleTimeout] = limits;
    return {{"header bytes", std::to_string(headerBytes)},
            {"body bytes", std::to_string(bodyBytes)},
            {"header timeout", textOf(headerTimeout)},
            {"idle timeout", textOf(idleTimeout)}};
}

/// Returns the places of the routes in their order. A name that is used again gets a number.
std::vector<std::string> placesOf(const std::vector<Route> &routes)
{
    std::vector<std::string> places;
    std::map<std::string, int> uses;
    for (const Route &route : routes) {
        const int use = ++uses[route.name];
        places.push_back("route " + route.name
                         + (use == 1 ? "" : " (" + std::to_string(use) + ")"));
    }
    return places;
}

EntryFields entriesOf(const RoutingDocument &document)
{
    const auto &[version, routes, services, limits] = document;
    EntryFields entries{{"document", {{"version", std::to_string(version)}}},
                        {"limits", fieldsOf(limits)}};
    const std::vector<std::string> places = placesOf(routes);
    for (std::size_t i = 0; i < routes.size(); ++i)
        entries[places[i]] = fieldsOf(routes[i]);
    for (const auto &[name, service] : services)
        entries["service " + name] = fieldsOf(service);
    return entries;
}

Fields fieldsOf(const Target &target)
{
    const auto &[name, address, failureDomain, slots, connections] = target;
    return {{"address", address},
            {"failure domain", failureDomain},
            {"slots", std::to_string(slots)},
            {"connections", std::to_string(connections)}};
}

Fields fieldsOf(const RequestKind &kind)
{
    const auto &[name, priority, isIdempotent] = kind;
    return {{"priority", std::to_string(priority)},
            {"may run more than once", textOf(isIdempotent)}};
}

void addService(EntryFields &entries, const Service &service, const Document &document)
{
    const auto &[name, kind, deadline, partialAnswers, shards] = service;
    const std::string place = "service " + name;
    const std::string shardPlace = place + ", shard ";
    entries[place] = {{"kind", document.kinds[kind].name},
                      {"deadline", textOf(deadline)},
                      {"partial answers", textOf(partialAnswers)}};
    for (const auto &[shardName, key, replicas] : shards) {
        std::string names;
        for (const std::size_t replica : replicas)
            names += (names.empty() ? "" : ", ") + document.targets[replica].name;
        entries[shardPlace + shardName]["replicas"] = names;
    }
}

EntryFields entriesOf(const Document &document)
{
    // The version is given by the platform and is not part of the text.
    const auto &[version, baseVersion, kinds, targets, services, allowMassRemoval] = document;
    EntryFields entries{{"document",
                         {{"base version", std::to_string(baseVersion)},
                          {"mass removal allowed", textOf(allowMassRemoval)}}}};
    for (const RequestKind &kind : kinds)
        entries["kind " + kind.name] = fieldsOf(kind);
    for (const Target &target : targets)
        entries["target " + target.name] = fieldsOf(target);
    for (const Service &service : services)
        addService(entries, service, document);
    return entries;
}

std::optional<std::string> findField(const Fields &fields, const std::string &name)
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::nullopt : std::optional(it->second);
}

void compareFields(ConfigDifferences &differences, const std::string &place, const Fields &before,
                   const Fields &after)
{
    Fields all = before;
    all.insert(after.begin(), after.end());
    for (const auto &[field, value] : all) {
        auto old = findField(before, field);
        auto current = findField(after, field);
        if (old != current)
            differences.push_back({place, field, std::move(old), std::move(current)});
    }
}

ConfigDifferences compareEntries(const EntryFields &before, const EntryFields &after)
{
    ConfigDifferences differences;
    EntryFields all = before;
    all.insert(after.begin(), after.end());
    for (const auto &[place, fields] : all) {
        const auto old = before.find(place);
        const auto current = after.find(place);
        if (old == before.end())
            differences.push_back({place, "", std::nullopt, "present"});
        else if (current == after.end())
            differences.push_back({place, "", "present", std::nullopt});
        else
            compareFields(differences, place, old->second, current->second);
    }
    return differences;
}

/// Returns the places of `routes` that `others` has too, in the order of `routes`.
std::string commonOrder(const std::vector<Route> &routes, const std::vector<Route> &others)
{
    const std::vector<std::string> otherPlaces = placesOf(others);
    const std::set<std::string> known(otherPlaces.begin(), otherPlaces.end());
    std::string order;
    for (const std::string &place : placesOf(routes))
        if (known.contains(place))
            order += (order.empty() ? "" : ", ") + place;
    return order;
}

} // namespace

ConfigDifferences differencesOf(const Document &before, const Document &after)
{
    return compareEntries(entriesOf(before), entriesOf(after));
}

ConfigDifferences differencesOf(const RoutingDocument &before, const RoutingDocument &after)
{
    ConfigDifferences differences = compareEntries(entriesOf(before), entriesOf(after));
    std::string oldOrder = commonOrder(before.routes, after.routes);
    std::string newOrder = commonOrder(after.routes, before.routes);
    if (oldOrder != newOrder)
        differences.push_back({"routes", "order", std::move(oldOrder), std::move(newOrder)});
    return differences;
}

} // namespace mangoshift
