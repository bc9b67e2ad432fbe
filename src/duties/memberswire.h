#pragma once

#include <memory>
#include <vector>

#include "mangoshift/membership.h"
#include "wire/framecodec.h"

namespace mangoshift {

/// Member records in wire form. The functions below convert records and heartbeats to and from it.
using WireRecords = std::vector<std::unique_ptr<wire::MemberInfoT>>;

WireRecords toWire(const std::vector<MemberRecord> &records);
std::vector<MemberRecord> fromWire(const WireRecords &records);
wire::HeartbeatT toWire(const HeartbeatMessage &message);
/// Returns a message whose sender has an empty name if the heartbeat has no sender.
HeartbeatMessage fromWire(const wire::HeartbeatT &heartbeat);

} // namespace mangoshift
