#include "soak/loadgenerator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "soak/loadconnection.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Outcome = CallerRecord::Outcome;

constexpr std::array Routes{RouteKind::All, RouteKind::Moving, RouteKind::Orders};
/// The share of requests whose caller disconnects before the response.
constexpr double DisconnectShare = 0.02;
/// The share of requests whose VM is drawn from all VMs; that of the others is drawn from the VMs
/// that the load balancer has not removed. A request without an idle connection to its VM opens a
/// connection to a VM that has not been removed.
constexpr double AnyVmShare = 0.8;
/// How long a caller waits beyond the deadline that its request states.
constexpr milliseconds ExtraResponseTimeout{1500};
/// The longest time after which a caller that disconnects before the response does so.
constexpr milliseconds MaxTimeToDisconnect{200};
constexpr milliseconds ReadyInterval{1000};
constexpr int FailedChecksToRemove = 2;

std::string pathOf(RouteKind route)
{
    switch (route) {
    case RouteKind::All:
        return "/all/x";
    case RouteKind::Moving:
        return "/moving/x";
    case RouteKind::Orders:
        return "/orders/x";
    }
    return {};
}

} // namespace

LoadGenerator::LoadGenerator(asio::io_context &io, const Shape &shape, std::vector<VmAddresses> vms,
                             std::uint64_t seed)
    : m_io(io)
    , m_shape(shape)
    , m_random(seed)
{
    for (VmAddresses &vm : vms)
        m_vms.push_back({std::move(vm), 0, {}});
    for (std::size_t i = 0; i < Routes.size() + m_vms.size(); ++i)
        m_timers.push_back(std::make_unique<asio::basic_waitable_timer<Clock>>(m_io));
}

LoadGenerator::~LoadGenerator() = default;

void LoadGenerator::start()
{
    for (const RouteKind route : Routes)
        scheduleNext(route);
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        checkReady(static_cast<int>(vm));
}

double LoadGenerator::drawUniform()
{
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
}

double LoadGenerator::rateOf(RouteKind route) const
{
    switch (route) {
    case RouteKind::All:
        return m_shape.allRate;
    case RouteKind::Moving:
        return m_shape.movingRate;
    case RouteKind::Orders:
        return m_shape.ordersRate;
    }
    return 0;
}

void LoadGenerator::scheduleNext(RouteKind route)
{
    const double gap = -std::log(1.0 - drawUniform()) / (rateOf(route) * m_loadFactor);
    auto &timer = *m_timers[static_cast<std::size_t>(route)];
    timer.expires_after(
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap)));
    timer.async_wait([this, route](const asio::error_code &error) {
        if (error || !m_isSending)
            return;
        send(route);
        scheduleNext(route);
    });
}

int LoadGenerator::pickVm()
{
    std::vector<int> inRotation;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        if (m_vms[vm].failedReadyChecks < FailedChecksToRemove)
            inRotation.push_back(static_cast<int>(vm));
    if (inRotation.empty())
        return static_cast<int>(m_random() % m_vms.size());
    return inRotation[m_random() % inRotation.size()];
}

std::shared_ptr<LoadConnection> LoadGenerator::takeIdleConnection(int vm)
{
    auto &idle = m_vms[static_cast<std::size_t>(vm)].idleConnections;
    while (!idle.empty()) {
        std::shared_ptr<LoadConnection> connection = idle.back();
        idle.pop_back();
        if (connection->isOpen())
            return connection;
    }
    return nullptr;
}

CallerRecord LoadGenerator::makeRecord(RouteKind route)
{
    CallerRecord record;
    record.id = "r" + std::to_string(++m_lastRequest);
    record.route = route;
    const bool isOrder = route == RouteKind::Orders;
    record.requestSummary = std::string(isOrder ? "POST " : "GET ") + pathOf(route) + " "
        + (isOrder ? "order-" + record.id : "");
    record.sentAt = Clock::now();
    return record;
}

