#include "entry/poolaccess.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "entry/statewire.h"

namespace mangoshift {

PoolAccess::PoolAccess(Member self, const RetryBudgetTerms &terms, std::size_t assumedVms,
                       Sinks sinks)
    : m_self(std::move(self))
    , m_assumedVms(assumedVms)
    , m_sinks(std::move(sinks))
    , m_pool(terms)
    , m_poolOwner(m_self.vm)
{
}

void PoolAccess::onMembers(const Membership &members, Clock::time_point now)
{
    const std::vector<MemberRecord> known = members.table();
    const auto inDomainCount =
        std::count_if(known.begin(), known.end(), [this](const MemberRecord &record) {
            return record.member.failureDomain == m_self.failureDomain;
        });
    // All VMs assume the same least number of VMs, so that the pools add up to no more than the
    // whole.
    const auto vmCount = std::max(known.size(), m_assumedVms);
    m_pool.setSlackShare(PooledSlackShare * static_cast<double>(inDomainCount)
                         / static_cast<double>(vmCount));
    m_poolOwner = poolOwner(*members.view(), m_self);
    m_pool.setIsOwner(m_poolOwner == m_self.vm, now);
}

void PoolAccess::requestExtras(const BudgetRequest &request, Clock::time_point now)
{
    if (m_poolOwner == m_self.vm) {
        m_sinks.onGrants({request.sequence, grant(request.wanted, now)});
        return;
    }
    wire::BudgetAskT wireRequest;
    wireRequest.sequence = request.sequence;
    wireRequest.counts = toWire(request.wanted);
    m_sinks.sendToVm(m_poolOwner, makeFrame(std::move(wireRequest)));
}

bool PoolAccess::onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now)
{
    if (const wire::BudgetAskT *request = frame.body.AsBudgetAsk()) {
        wire::BudgetGrantT reply;
        reply.sequence = request->sequence;
        reply.counts = toWire(grant(fromWire(request->counts), now));
        m_sinks.sendOnLink(link, makeFrame(std::move(reply)));
        return true;
    }
    const wire::BudgetGrantT *grants = frame.body.AsBudgetGrant();
    if (grants == nullptr)
        return false;
    m_sinks.onGrants({grants->sequence, fromWire(grants->counts)});
    return true;
}

BudgetCounts PoolAccess::grant(const BudgetCounts &wanted, Clock::time_point now)
{
    BudgetCounts granted;
    for (const auto &[service, count] : wanted)
        granted.emplace_back(service, m_pool.grant(service, count, now));
    return granted;
}

} // namespace mangoshift
