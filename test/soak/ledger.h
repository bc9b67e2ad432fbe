#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "soak/evidence.h"

namespace mangoshift::soak {

/// A receipt of the stand-in servers, taken apart.
struct Receipt
{
    std::string server;
    std::string request;
};
std::optional<Receipt> parseReceipt(std::string_view text);

/// Evidence with what the checks look up in it.
class Ledger
{
public:
    explicit Ledger(const Evidence &evidence);

    const Evidence &evidence() const { return m_evidence; }
    const CallerRecord *caller(const std::string &request) const;
    /// Returns a request's events at servers, in their order.
    const std::vector<const ServerEvent *> &eventsOf(const std::string &request) const;
    std::size_t runs(const std::string &request) const;
    std::string serviceOf(const std::string &server) const;

    /// Returns true where nothing disturbed the request's VM from `from` to `to` and for the stable
    /// window before, nor ever its connection. Planned changes count only where `isWithPlanned` is
    /// set.
    bool isVmCalm(const CallerRecord &record, Clock::time_point from, Clock::time_point to,
                  bool isWithPlanned = true) const;
    bool isStoreCalm(Clock::time_point from, Clock::time_point to) const;
    /// A server that is frozen or cut off sees late what was sent to it in time.
    bool isServerCalm(const std::string &server, Clock::time_point from,
                      Clock::time_point to) const;
    /// Returns the number of the VM's process that could have taken a request sent then; requests
    /// around a start belong to none.
    std::optional<std::size_t> bootOf(int vm, Clock::time_point from, Clock::time_point to) const;

private:
    bool isCalm(Disturbance::Subject subject, int index, Clock::time_point from,
                Clock::time_point to, bool isWithPlanned) const;

    const Evidence &m_evidence;
    std::unordered_map<std::string, const CallerRecord *> m_callers;
    std::unordered_map<std::string, std::vector<const ServerEvent *>> m_events;
};

} // namespace mangoshift::soak
