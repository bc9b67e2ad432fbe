#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "mangoshift/slotscheduler.h"

namespace mangoshift::testing {

using std::chrono::milliseconds;

inline const CallOutcome Answered{{Execution::Ran, Reason::Ok}, 1, {1, 1}, "[]"};
inline const CallOutcome Shed{{Execution::NotRun, Reason::Refused}, 0, {}, ""};
inline const CallOutcome DrainingRefusal{{Execution::NotRun, Reason::Draining}, 0, {}, ""};
inline const CallOutcome Unreachable{{Execution::NotRun, Reason::Lost}, 0, {}, "", false};
inline const CallOutcome Abandoned{{Execution::MayHaveRun, Reason::Cancelled}, 0, {}, ""};
inline const CallOutcome LostAfterSending{{Execution::MayHaveRun, Reason::Lost}, 0, {}, ""};

inline DocumentPtr documentOf(std::size_t replicas, std::uint32_t slots)
{
    Document document;
    Service service{"s", 0, milliseconds(100), true, {{"0", shardKey("s", "0"), {}}}};
    for (std::size_t i = 0; i < replicas; ++i) {
        document.targets.push_back({std::string(1, static_cast<char>('a' + i)),
                                    std::string("127.0.0.1:").append(std::to_string(i)), "d", slots,
                                    25});
        service.shards[0].replicas.push_back(i);
    }
    document.services.push_back(service);
    return std::make_shared<IndexedDocument>(std::move(document));
}

/// A scheduler with a manual clock; records the actions of the last event by kind.
struct SchedulerHarness
{
    explicit SchedulerHarness(std::size_t replicas, std::uint32_t slots = 2,
                              SchedulerOptions options = {})
        : scheduler(options)
    {
        record(scheduler.applyDocument(documentOf(replicas, slots), now));
    }

    void record(SchedulerActions actions)
    {
        sent.clear();
        cancelled.clear();
        replies.clear();
        changes.clear();
        for (SchedulerAction &action : actions) {
            if (const auto *send = std::get_if<SendToTarget>(&action)) {
                sent.push_back(*send);
                if (hasFreeConnections)
                    scheduler.onCallSent(send->call);
            } else if (const auto *cancel = std::get_if<CancelCall>(&action))
                cancelled.push_back(cancel->call);
            else if (const auto *reply = std::get_if<ReplyShard>(&action))
                replies.push_back(*reply);
            else if (const auto *change = std::get_if<TargetChanged>(&action))
                changes.push_back(*change);
            else if (const auto *arm = std::get_if<ArmSchedulerTimer>(&action))
                timer = arm->at;
        }
    }

    ShardRequestId submit(std::uint8_t priority = 0, bool isIdempotent = true,
                          milliseconds deadline = milliseconds(100))
    {
        ShardRequest request;
        request.id = ++lastRequest;
        request.shard = shardKey("s", "0");
        request.deadline = now + deadline;
        auto body = std::make_shared<RequestBody>();
        body->priority = priority;
        body->isIdempotent = isIdempotent;
        request.body = std::move(body);
        record(scheduler.onRequest(request, now));
        return request.id;
    }

    void endCall(CallId call, const CallOutcome &outcome)
    {
        record(scheduler.onCallEnded(call, outcome, now));
    }

    void advance(Clock::duration step)
    {
        now += step;
        record(scheduler.onTimer(now));
    }

    /// Submits requests one by one and ends each copy after the latency of its replica.
    void serve(int requests, const std::vector<milliseconds> &latencies)
    {
        for (int i = 0; i < requests; ++i) {
            submit();
            for (const SendToTarget &each : std::vector(sent)) {
                now += latencies.at(each.target);
                endCall(each.call, Answered);
            }
        }
    }

    TargetStatus status(std::size_t target) { return scheduler.targetStatus().at(target); }

    Clock::time_point now{std::chrono::seconds(100)};
    SlotScheduler scheduler;
    std::vector<SendToTarget> sent;
    std::vector<CallId> cancelled;
    std::vector<ReplyShard> replies;
    std::vector<TargetChanged> changes;
    Clock::time_point timer{};
    ShardRequestId lastRequest = 0;
    /// Whether calls are given to a connection at once.
    bool hasFreeConnections = true;
};

} // namespace mangoshift::testing
