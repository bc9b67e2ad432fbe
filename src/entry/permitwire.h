#pragma once

#include <cstdint>
#include <vector>

#include "duties/messages.h"
#include "mangoshift/limitpool.h"
#include "wire/framecodec.h"

namespace mangoshift {

wire::PermitRequestT toWire(const PermitRequest &request);
wire::PermitReplyT toWire(const PermitReply &reply);
/// Parts beyond the listed targets are empty.
PermitRequest fromWire(const wire::PermitRequestT &request);
PermitReply fromWire(const wire::PermitReplyT &reply);

wire::LoanRequestT toWire(const std::vector<HeardLimit> &wanted, std::uint64_t sequence);
wire::LoanReplyT toWire(const std::vector<LimitLoan> &loans, std::uint64_t sequence);
std::vector<HeardLimit> fromWire(const wire::LoanRequestT &request);
std::vector<LimitLoan> fromWire(const wire::LoanReplyT &reply);

} // namespace mangoshift
