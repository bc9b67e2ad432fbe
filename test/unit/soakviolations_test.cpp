#include <algorithm>

#include <catch2/catch.hpp>

#include "fakeservers/records.h"
#include "mangoshift/recordmerge.h"
#include "soak/violations.h"

using namespace mangoshift;
using namespace mangoshift::soak;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point Start(1h);

/// Builds the evidence of a run without violations, which the sections then modify.
class EvidenceBuilder
{
public:
    EvidenceBuilder()
    {
        m_evidence.routes = {{RouteKind::All, {1500ms, 3, 0.5}},
                             {RouteKind::Moving, {1000ms, 0, 0}},
                             {RouteKind::Orders, {1000ms, 0, 0}}};
        m_evidence.serviceByTarget = {{"i-a", "a0"}, {"i-b", "a1"},     {"i-m", "m0"},
                                      {"i-n", "m1"}, {"i-o", "orders"}, {"i-p", "orders"}};
        m_evidence.published = {{1, Start - 1min, Start - 1min, {"a0", "a1"}, "m0"}};
        m_evidence.vmStarts[0] = {Start - 30s};
        m_evidence.lastFault = Start - 12s;
    }

    /// Adds a request that ran at `targets` and succeeded.
    CallerRecord &addRequest(RouteKind route, const std::string &id, Clock::time_point at,
                             const std::vector<std::string> &targets)
    {
        CallerRecord record;
        record.id = id;
        record.route = route;
        record.requestSummary = "GET /x ";
        record.sentAt = at;
        record.endedAt = at + 20ms;
        record.outcome = CallerRecord::Outcome::Responded;
        record.status = 200;
        std::vector<std::string> bodies;
        for (const std::string &target : targets) {
            addRun(target, id, at + 5ms);
            bodies.push_back(serverRecords(m_evidence.serviceByTarget.at(target), id, true));
            record.stamp = target;
            record.stamp.append(".").append(id).append(".1");
            record.partStamps.append(record.partStamps.empty() ? "" : ", ");
            record.partStamps.append(record.stamp);
        }
        if (route == RouteKind::All) {
            record.stamp.clear();
            record.missingParts = std::to_string(2 - targets.size());
            record.body = greatestRecords({bodies.begin(), bodies.end()}, 3);
        } else if (!bodies.empty()) {
            record.body = bodies.front();
        }
        m_evidence.callers.push_back(record);
        return m_evidence.callers.back();
    }

    void addRun(const std::string &target, const std::string &id, Clock::time_point at)
    {
        addEvent(TargetEvent::Kind::Arrived, target, id, at, "GET /x ");
        addEvent(TargetEvent::Kind::Ran, target, id, at, "");
    }

    void addEvent(TargetEvent::Kind kind, const std::string &target, const std::string &id,
                  Clock::time_point at, const std::string &what)
    {
        m_evidence.targetEvents.push_back(
            {at, kind, target, m_evidence.serviceByTarget.at(target), id, what});
    }

    Evidence &evidence() { return m_evidence; }

    /// Returns the violated invariants without duplicates.
    std::vector<std::string> violatedInvariants(Strictness strictness = Strictness::Timed) const
    {
        std::vector<std::string> invariants;
        for (const Violation &violation : findViolations(m_evidence, strictness))
            if (std::find(invariants.begin(), invariants.end(), violation.invariant)
                == invariants.end())
                invariants.push_back(violation.invariant);
        return invariants;
    }

private:
    Evidence m_evidence;
};

using Invariants = std::vector<std::string>;

} // namespace