std::string LoadGenerator::serializeRequest(const CallerRecord &record) const
{
    HttpRequest request;
    const bool isOrder = record.route == RouteKind::Orders;
    const milliseconds timeout =
        record.route == RouteKind::All ? m_shape.allTimeout : m_shape.pooledTimeout;
    request.method = isOrder ? "POST" : "GET";
    request.target = pathOf(record.route);
    request.headers.add("Host", "shop.example");
    request.headers.add("X-Request-Id", record.id);
    request.headers.add("X-Deadline-Ms", std::to_string(timeout.count()));
    if (isOrder)
        request.body = "order-" + record.id;
    std::string bytes;
    appendRequest(bytes, request);
    return bytes;
}

void LoadGenerator::send(RouteKind route)
{
    CallerRecord record = makeRecord(route);
    // An idle connection may be used even if the load balancer has removed its VM.
    record.vm = drawUniform() < AnyVmShare ? static_cast<int>(m_random() % m_vms.size()) : pickVm();
    std::shared_ptr<LoadConnection> connection = takeIdleConnection(record.vm);
    if (!connection) {
        record.vm = pickVm();
        const VmState &vm = m_vms[static_cast<std::size_t>(record.vm)];
        connection = std::make_shared<LoadConnection>(m_io, vm.addresses.callerAddress);
    }
    record.isOnReusedConnection = connection->isReused();
    const milliseconds timeout =
        route == RouteKind::All ? m_shape.allTimeout : m_shape.pooledTimeout;
    const Clock::duration responseTimeout = timeout + ExtraResponseTimeout;
    const Clock::duration disconnectAfter = drawUniform() < DisconnectShare
        ? std::chrono::duration_cast<Clock::duration>(drawUniform() * MaxTimeToDisconnect)
        : responseTimeout;
    ++m_inFlight;
    const std::string bytes = serializeRequest(record);
    connection->send(bytes, responseTimeout, disconnectAfter,
                     [this, connection, record = std::move(record)](Outcome outcome,
                                                                    HttpResponse response) mutable {
                         record.outcome = outcome;
                         record.endedAt = Clock::now();
                         record.connectedAt = connection->connectedAt();
                         record.status = response.status;
                         record.stamp = response.headers.value("x-server-stamp");
                         record.partStamps = response.headers.value("x-part-stamps");
                         record.missingParts = response.headers.value("x-missing-parts");
                         record.isTargetLeaving = response.headers.contains("server-leaving");
                         record.body = std::move(response.body);
                         onEnded(connection, std::move(record),
                                 outcome == Outcome::Responded && connection->isOpen());
                     });
}

void LoadGenerator::onEnded(const std::shared_ptr<LoadConnection> &connection, CallerRecord record,
                            bool isReusable)
{
    --m_inFlight;
    if (isReusable)
        m_vms[static_cast<std::size_t>(record.vm)].idleConnections.push_back(connection);
    m_records.push_back(std::move(record));
}

void LoadGenerator::checkReady(int vm)
{
    VmState &state = m_vms[static_cast<std::size_t>(vm)];
    const auto connection = std::make_shared<LoadConnection>(m_io, state.addresses.readyAddress);
    HttpRequest request;
    request.method = "GET";
    request.target = "/api/ready";
    request.headers.add("Host", state.addresses.readyAddress.toString());
    std::string bytes;
    appendRequest(bytes, request);
    connection->send(bytes, ReadyInterval, ReadyInterval,
                     [connection, &state](Outcome outcome, const HttpResponse &response) {
                         const bool isReady =
                             outcome == Outcome::Responded && response.status == 200;
                         state.failedReadyChecks = isReady ? 0 : state.failedReadyChecks + 1;
                         connection->close();
                     });
    auto &timer = *m_timers[Routes.size() + static_cast<std::size_t>(vm)];
    timer.expires_after(ReadyInterval);
    timer.async_wait([this, vm](const asio::error_code &error) {
        if (!error && m_isSending)
            checkReady(vm);
    });
}

} // namespace mangoshift::soak
