#pragma once

#include "duties/messages.h"
#include "wire/framecodec.h"

namespace mangoshift {

wire::PermitRequestT toWire(const PermitRequest &request);
wire::PermitReplyT toWire(const PermitReply &reply);
/// Parts beyond the listed targets are empty.
PermitRequest fromWire(const wire::PermitRequestT &request);
PermitReply fromWire(const wire::PermitReplyT &reply);

} // namespace mangoshift
