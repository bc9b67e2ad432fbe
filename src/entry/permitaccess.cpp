#include "entry/permitaccess.h"

#include <iterator>
#include <utility>
#include <vector>

#include "base/log.h"
#include "entry/permitwire.h"
#include "mangoshift/retrypool.h"

namespace mangoshift {

namespace {

/// How often an owner borrows, which is well within the time of a loan.
constexpr std::chrono::milliseconds BorrowInterval{250};

} // namespace

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
    const std::set<std::string> others = otherDomains();
    m_pool.growFailureDomains(others.size() + 1);
    const auto place = std::distance(others.begin(), others.lower_bound(m_self.failureDomain));
    m_pool.setPlace(static_cast<std::size_t>(place), others.size() + 1);
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
    if (owner != m_route.own())
        logEvent(LogLevel::Info, "limit_pool_owner", {{"vm", owner}});
    m_route.setOwners(owner, ownerOfNextDomain(), now);
    m_pool.setIsOwner(owner == m_self.vm, now);
}

std::optional<VmId> PermitAccess::ownerOfNextDomain() const
{
    const std::set<std::string> others = otherDomains();
    std::vector<std::string> inOrder(others.lower_bound(m_self.failureDomain), others.end());
    inOrder.insert(inOrder.end(), others.begin(), others.lower_bound(m_self.failureDomain));
    for (const std::string &domain : inOrder)
        if (auto owner = poolOwnerOf(*m_view, domain))
            return owner;
    return std::nullopt;
}

std::set<std::string> PermitAccess::otherDomains() const
{
    std::set<std::string> domains;
    for (const Member &member : m_view->members)
        domains.insert(member.failureDomain);
    domains.erase(m_self.failureDomain);
    return domains;
}

void PermitAccess::request(const PermitRequest &request, Clock::time_point now)
{
    const VmId &owner = m_route.ownerToAsk(now);
    if (owner == m_self.vm)
        m_sinks.onPermits(grant(request, now));
    else
        m_sinks.sendToVm(owner, makeFrame(toWire(request)));
}

void PermitAccess::onTick(Clock::time_point now)
{
    if (m_route.own() != m_self.vm || now < m_borrowAt)
        return;
    m_borrowAt = now + BorrowInterval;
    std::erase_if(m_loanRequests,
                  [now](const auto &each) { return now - each.second >= LimitPool::LoanTime; });
    const std::vector<HeardLimit> wanted = m_pool.wantedLoans(now);
    if (wanted.empty())
        return;
    for (const std::string &domain : otherDomains()) {
        const auto owner = poolOwnerOf(*m_view, domain);
        if (!owner)
            continue;
        m_loanRequests[++m_lastLoanRequest] = now;
        m_sinks.sendToVm(*owner, makeFrame(toWire(wanted, m_lastLoanRequest)));
    }
}

bool PermitAccess::onFrame(LinkId link, const wire::FrameT &frame, Clock::time_point now)
{
    if (const wire::LoanRequestT *request = frame.body.AsLoanRequest()) {
        m_sinks.sendOnLink(
            link, makeFrame(toWire(m_pool.lend(fromWire(*request), now), request->sequence)));
        return true;
    }
    if (const wire::LoanReplyT *reply = frame.body.AsLoanReply()) {
        if (const auto request = m_loanRequests.extract(reply->sequence); !request.empty())
            for (const LimitLoan &loan : fromWire(*reply))
                m_pool.onLoan(loan, request.mapped(), now);
        return true;
    }
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
