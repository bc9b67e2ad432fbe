#include "soak/ledger.h"

#include <algorithm>

namespace mangoshift::soak {

std::optional<Receipt> parseReceipt(std::string_view text)
{
    const std::size_t first = text.find('.');
    const std::size_t second =
        first == std::string_view::npos ? std::string_view::npos : text.find('.', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    return Receipt{std::string(text.substr(0, first)),
                   std::string(text.substr(first + 1, second - first - 1))};
}

Ledger::Ledger(const Evidence &evidence)
    : m_evidence(evidence)
{
    for (const CallerRecord &record : evidence.callers)
        m_callers.emplace(record.id, &record);
    for (const ServerEvent &event : evidence.servers)
        m_events[event.request].push_back(&event);
}

const CallerRecord *Ledger::caller(const std::string &request) const
{
    const auto it = m_callers.find(request);
    return it == m_callers.end() ? nullptr : it->second;
}

const std::vector<const ServerEvent *> &Ledger::eventsOf(const std::string &request) const
{
    static const std::vector<const ServerEvent *> none;
    const auto it = m_events.find(request);
    return it == m_events.end() ? none : it->second;
}

std::size_t Ledger::runs(const std::string &request) const
{
    const auto &events = eventsOf(request);
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [](const ServerEvent *event) {
            return event->kind == ServerEvent::Kind::Ran;
        }));
}

std::string Ledger::serviceOf(const std::string &server) const
{
    const auto it = m_evidence.serviceOf.find(server);
    return it == m_evidence.serviceOf.end() ? std::string() : it->second;
}

bool Ledger::isCalm(Disturbance::Subject subject, int index, Clock::time_point from,
                    Clock::time_point to, bool isWithPlanned) const
{
    const Clock::time_point since = from - m_evidence.bounds.stableWindow;
    return std::none_of(m_evidence.disturbances.begin(), m_evidence.disturbances.end(),
                        [&](const Disturbance &each) {
                            return each.subject == subject && each.index == index
                                && (isWithPlanned || !each.isPlanned) && each.from <= to
                                && each.to >= since;
                        });
}

bool Ledger::isVmCalm(const CallerRecord &record, Clock::time_point from, Clock::time_point to,
                      bool isWithPlanned) const
{
    const bool isSilenced =
        std::any_of(m_evidence.disturbances.begin(), m_evidence.disturbances.end(),
                    [&record](const Disturbance &each) {
                        return each.isSilencing && each.subject == Disturbance::Subject::Vm
                            && each.index == record.vm && record.connectedAt <= each.to
                            && each.from <= record.endedAt;
                    });
    return !isSilenced && isCalm(Disturbance::Subject::Vm, record.vm, from, to, isWithPlanned);
}

bool Ledger::isStoreCalm(Clock::time_point from, Clock::time_point to) const
{
    return isCalm(Disturbance::Subject::Store, 0, from, to, true);
}

bool Ledger::isServerCalm(const std::string &server, Clock::time_point from,
                          Clock::time_point to) const
{
    const auto group = m_evidence.groupOf.find(server);
    return group == m_evidence.groupOf.end()
        || isCalm(Disturbance::Subject::Servers, group->second, from, to, true);
}

std::optional<std::size_t> Ledger::bootOf(int vm, Clock::time_point from,
                                          Clock::time_point to) const
{
    const auto starts = m_evidence.starts.find(vm);
    if (starts == m_evidence.starts.end())
        return std::nullopt;
    std::size_t boot = 0;
    for (const Clock::time_point start : starts->second) {
        if (start > from && start <= to)
            return std::nullopt;
        boot += start <= from ? 1 : 0;
    }
    return boot == 0 ? std::nullopt : std::optional(boot);
}

} // namespace mangoshift::soak
