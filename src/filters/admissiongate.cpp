#include "filters/admissiongate.h"

#include <nlohmann/json.hpp>

#include "base/jsontext.h"

namespace mangoshift {

AdmissionGate::AdmissionGate(std::size_t capacity, std::uint64_t seed, bool isEnabled)
    : m_controller(capacity, seed)
    , m_isEnabled(isEnabled)
{
}

std::optional<Problem> AdmissionGate::admit(CallerRequest &request)
{
    if (!m_isEnabled)
        return std::nullopt;
    const std::uint8_t priority =
        request.document->document().kinds[request.service->kind].priority;
    std::optional<AdmissionRefusal> refusal;
    {
        const std::lock_guard lock(m_mutex);
        refusal =
            m_controller.tryAdmit(request.serviceName, priority, request.deadline, Clock::now());
    }
    if (!refusal) {
        request.isAdmitted = true;
        return std::nullopt;
    }
    const bool isInfeasible = refusal->cause == RefusalCause::Infeasible;
    Problem problem;
    problem.status = 503;
    problem.detail = isInfeasible ? "answers take longer than the deadline at present"
                                  : "as many requests run as may";
    problem.field = isInfeasible ? "Deadline-Ms" : "";
    problem.verdict = {Execution::NotRun, Reason::Overloaded, refusal->retryAfter};
    problem.cause = toString(refusal->cause);
    return problem;
}

void AdmissionGate::finish(const CallerRequest &request, const AdmittedOutcome &outcome)
{
    if (!request.isAdmitted)
        return;
    const std::lock_guard lock(m_mutex);
    m_controller.onFinished(request.serviceName, outcome, Clock::now());
}

std::string AdmissionGate::stateJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json services = nlohmann::json::array();
    for (const AdmissionController::ServiceStatus &each : m_controller.status())
        services.push_back({{"service", each.service},
                            {"priority", each.priority},
                            {"limit", each.limit},
                            {"in_flight", each.inFlight},
                            {"typical_time_us", each.typicalTime.count()}});
    return jsonText(nlohmann::json{{"enabled", m_isEnabled},
                                   {"capacity", m_controller.capacity()},
                                   {"in_flight", m_controller.inFlight()},
                                   {"services", std::move(services)}});
}

} // namespace mangoshift
