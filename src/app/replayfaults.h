#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "app/replayrun.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// Brings about the faults of a trace, each at its time. Blocks its thread while it runs.
class FaultInjector
{
public:
    using BeforePublish = std::function<void(Document)>;

    /// `beforePublish` is called with each document just before it is published.
    FaultInjector(const Trace &trace, const RunningDeployment &deployment,
                  BeforePublish beforePublish);

    /// Sets the targets' behaviour with which the trace starts. Returns false on an error.
    bool setInitialBehaviour();
    /// Returns how many queries the targets have run by their own records. A process that does not
    /// answer, such as one that a trace has killed, counts as it did when last asked.
    std::uint64_t countTargetQueries();
    /// Brings about all faults, `start` being the trace's time zero.
    void run(std::chrono::steady_clock::time_point start);
    /// Returns what went wrong first, or an empty text. To be read when `run` has returned.
    const std::string &error() const { return m_error; }

private:
    void inject(const ChangeTargets &change, std::chrono::steady_clock::time_point at);
    void inject(const SignalProcess &signal, std::chrono::steady_clock::time_point at);
    void inject(const PublishDocument &publish, std::chrono::steady_clock::time_point at);
    bool changeTarget(const std::string &name, const nlohmann::json &change);
    void fail(std::string error);

    const Trace &m_trace;
    const RunningDeployment &m_deployment;
    BeforePublish m_beforePublish;
    nlohmann::json m_document;
    std::map<std::string, std::uint64_t> m_queriesByControl;
    std::string m_error;
};

} // namespace mangoshift
