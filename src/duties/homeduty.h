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

/// The duty that serves shards whose home is this VM: it runs the `SlotScheduler` and holds the
/// connections to targets.
class HomeDuty
{
public:
    struct Options
    {
        /// The incarnation of this VM, which makes call ids unique.
        std::uint64_t incarnation = 0;
        PlacementPolicy placement;
        std::string region;
        /// Must outlive the duty.
        Metrics *metrics = nullptr;
        SchedulerOptions scheduler;
    };

    /// Delivers replies: to the query duty for `LocalLink`, else to the VM on the link.
    using ReplySink = std::function<void(LinkId, wire::ShardRepliesT)>;
    /// Reports that the process was paused; the recipient replies with `ConfigConfirmed`.
    using PauseSink = std::function<void(ProcessPaused)>;

    HomeDuty(Options options, ReplySink send, PauseSink onPaused);
    ~HomeDuty();
    HomeDuty(const HomeDuty &) = delete;
    HomeDuty &operator=(const HomeDuty &) = delete;

    void start();
    void stop();
    /// Returns false if the ring is full.
    bool tryPost(HomeMessage message) { return m_duty.tryPostMessage(message); }
    /// Posts a message that is never rejected; see `Duty::postLatest`.
    template <typename Kind>
    void postLatest(Kind value)
    {
        m_duty.postLatest(std::move(value));
    }
    /// Returns the number of shard requests without a reply, of batches with buffered replies and
    /// of queued messages. Safe to call from any thread.
    std::size_t pending() const { return m_pending + m_duty.ringSize(); }

private:
    using ExchangeKey = std::pair<LinkId, ExchangeId>;
    /// The exchange that a shard request belongs to, and its deadline.
    struct Requester
    {
        ExchangeKey exchange;
        ShardKey shard;
        Clock::time_point deadline;
    };
    /// Replies to one batch that are sent together when they are due.
    struct BufferedReplies
    {
        wire::ShardRepliesT frame;
        Clock::time_point dueAt = Clock::time_point::max();
    };

    void handle(HomeMessage &message);
    Clock::time_point suspendIfPaused();
    void checkForPause();
    void onConfigConfirmed(const ConfigConfirmed &message);
    void resume(const char *why);
    void onBatch(HomeBatch &message);
    void onCancel(const HomeCancel &message);
    void onLinkLost(LinkId link);
    void cancel(const std::vector<ShardRequestId> &requests);
    void onDocument(DocumentPtr document);
    void serveDocument(DocumentPtr document);
    void armRetirementTimer();
    void onMembers(const MemberView &view);
    void perform(SchedulerActions actions);
    void sendToTarget(SendToTarget &action);
    void cancelCall(CallId call);
    void reply(ReplyShard &action);
    void armSchedulerTimer(Clock::time_point at);
    void scheduleFlush(Clock::time_point at, Clock::time_point now);
    void flushReplies();
    void updateCallMetrics();
    void updatePending();
    static std::string poolKey(const Target &target);
    TargetPool &poolOf(const Target &target);
    std::size_t maxConnections(const Target &target) const;
    void closeRemovedPools();
    void checkDrainingTargets();
    void checkHealth(const Target &target);
    void schedulePoolClosing();
    std::string stateJson() const;

    Options m_options;
    ReplySink m_send;
    PauseSink m_onPaused;
    Duty<HomeMessage> m_duty;
    asio::basic_waitable_timer<Clock> m_pauseTimer;
    /// When this duty last ran; a long gap means that the process was paused.
    Clock::time_point m_lastActive = Clock::now();
    /// When the last pause ended; set until the configuration is confirmed.
    std::optional<Clock::time_point> m_pauseEndedAt;
    asio::basic_waitable_timer<Clock> m_schedulerTimer;
    asio::basic_waitable_timer<Clock> m_healthTimer;
    std::uint64_t m_lastHealthCheck = 0;
    SlotScheduler m_scheduler;
    SchedulerCounters m_reportedCounters;
    std::atomic<std::size_t> m_pending{0};
    RetiredShards m_retiredShards;
    asio::basic_waitable_timer<Clock> m_retirementTimer;
    /// The document in force, including shards that were removed recently.
    DocumentPtr m_document;
    /// The number of VMs that share the slots of each target.
    std::size_t m_sharingVms = 1;
    ShardRequestId m_lastRequest = 0;
    std::unordered_map<ShardRequestId, Requester> m_requesters;
    /// The pending requests of each exchange, ordered so that those of a link are adjacent.
    std::map<ExchangeKey, std::vector<ShardRequestId>> m_exchanges;
    /// Keyed by target name and address, so that a target that moves gets a new pool.
    std::map<std::string, std::unique_ptr<TargetPool>> m_pools;
    std::unordered_map<CallId, TargetPool *> m_calls;
    std::set<std::string> m_removedPools;
    bool m_isClosingScheduled = false;
    std::map<ExchangeKey, BufferedReplies> m_bufferedReplies;
    asio::basic_waitable_timer<Clock> m_flushTimer;
    /// When the buffered replies are next checked; `time_point::max()` if there are none.
    Clock::time_point m_nextFlushAt = Clock::time_point::max();
};

} // namespace mangoshift
