#include "duties/memberswire.h"

#include <algorithm>

namespace mangoshift {

namespace {

std::unique_ptr<wire::MemberInfoT> toWire(const MemberRecord &record)
{
    auto info = std::make_unique<wire::MemberInfoT>();
    info->vm = record.member.vm;
    info->failure_domain = record.member.failureDomain;
    info->region = record.member.region;
    info->peer_address = record.member.peerAddress;
    info->incarnation = record.member.incarnation;
    info->revision = record.revision;
    info->starting = record.member.isStarting;
    info->state = static_cast<std::uint8_t>(record.state);
    return info;
}

MemberRecord fromWire(const wire::MemberInfoT &info)
{
    constexpr auto lastState = static_cast<std::uint8_t>(MemberState::Leaving);
    MemberRecord record;
    record.member.vm = info.vm;
    record.member.failureDomain = info.failure_domain;
    record.member.region = info.region;
    record.member.peerAddress = info.peer_address;
    record.member.incarnation = info.incarnation;
    record.member.isStarting = info.starting;
    record.revision = info.revision;
    record.state = static_cast<MemberState>(std::min(info.state, lastState));
    record.member.isLeaving = record.state == MemberState::Leaving;
    return record;
}

} // namespace

WireRecords toWire(const std::vector<MemberRecord> &records)
{
    WireRecords infos;
    infos.reserve(records.size());
    for (const MemberRecord &record : records)
        infos.push_back(toWire(record));
    return infos;
}

std::vector<MemberRecord> fromWire(const WireRecords &records)
{
    std::vector<MemberRecord> parsed;
    parsed.reserve(records.size());
    for (const auto &info : records)
        if (info && !info->vm.empty())
            parsed.push_back(fromWire(*info));
    return parsed;
}

wire::HeartbeatT toWire(const HeartbeatMessage &message)
{
    wire::HeartbeatT heartbeat;
    heartbeat.kind = static_cast<std::uint8_t>(message.kind);
    heartbeat.sequence = message.sequence;
    heartbeat.sender = toWire(message.sender);
    heartbeat.subject = message.subject;
    heartbeat.config_version = message.configVersion;
    heartbeat.members_hash = message.membersHash;
    heartbeat.updates = toWire(message.updates);
    return heartbeat;
}

HeartbeatMessage fromWire(const wire::HeartbeatT &heartbeat)
{
    constexpr auto lastKind = static_cast<std::uint8_t>(HeartbeatKind::PingRequest);
    HeartbeatMessage message;
    message.kind = static_cast<HeartbeatKind>(std::min(heartbeat.kind, lastKind));
    message.sequence = heartbeat.sequence;
    if (heartbeat.sender)
        message.sender = fromWire(*heartbeat.sender);
    message.subject = heartbeat.subject;
    message.configVersion = heartbeat.config_version;
    message.membersHash = heartbeat.members_hash;
    message.updates = fromWire(heartbeat.updates);
    return message;
}

} // namespace mangoshift
