// Measures the processor time that the slot scheduler uses per shard request, from its arrival to
// the end of its call, for several numbers of replicas and of pending requests. Prints one line for
// each combination.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "mangoshift/slotscheduler.h"

namespace {

using namespace mangoshift;

constexpr int Shards = 360;
constexpr int MeasuredRequests = 400'000;
constexpr std::chrono::microseconds ArrivalInterval{15};
constexpr std::uint32_t Slots = 2;

DocumentPtr makeDocument(std::size_t replicas)
{
    Document document;
    Service service;
    service.name = "s";
    for (int i = 0; i < Shards; ++i) {
        Shard shard;
        shard.name = std::to_string(i);
        shard.key = shardKey("s", shard.name);
        for (std::size_t r = 0; r < replicas; ++r) {
            shard.replicas.push_back(document.targets.size());
            Target target;
            target.name = std::to_string(document.targets.size());
            target.slots = Slots;
            document.targets.push_back(std::move(target));
        }
        service.shards.push_back(std::move(shard));
    }
    document.services.push_back(std::move(service));
    return std::make_shared<IndexedDocument>(std::move(document));
}

/// Keeps `pendingPerShard` requests of each shard pending. Returns the nanoseconds per request.
double measureCost(std::size_t replicas, int pendingPerShard)
{
    SlotScheduler scheduler;
    Clock::time_point now{std::chrono::seconds(1000)};
    std::vector<std::vector<CallId>> runningCalls(Shards);
    const auto body = std::make_shared<RequestBody>();
    // Twice the time that a request waits behind the pending ones, so that no request expires.
    const Clock::duration timeout =
        std::chrono::milliseconds(100) + ArrivalInterval * Shards * pendingPerShard * 2;
    std::vector<ShardKey> keys;
    keys.reserve(Shards);
    for (int i = 0; i < Shards; ++i)
        keys.push_back(shardKey("s", std::to_string(i)));
    int shardIndex = 0;
    const auto recordCalls = [&](const SchedulerActions &actions) {
        for (const SchedulerAction &action : actions)
            if (const auto *send = std::get_if<SendToTarget>(&action))
                runningCalls[static_cast<std::size_t>(shardIndex)].push_back(send->call);
    };
    recordCalls(scheduler.applyDocument(makeDocument(replicas), now));
    ShardRequestId id = 0;
    const auto sendRequest = [&] {
        ShardRequest request;
        request.id = ++id;
        request.shard = keys[static_cast<std::size_t>(shardIndex)];
        request.deadline = now + timeout;
        request.body = body;
        recordCalls(scheduler.onRequest(std::move(request), now));
    };
    for (shardIndex = 0; shardIndex < Shards; ++shardIndex)
        for (int i = 0; i < pendingPerShard; ++i)
            sendRequest();
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < MeasuredRequests; ++i) {
        shardIndex = i % Shards;
        now += ArrivalInterval;
        recordCalls(scheduler.onTimer(now));
        sendRequest();
        auto &calls = runningCalls[static_cast<std::size_t>(shardIndex)];
        const CallId call = calls.front();
        calls.erase(calls.begin());
        recordCalls(
            scheduler.onCallEnded(call, {{Execution::Ran, Reason::Ok}, 1, {1, 1}, "[]"}, now));
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / MeasuredRequests;
}

} // namespace

int main()
{
    for (const std::size_t replicas : {2U, 5U, 10U})
        for (const int pendingPerShard : {0, 20, 200})
            std::printf("replicas %2zu  pending requests per shard %3d  %6.0f ns\n", replicas,
                        pendingPerShard, measureCost(replicas, pendingPerShard));
    return 0;
}
