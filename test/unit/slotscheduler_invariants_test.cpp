#include <algorithm>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "mangoshift/slotscheduler.h"

using namespace mangoshift;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr int Seeds = 3000;
constexpr int Requests = 150;

/// Simulates targets, connections and requesters at random, and checks each action against the
/// guarantees of the scheduler.
class SchedulerSimulation
{
public:
    explicit SchedulerSimulation(unsigned seed)
        : m_random(seed)
    {
        m_replicas = randomInt(1, 4);
        m_errorPercent = randomInt(0, 40);
        m_meanGap = microseconds(randomInt(100, 5000));
        perform(m_scheduler.applyDocument(makeDocument(m_replicas), m_now));
    }

    void run()
    {
        for (int i = 0; i < Requests; ++i) {
            submitRandomRequest();
            advance(microseconds(randomInt(0, 2 * static_cast<int>(m_meanGap.count()))));
            if (randomInt(0, 99) < 3)
                perform(
                    m_scheduler.onCancel(static_cast<ShardRequestId>(randomInt(1, i + 1)), m_now));
            if (randomInt(0, 99) < 10)
                reportServing();
            if (randomInt(0, 99) < 2)
                perform(m_scheduler.applyDocument(makeDocument(randomInt(1, m_replicas)), m_now));
        }
        advance(std::chrono::seconds(2));
        for (const auto &[id, tracked] : m_requests)
            REQUIRE(tracked.replies == 1);
        REQUIRE(m_inFlightCalls.empty());
        REQUIRE(m_scheduler.waitingRequests() == 0);
        REQUIRE(m_scheduler.callsInFlight() == 0);
    }

private:
    struct InFlightCall
    {
        ShardRequestId request = 0;
        std::string target;
        Clock::time_point endsAt;
        CallOutcome outcome;
        bool isSent = false;
    };
    struct TrackedRequest
    {
        ShardRequest request;
        int replies = 0;
        int copies = 0;
        int unsent = 0;
        int inFlight = 0;
        /// The copies in flight that their targets may have got.
        int sentInFlight = 0;
        bool mayHaveRun = false;
        /// Whether a target has got a copy, whatever became of it.
        bool hasArrived = false;
        bool isReportedNotRun = false;
        Clock::time_point unsentLimit;

        int extra() const { return std::max(copies - 1 - unsent, 0); }
    };

    bool isDraining(const std::string &target) const
    {
        return std::find(m_draining.begin(), m_draining.end(), target) != m_draining.end();
    }

    int randomInt(int least, int most)
    {
        return std::uniform_int_distribution(least, most)(m_random);
    }

    DocumentPtr makeDocument(int replicas)
    {
        Document document;
        document.version = ++m_version;
        for (int i = 0; i < replicas; ++i)
            document.targets.push_back({std::string("t").append(std::to_string(i)),
                                        std::string("127.0.0.1:").append(std::to_string(i)),
                                        i % 2 == 0 ? "a" : "b",
                                        static_cast<std::uint32_t>(1 + i % 3), 25});
        Service service;
        service.name = "s";
        // Two shards share all targets.
        for (const char *name : {"0", "1"}) {
            Shard shard{name, shardKey("s", name), {}};
            for (int i = 0; i < replicas; ++i)
                shard.replicas.push_back(static_cast<std::size_t>(i));
            service.shards.push_back(shard);
        }
        document.services.push_back(service);
        m_targets = document.targets;
        // What is known of a target ends with its removal.
        std::erase_if(m_draining, [this](const std::string &name) {
            return std::none_of(m_targets.begin(), m_targets.end(),
                                [&name](const Target &each) { return each.name == name; });
        });
        return std::make_shared<IndexedDocument>(std::move(document));
    }

