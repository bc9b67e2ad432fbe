#include "mangoshift/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <xxhash.h>

namespace mangoshift {

namespace {

/// Each change is passed on this many times the logarithm of the number of VMs.
constexpr std::size_t SpreadFactor = 3;
/// What a record takes beside its texts, in bytes.
constexpr std::size_t RecordOverheadBytes = 56;
constexpr std::chrono::seconds MinPullInterval{1};
/// VMs of other domains that are pinged at once; several, as some may be down.
constexpr std::size_t OtherDomainPings = 3;

std::size_t sizeOf(const MemberRecord &record)
{
    const Member &member = record.member;
    return RecordOverheadBytes + member.vm.size() + member.failureDomain.size()
        + member.region.size() + member.peerAddress.size();
}

} // namespace

void Membership::send(const std::string &address, const VmId &to, HeartbeatMessage message)
{
    message.sender = m_self;
    message.configVersion = m_configVersion;
    message.membersHash = tableHash();
    addUpdates(message, to);
    m_actions.emplace_back(SendHeartbeat{address, std::move(message)});
}

void Membership::addUpdates(HeartbeatMessage &message, const VmId &to)
{
    std::size_t room = m_options.updateBytes;
    // What is held against the receiver goes first, so that it can refute it.
    if (const auto it = m_entries.find(to); message.updates.empty() && it != m_entries.end()
        && it->second.record.state != MemberState::Alive) {
        message.updates.push_back(it->second.record);
        room -= std::min(room, sizeOf(it->second.record));
    }
    std::vector<std::pair<std::size_t, VmId>> rumours;
    for (const auto &[vm, left] : m_rumours)
        if (vm != to)
            rumours.emplace_back(left, vm);
    std::sort(rumours.rbegin(), rumours.rend());
    for (const auto &[left, vm] : rumours) {
        const auto it = m_entries.find(vm);
        if (it != m_entries.end()) {
            const std::size_t size = sizeOf(it->second.record);
            if (size > room)
                break;
            room -= size;
            message.updates.push_back(it->second.record);
        }
        if (left <= 1 || it == m_entries.end())
            m_rumours.erase(vm);
        else
            m_rumours[vm] = left - 1;
    }
}

void Membership::spread(const VmId &vm)
{
    const auto size = static_cast<double>(m_entries.size() + 2);
    m_rumours[vm] = SpreadFactor * static_cast<std::size_t>(std::ceil(std::log2(size)));
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
            // The list knows the address of a VM that was replaced under its name.
            if (const auto listed = m_listed.find(vm); listed != m_listed.end())
                return listed->second;
            if (entry != m_entries.end())
                return entry->second.record.member;
        }
        for (const auto &[vm, member] : m_listed)
            if (!m_entries.contains(vm))
                m_candidateOrder.push_back(vm);
        for (const auto &[vm, entry] : m_entries)
            if (entry.record.state == MemberState::Dead)
                m_candidateOrder.push_back(vm);
        std::shuffle(m_candidateOrder.begin(), m_candidateOrder.end(), m_random);
    }
    return {};
}

Clock::duration Membership::suspicionTime() const
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
        send(record->member.peerAddress, record->member.vm, std::move(message));
    }
    return take();
}

Clock::duration Membership::pullInterval() const
{
    std::size_t bytes = sizeOf(m_self);
    for (const auto &[vm, entry] : m_entries)
        bytes += sizeOf(entry.record);
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
