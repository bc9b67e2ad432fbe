// How the registry duty asks other VMs for the state of the store, and answers them.

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "entry/registryduty.h"

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

/// What a VM's answer may take beyond the wait, on a VM that is slowed several times.
constexpr milliseconds PeerSlack{600};
/// How long a VM that knows nothing yet waits for one answer: several times what the store takes to
/// be listed, as the VM that is asked may have just begun to.
constexpr milliseconds FirstAnswerPatience{300};
/// Knowledge of the store this old is not followed where there is a better source: a wait, the half
/// second for which changes are gathered, and a slow store's answer. A configuration has three
/// seconds to be in force, also where the VM that is followed has just been cut off.
constexpr milliseconds FreshFor{1800};

} // namespace

void RegistryDuty::onFrame(ControlFrame &message)
{
    if (const wire::StatePullT *pull = message.frame->body.AsStatePull()) {
        const auto wait = std::min(milliseconds(pull->wait_ms), FollowedWait);
        const Clock::time_point now = Clock::now();
        // The answer does not wait for longer than it is worth following.
        const PeerQuestion question{message.link, pull->sequence, pull->after_revision,
                                    std::clamp(m_known.heardAt() + FreshFor, now, now + wait)};
        if (m_known.isKnown() && pull->after_revision < m_follower.revision())
            answer(question);
        else
            m_questions.add(question);
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
    // A starting VM asks the first that it hears of.
    if (!m_known.isKnown() && !m_asking)
        askNext();
}

void RegistryDuty::askPeer(const VmId &vm)
{
    wire::StatePullT pull;
    pull.sequence = ++m_pullSequence;
    pull.after_revision = m_known.isKnown() ? m_follower.revision() : 0;
    pull.wait_ms = static_cast<std::uint32_t>(FollowedWait.count());
    m_pullTimer.expires_after(m_known.isKnown() ? FollowedWait + PeerSlack : FirstAnswerPatience);
    m_pullTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            onPeerFailure("timeout");
    });
    m_sinks.sendToVm(vm, makeFrame(pull));
}

void RegistryDuty::onPeerFailure(const char *why)
{
    if (!m_asking || !std::holds_alternative<FromPeer>(*m_asking))
        return;
    m_metrics.peerReads.Add({{"outcome", "failed"}}).Increment();
    // In an outage every VM's knowledge grows old: only who is left is told.
    logEvent(m_lastSource == m_asking ? LogLevel::Info : LogLevel::Debug, "peer_not_followed",
             {{"peer", toString(*m_asking)}, {"why", why}});
    m_pullTimer.cancel();
    // What comes after this is not awaited any more.
    ++m_pullSequence;
    m_picker.onSourceFailed(*m_asking, Clock::now() + PeerAvoidance);
    m_asking.reset();
    askNext();
}

void RegistryDuty::onPeerState(wire::StateReplyT &reply)
{
    if (!m_asking || !std::holds_alternative<FromPeer>(*m_asking)
        || reply.sequence != m_pullSequence)
        return;
    const PeerState state = fromWire(reply);
    const bool isFresh = state.revision != 0 && state.age < FreshFor;
    const StoreSource source = *m_asking;
    takePeerState(state);
    if (!isFresh) {
        onPeerFailure("its knowledge is old");
        return;
    }
    m_pullTimer.cancel();
    m_metrics.peerReads.Add({{"outcome", "ok"}}).Increment();
    m_picker.onSourceSucceeded(source, Clock::now());
    noteSource(source);
    m_asking.reset();
    askNext();
}

void RegistryDuty::takePeerState(const PeerState &state)
{
    const Clock::time_point now = Clock::now();
    if (state.revision == 0 || (m_known.isKnown() && state.revision < m_follower.revision()))
        return;
    m_known.hear(now - state.age);
    if (state.removalsWait.count() > 0)
        m_known.holdRemovals(now + state.removalsWait);
    if (!state.configuration.empty()) {
        const auto document = m_adapter.parseConfiguration(state.configuration);
        if (document)
            takeConfiguration(*document, state.configuration, state.revision);
        else
            logEvent(LogLevel::Warning, "entry_rejected",
                     {{"key", "configuration"}, {"why", document.error()}});
    }
    m_follower.skipTo(state.revision);
    if (state.isWhole) {
        replaceTargets(state.targets, state.revision);
        return;
    }
    for (const RegisteredTarget &target : state.targets)
        publish(m_known.put(target, state.revision));
    for (const TargetId &id : state.gone)
        publish(m_known.remove(id, state.revision, Clock::now()));
    armExpiry();
    answerPeers();
}

void RegistryDuty::answer(const PeerQuestion &question)
{
    m_sinks.sendOnLink(question.link,
                       makeFrame(toWire(m_known.stateAfter(question.afterRevision,
                                                           m_follower.revision(), Clock::now()),
                                        question.sequence)));
}

void RegistryDuty::answerPeers()
{
    if (m_known.isKnown())
        m_questions.onRevision(m_follower.revision());
}

} // namespace mangoshift
