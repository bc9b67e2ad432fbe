#include "http/targetchannels.h"

#include <algorithm>
#include <utility>

#include <asio/post.hpp>

#include "http/targetchannel.h"

namespace mangoshift {

TargetChannels::TargetChannels(asio::io_context &io, asio::ip::tcp::endpoint endpoint,
                               std::string targetId, const TargetHeaderNames &names,
                               ChannelOptions options, ChannelCounts &counts)
    : m_io(io)
    , m_endpoint(std::move(endpoint))
    , m_targetId(std::move(targetId))
    , m_names(names)
    , m_options(options)
    , m_counts(counts)
{
}

TargetChannels::~TargetChannels()
{
    for (const ChannelPtr &channel : std::exchange(m_channels, {}))
        channel->detach();
}

std::optional<CallNumber> TargetChannels::call(ForwardedRequestPtr request, Done done,
                                               OnSent onSent, Clock::time_point sendUntil)
{
    const CallNumber number = ++m_lastCallNumber;
    if (const ChannelPtr channel = takeIdle(Clock::now())) {
        channel->send(number, std::move(request), std::move(done), onSent);
        return number;
    }
    if (m_waiting.size() >= m_options.maxWaitingCalls)
        return std::nullopt;
    m_waiting.push_back(
        {number, std::move(request), std::move(done), std::move(onSent), sendUntil});
    if (m_connecting < m_waiting.size() && m_channels.size() < m_options.maxConnections)
        openChannel();
    return number;
}

TargetChannels::ChannelPtr TargetChannels::takeIdle(Clock::time_point now)
{
    while (!m_idle.empty()) {
        ChannelPtr channel = m_idle.back();
        m_idle.pop_back();
        if (!channel->isPastReuseDeadline(now))
            return channel;
        channel->close();
    }
    return nullptr;
}

void TargetChannels::openChannel()
{
    ++m_connecting;
    ++m_counts.opened;
    m_channels.push_back(std::make_shared<TargetChannel>(m_io, *this));
    m_channels.back()->connect(m_endpoint);
}

void TargetChannels::onAvailable(const ChannelPtr &channel)
{
    if (channel->sentAt() == Clock::time_point{})
        --m_connecting;
    const Clock::time_point now = Clock::now();
    while (!m_waiting.empty()) {
        WaitingCall next = std::move(m_waiting.front());
        m_waiting.pop_front();
        if (now < next.sendUntil) {
            channel->send(next.number, std::move(next.request), std::move(next.done), next.onSent);
            return;
        }
        endUnsent(std::move(next));
    }
    if (m_isRetired || !m_options.keepsIdle) {
        channel->close();
    } else {
        m_idle.push_back(channel);
    }
}

void TargetChannels::onClosed(const ChannelPtr &channel, bool wasConnected)
{
    std::erase(m_channels, channel);
    std::erase(m_idle, channel);
    if (!wasConnected) {
        --m_connecting;
        ++m_counts.connectFailures;
        failWaitingCalls();
    }
    if (m_connecting < m_waiting.size() && m_channels.size() < m_options.maxConnections
        && wasConnected)
        openChannel();
}

void TargetChannels::failWaitingCalls()
{
    if (m_waiting.empty())
        return;
    // If no connection is left that could become idle, all waiting calls fail.
    const std::size_t failedCalls = m_channels.empty() ? m_waiting.size() : 1;
    for (std::size_t i = 0; i < failedCalls; ++i) {
        asio::post(m_io, [done = std::move(m_waiting.front().done)] { done(TargetCallResult{}); });
        m_waiting.pop_front();
    }
}

void TargetChannels::endUnsent(WaitingCall call)
{
    TargetCallResult result;
    result.end = TargetCallResult::End::Unsent;
    asio::post(m_io, [done = std::move(call.done), result] { done(result); });
}

void TargetChannels::dropWaiting()
{
    for (WaitingCall &call : std::exchange(m_waiting, {}))
        endUnsent(std::move(call));
}

void TargetChannels::abandon(CallNumber call, std::chrono::milliseconds gracePeriod)
{
    const auto waiting =
        std::find_if(m_waiting.begin(), m_waiting.end(),
                     [call](const WaitingCall &waitingCall) { return waitingCall.number == call; });
    if (waiting != m_waiting.end()) {
        endUnsent(std::move(*waiting));
        m_waiting.erase(waiting);
        return;
    }
    for (const ChannelPtr &channel : m_channels)
        if (channel->call() == call)
            channel->abandon(Clock::now() + gracePeriod);
}

void TargetChannels::readArrived(CallNumber call)
{
    const auto channel =
        std::find_if(m_channels.begin(), m_channels.end(),
                     [call](const ChannelPtr &each) { return each->call() == call; });
    if (channel != m_channels.end())
        ChannelPtr(*channel)->readArrived();
}

void TargetChannels::sweep(Clock::time_point now)
{
    const auto mayBeOverdue = [now](const ChannelPtr &channel) {
        return channel->mayBeOverdue(now);
    };
    if (std::none_of(m_channels.begin(), m_channels.end(), mayBeOverdue))
        return;
    const std::vector<ChannelPtr> all = m_channels;
    for (const ChannelPtr &channel : all) {
        const Clock::time_point sentAt = channel->sentAt();
        if (!channel->closeIfOverdue(now, m_options.connectTimeout))
            continue;
        ++m_counts.silent;
        // Idle connections without a response since then may be dead as well.
        const std::vector<ChannelPtr> idle = m_idle;
        for (const ChannelPtr &other : idle)
            if (other->lastResponseAt() < sentAt)
                other->close();
    }
}

void TargetChannels::setTerms(const ConnectionTerms &terms)
{
    m_options.maxConnections = terms.most;
    m_options.keepsIdle = terms.keepsIdle;
    if (!terms.keepsIdle)
        closeIdle();
}

void TargetChannels::retire()
{
    m_isRetired = true;
    closeIdle();
}

void TargetChannels::closeIdle()
{
    for (const ChannelPtr &channel : std::exchange(m_idle, {}))
        channel->close();
}

} // namespace mangoshift
