#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "soak/evidence.h"

namespace mangoshift::soak {

/// The stamp that a stand-in target puts into each response: the ids of the target and the request.
struct Stamp
{
    std::string target;
    std::string request;
};
/// Parses `TARGET.REQUEST.REST`. Returns nothing if the text has fewer than two dots.
std::optional<Stamp> parseStamp(std::string_view text);

/// Lookups in the evidence of a run, for the checks. The evidence must outlive the index.
class EvidenceIndex
{
public:
    explicit EvidenceIndex(const Evidence &evidence);

    const Evidence &evidence() const { return m_evidence; }
    /// Returns the caller's record of a request, or null if no caller sent it.
    const CallerRecord *findCaller(const std::string &request) const;
    /// Returns the events of a request at targets, in the order of the evidence.
    const std::vector<const TargetEvent *> &eventsOf(const std::string &request) const;
    /// Returns how often a request ran at any target.
    std::size_t runCount(const std::string &request) const;
    /// Returns the service of a target, or an empty string if the target is unknown.
    std::string serviceOf(const std::string &target) const;

    /// Returns true if nothing disturbed the VM of the request from `from` to `to` and in the
    /// stable window before `from`, and if the request's connection was never silenced. Planned
    /// changes count as disturbances only if `includePlanned` is set.
    bool isVmUndisturbed(const CallerRecord &record, Clock::time_point from, Clock::time_point to,
                         bool includePlanned = true) const;
    bool isStoreUndisturbed(Clock::time_point from, Clock::time_point to) const;
    /// Returns true if nothing disturbed the target's group in that time: a target that is frozen
    /// or cut off records late what was sent to it in time.
    bool isTargetUndisturbed(const std::string &target, Clock::time_point from,
                             Clock::time_point to) const;
    /// Returns the incarnation of the VM, counted from 1, that ran from `from` to `to`. Returns
    /// nothing if the VM was started in between, or not before `from`.
    std::optional<std::size_t> incarnationOf(int vm, Clock::time_point from,
                                             Clock::time_point to) const;

private:
    bool isUndisturbed(Disturbance::Subject subject, int index, Clock::time_point from,
                       Clock::time_point to, bool includePlanned) const;

    const Evidence &m_evidence;
    std::unordered_map<std::string, const CallerRecord *> m_callers;
    std::unordered_map<std::string, std::vector<const TargetEvent *>> m_events;
};

} // namespace mangoshift::soak
