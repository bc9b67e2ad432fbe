// The part of the registry duty that fetches the state of the store from other VMs and serves it to
// them.

#include <algorithm>
#include <utility>

#include "base/atexit.h"
#include "base/log.h"
#include "entry/registryduty.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

} // namespace

void RegistryDuty::onFrame(ControlFrame &message)
{
    if (const wire::StatePullT *pull = message.frame->body.AsStatePull()) {
        const auto wait = std::min(milliseconds(pull->wait_ms), StateFollower::PullWait);
        const Clock::time_point now = Clock::now();
        // A VM of an earlier release is sent the configuration whenever it gets a newer revision.
        const KnownState state = knownState();
        const ConfigVersion assumedVersion =
            pull->after_revision < state.revision ? 0 : state.configurationVersion;
        const KnownState known{pull->after_revision,
                               pull->configuration_version.value_or(assumedVersion)};
        // The reply is sent before `wait` has passed if this VM's state becomes stale first.
        const PendingStatePull pendingPull{
            message.link, pull->sequence, known,
            std::clamp(m_storeView.lastContact() + StateFollower::MaxStateAge, now, now + wait)};
        if (m_storeView.hasState() && hasMore(state, known))
            replyToPull(pendingPull);
        else
            m_pendingPulls.add(pendingPull);
    } else if (wire::StateReplyT *reply = message.frame->body.AsStateReply()) {
        onPeerState(*reply);
    } else if (!m_pool.onFrame(message.link, *message.frame, Clock::now())
               && !m_permits.onFrame(message.link, *message.frame, Clock::now())
               && !m_capacity.onFrame(message.link, *message.frame, Clock::now()) && m_members) {
        m_members->onFrame(message.link, *message.frame);
    }
}

void RegistryDuty::onView(MemberViewPtr view)
{
    m_sinks.onFleetSize(m_members->membership().table().size());
    m_sinks.onMembers(view);
    m_follower.setMembers(std::move(view));
    m_pool.onMembers(m_members->membership(), Clock::now());
    m_permits.onMembers(m_members->membership().view(), Clock::now());
    m_capacity.onMembers(m_members->membership().view());
    // A VM that is starting fetches the state from the first VM that it discovers.
    if (!m_follower.hasState())
        fetchNext();
}

void RegistryDuty::fetchFromPeer(const PullFromPeer &pull)
{
    wire::StatePullT request;
    request.sequence = ++m_pullSequence;
    request.after_revision = pull.revision;
    request.configuration_version = m_storeView.configurationVersion();
    request.wait_ms = static_cast<std::uint32_t>(pull.wait.count());
    m_pullTimer.expires_after(pull.timeout);
    // The sequence is checked because a handler that is queued already cannot be cancelled.
    m_pullTimer.async_wait([this, sequence = m_pullSequence](const asio::error_code &error) {
        if (!error && sequence == m_pullSequence)
            onPeerFailure("timeout");
    });
    m_sinks.sendToVm(pull.vm, makeFrame(request));
}

bool RegistryDuty::isPulling() const
{
    return m_follower.source() && std::holds_alternative<FromPeer>(*m_follower.source());
}

void RegistryDuty::onPeerFailure(const char *why)
{
    if (!isPulling())
        return;
    endPull(*m_follower.source(), why);
    m_follower.onPeerFailure(Clock::now());
    fetchNext();
}

void RegistryDuty::onPeerState(wire::StateReplyT &reply)
{
    if (!isPulling() || reply.sequence != m_pullSequence)
        return;
    const PeerState state = fromWire(reply);
    const StoreSource source = *m_follower.source();
    const Clock::time_point now = Clock::now();
    const std::uint64_t before = m_follower.revision();
    const AtExit next([this] { fetchNext(); });
    const PeerStateUse use = m_follower.onPeerState(state.revision, now - state.age, now);
    if (use.shouldApply)
        applyPeerState(state, before, source);
    if (use.isFresh) {
        endPull(source, nullptr);
        setLastSource(source);
    } else {
        endPull(source, "its state is stale");
    }
}

void RegistryDuty::endPull(const StoreSource &source, const char *failure)
{
    m_pullTimer.cancel();
    // A reply that arrives later is ignored.
    ++m_pullSequence;
    m_metrics.peerReads.Add({{"outcome", failure == nullptr ? "ok" : "failed"}}).Increment();
    // During an outage of the store the state of every VM grows stale, so only the loss of the
    // current source is logged as info.
    if (failure != nullptr)
        logEvent(m_lastSource == source ? LogLevel::Info : LogLevel::Debug, "peer_not_followed",
                 {{"peer", toString(source)}, {"why", failure}});
}

void RegistryDuty::applyPeerState(const PeerState &state, std::uint64_t before,
                                  const StoreSource &source)
{
    if (!state.configuration.empty()) {
        const auto document = m_adapter.parseConfiguration(state.configuration);
        if (document)
            applyConfiguration(*document, state.configuration, source);
        else
            logEvent(LogLevel::Warning, "entry_rejected",
                     {{"key", "configuration"}, {"why", document.error()}});
    }
    const bool isFirst = !m_storeView.hasState();
    if (state.evacuatedDomains)
        publish(m_storeView.replaceEvacuations(*state.evacuatedDomains, state.revision), source);
    publish(m_storeView.apply(state, before, Clock::now()));
    onTargetsUpdated(isFirst);
}

void RegistryDuty::replyToPull(const PendingStatePull &pendingPull)
{
    m_sinks.sendOnLink(pendingPull.link,
                       makeFrame(toWire(m_storeView.stateAfter(pendingPull.known,
                                                               m_follower.revision(), Clock::now()),
                                        pendingPull.sequence)));
}

KnownState RegistryDuty::knownState() const
{
    return {m_follower.revision(), m_storeView.configurationVersion()};
}

void RegistryDuty::replyToPulls()
{
    if (!m_storeView.hasState())
        return;
    if (m_follower.takeNewContact())
        m_pendingPulls.replyToAll();
    else
        m_pendingPulls.onState(knownState());
}

} // namespace mangoshift
