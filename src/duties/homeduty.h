#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "base/metrics.h"
#include "duties/messages.h"
#include "mangoshift/placement.h"
#include "mangoshift/retiredshards.h"
#include "mangoshift/slotscheduler.h"
#include "net/targetpool.h"

namespace mangoshift {

/// The duty that is home to shards: it runs the `SlotScheduler` and holds the connections to
/// targets.
class HomeDuty
{
public:
    struct Options
    {
        /// This VM's, which makes the names of calls unique.
        std::uint64_t incarnation = 0;
        PlacementPolicy placement;
        std::string region;
        /// Outlives the duty.
        Metrics *metrics = nullptr;
        SchedulerOptions scheduler;
    };

    /// `send` takes replies: to the query duty for `LocalLink`, else to the link.
    using ReplySink = std::function<void(LinkId, wire::ShardRepliesT)>;
    /// Takes that the process was paused; to be answered by `ConfigConfirmed`.
    using PauseSink = std::function<void(ProcessPaused)>;

    HomeDuty(Options options, ReplySink send, PauseSink onPaused);
    ~HomeDuty();
    HomeDuty(const HomeDuty &) = delete;
    HomeDuty &operator=(const HomeDuty &) = delete;

    void start();
    void stop();
    /// Returns false where the ring is full.
    bool tryPost(HomeMessage message) { return m_duty.tryPostMessage(message); }
    /// Returns how many shard requests are not answered yet. Any thread may ask.
    std::size_t pending() const { return m_pending + m_duty.ringSize(); }

private:
    using ExchangeKey = std::pair<LinkId, ExchangeId>;
    /// Who awaits the answer to a shard request.
    struct Asker
    {
        ExchangeKey exchange;
        ShardKey shard;
        Clock::time_point deadline;
    };
    /// Answers to one batch that wait to go out together.
    struct HeldReplies
    {
        wire::ShardRepliesT frame;
        Clock::time_point dueAt = Clock::time_point::max();
    };

    void handle(HomeMessage &message);
    Clock::time_point noticePause();
    void watchForPauses();
    void onConfigConfirmed(const ConfigConfirmed &message);
    void resume(const char *why);
    void onBatch(HomeBatch &message);
    void onCancel(const HomeCancel &message);
    void onLinkLost(LinkId link);
    void cancel(const std::vector<ShardRequestId> &requests);
    void onDocument(DocumentPtr document);
    void serve(DocumentPtr document);
    void armRetirement();
    void onMembers(const MemberView &view);
    void perform(SchedulerActions actions);
    void sendToTarget(SendToTarget &action);
    void cancelCall(CallId call);
    void reply(ReplyShard &action);
    void arm(Clock::time_point at);
    void scheduleFlush(Clock::time_point at, Clock::time_point now);
    void flushReplies();
    void countCalls();
    void countPending();
    TargetPool &poolOf(const Target &target);
    std::size_t maxConnections(const Target &target) const;
    void closeRemovedPools();
    void checkDrainingTargets();
    void checkHealth(const Target &target);
    void scheduleClosing();
    std::string stateJson() const;

    Options m_options;
    ReplySink m_send;
    PauseSink m_onPaused;
    Duty<HomeMessage> m_duty;
    asio::basic_waitable_timer<Clock> m_pauseTimer;
    /// When this duty last ran.
    Clock::time_point m_lastActive = Clock::now();
    /// When the process woke; set until its configuration is confirmed.
    std::optional<Clock::time_point> m_wokeAt;
    asio::basic_waitable_timer<Clock> m_timer;
    asio::basic_waitable_timer<Clock> m_healthTimer;
    std::uint64_t m_lastHealthCheck = 0;
    SlotScheduler m_scheduler;
    SchedulerCounters m_counted;
    std::atomic<std::size_t> m_pending{0};
    RetiredShards m_retired;
    asio::basic_waitable_timer<Clock> m_retirementTimer;
    /// The document in force, with the shards that left it lately.
    DocumentPtr m_document;
    /// Among how many VMs the slots of each target are shared.
    std::size_t m_sharers = 1;
    ShardRequestId m_lastRequest = 0;
    std::unordered_map<ShardRequestId, Asker> m_askers;
    /// The unanswered requests of each exchange; ordered, so that those of a link stand together.
    std::map<ExchangeKey, std::vector<ShardRequestId>> m_exchanges;
    /// By target name and address: a target that moves gets another pool.
    std::map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<CallId, TargetPool *> m_calls;
    std::set<std::string> m_removedPools;
    bool m_isClosingScheduled = false;
    std::map<ExchangeKey, HeldReplies> m_replies;
    asio::basic_waitable_timer<Clock> m_flushTimer;
    /// When the replies are next looked through; the greatest time where there are none.
    Clock::time_point m_nextFlush = Clock::time_point::max();
};

} // namespace mangoshift