TEST_CASE("The soak finds violations of its invariants")
{
    EvidenceBuilder builder;
    builder.addRequest(RouteKind::All, "r1", Start, {"i-a", "i-b"});
    builder.addRequest(RouteKind::Moving, "r2", Start, {"i-m"});
    builder.addRequest(RouteKind::Orders, "r3", Start, {"i-o"});

    SECTION("no violation in a run without faults")
    {
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("no violation in a partial answer that reports its missing parts")
    {
        builder.addRequest(RouteKind::All, "r4", Start, {"i-a"});
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("an order runs twice")
    {
        builder.addRun("i-p", "r3", Start + 10ms);
        CHECK(builder.violatedInvariants()
              == Invariants{"a request to an unsafe route runs at most once"});
    }
    SECTION("a request is refused although it has run")
    {
        builder.addRequest(RouteKind::Moving, "r4", Start, {"i-m"}).status = 503;
        CHECK(builder.violatedInvariants()
              == Invariants{"a request reported as not run has not run"});
    }
    SECTION("a target gets more than the limit that it names")
    {
        // The bound at 2 requests a second is 17 in 4 s.
        const auto sendMany = [&builder](std::chrono::milliseconds gap, std::size_t count) {
            for (std::size_t i = 0; i < count; ++i) {
                const std::string id = "limited-" + std::to_string(i);
                const Clock::time_point at = Start + gap * i;
                builder.addRequest(RouteKind::Moving, id, at, {});
                builder.addEvent(TargetEvent::Kind::Arrived, "i-m", id, at, "GET /x ");
                builder.addEvent(TargetEvent::Kind::Ran, "i-m", id, at, "limit=2");
            }
        };
        SECTION("in four seconds, when it has named the limit for long enough")
        {
            sendMany(200ms, 60);
            const Invariants found = builder.violatedInvariants();
            CHECK(std::find(found.begin(), found.end(),
                            "a target gets no more than the limit that it names")
                  != found.end());
        }
        SECTION("before that, which is allowed")
        {
            sendMany(200ms, 20);
            const Invariants found = builder.violatedInvariants();
            CHECK(std::find(found.begin(), found.end(),
                            "a target gets no more than the limit that it names")
                  == found.end());
        }
        SECTION("but not in any four seconds")
        {
            sendMany(250ms, 60);
            const Invariants found = builder.violatedInvariants();
            CHECK(std::find(found.begin(), found.end(),
                            "a target gets no more than the limit that it names")
                  == found.end());
        }
    }
    SECTION("a target that names a limit gets nothing any more")
    {
        const auto arrive = [&builder](const std::string &target, const std::string &id,
                                       Clock::time_point at, const std::string &limit) {
            builder.addRequest(RouteKind::Orders, id, at, {});
            builder.addEvent(TargetEvent::Kind::Arrived, target, id, at, "POST /x ");
            builder.addEvent(TargetEvent::Kind::Ran, target, id, at, limit);
        };
        const auto isFound = [&builder] {
            const Invariants found = builder.violatedInvariants();
            return std::find(found.begin(), found.end(),
                             "a target that names a limit is not forgotten")
                != found.end();
        };
        arrive("i-o", "last", Start + 10ms, "limit=5");
        const auto sendOthers = [&arrive](std::size_t count) {
            for (std::size_t i = 0; i < count; ++i)
                arrive("i-p", "other-" + std::to_string(i), Start + 100ms * (i + 1), "");
        };
        SECTION("while another one of its service does")
        {
            sendOthers(70);
            CHECK(isFound());
        }
        SECTION("but one request, which is enough")
        {
            sendOthers(70);
            arrive("i-o", "probe", Start + 7900ms, "");
            CHECK_FALSE(isFound());
        }
        SECTION("while the others get few, which is allowed")
        {
            sendOthers(20);
            CHECK_FALSE(isFound());
        }
    }
    SECTION("a fan-out answer does not match its request")
    {
        CallerRecord &record = builder.addRequest(RouteKind::All, "r4", Start, {"i-a", "i-b"});
        SECTION("a stamp of another request")
        {
            record.partStamps = "i-a.r1.1, i-b.r4.1";
        }
        SECTION("two parts of the same shard")
        {
            record.partStamps = "i-a.r4.1, i-a.r4.2";
        }
        SECTION("a wrong number of missing parts")
        {
            record.missingParts = "1";
        }
        SECTION("wrong records")
        {
            record.body = std::string(48, 'x');
        }
        SECTION("bytes that are no response")
        {
            record.outcome = CallerRecord::Outcome::Malformed;
        }
        CHECK(builder.violatedInvariants()
              == Invariants{"each caller receives the complete response to its own request"});
    }
    SECTION("the response to a forwarded request is truncated")
    {
        builder.addRequest(RouteKind::Moving, "r4", Start, {"i-m"}).body.resize(16);
        CHECK(builder.violatedInvariants()
              == Invariants{"each caller receives the complete response to its own request"});
    }
    SECTION("a target receives a request that no caller sent")
    {
        SECTION("an unknown request")
        {
            builder.addEvent(TargetEvent::Kind::Arrived, "i-a", "r9", Start, "GET /x ");
        }
        SECTION("a modified request")
        {
            builder.addEvent(TargetEvent::Kind::Arrived, "i-a", "r1", Start, "GET /y ");
        }
        CHECK(builder.violatedInvariants()
              == Invariants{"targets receive the requests that callers sent"});
    }
    SECTION("a request runs at a service that its route does not allow")
    {
        builder.addRequest(RouteKind::Moving, "r4", Start, {"i-n"});
        CHECK(builder.violatedInvariants()
              == Invariants{"a request runs only at a service that its route allows"});
    }
    SECTION("extra arrivals exceed the retry budget")
    {
        builder.evidence().bounds.retrySlack = 2;
        for (int i = 0; i < 3; ++i)
            builder.addEvent(TargetEvent::Kind::Arrived, "i-m", "r2", Start + 10ms, "GET /x ");
        CHECK(builder.violatedInvariants()
              == Invariants{"extra arrivals stay within the retry budget"});
    }
    SECTION("a process ends unexpectedly")
    {
        builder.evidence().processFaults = {"VM 0 ended unexpectedly"};
        CHECK(builder.violatedInvariants() == Invariants{"processes end only when stopped"});
    }
    SECTION("a process still runs when its grace period from the signal has passed")
    {
        builder.evidence().vmEnds = {{0, Start, Start + 6000ms}};
        CHECK(builder.violatedInvariants().empty());
        builder.evidence().vmEnds = {{0, Start, Start + 6001ms}};
        CHECK(builder.violatedInvariants() == Invariants{"processes end when stopped"});
    }
    SECTION("requests are dropped while the VM is undisturbed")
    {
        for (int i = 0; i < 4; ++i)
            builder.addRequest(RouteKind::Moving, "d" + std::to_string(i), Start, {"i-m"}).outcome =
                CallerRecord::Outcome::ConnectionClosed;
        CHECK(builder.violatedInvariants()
              == Invariants{"every forwarded request gets a response"});
        builder.evidence().disturbances = {
            {Disturbance::Subject::Vm, 0, false, false, "killed", Start, Start + 1s}};
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("service does not recover")
    {
        for (CallerRecord &record : builder.evidence().callers)
            record.status = 504;
        CHECK(builder.violatedInvariants() == Invariants{"service recovers after the last fault"});
    }
}

TEST_CASE("The soak checks which configuration version is in force")
{
    EvidenceBuilder builder;
    builder.evidence().published.push_back({2, Start, Start, {"a0", "a1"}, "m1"});
    builder.addRequest(RouteKind::Moving, "r1", Start + 1s, {"i-n"});

    SECTION("an older version may be in force until the newer one is due")
    {
        builder.addRequest(RouteKind::Moving, "r2", Start - 1s, {"i-m"});
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION(
        "an incarnation that has applied a newer version never handles requests by an older one")
    {
        builder.addRequest(RouteKind::Moving, "r2", Start + 2s, {"i-m"});
        CHECK(builder.violatedInvariants(Strictness::Safety)
              == Invariants{"a configuration in force never reverts"});
        AND_WHEN("the process was restarted in between")
        {
            builder.evidence().vmStarts[0].push_back(Start + 1500ms);
            CHECK(builder.violatedInvariants(Strictness::Safety).empty());
        }
    }
    SECTION(
        "a newer version is in use from when a request ran, although its caller had left before")
    {
        CallerRecord &left = builder.evidence().callers.back();
        left.outcome = CallerRecord::Outcome::CallerDisconnected;
        left.endedAt = left.sentAt;
        for (TargetEvent &event : builder.evidence().targetEvents)
            event.at += 2s;
        builder.addRequest(RouteKind::Moving, "r2", left.endedAt + 1s, {"i-m"});
        CHECK(builder.violatedInvariants(Strictness::Safety).empty());
    }
    SECTION("an older version is in force after the newer one was due")
    {
        builder.evidence().callers.clear();
        builder.evidence().targetEvents.clear();
        builder.addRequest(RouteKind::Moving, "r2", Start + 4s, {"i-m"});
        CHECK(builder.violatedInvariants()
              == Invariants{"a published configuration is in force within the stated time"});
        CHECK(builder.violatedInvariants(Strictness::Safety).empty());
        AND_WHEN("the store was unavailable")
        {
            builder.evidence().disturbances = {{Disturbance::Subject::Store, 0, false, false,
                                                "unavailable", Start + 1s, Start + 2s}};
            CHECK(builder.violatedInvariants().empty());
        }
    }
}

TEST_CASE("The soak checks time bounds")
{
    EvidenceBuilder builder;
    builder.addRequest(RouteKind::All, "r1", Start, {"i-a", "i-b"});

    SECTION("a draining target receives no requests after its drain time")
    {
        builder.evidence().departures = {{"i-m", Start}};
        builder.addRequest(RouteKind::Moving, "r2", Start + 3s, {"i-m"});
        CHECK(builder.violatedInvariants().empty());
        builder.addRequest(RouteKind::Moving, "r3", Start + 4s, {"i-m"});
        CHECK(builder.violatedInvariants()
              == Invariants{"a draining target receives no new requests after its drain time"});
    }
    SECTION("a target that says it leaves receives no requests from the VM that has passed it on")
    {
        builder.addRequest(RouteKind::Moving, "r2", Start, {"i-m"}).isTargetLeaving = true;
        builder.addRequest(RouteKind::Moving, "r3", Start + 3s, {"i-m"});
        builder.addRequest(RouteKind::Moving, "r4", Start + 4s, {"i-m"}).vm = 1;
        CHECK(builder.violatedInvariants().empty());
        builder.addRequest(RouteKind::Moving, "r5", Start + 4s, {"i-m"});
        CHECK(builder.violatedInvariants(Strictness::Safety)
              == Invariants{"a target that says it leaves receives no new requests"});
        AND_WHEN("the VM was restarted in between")
        {
            builder.evidence().vmStarts[0].push_back(Start + 3500ms);
            CHECK(builder.violatedInvariants().empty());
        }
    }
    SECTION("a target that asks for a pause receives at most two more requests")
    {
        builder.addRequest(RouteKind::Moving, "r2", Start, {}).status = 503;
        builder.addEvent(TargetEvent::Kind::Arrived, "i-m", "r2", Start, "GET /x ");
        builder.addEvent(TargetEvent::Kind::Refused, "i-m", "r2", Start, "503 pause_ms=4000");
        builder.addRequest(RouteKind::Moving, "r3", Start + 300ms, {"i-m"});
        builder.addRequest(RouteKind::Moving, "r4", Start + 1s, {"i-m"});
        builder.addRequest(RouteKind::Moving, "r5", Start + 2s, {"i-m"});
        builder.addRequest(RouteKind::Moving, "r6", Start + 4s, {"i-m"});
        builder.addRequest(RouteKind::Moving, "r7", Start + 3s, {"i-m"}).vm = 1;
        CHECK(builder.violatedInvariants().empty());
        builder.addRequest(RouteKind::Moving, "r8", Start + 3s, {"i-m"});
        CHECK(builder.violatedInvariants()
              == Invariants{"a target that asks for a pause is left alone"});
        AND_WHEN("the VM was frozen meanwhile")
        {
            builder.evidence().disturbances = {
                {Disturbance::Subject::Vm, 0, false, false, "frozen", Start + 1s, Start + 2s}};
            CHECK(builder.violatedInvariants().empty());
        }
    }
    SECTION("requests get their response by their timeout")
    {
        for (int i = 0; i < 8; ++i) {
            builder.addRequest(RouteKind::Moving, "s" + std::to_string(i), Start, {"i-m"});
            CallerRecord &record =
                builder.addRequest(RouteKind::Moving, "t" + std::to_string(i), Start, {"i-m"});
            record.status = 504;
            record.stamp.clear();
            record.endedAt = record.sentAt + 1600ms;
        }
        CHECK(builder.violatedInvariants()
              == Invariants{"a request gets its final response by its timeout"});
        AND_WHEN("their connections had been silenced long before")
        {
            builder.evidence().disturbances = {
                {Disturbance::Subject::Vm, 0, false, true, "silenced", Start - 1min, Start - 1min}};
            for (CallerRecord &record : builder.evidence().callers)
                record.connectedAt = Start - 2min;
            CHECK(builder.violatedInvariants().empty());
        }
    }
    SECTION("nothing is forwarded long after a caller has disconnected")
    {
        for (int i = 0; i < 4; ++i) {
            const std::string id = "l" + std::to_string(i);
            CallerRecord &record = builder.addRequest(RouteKind::Moving, id, Start, {});
            record.outcome = CallerRecord::Outcome::CallerDisconnected;
            builder.addEvent(TargetEvent::Kind::Arrived, "i-m", id, record.endedAt + 600ms,
                             "GET /x ");
        }
        CHECK(builder.violatedInvariants()
              == Invariants{"nothing is forwarded after the caller has disconnected"});
        AND_WHEN("the target was frozen until the requests arrived")
        {
            builder.evidence().groupByTarget["i-m"] = 1;
            builder.evidence().disturbances = {
                {Disturbance::Subject::Targets, 1, false, false, "frozen", Start, Start + 600ms}};
            CHECK(builder.violatedInvariants().empty());
        }
    }
}
