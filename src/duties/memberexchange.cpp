#include "duties/memberexchange.h"

#include <random>
#include <string>
#include <utility>

#include <nlohmann/json.hpp>

#include "base/duty.h"
#include "base/log.h"
#include "duties/memberswire.h"

namespace mangoshift {

namespace {

const char *stateName(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Leaving:
        return "leaving";
    }
    return "unknown";
}

void logStateChange(const MemberStateChanged &change)
{
    logEvent(LogLevel::Info, "member_state",
             {{"member", change.vm},
              {"state", stateName(change.state)},
              {"revision", std::to_string(change.revision)}});
}

/// Returns `member` marked as starting: a new process has no configuration in force.
Member startingMember(Member member)
{
    member.isStarting = true;
    return member;
}

} // namespace

std::uint64_t randomIncarnation()
{
    std::random_device device;
    // 31 bits, because exchange ids carry the incarnation in their upper half, their top bit is
    // `TicketExchangeBit`, and they have to stay positive in JSON.
    return device() >> 1U;
}

MemberExchange::MemberExchange(asio::io_context &io, const Address &address, Member self,
                               const MembershipOptions &options, MemberSinks sinks,
                               Metrics &metrics)
    : m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_heartbeats(
          io, address,
          [this](const HeartbeatMessage &message) {
              perform(m_membership.onHeartbeat(message, Clock::now()));
              m_sinks.onHeartbeatReceived(message);
          },
          metrics)
    , m_membership(startingMember(std::move(self)), options, std::random_device{}(), Clock::now())
{
}

void MemberExchange::start()
{
    m_heartbeats.start();
    perform({ViewChanged{}});
}

void MemberExchange::onTick()
{
    perform(m_membership.onTick(Clock::now()));
}

bool MemberExchange::onFrame(LinkId link, const wire::FrameT &frame)
{
    if (frame.body.AsMembersPull() != nullptr) {
        wire::MembersReplyT reply;
        reply.known = toWire(m_membership.table());
        m_sinks.sendOnLink(link, makeFrame(std::move(reply)));
        return true;
    }
    const wire::MembersReplyT *members = frame.body.AsMembersReply();
    if (members == nullptr)
        return false;
    perform(m_membership.onTable(fromWire(members->known), Clock::now()));
    return true;
}

void MemberExchange::onMemberList(const std::vector<Member> &listed, Clock::time_point requestedAt)
{
    perform(m_membership.onPlatformList(listed, requestedAt, Clock::now()));
}

void MemberExchange::onPaused()
{
    m_membership.onPaused(Clock::now());
}

void MemberExchange::leave()
{
    perform(m_membership.leave());
}

void MemberExchange::startServing()
{
    perform(m_membership.startServing());
}

void MemberExchange::announce(const VmId &vm, ConfigVersion version)
{
    m_membership.setConfigVersion(version);
    perform(m_membership.announce(vm));
}

void MemberExchange::perform(MembershipActions actions)
{
    for (MembershipAction &action : actions)
        std::visit(
            Overloaded{
                [this](SendHeartbeat &each) { m_heartbeats.send(each.address, each.message); },
                [this](PullMembers &each) {
                    m_sinks.sendToVm(each.vm, makeFrame(wire::MembersPullT{}));
                },
                [this](ViewChanged &) {
                    const MemberViewPtr view = m_membership.view();
                    m_metrics.membersAlive.Set(static_cast<double>(view->members.size()));
                    m_sinks.onView(view);
                },
                [](MemberStateChanged &each) { logStateChange(each); },
            },
            action);
}

nlohmann::json MemberExchange::stateJson() const
{
    nlohmann::json members = nlohmann::json::array();
    for (const MemberRecord &record : m_membership.table())
        members.push_back({{"vm", record.member.vm},
                           {"failure_domain", record.member.failureDomain},
                           {"state", stateName(record.state)},
                           {"starting", record.member.isStarting},
                           {"revision", record.revision},
                           {"incarnation", record.member.incarnation}});
    return members;
}

} // namespace mangoshift
