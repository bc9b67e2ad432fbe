#include "entry/pendingstatepulls.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// Several times the VMs of one failure domain in the largest deployment that is designed for: 540
/// VMs in 7 domains.
constexpr std::size_t MaxPendingPulls = 512;

} // namespace

PendingStatePulls::PendingStatePulls(asio::io_context &io, Reply reply)
    : m_reply(std::move(reply))
    , m_timer(io)
{
}

void PendingStatePulls::add(const PendingStatePull &pull)
{
    if (m_pulls.size() >= MaxPendingPulls) {
        m_reply(m_pulls.front());
        m_pulls.erase(m_pulls.begin());
    }
    m_pulls.push_back(pull);
    armTimer();
}

void PendingStatePulls::onState(const KnownState &state)
{
    const auto canReply = [&state](const PendingStatePull &each) {
        return hasMore(state, each.known);
    };
    for (const PendingStatePull &pull : m_pulls)
        if (canReply(pull))
            m_reply(pull);
    std::erase_if(m_pulls, canReply);
}

void PendingStatePulls::replyToAll()
{
    for (const PendingStatePull &pull : std::exchange(m_pulls, {}))
        m_reply(pull);
}

void PendingStatePulls::onLinkLost(LinkId link)
{
    std::erase_if(m_pulls, [link](const PendingStatePull &each) { return each.link == link; });
}

void PendingStatePulls::armTimer()
{
    if (m_pulls.empty())
        return;
    const auto first = std::min_element(
        m_pulls.begin(), m_pulls.end(),
        [](const PendingStatePull &a, const PendingStatePull &b) { return a.replyBy < b.replyBy; });
    if (m_timer.expiry() == first->replyBy)
        return;
    m_timer.expires_at(first->replyBy);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error)
            replyToDue();
    });
}

void PendingStatePulls::replyToDue()
{
    const Clock::time_point now = Clock::now();
    const auto isDue = [now](const PendingStatePull &each) { return each.replyBy <= now; };
    for (const PendingStatePull &pull : m_pulls)
        if (isDue(pull))
            m_reply(pull);
    std::erase_if(m_pulls, isDue);
    armTimer();
}

} // namespace mangoshift
