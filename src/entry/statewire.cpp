#include "entry/statewire.h"

#include <memory>
#include <utility>

namespace mangoshift {

namespace {

std::uint32_t toWire(std::chrono::milliseconds time)
{
    return static_cast<std::uint32_t>(std::max<std::int64_t>(time.count(), 0));
}

std::unique_ptr<wire::RegisteredTargetT> toWire(const RegisteredTarget &target)
{
    auto result = std::make_unique<wire::RegisteredTargetT>();
    result->id = target.id;
    result->service = target.service;
    result->address = target.address;
    result->failure_domain = target.failureDomain;
    result->slots = target.slots;
    result->draining = target.isDraining;
    result->slow_for_ms = toWire(target.warmupLeft);
    result->started_at = target.startedAt;
    result->sequence = target.sequence;
    return result;
}

RegisteredTarget fromWire(wire::RegisteredTargetT &target)
{
    RegisteredTarget result;
    result.id = std::move(target.id);
    result.service = std::move(target.service);
    result.address = std::move(target.address);
    result.failureDomain = std::move(target.failure_domain);
    result.slots = target.slots;
    result.isDraining = target.draining;
    result.warmupLeft = std::chrono::milliseconds(target.slow_for_ms);
    result.startedAt = target.started_at;
    result.sequence = target.sequence;
    return result;
}

} // namespace

wire::StateReplyT toWire(const PeerState &state, std::uint64_t sequence)
{
    wire::StateReplyT reply;
    reply.sequence = sequence;
    reply.revision = state.revision;
    reply.whole = state.isComplete;
    reply.age_ms = toWire(state.age);
    reply.removals_wait_ms = toWire(state.removalsHeldFor);
    reply.configuration = state.configuration;
    if (state.evacuatedDomains) {
        reply.evacuations = std::make_unique<wire::EvacuatedDomainsT>();
        reply.evacuations->names.assign(state.evacuatedDomains->begin(),
                                        state.evacuatedDomains->end());
    }
    reply.targets.reserve(state.targets.size() + state.removed.size());
    for (const RegisteredTarget &target : state.targets)
        reply.targets.push_back(toWire(target));
    for (const TargetId &id : state.removed) {
        reply.targets.push_back(std::make_unique<wire::RegisteredTargetT>());
        reply.targets.back()->id = id;
    }
    return reply;
}

WireBudgetCounts toWire(const BudgetCounts &counts)
{
    WireBudgetCounts result;
    result.reserve(counts.size());
    for (const auto &[service, count] : counts) {
        result.push_back(std::make_unique<wire::BudgetCountT>());
        result.back()->service = service;
        result.back()->count = count;
    }
    return result;
}

BudgetCounts fromWire(const WireBudgetCounts &counts)
{
    BudgetCounts result;
    for (const auto &count : counts)
        if (count)
            result.emplace_back(count->service, count->count);
    return result;
}

PeerState fromWire(wire::StateReplyT &reply)
{
    PeerState state;
    state.revision = reply.revision;
    state.isComplete = reply.whole;
    state.age = std::chrono::milliseconds(reply.age_ms);
    state.removalsHeldFor = std::chrono::milliseconds(reply.removals_wait_ms);
    state.configuration = std::move(reply.configuration);
    if (reply.evacuations)
        state.evacuatedDomains.emplace(reply.evacuations->names.begin(),
                                       reply.evacuations->names.end());
    for (const auto &target : reply.targets) {
        if (!target || target->id.empty())
            continue;
        if (target->service.empty())
            state.removed.push_back(std::move(target->id));
        else
            state.targets.push_back(fromWire(*target));
    }
    return state;
}

} // namespace mangoshift
