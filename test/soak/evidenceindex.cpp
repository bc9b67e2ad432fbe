#include "soak/evidenceindex.h"

#include <algorithm>

namespace mangoshift::soak {

std::optional<Stamp> parseStamp(std::string_view text)
{
    const std::size_t first = text.find('.');
    const std::size_t second =
        first == std::string_view::npos ? std::string_view::npos : text.find('.', first + 1);
    if (second == std::string_view::npos)
        return std::nullopt;
    return Stamp{std::string(text.substr(0, first)),
                 std::string(text.substr(first + 1, second - first - 1))};
}

EvidenceIndex::EvidenceIndex(const Evidence &evidence)
    : m_evidence(evidence)
{
    for (const CallerRecord &record : evidence.callers)
        m_callers.emplace(record.id, &record);
    for (const TargetEvent &event : evidence.targetEvents)
        m_events[event.request].push_back(&event);
}

const CallerRecord *EvidenceIndex::findCaller(const std::string &request) const
{
    const auto it = m_callers.find(request);
    return it == m_callers.end() ? nullptr : it->second;
}

const std::vector<const TargetEvent *> &EvidenceIndex::eventsOf(const std::string &request) const
{
    static const std::vector<const TargetEvent *> none;
    const auto it = m_events.find(request);
    return it == m_events.end() ? none : it->second;
}

std::size_t EvidenceIndex::runCount(const std::string &request) const
{
    const auto &events = eventsOf(request);
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [](const TargetEvent *event) {
            return event->kind == TargetEvent::Kind::Ran;
        }));
}

std::string EvidenceIndex::serviceOf(const std::string &target) const
{
    const auto it = m_evidence.serviceByTarget.find(target);
    return it == m_evidence.serviceByTarget.end() ? std::string() : it->second;
}

bool EvidenceIndex::isUndisturbed(Disturbance::Subject subject, int index, Clock::time_point from,
                                  Clock::time_point to, bool includePlanned) const
{
    const Clock::time_point since = from - m_evidence.bounds.stableWindow;
    return std::none_of(m_evidence.disturbances.begin(), m_evidence.disturbances.end(),
                        [&](const Disturbance &each) {
                            return each.subject == subject && each.index == index
                                && (includePlanned || !each.isPlanned) && each.from <= to
                                && each.to >= since;
                        });
}

bool EvidenceIndex::isVmUndisturbed(const CallerRecord &record, Clock::time_point from,
                                    Clock::time_point to, bool includePlanned) const
{
    const bool isSilenced =
        std::any_of(m_evidence.disturbances.begin(), m_evidence.disturbances.end(),
                    [&record](const Disturbance &each) {
                        return each.silencesConnections && each.subject == Disturbance::Subject::Vm
                            && each.index == record.vm && record.connectedAt <= each.to
                            && each.from <= record.endedAt;
                    });
    return !isSilenced
        && isUndisturbed(Disturbance::Subject::Vm, record.vm, from, to, includePlanned);
}

bool EvidenceIndex::isStoreUndisturbed(Clock::time_point from, Clock::time_point to) const
{
    return isUndisturbed(Disturbance::Subject::Store, 0, from, to, true);
}

bool EvidenceIndex::isTargetUndisturbed(const std::string &target, Clock::time_point from,
                                        Clock::time_point to) const
{
    const auto group = m_evidence.groupByTarget.find(target);
    return group == m_evidence.groupByTarget.end()
        || isUndisturbed(Disturbance::Subject::Targets, group->second, from, to, true);
}

std::optional<std::size_t> EvidenceIndex::incarnationOf(int vm, Clock::time_point from,
                                                        Clock::time_point to) const
{
    const auto starts = m_evidence.vmStarts.find(vm);
    if (starts == m_evidence.vmStarts.end())
        return std::nullopt;
    std::size_t incarnation = 0;
    for (const Clock::time_point start : starts->second) {
        if (start > from && start <= to)
            return std::nullopt;
        incarnation += start <= from ? 1 : 0;
    }
    return incarnation == 0 ? std::nullopt : std::optional(incarnation);
}

} // namespace mangoshift::soak
