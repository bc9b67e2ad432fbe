#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "app/replayrun.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// Injects the faults of a trace into a running deployment.
class FaultInjector
{
public:
    using BeforePublish = std::function<void(Document)>;

    /// `beforePublish` is called with each document just before it is published, on the thread that
    /// calls `run`.
    FaultInjector(const Trace &trace, const RunningDeployment &deployment,
                  BeforePublish beforePublish);

    /// Sets the initial behaviour of the targets. Returns false on an error, see `error()`.
    bool setInitialBehaviour();
    /// Returns how many queries the targets have run, according to their own records. For a process
    /// that does not respond, such as one killed by the trace, the last known count is used.
    std::uint64_t countTargetQueries();
    /// Injects all faults, each at its time after `start`. Blocks the calling thread until the last
    /// one is injected.
    void run(std::chrono::steady_clock::time_point start);
    /// Returns the first error, or an empty string. Must not be called while `run` is running.
    const std::string &error() const { return m_error; }

private:
    void inject(const ChangeTargets &change, std::chrono::steady_clock::time_point at);
    void inject(const SignalProcess &signal, std::chrono::steady_clock::time_point at);
    void inject(const PublishDocument &publish, std::chrono::steady_clock::time_point at);
    bool changeTarget(const std::string &name, const nlohmann::json &change);
    void recordError(std::string error);

    const Trace &m_trace;
    const RunningDeployment &m_deployment;
    BeforePublish m_beforePublish;
    nlohmann::json m_document;
    std::map<std::string, std::uint64_t> m_queriesByControl;
    std::string m_error;
};

} // namespace mangoshift
