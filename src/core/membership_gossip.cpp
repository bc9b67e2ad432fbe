#include "mangoshift/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

namespace {

/// A change is sent `SendFactor` * log2(number of VMs) times, with the logarithm rounded up.
constexpr std::size_t SendFactor = 3;
/// The estimated bytes of an encoded record without its strings.
constexpr std::size_t RecordOverheadBytes = 56;
constexpr std::chrono::seconds MinPullInterval{1};
/// How many VMs of other failure domains are pinged at once. Several, as some may be down.
constexpr std::size_t OtherDomainPings = 3;

std::size_t estimatedSize(const MemberRecord &record)
{
    const Member &member = record.member;
    return RecordOverheadBytes + member.vm.size() + member.failureDomain.size()
        + member.region.size() + member.peerAddress.size();
}

} // namespace

void Membership::sendHeartbeat(const std::string &address, const VmId &to, HeartbeatMessage message)
{
    message.sender = m_self;
    message.configVersion = m_configVersion;
    message.membersHash = tableHash();
    addUpdates(message, to);
    m_actions.emplace_back(SendHeartbeat{address, std::move(message)});
}

void Membership::addUpdates(HeartbeatMessage &message, const VmId &to)
{
    std::size_t freeBytes = m_options.maxUpdateBytes;
    // A claim that the receiver is not alive goes first, so that the receiver can refute it.
    if (const auto it = m_entries.find(to); message.updates.empty() && it != m_entries.end()
        && it->second.record.state != MemberState::Alive) {
        message.updates.push_back(it->second.record);
        freeBytes -= std::min(freeBytes, estimatedSize(it->second.record));
    }
    std::vector<std::pair<std::size_t, VmId>> pendingUpdates;
    for (const auto &[vm, sendsLeft] : m_pendingUpdates)
        if (vm != to)
            pendingUpdates.emplace_back(sendsLeft, vm);
    std::sort(pendingUpdates.rbegin(), pendingUpdates.rend());
    for (const auto &[sendsLeft, vm] : pendingUpdates) {
        const auto it = m_entries.find(vm);
        if (it != m_entries.end()) {
            const std::size_t size = estimatedSize(it->second.record);
            if (size > freeBytes)
                break;
            freeBytes -= size;
            message.updates.push_back(it->second.record);
        }
        if (sendsLeft <= 1 || it == m_entries.end())
            m_pendingUpdates.erase(vm);
        else
            m_pendingUpdates[vm] = sendsLeft - 1;
    }
}

void Membership::queueUpdate(const VmId &vm)
{
    const auto size = static_cast<double>(m_entries.size() + 2);
    m_pendingUpdates[vm] = SendFactor * static_cast<std::size_t>(std::ceil(std::log2(size)));
}

std::optional<VmId> Membership::nextMember()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!m_probeOrder.empty()) {
            const VmId vm = std::move(m_probeOrder.back());
            m_probeOrder.pop_back();
            const auto it = m_entries.find(vm);
            if (it != m_entries.end() && it->second.record.state != MemberState::Dead)
                return vm;
        }
        for (const auto &[vm, entry] : m_entries)
            if (entry.record.state != MemberState::Dead)
                m_probeOrder.push_back(vm);
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    return {};
}

std::optional<Member> Membership::nextCandidate()
{
    for (int pass = 0; pass < 2; ++pass) {
        while (!m_candidateOrder.empty()) {
            const VmId vm = std::move(m_candidateOrder.back());
            m_candidateOrder.pop_back();
            const auto entry = m_entries.find(vm);
            if (entry != m_entries.end() && entry->second.record.state != MemberState::Dead)
                continue;
            // The list has the current address of a VM that was replaced under the same name.
            if (const auto listed = m_listedMembers.find(vm); listed != m_listedMembers.end())
                return listed->second;
            if (entry != m_entries.end())
                return entry->second.record.member;
        }
        for (const auto &[vm, member] : m_listedMembers)
            if (!m_entries.contains(vm))
                m_candidateOrder.push_back(vm);
        for (const auto &[vm, entry] : m_entries)
            if (entry.record.state == MemberState::Dead)
                m_candidateOrder.push_back(vm);
        std::shuffle(m_candidateOrder.begin(), m_candidateOrder.end(), m_random);
    }
    return {};
}

Clock::duration Membership::scaledSuspicionTimeout() const
{
    const double factor = std::max(1.0, std::log10(static_cast<double>(liveCount() + 1)));
    return std::chrono::duration_cast<Clock::duration>(m_options.suspicionTimeout * factor);
}

MembershipActions Membership::pingOtherDomains()
{
    std::vector<const MemberRecord *> others;
    for (const auto &[vm, entry] : m_entries)
        if (entry.record.member.failureDomain != m_self.member.failureDomain
            && entry.record.state != MemberState::Leaving)
            others.push_back(&entry.record);
    std::shuffle(others.begin(), others.end(), m_random);
    std::stable_partition(others.begin(), others.end(), [](const MemberRecord *record) {
        return record->state != MemberState::Dead;
    });
    others.resize(std::min(others.size(), OtherDomainPings));
    for (const MemberRecord *record : others) {
        HeartbeatMessage message;
        message.sequence = ++m_lastSequence;
        sendHeartbeat(record->member.peerAddress, record->member.vm, std::move(message));
    }
    return takeActions();
}

Clock::duration Membership::pullInterval() const
{
    std::size_t bytes = estimatedSize(m_self);
    for (const auto &[vm, entry] : m_entries)
        bytes += estimatedSize(entry.record);
    return std::max<Clock::duration>(MinPullInterval,
                                     std::chrono::seconds(bytes / m_options.pullBytesPerSecond));
}

std::size_t Membership::liveCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(), [](const auto &each) {
            return each.second.record.state != MemberState::Dead;
        }));
}

std::vector<MemberRecord> Membership::table() const
{
    std::vector<MemberRecord> records{m_self};
    for (const auto &[vm, entry] : m_entries)
        records.push_back(entry.record);
    return records;
}

std::uint64_t Membership::tableHash() const
{
    const auto hashOf = [](const MemberRecord &record) {
        const std::uint64_t parts[] = {record.member.incarnation, record.revision,
                                       record.state == MemberState::Leaving ? 1U : 0U};
        const VmId &vm = record.member.vm;
        return XXH64(vm.data(), vm.size(), XXH64(parts, sizeof(parts), 0));
    };
    std::uint64_t hash = hashOf(m_self);
    for (const auto &[vm, entry] : m_entries)
        if (entry.record.state != MemberState::Dead)
            hash ^= hashOf(entry.record);
    return hash;
}

} // namespace mangoshift
