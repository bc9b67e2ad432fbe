#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "duties/messages.h"
#include "mangoshift/placement.h"
#include "mangoshift/rootstate.h"
#include "mangoshift/serviceplan.h"

namespace mangoshift {

/// The duty that runs callers' queries: it plans each query, runs its `QueryMachine` and delivers
/// the answer.
class QueryDuty
{
public:
    /// Forwards a frame to a home, which may be this VM itself. Returns false if it could not be
    /// queued.
    using FrameSink = std::function<bool(const VmId &, FramePtr)>;

    struct Options
    {
        PlacementPolicy placement;
        /// Whether to send hedge requests for shards whose homes are late or silent.
        bool hedges = true;
    };

    QueryDuty(Member self, Options options, FrameSink send);
    ~QueryDuty();
    QueryDuty(const QueryDuty &) = delete;
    QueryDuty &operator=(const QueryDuty &) = delete;

    void start();
    void stop();
    /// Returns false if the ring is full.
    bool tryPost(QueryMessage message) { return m_duty.tryPostMessage(message); }
    /// Posts a message that is never rejected; see `Duty::postLatest`.
    template <typename Kind>
    void postLatest(Kind value)
    {
        m_duty.postLatest(std::move(value));
    }

private:
    struct RunningQuery;
    using QueryId = std::uint64_t;
    /// A batch that was sent, and the query it belongs to.
    struct Exchange
    {
        QueryId query = 0;
        VmId home;
        std::string failureDomain;
        Clock::time_point sentAt;
    };

    void handle(QueryMessage &message);
    void onCallerQuery(CallerQuery &query);
    void onReplies(PeerReplies &message);
    void recordOutcomes(const Exchange &exchange, const std::string &service,
                        const std::vector<ShardOutcome> &outcomes, Clock::time_point now);
    void onPeerLost(const VmId &vm);
    void onDocument(const DocumentPtr &document);
    void onMembers(MemberViewPtr members);
    QueryPlan planOf(const CallerQuery &query, Clock::time_point now);
    void perform(QueryId id, QueryActions actions);
    void sendBatch(QueryId id, SendBatch &action);
    void sendCancel(const CancelBatch &action);
    void armTimer(QueryId id, Clock::time_point at);
    void finish(QueryId id, FinishQuery &action);
    std::string stateJson() const;

    Member m_self;
    bool m_isHedging;
    PlanCache m_plans;
    RootState m_root;
    FrameSink m_send;
    Duty<QueryMessage> m_duty;
    MemberViewPtr m_members;
    QueryId m_lastQuery = 0;
    std::uint64_t m_answeredQueries = 0;
    std::uint64_t m_completeQueries = 0;
    std::unordered_map<QueryId, std::unique_ptr<RunningQuery>> m_queries;
    std::unordered_map<ExchangeId, Exchange> m_exchanges;
};

} // namespace mangoshift
