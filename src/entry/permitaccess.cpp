#include "entry/permitaccess.h"

#include <utility>

#include "base/log.h"
#include "entry/permitwire.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

PermitAccess::PermitAccess(Member self, std::size_t failureDomains, Sinks sinks)
    : m_self(std::move(self))
    , m_sinks(std::move(sinks))
    , m_pool(failureDomains)
    , m_view(std::make_shared<MemberView>())
{
    updateOwner(Clock::now());
}

void PermitAccess::onMembers(MemberViewPtr view, Clock::time_point now)
{
    m_view = std::move(view);
    updateOwner(now);
}

void PermitAccess::onLeaving(Clock::time_point now)
{
    m_self.isLeaving = true;
    updateOwner(now);
}

void PermitAccess::updateOwner(Clock::time_point now)
{
    const VmId owner = poolOwner(*m_view, m_self);
    if (owner != m_owner)
        logEvent(LogLevel::Info, "limit_pool_owner", {{"vm", owner}});
    m_owner = owner;
    m_pool.setIsOwner(m_owner == m_self.vm, now);
}

void PermitAccess::request(const PermitRequest &request, Clock::time_point now)
{
    if (m_owner == m_self.vm)
        m_sinks.onPermits(grant(request, now));
    else
        m_sinks.sendToVm(m_owner, makeFrame(toWire(request)));
}

bool PermitAccess::onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now)
{
    if (const wire::PermitRequestT *request = frame.body.AsPermitRequest()) {
        m_sinks.sendOnLink(link, makeFrame(toWire(grant(fromWire(*request), now))));
        return true;
    }
    const wire::PermitReplyT *reply = frame.body.AsPermitReply();
    if (reply == nullptr)
        return false;
    m_sinks.onPermits(fromWire(*reply));
    return true;
}

PermitReply PermitAccess::grant(const PermitRequest &request, Clock::time_point now)
{
    PermitReply reply{request.sequence, {}};
    for (const PermitAsk &ask : request.asks)
        reply.outcomes.push_back(m_pool.grant(ask, now));
    return reply;
}

} // namespace mangoshift
