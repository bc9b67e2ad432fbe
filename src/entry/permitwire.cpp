#include "entry/permitwire.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

namespace mangoshift {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t Unknown = std::numeric_limits<std::uint32_t>::max();
constexpr double Thousand = 1000.0;

/// Returns a number that is not `Unknown`.
std::uint32_t bounded(double number)
{
    return static_cast<std::uint32_t>(std::clamp(number, 0.0, Unknown - 1.0));
}

wire::HeardLimit toWire(const HeardLimit &heard)
{
    return {heard.target, heard.limit ? bounded(std::round(*heard.limit * Thousand)) : Unknown,
            bounded(static_cast<double>(heard.age.count()))};
}

HeardLimit fromWire(const wire::HeardLimit &heard)
{
    HeardLimit result{heard.target(), std::nullopt, milliseconds(heard.age_ms())};
    if (heard.limit_milli() != Unknown)
        result.limit = heard.limit_milli() / Thousand;
    return result;
}

std::unique_ptr<wire::PermitAskT> toWire(const PermitAsk &ask)
{
    constexpr std::size_t maxPartSize = std::numeric_limits<std::uint8_t>::max();
    auto result = std::make_unique<wire::PermitAskT>();
    result->priority =
        static_cast<std::uint8_t>(std::min<std::uint32_t>(ask.priority, maxPartSize));
    result->required = static_cast<std::uint16_t>(ask.required);
    result->needed_parts = static_cast<std::uint16_t>(ask.neededParts);
    result->max_wait_ms = bounded(static_cast<double>(ask.maxWait.count()));
    for (const auto &part : ask.parts) {
        const std::size_t size = std::min(part.size(), maxPartSize);
        result->part_sizes.push_back(static_cast<std::uint8_t>(size));
        for (std::size_t i = 0; i < size; ++i)
            result->targets.push_back(toWire(part[i]));
    }
    return result;
}

PermitAsk fromWire(const wire::PermitAskT &ask)
{
    PermitAsk result{
        ask.priority, ask.required, ask.needed_parts, milliseconds(ask.max_wait_ms), {}};
    auto next = ask.targets.begin();
    for (const std::uint8_t size : ask.part_sizes) {
        auto &part = result.parts.emplace_back();
        for (std::size_t i = 0; i < size && next != ask.targets.end(); ++i, ++next)
            part.push_back(fromWire(*next));
    }
    return result;
}

} // namespace

wire::PermitRequestT toWire(const PermitRequest &request)
{
    wire::PermitRequestT result;
    result.sequence = request.sequence;
    for (const PermitAsk &ask : request.asks)
        result.asks.push_back(toWire(ask));
    return result;
}

wire::PermitReplyT toWire(const PermitReply &reply)
{
    wire::PermitReplyT result;
    result.sequence = reply.sequence;
    for (const PermitOutcome &outcome : reply.outcomes) {
        auto each = std::make_unique<wire::PermitOutcomeT>();
        each->granted = outcome.isGranted;
        for (const Permit &permit : outcome.permits) {
            each->targets.push_back(permit.target);
            each->valid_in_ms.push_back(bounded(static_cast<double>(permit.validIn.count())));
        }
        each->opens_in_ms =
            outcome.opensIn ? bounded(static_cast<double>(outcome.opensIn->count())) : Unknown;
        result.outcomes.push_back(std::move(each));
    }
    return result;
}

PermitRequest fromWire(const wire::PermitRequestT &request)
{
    PermitRequest result{request.sequence, {}};
    for (const auto &ask : request.asks)
        result.asks.push_back(fromWire(*ask));
    return result;
}

PermitReply fromWire(const wire::PermitReplyT &reply)
{
    PermitReply result{reply.sequence, {}};
    for (const auto &outcome : reply.outcomes) {
        PermitOutcome each{outcome->granted, {}, std::nullopt};
        const std::size_t permits = std::min(outcome->targets.size(), outcome->valid_in_ms.size());
        for (std::size_t i = 0; i < permits; ++i)
            each.permits.push_back({outcome->targets[i], milliseconds(outcome->valid_in_ms[i])});
        if (outcome->opens_in_ms != Unknown)
            each.opensIn = milliseconds(outcome->opens_in_ms);
        result.outcomes.push_back(std::move(each));
    }
    return result;
}

wire::LoanRequestT toWire(const std::vector<HeardLimit> &wanted, std::uint64_t sequence)
{
    wire::LoanRequestT request;
    request.sequence = sequence;
    for (const HeardLimit &heard : wanted)
        request.targets.push_back(toWire(heard));
    return request;
}

wire::LoanReplyT toWire(const std::vector<LimitLoan> &loans, std::uint64_t sequence)
{
    wire::LoanReplyT reply;
    reply.sequence = sequence;
    // Rounded down, so that no more is used than was lent.
    for (const LimitLoan &loan : loans)
        reply.loans.emplace_back(loan.target, bounded(std::floor(loan.rate * Thousand)));
    return reply;
}

std::vector<HeardLimit> fromWire(const wire::LoanRequestT &request)
{
    std::vector<HeardLimit> wanted;
    for (const wire::HeardLimit &heard : request.targets)
        wanted.push_back(fromWire(heard));
    return wanted;
}

std::vector<LimitLoan> fromWire(const wire::LoanReplyT &reply)
{
    std::vector<LimitLoan> loans;
    for (const wire::LimitLoan &loan : reply.loans)
        loans.push_back({loan.target(), loan.rate_milli() / Thousand});
    return loans;
}

} // namespace mangoshift
