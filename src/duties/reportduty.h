#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "base/address.h"
#include "base/metrics.h"
#include "duties/messages.h"

namespace mangoshift {

class CallerServer;

/// Requests one duty's part of the state dump. Returns false if the duty's ring is full.
using StateSource = std::function<bool(StateRequest)>;

/// The functions that provide the data for the reports on the operators' port.
struct ReportSources
{
    std::function<bool()> isReady;
    std::vector<std::pair<std::string, StateSource>> states;
};

/// The duty that serves the operators' port: `/healthz`, `/readyz`, `/metrics` and `/state`.
class ReportDuty
{
public:
    ReportDuty(Address address, ReportSources sources, const Metrics &metrics);
    ~ReportDuty();
    ReportDuty(const ReportDuty &) = delete;
    ReportDuty &operator=(const ReportDuty &) = delete;

    /// Starts to listen. Returns false if the address cannot be bound.
    bool start();
    void stop();

private:
    std::string stateJson() const;

    Address m_address;
    ReportSources m_sources;
    const Metrics &m_metrics;
    std::unique_ptr<CallerServer> m_server;
    std::thread m_thread;
};

} // namespace mangoshift
