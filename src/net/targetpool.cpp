#include "net/targetpool.h"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include <asio/post.hpp>

#include "net/targetconnection.h"

namespace mangoshift {

namespace {

/// The maximum number of concurrent connection attempts. Accepting connections is expensive for a
/// target, so this limits their rate.
constexpr std::size_t MaxPendingConnects = 2;
/// Distinguishes the ID of a cancellation from that of the request that it cancels.
constexpr const char *CancellationPrefix = "cancel ";

} // namespace

TargetPool::TargetPool(asio::io_context &io, Address address, std::size_t maxConnections,
                       PoolTimeouts timeouts)
    : m_io(io)
    , m_address(std::move(address))
    , m_maxConnections(maxConnections)
    , m_timeouts(timeouts)
    , m_waitingTimer(io)
    , m_idleTimer(io)
    , m_self(std::make_shared<TargetPool *>(this))
{
}

TargetPool::~TargetPool()
{
    m_self.reset();
    for (const ConnectionPtr &connection : m_connections)
        connection->detach();
}

void TargetPool::send(PooledRequest request, Done done, OnSent onSent)
{
    request.message.headers.add(std::string(CallIdHeader), request.callId);
    m_waiting.push_back(WaitingRequest{std::move(request), std::move(done), std::move(onSent)});
    dispatchWaiting();
}

void TargetPool::cancel(const std::string &callId)
{
    const auto waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [&](const WaitingRequest &each) { return each.request.callId == callId; });
    if (waiting != m_waiting.end()) {
        failWaiting(waiting, HttpResult::End::TimedOut);
        return;
    }
    const auto busy = m_busy.find(callId);
    if (busy != m_busy.end())
        busy->second->cancelRequest();
}

void TargetPool::dispatchWaiting()
{
    while (!m_waiting.empty() && !m_idle.empty()) {
        // The clock is read for each request, since the process may have been paused meanwhile.
        if (Clock::now() >= m_waiting.front().request.deadline) {
            failWaiting(m_waiting.begin(), HttpResult::End::TimedOut);
            continue;
        }
        // The most recently used connection is the least likely to be dead.
        const ConnectionPtr connection = m_idle.back();
        m_idle.pop_back();
        if (!connection->isQuiet()) {
            connection->close();
            continue;
        }
        WaitingRequest next = std::move(m_waiting.front());
        m_waiting.pop_front();
        m_busy[next.request.callId] = connection;
        if (next.onSent)
            next.onSent();
        connection->start(std::move(next.request), std::move(next.done));
    }
    openConnections(m_waiting.size());
    armWaitingTimer();
}

void TargetPool::openConnections(std::size_t wantedConnections)
{
    while (m_connecting < std::min(wantedConnections, MaxPendingConnects)
           && m_connections.size() < m_maxConnections) {
        ++m_connecting;
        m_connections.push_back(std::make_shared<TargetConnection>(m_io, *this));
        m_connections.back()->connect();
    }
}

void TargetPool::armWaitingTimer()
{
    if (m_waiting.empty())
        return;
    const auto earliest = std::min_element(m_waiting.begin(), m_waiting.end(),
                                           [](const WaitingRequest &a, const WaitingRequest &b) {
                                               return a.request.deadline < b.request.deadline;
                                           });
    m_waitingTimer.expires_at(earliest->request.deadline);
    m_waitingTimer.async_wait([weak = std::weak_ptr(m_self)](asio::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        TargetPool &pool = **self;
        const Clock::time_point now = Clock::now();
        const auto isOverdue = [&](const WaitingRequest &each) {
            return now >= each.request.deadline;
        };
        for (auto overdue = std::find_if(pool.m_waiting.begin(), pool.m_waiting.end(), isOverdue);
             overdue != pool.m_waiting.end();
             overdue = std::find_if(pool.m_waiting.begin(), pool.m_waiting.end(), isOverdue))
            pool.failWaiting(overdue, HttpResult::End::TimedOut);
        pool.armWaitingTimer();
    });
}

