#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include <asio/basic_waitable_timer.hpp>
#include <asio/io_context.hpp>

#include "base/address.h"
#include "soak/evidence.h"
#include "soak/shape.h"

namespace mangoshift::soak {

class LoadConnection;

/// Simulates callers that send requests at random times to VMs behind a load balancer, and records
/// the outcome of each request.
///
/// A VM that fails two readiness checks in a row gets no new connections until a check succeeds,
/// unless all VMs fail their checks. Its open connections stay in use until they are closed. Runs
/// on one event loop.
class LoadGenerator
{
public:
    /// The addresses of one VM.
    struct VmAddresses
    {
        Address callerAddress;
        Address readyAddress;
    };

    LoadGenerator(asio::io_context &io, const Shape &shape, std::vector<VmAddresses> vms,
                  std::uint64_t seed);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator &) = delete;
    LoadGenerator &operator=(const LoadGenerator &) = delete;

    void start();
    /// Sends no new requests; requests in flight continue.
    void stopSending() { m_isSending = false; }
    /// Multiplies the request rates by `factor`. May be called from any thread.
    void setLoadFactor(double factor) { m_loadFactor = factor; }
    /// Returns the records of all requests that have ended.
    const std::vector<CallerRecord> &records() const { return m_records; }
    std::size_t inFlight() const { return m_inFlight; }

private:
    struct VmState
    {
        VmAddresses addresses;
        int failedReadyChecks = 0;
        std::vector<std::shared_ptr<LoadConnection>> idleConnections;
    };

    void scheduleNext(RouteKind route);
    double rateOf(RouteKind route) const;
    void send(RouteKind route);
    int pickVm();
    std::shared_ptr<LoadConnection> takeIdleConnection(int vm);
    CallerRecord makeRecord(RouteKind route);
    std::string serializeRequest(const CallerRecord &record) const;
    void onEnded(const std::shared_ptr<LoadConnection> &connection, CallerRecord record,
                 bool isReusable);
    void checkReady(int vm);
    double drawUniform();

    asio::io_context &m_io;
    Shape m_shape;
    std::vector<VmState> m_vms;
    std::mt19937_64 m_random;
    std::atomic<double> m_loadFactor{1.0};
    bool m_isSending = true;
    std::size_t m_inFlight = 0;
    std::uint64_t m_lastRequest = 0;
    std::vector<std::unique_ptr<asio::basic_waitable_timer<Clock>>> m_timers;
    std::vector<CallerRecord> m_records;
};

} // namespace mangoshift::soak