    void submitRandomRequest()
    {
        ShardRequest request;
        request.id = ++m_lastRequest;
        request.shard = shardKey("s", std::to_string(randomInt(0, 1)));
        request.failureDomain.assign(randomInt(0, 9) == 0 ? 1 : 0, 'a');
        request.deadline = m_now + milliseconds(randomInt(1, 120));
        auto body = std::make_shared<RequestBody>();
        body->priority = static_cast<std::uint8_t>(randomInt(0, 2));
        body->isIdempotent = randomInt(0, 3) != 0;
        request.body = std::move(body);
        m_requests[request.id].request = request;
        m_requests[request.id].unsentLimit = request.deadline
            - std::min<Clock::duration>(milliseconds(10), (request.deadline - m_now) / 10);
        perform(m_scheduler.onRequest(std::move(request), m_now));
    }

    /// Lets the target that has drained longest report that it serves again.
    void reportServing()
    {
        if (m_draining.empty())
            return;
        const std::string target = m_draining.front();
        m_draining.erase(m_draining.begin());
        perform(m_scheduler.onServing(target, m_now));
    }

    void advance(Clock::duration step)
    {
        const Clock::time_point end = m_now + step;
        for (;;) {
            const auto inFlightCall = std::min_element(
                m_inFlightCalls.begin(), m_inFlightCalls.end(),
                [](const auto &a, const auto &b) { return a.second.endsAt < b.second.endsAt; });
            const Clock::time_point nextEnd = inFlightCall == m_inFlightCalls.end()
                ? Clock::time_point::max()
                : inFlightCall->second.endsAt;
            const Clock::time_point nextTimer = m_timer.value_or(Clock::time_point::max());
            if (std::min(nextEnd, nextTimer) > end)
                break;
            m_now = std::max(m_now, std::min(nextEnd, nextTimer));
            if (nextTimer <= nextEnd) {
                m_timer.reset();
                perform(m_scheduler.onTimer(m_now));
            } else {
                endCall(inFlightCall->first);
            }
        }
        m_now = end;
    }

    /// Gives a call to a connection. Until then it has waited for one.
    void sendCall(CallId call)
    {
        InFlightCall &inFlightCall = m_inFlightCalls.at(call);
        if (std::exchange(inFlightCall.isSent, true))
            return;
        TrackedRequest &tracked = m_requests.at(inFlightCall.request);
        REQUIRE_FALSE(tracked.isReportedNotRun);
        ++tracked.sentInFlight;
        tracked.hasArrived = true;
        m_scheduler.onCallSent(call);
    }

    void endCall(CallId call)
    {
        if (m_inFlightCalls.at(call).outcome.wasSent)
            sendCall(call);
        InFlightCall inFlightCall = std::move(m_inFlightCalls.at(call));
        m_inFlightCalls.erase(call);
        --m_inUse[inFlightCall.target];
        TrackedRequest &tracked = m_requests.at(inFlightCall.request);
        --tracked.inFlight;
        tracked.sentInFlight -= inFlightCall.isSent ? 1 : 0;
        const int before = tracked.extra();
        tracked.unsent += inFlightCall.outcome.wasSent ? 0 : 1;
        m_extraCopies += tracked.extra() - before;
        tracked.mayHaveRun |= inFlightCall.outcome.verdict.execution != Execution::NotRun;
        if (inFlightCall.outcome.verdict.reason == Reason::Draining
            && !isDraining(inFlightCall.target))
            m_draining.push_back(inFlightCall.target);
        perform(m_scheduler.onCallEnded(call, std::move(inFlightCall.outcome), m_now));
    }

    CallOutcome randomOutcome()
    {
        if (randomInt(0, 99) >= m_errorPercent)
            return {{Execution::Ran, Reason::Ok}, 3, {1, 3}, "[]", true, true};
        switch (randomInt(0, 5)) {
        case 0:
            return {{Execution::NotRun, Reason::Refused}, 0, {}, "", true, true};
        case 1:
            return {{Execution::NotRun, Reason::Draining}, 0, {}, "", true, true};
        case 2:
            return {{Execution::NotRun, Reason::Lost}, 0, {}, "", false, false};
        case 3:
            return {{Execution::MayHaveRun, Reason::Lost}, 0, {}, "", true, false};
        case 4:
            return {{Execution::MayHaveRun, Reason::DeadlineExceeded}, 0, {}, "", true, true};
        default:
            return {{Execution::MayHaveRun, Reason::Failed}, 0, {}, "", true, true};
        }
    }