void TargetPool::failWaiting(const std::deque<WaitingRequest>::iterator &position,
                             HttpResult::End end)
{
    Done done = std::move(position->done);
    m_waiting.erase(position);
    // Posted, because the owner may be calling this pool right now.
    asio::post(m_io, [weak = std::weak_ptr(m_self), done = std::move(done), end] {
        if (!weak.expired())
            done(HttpResult{end, false, false, {}});
    });
}

void TargetPool::sendCancellation(const std::string &callId)
{
    WaitingRequest cancellation;
    cancellation.request.callId = CancellationPrefix + callId;
    cancellation.request.message.method = "DELETE";
    cancellation.request.message.target = "/v1/requests/" + callId;
    cancellation.request.deadline = Clock::now() + m_timeouts.gracePeriod;
    cancellation.request.isCancellable = false;
    cancellation.done = [](const HttpResult &) {};
    // Placed at the front of the queue, because the cancellation frees a slot.
    m_waiting.push_front(std::move(cancellation));
    scheduleDispatch();
}

void TargetPool::scheduleDispatch()
{
    asio::post(m_io, [weak = std::weak_ptr(m_self)] {
        if (const auto self = weak.lock())
            (*self)->dispatchWaiting();
    });
}

void TargetPool::addIdle(const ConnectionPtr &connection)
{
    m_idle.push_back(connection);
    if (m_idle.size() == 1)
        armIdleTimer();
}

void TargetPool::armIdleTimer()
{
    if (m_idle.empty())
        return;
    m_idleTimer.expires_at(m_idle.front()->lastResponseAt() + m_timeouts.idle);
    m_idleTimer.async_wait([weak = std::weak_ptr(m_self)](asio::error_code error) {
        const auto self = weak.lock();
        if (error || !self)
            return;
        TargetPool &pool = **self;
        const Clock::time_point idleSince = Clock::now() - pool.m_timeouts.idle;
        pool.closeIdle([idleSince](const TargetConnection &each) {
            return each.lastResponseAt() <= idleSince;
        });
        pool.armIdleTimer();
    });
}

void TargetPool::closeIdle(const std::function<bool(const TargetConnection &)> &isWanted)
{
    std::vector<ConnectionPtr> closing;
    std::copy_if(m_idle.begin(), m_idle.end(), std::back_inserter(closing),
                 [&](const ConnectionPtr &each) { return isWanted(*each); });
    for (const ConnectionPtr &connection : closing)
        connection->close();
}

void TargetPool::onConnected(const ConnectionPtr &connection)
{
    --m_connecting;
    addIdle(connection);
    dispatchWaiting();
}

void TargetPool::onConnectFailed(const ConnectionPtr &connection)
{
    --m_connecting;
    m_connections.remove(connection);
    if (m_waiting.empty())
        return;
    // Only one request fails per attempt: the others may still get a connection that is now in use.
    failWaiting(m_waiting.begin(), HttpResult::End::ConnectFailed);
    if (!m_waiting.empty())
        scheduleDispatch();
}

void TargetPool::onResponded(const ConnectionPtr &connection, const std::string &callId,
                             bool isKeepAlive)
{
    m_busy.erase(callId);
    m_lastResponseAt = Clock::now();
    if (!isKeepAlive)
        return;
    addIdle(connection);
    if (!m_waiting.empty())
        scheduleDispatch();
}

void TargetPool::onClosed(const ConnectionPtr &connection, const std::string &callId)
{
    if (!callId.empty())
        m_busy.erase(callId);
    std::erase(m_idle, connection);
    m_connections.remove(connection);
    if (!m_waiting.empty())
        scheduleDispatch();
}

void TargetPool::onConnectionSilent(Clock::time_point writtenAt)
{
    ++m_silentConnections;
    // Idle connections without a response since then may be dead for the same reason.
    closeIdle(
        [writtenAt](const TargetConnection &each) { return each.lastResponseAt() < writtenAt; });
}

} // namespace mangoshift
