#include "soak/load.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "soak/callerlink.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using End = CallerRecord::End;

constexpr std::array Routes{RouteKind::All, RouteKind::Moving, RouteKind::Orders};
/// One caller in so many leaves before its answer can be in.
constexpr double LeaveShare = 0.02;
/// How often a request goes over a connection that stands rather than over a new one.
constexpr double KeepShare = 0.8;
/// How much longer than the time it states a caller waits.
constexpr milliseconds ExtraPatience{1500};
constexpr milliseconds LongestStay{200};
constexpr milliseconds ReadyInterval{1000};
constexpr int MissesToLeave = 2;

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

Load::Load(asio::io_context &io, const Shape &shape, std::vector<Vm> vms, std::uint64_t seed)
    : m_io(io)
    , m_shape(shape)
    , m_random(seed)
{
    for (Vm &vm : vms)
        m_vms.push_back({std::move(vm), 0, {}});
    for (std::size_t i = 0; i < Routes.size() + m_vms.size(); ++i)
        m_timers.push_back(std::make_unique<asio::basic_waitable_timer<Clock>>(m_io));
}

Load::~Load() = default;

void Load::start()
{
    for (const RouteKind route : Routes)
        armNext(route);
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        askReady(static_cast<int>(vm));
}

double Load::draw()
{
    return static_cast<double>(m_random() >> 11U) * 0x1.0p-53;
}

double Load::rateOf(RouteKind route) const
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

void Load::armNext(RouteKind route)
{
    const double gap = -std::log(1.0 - draw()) / (rateOf(route) * m_pressure);
    auto &timer = *m_timers[static_cast<std::size_t>(route)];
    timer.expires_after(
        std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(gap)));
    timer.async_wait([this, route](const asio::error_code &error) {
        if (error || !m_isSending)
            return;
        send(route);
        armNext(route);
    });
}

int Load::pickVm()
{
    std::vector<int> inRotation;
    for (std::size_t vm = 0; vm < m_vms.size(); ++vm)
        if (m_vms[vm].misses < MissesToLeave)
            inRotation.push_back(static_cast<int>(vm));
    if (inRotation.empty())
        return static_cast<int>(m_random() % m_vms.size());
    return inRotation[m_random() % inRotation.size()];
}

std::shared_ptr<CallerLink> Load::takeIdle(int vm)
{
    auto &idle = m_vms[static_cast<std::size_t>(vm)].idle;
    while (!idle.empty()) {
        std::shared_ptr<CallerLink> link = idle.back();
        idle.pop_back();
        if (link->isOpen())
            return link;
    }
    return nullptr;
}

CallerRecord Load::newRecord(RouteKind route)
{
    CallerRecord record;
    record.id = "r" + std::to_string(++m_lastRequest);
    record.route = route;
    const bool isOrder = route == RouteKind::Orders;
    record.sent = std::string(isOrder ? "POST " : "GET ") + pathOf(route) + " "
        + (isOrder ? "order-" + record.id : "");
    record.sentAt = Clock::now();
    return record;
}

std::string Load::bytesOf(const CallerRecord &record) const
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

void Load::send(RouteKind route)
{
    CallerRecord record = newRecord(route);
    // Any VM's connection that stands may be used, also where the balancer has taken the VM out.
    record.vm = draw() < KeepShare ? static_cast<int>(m_random() % m_vms.size()) : pickVm();
    std::shared_ptr<CallerLink> link = takeIdle(record.vm);
    if (!link) {
        record.vm = pickVm();
        const VmState &vm = m_vms[static_cast<std::size_t>(record.vm)];
        link = std::make_shared<CallerLink>(m_io, vm.addresses.callers);
    }
    record.isOnKept = link->hasCarried();
    const milliseconds timeout =
        route == RouteKind::All ? m_shape.allTimeout : m_shape.pooledTimeout;
    const Clock::duration patience = timeout + ExtraPatience;
    const Clock::duration leaveAfter = draw() < LeaveShare
        ? std::chrono::duration_cast<Clock::duration>(draw() * LongestStay)
        : patience;
    ++m_underWay;
    const std::string bytes = bytesOf(record);
    link->send(bytes, patience, leaveAfter,
               [this, link, record = std::move(record)](End end, HttpResponse response) mutable {
                   record.end = end;
                   record.endedAt = Clock::now();
                   record.connectedAt = link->connectedAt();
                   record.status = response.status;
                   record.receipt = response.headers.value("x-server-stamp");
                   record.partReceipts = response.headers.value("x-part-stamps");
                   record.missingParts = response.headers.value("x-missing-parts");
                   record.body = std::move(response.body);
                   onEnded(link, std::move(record), end == End::Answered && link->isOpen());
               });
}

void Load::onEnded(const std::shared_ptr<CallerLink> &link, CallerRecord record, bool isKept)
{
    --m_underWay;
    if (isKept)
        m_vms[static_cast<std::size_t>(record.vm)].idle.push_back(link);
    m_records.push_back(std::move(record));
}

void Load::askReady(int vm)
{
    VmState &state = m_vms[static_cast<std::size_t>(vm)];
    const auto link = std::make_shared<CallerLink>(m_io, state.addresses.ready);
    HttpRequest request;
    request.method = "GET";
    request.target = "/api/ready";
    request.headers.add("Host", state.addresses.ready.toString());
    std::string bytes;
    appendRequest(bytes, request);
    link->send(bytes, ReadyInterval, ReadyInterval,
               [link, &state](End end, const HttpResponse &response) {
                   const bool isReady = end == End::Answered && response.status == 200;
                   state.misses = isReady ? 0 : state.misses + 1;
                   link->close();
               });
    auto &timer = *m_timers[Routes.size() + static_cast<std::size_t>(vm)];
    timer.expires_after(ReadyInterval);
    timer.async_wait([this, vm](const asio::error_code &error) {
        if (!error && m_isSending)
            askReady(vm);
    });
}

} // namespace mangoshift::soak