    void perform(const SchedulerActions &actions)
    {
        for (const SchedulerAction &action : actions)
            std::visit([this](const auto &each) { on(each); }, action);
    }

    void on(const SendToTarget &send)
    {
        const Target &target = m_targets.at(send.target);
        TrackedRequest &tracked = m_requests.at(send.request.id);
        REQUIRE(tracked.replies == 0);
        REQUIRE_FALSE(isDraining(target.name));
        REQUIRE(++m_inUse[target.name] <= static_cast<int>(target.slots));
        if (!send.request.failureDomain.empty())
            REQUIRE(target.failureDomain == send.request.failureDomain);
        if (!tracked.request.body->isIdempotent) {
            REQUIRE(tracked.inFlight == 0);
            REQUIRE_FALSE(tracked.mayHaveRun);
        }
        m_firstCopies += tracked.copies == 0 ? 1 : 0;
        const int before = tracked.extra();
        ++tracked.copies;
        ++tracked.inFlight;
        m_extraCopies += tracked.extra() - before;
        REQUIRE(m_extraCopies * 25 <= m_firstCopies);
        const milliseconds latency(randomInt(0, 9) == 0 ? randomInt(1, 200) : randomInt(1, 6));
        m_inFlightCalls[send.call] = {send.request.id, target.name, m_now + latency,
                                      randomOutcome()};
        if (m_inFlightCalls[send.call].outcome.wasSent && randomInt(0, 4) != 0)
            sendCall(send.call);
    }

    void on(const CancelCall &cancel)
    {
        InFlightCall &inFlightCall = m_inFlightCalls.at(cancel.call);
        inFlightCall.endsAt = std::min(inFlightCall.endsAt, m_now + milliseconds(randomInt(0, 25)));
        if (!inFlightCall.isSent)
            inFlightCall.outcome = {
                {Execution::NotRun, Reason::Cancelled}, 0, {}, "", false, false};
        else if (randomInt(0, 1) == 0)
            inFlightCall.outcome = {
                {Execution::MayHaveRun, Reason::Cancelled}, 0, {}, "", true, true};
    }

    void on(const ReplyShard &reply)
    {
        TrackedRequest &tracked = m_requests.at(reply.request);
        REQUIRE(++tracked.replies == 1);
        REQUIRE(m_now <= tracked.request.deadline);
        const bool isNotRun = reply.outcome.verdict.execution == Execution::NotRun;
        REQUIRE(isNotRun == !(tracked.mayHaveRun || tracked.sentInFlight > 0));
        // In time for the requester to pass it on.
        if (!tracked.hasArrived)
            REQUIRE(m_now <= tracked.unsentLimit);
        tracked.isReportedNotRun = isNotRun;
    }

    void on(const ArmSchedulerTimer &arm) { m_timer = arm.at; }
    void on(const TargetChanged &) { }

    std::mt19937 m_random;
    SlotScheduler m_scheduler;
    Clock::time_point m_now{std::chrono::seconds(100)};
    std::optional<Clock::time_point> m_timer;
    ConfigVersion m_version = 0;
    int m_replicas = 1;
    int m_errorPercent = 0;
    microseconds m_meanGap{0};
    std::vector<Target> m_targets;
    ShardRequestId m_lastRequest = 0;
    std::map<ShardRequestId, TrackedRequest> m_requests;
    std::map<CallId, InFlightCall> m_inFlightCalls;
    std::map<std::string, int> m_inUse;
    /// Targets that have said that they drain, in this order, and not yet that they serve again.
    std::vector<std::string> m_draining;
    int m_firstCopies = 0;
    int m_extraCopies = 0;
};

} // namespace

TEST_CASE("The slot scheduler keeps its guarantees under random events")
{
    for (unsigned seed = 1; seed <= Seeds; ++seed) {
        INFO("seed " << seed);
        SchedulerSimulation(seed).run();
    }
}
