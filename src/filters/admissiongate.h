#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>

#include "filters/callerrequest.h"
#include "mangoshift/admission.h"

namespace mangoshift {

/// Makes one `AdmissionController` usable from any thread.
class AdmissionGate
{
public:
    /// `capacity` is the most requests in flight at once. If `isEnabled` is false, every request is
    /// admitted.
    AdmissionGate(std::size_t capacity, std::uint64_t seed, bool isEnabled);

    /// Admits the request, in which case `finish` must be called when it ends, or returns why it
    /// was refused.
    std::optional<Problem> admit(CallerRequest &request);
    /// Records how an admitted request ended and frees its slot. Does nothing for a request that
    /// was not admitted.
    void finish(const CallerRequest &request, const AdmittedOutcome &outcome);
    /// Returns the limits and the requests in flight as JSON, for the state dump.
    std::string stateJson() const;

private:
    mutable std::mutex m_mutex;
    AdmissionController m_controller;
    bool m_isEnabled;
};

} // namespace mangoshift
