#include "duties/peerduty.h"

#include <algorithm>
#include <unordered_set>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/jsontext.h"
#include "base/log.h"
#include "duties/peerlink.h"
#include "duties/wiretime.h"

namespace mangoshift {

namespace {

using asio::ip::tcp;

constexpr std::size_t RingCapacity = 65536;
constexpr std::chrono::milliseconds LinkCheckInterval{100};
/// Once the transit delays of this many VMs are known, those of VMs that are neither members nor
/// connected are forgotten. Several times the VMs of the largest fleet.
constexpr std::size_t MaxTransits = 4096;

/// Subtracts the delay of a frame in transit from its remaining time.
template <typename FrameT>
void shortenDeadline(FrameT &frame, TransitDelay &transit, Clock::time_point now)
{
    if (frame.sent_at_us == 0)
        return;
    const auto delay = transit.onMessage(
        std::chrono::microseconds(static_cast<std::int64_t>(frame.sent_at_us)), now);
    const auto timeLeft = std::chrono::microseconds(frame.deadline_us) - delay;
    frame.deadline_us = static_cast<std::uint32_t>(std::max<std::int64_t>(timeLeft.count(), 0));
}

/// Returns the id of the exchange that a request frame starts, or zero for any other frame.
ExchangeId exchangeOf(const wire::FrameT &frame)
{
    if (const wire::ShardBatchT *batch = frame.body.AsShardBatch())
        return batch->exchange;
    if (const wire::TicketRequestT *request = frame.body.AsTicketRequest())
        return request->exchange;
    return 0;
}

} // namespace

PeerDuty::PeerDuty(Member self, const Address &listenAddress, PeerSinks sinks)
    : m_self(std::move(self))
    , m_listenIp(listenAddress.ip)
    , m_sinks(std::move(sinks))
    , m_duty("peers", RingCapacity)
    , m_acceptor(m_duty.io(),
                 tcp::endpoint(asio::ip::make_address(listenAddress.ip), listenAddress.port))
    , m_acceptLoop(m_acceptor, [this](tcp::socket socket) { adopt(std::move(socket)); })
    , m_linkCheckTimer(m_duty.io())
{
}

PeerDuty::~PeerDuty()
{
    stop();
}

void PeerDuty::start()
{
    m_acceptLoop.start();
    m_linksCheckedAt = Clock::now();
    checkLinks();
    m_duty.start([this](PeerMessage &message) { handle(message); });
}

void PeerDuty::stop()
{
    m_duty.stop();
}

void PeerDuty::handle(PeerMessage &message)
{
    std::visit(Overloaded{
                   [this](SendToVm &each) { sendToVm(each); },
                   [this](SendOnLink &each) { sendOnLink(each); },
                   [this](MembersChanged &each) { m_members = std::move(each.members); },
                   [this](StateRequest &each) { each.reply(stateJson()); },
               },
               message);
}

void PeerDuty::adopt(tcp::socket socket)
{
    const auto link = std::make_shared<PeerLink>(*this, ++m_lastLink, std::move(socket));
    m_links.emplace(link->id(), link);
    link->startReading();
}

void PeerDuty::sendToVm(SendToVm &message)
{
    const auto it = m_linkByVm.find(message.vm);
    const std::shared_ptr<PeerLink> link =
        it != m_linkByVm.end() ? m_links.at(it->second) : dial(message.vm);
    const ExchangeId exchange = exchangeOf(*message.frame);
    if (!link) {
        if (exchange != 0)
            m_sinks.onExchangeUnsent(exchange);
        m_sinks.onPeerLost(message.vm);
        return;
    }
    if (link->send(*message.frame)) {
        if (exchange != 0)
            link->trackUnsentExchange(exchange);
        return;
    }
    if (exchange != 0)
        m_sinks.onExchangeUnsent(exchange);
    link->close();
}

void PeerDuty::sendOnLink(SendOnLink &message)
{
    const auto it = m_links.find(message.link);
    if (it == m_links.end())
        return;
    const std::shared_ptr<PeerLink> link = it->second;
    if (!link->send(*message.frame))
        link->close();
}

std::shared_ptr<PeerLink> PeerDuty::dial(const VmId &vm)
{
    if (!m_members)
        return nullptr;
    const auto &members = m_members->members;
    const auto member = std::find_if(members.begin(), members.end(),
                                     [&](const Member &each) { return each.vm == vm; });
    if (member == members.end())
        return nullptr;
    const auto address = parseAddress(member->peerAddress);
    if (!address)
        return nullptr;
    auto link = std::make_shared<PeerLink>(*this, ++m_lastLink, tcp::socket(m_duty.io()));
    m_links.emplace(link->id(), link);
    m_linkByVm[vm] = link->id();
    wire::HelloT hello;
    hello.protocol = PeerProtocolVersion;
    hello.vm = m_self.vm;
    hello.incarnation = m_self.incarnation;
    hello.failure_domain = m_self.failureDomain;
    hello.region = m_self.region;
    link->dial(vm, *address, makeFrame(std::move(hello)));
    return link;
}

void PeerDuty::onLinkClosed(PeerLink &link)
{
    const LinkId id = link.id();
    const VmId &vm = link.vm();
    const bool wasDialled = link.isDialled();
    if (const auto it = m_linkByVm.find(vm); it != m_linkByVm.end() && it->second == id)
        m_linkByVm.erase(it);
    m_links.erase(id);
    for (const ExchangeId exchange : link.unsentExchanges())
        m_sinks.onExchangeUnsent(exchange);
    if (wasDialled)
        m_sinks.onPeerLost(vm);
    m_sinks.onLinkLost(id);
    logEvent(LogLevel::Debug, "peer_link_closed", {{"peer", vm}});
}

void PeerDuty::checkLinks()
{
    const Clock::time_point now = Clock::now();
    m_linkCheckTimer.expires_at(now + LinkCheckInterval);
    m_linkCheckTimer.async_wait([this](asio::error_code error) {
        if (!error)
            checkLinks();
    });
    std::vector<std::shared_ptr<PeerLink>> links;
    links.reserve(m_links.size());
    for (const auto &[id, link] : m_links)
        links.push_back(link);
    // A longer time means that this process was paused, while the frames waited for it.
    const Clock::duration elapsed =
        std::min<Clock::duration>(now - m_linksCheckedAt, 2 * LinkCheckInterval);
    m_linksCheckedAt = now;
    for (const auto &link : links) {
        link->checkSilence(now);
        link->checkUnfinished(elapsed);
    }
}

void PeerDuty::subtractTransitDelay(const VmId &vm, std::uint64_t incarnation, wire::FrameT &frame,
                                    Clock::time_point arrivedAt)
{
    wire::ShardBatchT *batch = frame.body.AsShardBatch();
    wire::TicketRequestT *request = frame.body.AsTicketRequest();
    // Other frames carry no remaining time. Replies arrive on links that this VM dialled, where no
    // `Hello` has given it the peer's incarnation.
    if (batch == nullptr && request == nullptr)
        return;
    TransitDelay &delay = transitDelayOf(vm, incarnation);
    if (batch != nullptr)
        shortenDeadline(*batch, delay, arrivedAt);
    else
        shortenDeadline(*request, delay, arrivedAt);
}

bool PeerDuty::hasClockSample(const VmId &vm, std::uint64_t incarnation) const
{
    const auto it = m_transits.find(vm);
    return it != m_transits.end() && it->second.incarnation == incarnation
        && it->second.delay.hasSample();
}

void PeerDuty::onRoundTrip(const VmId &vm, std::uint64_t incarnation, Clock::time_point pingSentAt,
                           std::chrono::microseconds pongSentAt)
{
    transitDelayOf(vm, incarnation).onRoundTrip(pingSentAt, pongSentAt);
}

TransitDelay &PeerDuty::transitDelayOf(const VmId &vm, std::uint64_t incarnation)
{
    if (m_transits.size() >= MaxTransits && m_transits.find(vm) == m_transits.end())
        forgetStrangers();
    Transit &transit = m_transits[vm];
    if (transit.incarnation != incarnation)
        transit = Transit{incarnation, {}};
    return transit.delay;
}

void PeerDuty::forgetStrangers()
{
    std::unordered_set<VmId> known;
    for (const auto &[id, link] : m_links)
        known.insert(link->vm());
    if (m_members)
        for (const Member &member : m_members->members)
            known.insert(member.vm);
    std::erase_if(m_transits, [&](const auto &each) { return known.count(each.first) == 0; });
}

std::string PeerDuty::stateJson() const
{
    nlohmann::json links = nlohmann::json::array();
    for (const auto &[id, link] : m_links)
        links.push_back({{"peer", link->vm()},
                         {"dialled", link->isDialled()},
                         {"queued_bytes", link->queuedBytes()}});
    return jsonText(nlohmann::json{{"links", std::move(links)},
                                   {"accept_failures", m_acceptLoop.failures()},
                                   {"ring", m_duty.ringSize()},
                                   {"ring_rejected", m_duty.rejected()}});
}

} // namespace mangoshift
