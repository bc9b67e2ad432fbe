// The part of the registry duty that fetches the state of the store from other VMs and serves it to
// them.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "entry/registryduty.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// How much longer than its wait a state pull may take, to allow for a VM that runs several times
/// slower than usual.
constexpr milliseconds PeerReplySlack{600};
/// How long a VM without state waits for one reply: several times what a listing of the store
/// takes, as the other VM may have just begun one.
constexpr milliseconds FirstReplyTimeout{300};
/// The age from which a peer's state is stale and another source is tried: the wait of a pull, the
/// half second that a watcher waits after changes before its next watch, and the response time of a
/// slow store. A configuration has three seconds to come into force, even if the VM that is
/// followed has just been cut off.
constexpr milliseconds MaxStateAge{1800};

} // namespace

void RegistryDuty::onFrame(ControlFrame &message)
{
    if (const wire::StatePullT *pull = message.frame->body.AsStatePull()) {
        const auto wait = std::min(milliseconds(pull->wait_ms), FollowerWait);
        const Clock::time_point now = Clock::now();
        // The reply is sent before `wait` has passed if this VM's state becomes stale first.
        const PendingStatePull pendingPull{
            message.link, pull->sequence, pull->after_revision,
            std::clamp(m_storeView.lastContact() + MaxStateAge, now, now + wait)};
        if (m_storeView.hasState() && pull->after_revision < m_follower.revision())
            replyToPull(pendingPull);
        else
            m_pendingPulls.add(pendingPull);
    } else if (wire::StateReplyT *reply = message.frame->body.AsStateReply()) {
        onPeerState(*reply);
    } else if (!m_pool.onFrame(message.link, *message.frame, Clock::now()) && m_members) {
        m_members->onFrame(message.link, *message.frame);
    }
}

void RegistryDuty::onView(MemberViewPtr view)
{
    m_sinks.onFleetSize(m_members->membership().table().size());
    m_sinks.onMembers(view);
    m_picker.setMembers(std::move(view));
    m_pool.onMembers(m_members->membership(), Clock::now());
    // A VM that is starting fetches the state from the first VM that it discovers.
    if (!m_storeView.hasState() && !m_pendingSource)
        fetchNext();
}

void RegistryDuty::fetchFromPeer(const VmId &vm)
{
    wire::StatePullT pull;
    pull.sequence = ++m_pullSequence;
    pull.after_revision = m_storeView.hasState() ? m_follower.revision() : 0;
    pull.wait_ms = static_cast<std::uint32_t>(FollowerWait.count());
    m_pullTimer.expires_after(m_storeView.hasState() ? FollowerWait + PeerReplySlack
                                                     : FirstReplyTimeout);
    m_pullTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            onPeerFailure("timeout");
    });
    m_sinks.sendToVm(vm, makeFrame(pull));
}

void RegistryDuty::onPeerFailure(const char *why)
{
    if (!m_pendingSource || !std::holds_alternative<FromPeer>(*m_pendingSource))
        return;
    m_metrics.peerReads.Add({{"outcome", "failed"}}).Increment();
    // During an outage of the store the state of every VM grows stale, so only the loss of the
    // current source is logged as info.
    logEvent(m_lastSource == m_pendingSource ? LogLevel::Info : LogLevel::Debug,
             "peer_not_followed", {{"peer", toString(*m_pendingSource)}, {"why", why}});
    m_pullTimer.cancel();
    // A reply that arrives later is ignored.
    ++m_pullSequence;
    m_picker.onSourceFailed(*m_pendingSource, Clock::now() + PeerBackoff);
    m_pendingSource.reset();
    fetchNext();
}

void RegistryDuty::onPeerState(wire::StateReplyT &reply)
{
    if (!m_pendingSource || !std::holds_alternative<FromPeer>(*m_pendingSource)
        || reply.sequence != m_pullSequence)
        return;
    const PeerState state = fromWire(reply);
    const bool isFresh = state.revision != 0 && state.age < MaxStateAge;
    const StoreSource source = *m_pendingSource;
    applyPeerState(state);
    if (!isFresh) {
        onPeerFailure("its state is stale");
        return;
    }
    m_pullTimer.cancel();
    m_metrics.peerReads.Add({{"outcome", "ok"}}).Increment();
    m_picker.onSourceSucceeded(source, Clock::now());
    setLastSource(source);
    m_pendingSource.reset();
    fetchNext();
}

void RegistryDuty::applyPeerState(const PeerState &state)
{
    const Clock::time_point now = Clock::now();
    if (state.revision == 0 || (m_storeView.hasState() && state.revision < m_follower.revision()))
        return;
    m_storeView.onStoreContact(now - state.age);
    if (state.removalsHeldFor.count() > 0)
        m_storeView.holdRemovals(now + state.removalsHeldFor);
    if (!state.configuration.empty()) {
        const auto document = m_adapter.parseConfiguration(state.configuration);
        if (document)
            applyConfiguration(*document, state.configuration, state.revision);
        else
            logEvent(LogLevel::Warning, "entry_rejected",
                     {{"key", "configuration"}, {"why", document.error()}});
    }
    m_follower.skipTo(state.revision);
    if (state.isComplete) {
        replaceTargets(state.targets, state.revision);
        return;
    }
    for (const RegisteredTarget &target : state.targets)
        publish(m_storeView.put(target, state.revision));
    for (const TargetId &id : state.removed)
        publish(m_storeView.remove(id, state.revision, Clock::now()));
    armExpiry();
    replyToPulls();
}

void RegistryDuty::replyToPull(const PendingStatePull &pendingPull)
{
    m_sinks.sendOnLink(pendingPull.link,
                       makeFrame(toWire(m_storeView.stateAfter(pendingPull.afterRevision,
                                                               m_follower.revision(), Clock::now()),
                                        pendingPull.sequence)));
}

void RegistryDuty::replyToPulls()
{
    if (m_storeView.hasState())
        m_pendingPulls.onRevision(m_follower.revision());
}

} // namespace mangoshift
