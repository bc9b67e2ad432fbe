#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "soak/evidence.h"

namespace mangoshift::soak {

/// A receipt of the stand-in servers, taken apart.
struct Stamp
{
    std::string target;
    std::string request;
};
std::optional<Stamp> parseStamp(std::string_view text);

/// Evidence with what the checks look up in it.
class EvidenceIndex
{
public:
    explicit EvidenceIndex(const Evidence &evidence);

    const Evidence &evidence() const { return m_evidence; }
    const CallerRecord *findCaller(const std::string &request) const;
    /// Returns a request's events at servers, in their order.
    const std::vector<const TargetEvent *> &eventsOf(const std::string &request) const;
    std::size_t runCount(const std::string &request) const;
    std::string serviceOf(const std::string &target) const;

    /// Returns true where nothing disturbed the request's VM from `from` to `to` and for the stable
    /// window before, nor ever its connection. Planned changes count only where `includePlanned` is
    /// set.
    bool isVmUndisturbed(const CallerRecord &record, Clock::time_point from, Clock::time_point to,
                         bool includePlanned = true) const;
    bool isStoreUndisturbed(Clock::time_point from, Clock::time_point to) const;
    /// A server that is frozen or cut off sees late what was sent to it in time.
    bool isTargetUndisturbed(const std::string &target, Clock::time_point from,
                             Clock::time_point to) const;
    /// Returns the number of the VM's process that could have taken a request sent then; requests
    /// around a start belong to none.
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
