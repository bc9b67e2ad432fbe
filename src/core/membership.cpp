#include "mangoshift/membership.h"

#include <algorithm>
#include <utility>

namespace mangoshift {

namespace {

/// How long this VM's table must be unchanged before a difference in hashes causes a pull.
constexpr std::chrono::seconds QuietBeforePull{2};
/// After how many pull intervals a VM whose own table keeps changing pulls a peer's table anyway.
constexpr int ChangingTablePullIntervals = 10;
constexpr std::size_t ClaimsPerTick = 5;
/// The most claims that wait to be sent; further ones are dropped.
constexpr std::size_t MaxClaims = 1024;
/// How many candidates a VM that knows no live peer probes at a time.
constexpr std::size_t IsolatedProbesPerRound = 3;
/// From how many peers a new VM that has the platform's list needs an ack to have joined.
constexpr std::size_t MinJoinAcks = 2;

int precedenceOf(MemberState state)
{
    switch (state) {
    case MemberState::Alive:
        return 0;
    case MemberState::Suspect:
        return 1;
    case MemberState::Leaving:
        return 2;
    case MemberState::Dead:
        return 3;
    }
    return 0;
}

} // namespace

bool supersedes(const MemberRecord &record, const MemberRecord &held)
{
    if (record.revision != held.revision)
        return record.revision > held.revision;
    if (record.state != held.state)
        return precedenceOf(record.state) > precedenceOf(held.state);
    return record.member.incarnation > held.member.incarnation;
}

Membership::Membership(Member self, MembershipOptions options, std::uint64_t seed,
                       Clock::time_point now)
    : m_options(options)
    , m_random(seed)
    , m_lastTickAt(now)
    , m_nextProbeAt(now)
    , m_nextCandidateProbeAt(now)
    , m_lastChangeAt(now)
    , m_lastPullAt(now)
    , m_pauseEndedAt(now)
{
    m_self.member = std::move(self);
    takeActions();
}

MembershipActions Membership::onTick(Clock::time_point now)
{
    extendTimeouts(now - m_lastTickAt, now);
    m_lastTickAt = now;
    std::erase_if(m_relayed, [&](const auto &each) { return each.second.expiresAt <= now; });
    checkProbe(now);
    expireSuspects(now);
    if (now >= m_nextProbeAt) {
        m_nextProbeAt = now + m_options.probePeriod;
        startProbe(now);
    }
    if (now >= m_nextCandidateProbeAt)
        probeCandidates(now);
    sendClaims();
    removeDead(now);
    return takeActions();
}

void Membership::extendTimeouts(Clock::duration gap, Clock::time_point now)
{
    const Clock::duration delay = gap - m_options.tickInterval;
    if (delay <= Clock::duration::zero())
        return;
    if (m_probe) {
        m_probe->indirectAt += delay;
        m_probe->failAt += delay;
    }
    for (auto &[vm, entry] : m_entries)
        if (entry.record.state == MemberState::Suspect)
            entry.deadAt += delay;
    if (gap >= m_options.pauseThreshold)
        onPaused(now);
}

void Membership::onPaused(Clock::time_point now)
{
    m_isViewStale = true;
    m_pauseEndedAt = now;
    m_sequenceAtPauseEnd = m_lastSequence;
    m_probe.reset();
    m_nextProbeAt = now;
}

void Membership::checkProbe(Clock::time_point now)
{
    if (!m_probe)
        return;
    if (now >= m_probe->failAt) {
        const VmId vm = m_probe->vm;
        m_probe.reset();
        const auto it = m_entries.find(vm);
        if (it == m_entries.end())
            return;
        if (it->second.record.state == MemberState::Alive)
            changeState(vm, MemberState::Suspect, now);
        else if (it->second.record.state == MemberState::Leaving && !m_isViewStale)
            changeState(vm, MemberState::Dead, now);
        return;
    }
    if (m_probe->isIndirect || now < m_probe->indirectAt)
        return;
    m_probe->isIndirect = true;
    std::vector<Member> helpers;
    for (const auto &[vm, entry] : m_entries)
        if (entry.record.state == MemberState::Alive && vm != m_probe->vm)
            helpers.push_back(entry.record.member);
    std::shuffle(helpers.begin(), helpers.end(), m_random);
    if (helpers.size() > m_options.indirectProbes)
        helpers.resize(m_options.indirectProbes);
    for (const Member &helper : helpers) {
        HeartbeatMessage message;
        message.kind = HeartbeatKind::PingRequest;
        message.sequence = m_probe->sequence;
        message.subject = m_probe->vm;
        sendHeartbeat(helper.peerAddress, helper.vm, std::move(message));
    }
}

void Membership::expireSuspects(Clock::time_point now)
{
    if (m_isViewStale && now < m_pauseEndedAt + m_options.staleViewTimeout)
        return;
    std::vector<VmId> expired;
    for (const auto &[vm, entry] : m_entries)
        if (entry.record.state == MemberState::Suspect && entry.deadAt <= now)
            expired.push_back(vm);
    for (const VmId &vm : expired)
        changeState(vm, MemberState::Dead, now);
}

void Membership::startProbe(Clock::time_point now)
{
    // A pending probe continues: a late tick has extended its timeout.
    if (m_probe)
        return;
    const auto vm = nextMember();
    if (!vm)
        return;
    Probe probe;
    probe.vm = *vm;
    probe.sequence = ++m_lastSequence;
    probe.indirectAt = now + m_options.probeTimeout;
    probe.failAt = now + m_options.probePeriod;
    m_probe = probe;
    HeartbeatMessage message;
    message.sequence = probe.sequence;
    sendHeartbeat(m_entries.at(*vm).record.member.peerAddress, *vm, std::move(message));
}

void Membership::probeCandidates(Clock::time_point now)
{
    const bool isIsolated = liveCount() == 0;
    m_nextCandidateProbeAt =
        now + (isIsolated ? m_options.isolatedProbePeriod : m_options.candidateProbePeriod);
    for (std::size_t i = 0; i < (isIsolated ? IsolatedProbesPerRound : 1); ++i) {
        const auto candidate = nextCandidate();
        if (!candidate)
            return;
        HeartbeatMessage message;
        message.sequence = ++m_lastSequence;
        sendHeartbeat(candidate->peerAddress, candidate->vm, std::move(message));
    }
}

void Membership::removeDead(Clock::time_point now)
{
    std::erase_if(m_entries, [&](const auto &each) {
        const Entry &entry = each.second;
        return entry.record.state == MemberState::Dead && !m_listedMembers.contains(each.first)
            && now - entry.changedAt > m_options.deadRetention;
    });
}

void Membership::sendClaims()
{
    for (std::size_t i = 0; i < ClaimsPerTick && !m_claims.empty(); ++i) {
        const MemberRecord claim = std::move(m_claims.front());
        m_claims.pop_front();
        const auto it = m_entries.find(claim.member.vm);
        if (it == m_entries.end() || !supersedes(claim, it->second.record))
            continue;
        HeartbeatMessage message;
        message.sequence = ++m_lastSequence;
        message.updates.push_back(claim);
        sendHeartbeat(it->second.record.member.peerAddress, claim.member.vm, std::move(message));
    }
}

MembershipActions Membership::onHeartbeat(const HeartbeatMessage &message, Clock::time_point now)
{
    if (message.sender.member.vm.empty())
        return {};
    applyRecord(message.sender, now);
    for (const MemberRecord &update : message.updates)
        applyRecord(update, now);
    switch (message.kind) {
    case HeartbeatKind::Ping:
        ackPing(message);
        break;
    case HeartbeatKind::PingRequest:
        relayPing(message, now);
        break;
    case HeartbeatKind::Ack:
        onAck(message);
        break;
    }
    pullIfDue(message, now);
    return takeActions();
}

void Membership::ackPing(const HeartbeatMessage &message)
{
    HeartbeatMessage ack;
    ack.kind = HeartbeatKind::Ack;
    ack.sequence = message.sequence;
    // Sends a restarted VM the record of its earlier run, so that it takes a greater revision.
    const auto it = m_entries.find(message.sender.member.vm);
    if (it != m_entries.end() && supersedes(it->second.record, message.sender))
        ack.updates.push_back(it->second.record);
    sendHeartbeat(message.sender.member.peerAddress, message.sender.member.vm, std::move(ack));
}

void Membership::relayPing(const HeartbeatMessage &message, Clock::time_point now)
{
    const auto it = m_entries.find(message.subject);
    if (it == m_entries.end())
        return;
    HeartbeatMessage ping;
    ping.sequence = ++m_lastSequence;
    m_relayed[ping.sequence] = {message.sender.member.peerAddress, message.sequence,
                                message.subject, now + m_options.probePeriod};
    sendHeartbeat(it->second.record.member.peerAddress, message.subject, std::move(ping));
}

void Membership::onAck(const HeartbeatMessage &message)
{
    const VmId &sender = message.sender.member.vm;
    if (sender != m_self.member.vm && message.sequence > m_sequenceAtPauseEnd
        && message.sequence <= m_lastSequence)
        m_isViewStale = false;
    if (std::find(m_ackedBy.begin(), m_ackedBy.end(), sender) == m_ackedBy.end()
        && m_ackedBy.size() < MinJoinAcks)
        m_ackedBy.push_back(sender);
    if (const auto it = m_relayed.find(message.sequence); it != m_relayed.end()) {
        const RelayedProbe relayed = it->second;
        m_relayed.erase(it);
        HeartbeatMessage ack;
        ack.kind = HeartbeatKind::Ack;
        ack.sequence = relayed.requesterSequence;
        ack.subject = relayed.subject;
        sendHeartbeat(relayed.requesterAddress, {}, std::move(ack));
        return;
    }
    const VmId &responder = message.subject.empty() ? sender : message.subject;
    if (m_probe && m_probe->sequence == message.sequence && m_probe->vm == responder)
        m_probe.reset();
}

void Membership::pullIfDue(const HeartbeatMessage &message, Clock::time_point now)
{
    const auto sender = m_entries.find(message.sender.member.vm);
    if (sender == m_entries.end() || sender->second.record.state == MemberState::Dead
        || message.membersHash == tableHash())
        return;
    const Clock::duration sinceLast = now - m_lastPullAt;
    const bool isQuiet = now - m_lastChangeAt >= QuietBeforePull;
    const bool isDue =
        sinceLast >= pullInterval() * (isQuiet ? 1 : ChangingTablePullIntervals) || !m_hasPulled;
    if (!isDue)
        return;
    m_hasPulled = true;
    m_lastPullAt = now;
    m_actions.emplace_back(PullMembers{message.sender.member.vm});
}

MembershipActions Membership::onPlatformList(const std::vector<Member> &listed,
                                             Clock::time_point requestedAt, Clock::time_point now)
{
    m_listedMembers.clear();
    for (const Member &member : listed)
        if (member.vm != m_self.member.vm && !member.peerAddress.empty())
            m_listedMembers.emplace(member.vm, member);
    m_candidateOrder.clear();
    if (!m_hasPlatformList) {
        m_firstListedAt = now;
        m_nextCandidateProbeAt = now;
    }
    m_hasPlatformList = true;
    if (requestedAt > m_pauseEndedAt)
        m_isViewStale = false;
    return takeActions();
}

MembershipActions Membership::onTable(const std::vector<MemberRecord> &table, Clock::time_point now)
{
    std::map<VmId, std::size_t> previousUpdates = m_pendingUpdates;
    for (const MemberRecord &record : table) {
        const auto it = m_entries.find(record.member.vm);
        const bool isFailureClaim =
            record.state == MemberState::Dead || record.state == MemberState::Suspect;
        // During a network partition, VMs on the other side may have declared this VM's live peer
        // dead or suspect. The claim is sent to that peer, which refutes it.
        if (isFailureClaim && it != m_entries.end()
            && it->second.record.state == MemberState::Alive) {
            if (supersedes(record, it->second.record) && m_claims.size() < MaxClaims)
                m_claims.push_back(record);
            continue;
        }
        applyRecord(record, now);
    }
    // The records of the table are not added to heartbeats: VMs that lack them pull them too, which
    // costs less than gossip for so many.
    m_pendingUpdates = std::move(previousUpdates);
    return takeActions();
}

MembershipActions Membership::announce(const VmId &vm)
{
    std::vector<Member> members;
    for (const auto &[name, entry] : m_entries)
        if (entry.record.state != MemberState::Dead && name != vm)
            members.push_back(entry.record.member);
    std::shuffle(members.begin(), members.end(), m_random);
    if (members.size() > m_options.announceFanOut)
        members.resize(m_options.announceFanOut);
    if (const auto it = m_entries.find(vm); it != m_entries.end())
        members.push_back(it->second.record.member);
    for (const Member &member : members) {
        HeartbeatMessage message;
        message.sequence = ++m_lastSequence;
        sendHeartbeat(member.peerAddress, member.vm, std::move(message));
    }
    return takeActions();
}

MembershipActions Membership::startServing()
{
    if (!m_self.member.isStarting)
        return {};
    m_self.member.isStarting = false;
    ++m_self.revision;
    m_isViewDirty = true;
    return announce({});
}

MembershipActions Membership::leave()
{
    if (m_self.state == MemberState::Leaving)
        return {};
    m_self.state = MemberState::Leaving;
    m_self.member.isLeaving = true;
    ++m_self.revision;
    m_isViewDirty = true;
    std::vector<Member> members;
    for (const auto &[vm, entry] : m_entries)
        if (entry.record.state != MemberState::Dead)
            members.push_back(entry.record.member);
    std::shuffle(members.begin(), members.end(), m_random);
    std::stable_partition(members.begin(), members.end(), [this](const Member &each) {
        return each.failureDomain == m_self.member.failureDomain;
    });
    if (members.size() > m_options.leaveFanOut)
        members.resize(m_options.leaveFanOut);
    for (const Member &member : members) {
        HeartbeatMessage message;
        message.sequence = ++m_lastSequence;
        sendHeartbeat(member.peerAddress, member.vm, std::move(message));
    }
    return takeActions();
}

void Membership::applyRecord(const MemberRecord &record, Clock::time_point now)
{
    if (record.member.vm == m_self.member.vm) {
        refute(record, now);
        return;
    }
    const auto it = m_entries.find(record.member.vm);
    if (it == m_entries.end()) {
        if (record.state != MemberState::Dead)
            setRecord(m_entries[record.member.vm], record, now);
    } else if (supersedes(record, it->second.record)) {
        setRecord(it->second, record, now);
    }
}

void Membership::refute(const MemberRecord &claim, Clock::time_point now)
{
    const bool isOwnRecord = claim.member.incarnation == m_self.member.incarnation
        && claim.state == m_self.state && claim.revision == m_self.revision;
    if (isOwnRecord || claim.revision < m_self.revision)
        return;
    m_self.revision = claim.revision + 1;
    m_lastChangeAt = now;
}

void Membership::setRecord(Entry &entry, const MemberRecord &record, Clock::time_point now)
{
    const bool isNewState = entry.record.member.vm.empty() || entry.record.state != record.state;
    entry.record = record;
    entry.record.member.isLeaving = record.state == MemberState::Leaving;
    entry.changedAt = now;
    if (record.state == MemberState::Suspect)
        entry.deadAt = now + scaledSuspicionTimeout();
    m_lastChangeAt = now;
    m_isViewDirty = true;
    queueUpdate(record.member.vm);
    if (isNewState)
        m_actions.emplace_back(MemberStateChanged{record.member.vm, record.state, record.revision});
}

void Membership::changeState(const VmId &vm, MemberState state, Clock::time_point now)
{
    Entry &entry = m_entries.at(vm);
    MemberRecord record = entry.record;
    record.state = state;
    setRecord(entry, record, now);
}

bool Membership::hasJoined(Clock::time_point now) const
{
    const std::size_t known = std::max(m_listedMembers.size(), liveCount());
    if (!m_hasPlatformList)
        return !m_ackedBy.empty();
    return m_ackedBy.size() >= std::min(known, MinJoinAcks)
        || now >= m_firstListedAt + m_options.joinTimeout;
}

MembershipActions Membership::takeActions()
{
    if (std::exchange(m_isViewDirty, false)) {
        auto view = std::make_shared<MemberView>();
        view->members.push_back(m_self.member);
        for (const auto &[vm, entry] : m_entries)
            if (entry.record.state != MemberState::Dead)
                view->members.push_back(entry.record.member);
        const auto isSame = [](const Member &a, const Member &b) {
            return a.vm == b.vm && a.peerAddress == b.peerAddress && a.isLeaving == b.isLeaving
                && a.isStarting == b.isStarting && a.incarnation == b.incarnation
                && a.failureDomain == b.failureDomain && a.region == b.region;
        };
        const bool isUnchanged = m_view
            && std::equal(view->members.begin(), view->members.end(), m_view->members.begin(),
                          m_view->members.end(), isSame);
        if (!isUnchanged) {
            view->generation = m_view ? m_view->generation + 1 : 1;
            m_view = std::move(view);
            m_actions.emplace_back(ViewChanged{});
        }
    }
    return std::exchange(m_actions, {});
}

} // namespace mangoshift
