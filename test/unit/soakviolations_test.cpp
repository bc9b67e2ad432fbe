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

/// Evidence of a run in which all is well, for the sections to spoil.
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

    /// Returns the promises that were broken, each once.
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

TEST_CASE("The soak's judge finds")
{
    EvidenceBuilder builder;
    builder.addRequest(RouteKind::All, "r1", Start, {"i-a", "i-b"});
    builder.addRequest(RouteKind::Moving, "r2", Start, {"i-m"});
    builder.addRequest(RouteKind::Orders, "r3", Start, {"i-o"});

    SECTION("nothing where all is well")
    {
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("nothing in a partial answer that says so")
    {
        builder.addRequest(RouteKind::All, "r4", Start, {"i-a"});
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("an order that ran twice")
    {
        builder.addRun("i-p", "r3", Start + 10ms);
        CHECK(builder.violatedInvariants() == Invariants{"a request that may run once runs once"});
    }
    SECTION("a refusal of what ran")
    {
        builder.addRequest(RouteKind::Moving, "r4", Start, {"i-m"}).status = 503;
        CHECK(builder.violatedInvariants() == Invariants{"what is refused as not run has not run"});
    }
    SECTION("another request's receipt, body or parts")
    {
        CallerRecord &record = builder.addRequest(RouteKind::All, "r4", Start, {"i-a", "i-b"});
        SECTION("a receipt")
        {
            record.partStamps = "i-a.r1.1, i-b.r4.1";
        }
        SECTION("a part twice")
        {
            record.partStamps = "i-a.r4.1, i-a.r4.2";
        }
        SECTION("a wrong number of missing parts")
        {
            record.missingParts = "1";
        }
        SECTION("other records")
        {
            record.body = std::string(48, 'x');
        }
        SECTION("bytes that are no answer")
        {
            record.outcome = CallerRecord::Outcome::Malformed;
        }
        CHECK(builder.violatedInvariants()
              == Invariants{"each caller gets the whole answer to its own request"});
    }
    SECTION("a forwarded answer that is cut")
    {
        builder.addRequest(RouteKind::Moving, "r4", Start, {"i-m"}).body.resize(16);
        CHECK(builder.violatedInvariants()
              == Invariants{"each caller gets the whole answer to its own request"});
    }
    SECTION("a request that no caller sent, or that was changed on its way")
    {
        SECTION("an unknown one")
        {
            builder.addEvent(TargetEvent::Kind::Arrived, "i-a", "r9", Start, "GET /x ");
        }
        SECTION("a changed one")
        {
            builder.addEvent(TargetEvent::Kind::Arrived, "i-a", "r1", Start, "GET /y ");
        }
        CHECK(builder.violatedInvariants() == Invariants{"servers get what callers sent"});
    }
    SECTION("a request at a service to which no configuration sends it")
    {
        builder.addRequest(RouteKind::Moving, "r4", Start, {"i-n"});
        CHECK(builder.violatedInvariants()
              == Invariants{"a request runs where a configuration allows it"});
    }
    SECTION("more extra arrivals than the budget has")
    {
        builder.evidence().bounds.retrySlack = 2;
        for (int i = 0; i < 3; ++i)
            builder.addEvent(TargetEvent::Kind::Arrived, "i-m", "r2", Start + 10ms, "GET /x ");
        CHECK(builder.violatedInvariants() == Invariants{"extra arrivals stay within the budget"});
    }
    SECTION("a process that ended by itself")
    {
        builder.evidence().processFaults = {"VM 0 ended by itself"};
        CHECK(builder.violatedInvariants()
              == Invariants{"processes end only when they are told to"});
    }
    SECTION("requests that were dropped, where nothing disturbed the VM")
    {
        for (int i = 0; i < 4; ++i)
            builder.addRequest(RouteKind::Moving, "d" + std::to_string(i), Start, {"i-m"}).outcome =
                CallerRecord::Outcome::ConnectionClosed;
        CHECK(builder.violatedInvariants()
              == Invariants{"a request that was passed on is answered"});
        builder.evidence().disturbances = {
            {Disturbance::Subject::Vm, 0, false, false, "killed", Start, Start + 1s}};
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("that service does not come back")
    {
        for (CallerRecord &record : builder.evidence().callers)
            record.status = 504;
        CHECK(builder.violatedInvariants()
              == Invariants{"service is back once the faults are over"});
    }
}

TEST_CASE("The soak's judge holds VMs to versions of the configuration")
{
    EvidenceBuilder builder;
    builder.evidence().published.push_back({2, Start, Start, {"a0", "a1"}, "m1"});
    builder.addRequest(RouteKind::Moving, "r1", Start + 1s, {"i-n"});

    SECTION("an older one may be in force until the newer is due")
    {
        builder.addRequest(RouteKind::Moving, "r2", Start - 1s, {"i-m"});
        CHECK(builder.violatedInvariants().empty());
    }
    SECTION("an older one after a newer one is never right in one process")
    {
        builder.addRequest(RouteKind::Moving, "r2", Start + 2s, {"i-m"});
        CHECK(builder.violatedInvariants(Strictness::Safety)
              == Invariants{"a configuration in force never reverts"});
        AND_WHEN("the process was started anew between them")
        {
            builder.evidence().vmStarts[0].push_back(Start + 1500ms);
            CHECK(builder.violatedInvariants(Strictness::Safety).empty());
        }
    }
    SECTION("an older one beyond the time in which a newer one is due")
    {
        builder.evidence().callers.clear();
        builder.evidence().targetEvents.clear();
        builder.addRequest(RouteKind::Moving, "r2", Start + 4s, {"i-m"});
        CHECK(builder.violatedInvariants()
              == Invariants{"a configuration is in force within its time"});
        CHECK(builder.violatedInvariants(Strictness::Safety).empty());
        AND_WHEN("the store was away")
        {
            builder.evidence().disturbances = {
                {Disturbance::Subject::Store, 0, false, false, "away", Start + 1s, Start + 2s}};
            CHECK(builder.violatedInvariants().empty());
        }
    }
}

TEST_CASE("The soak's judge holds VMs to times")
{
    EvidenceBuilder builder;
    builder.addRequest(RouteKind::All, "r1", Start, {"i-a", "i-b"});

    SECTION("a server that has left gets nothing once its time to drain is over")
    {
        builder.evidence().departures = {{"i-m", Start}};
        builder.addRequest(RouteKind::Moving, "r2", Start + 3s, {"i-m"});
        CHECK(builder.violatedInvariants().empty());
        builder.addRequest(RouteKind::Moving, "r3", Start + 4s, {"i-m"});
        CHECK(builder.violatedInvariants() == Invariants{"a leaving server gets nothing new"});
    }
    SECTION("requests are answered by their timeout")
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
              == Invariants{"a request has its final answer by its timeout"});
        AND_WHEN("their connections had gone silent long before")
        {
            builder.evidence().disturbances = {
                {Disturbance::Subject::Vm, 0, false, true, "silenced", Start - 1min, Start - 1min}};
            for (CallerRecord &record : builder.evidence().callers)
                record.connectedAt = Start - 2min;
            CHECK(builder.violatedInvariants().empty());
        }
    }
    SECTION("nothing is sent on long after a caller has left")
    {
        for (int i = 0; i < 4; ++i) {
            const std::string id = "l" + std::to_string(i);
            CallerRecord &record = builder.addRequest(RouteKind::Moving, id, Start, {});
            record.outcome = CallerRecord::Outcome::CallerDisconnected;
            builder.addEvent(TargetEvent::Kind::Arrived, "i-m", id, record.endedAt + 600ms,
                             "GET /x ");
        }
        CHECK(builder.violatedInvariants()
              == Invariants{"nothing is sent on for a caller that has left"});
        AND_WHEN("the server had been frozen until then")
        {
            builder.evidence().groupByTarget["i-m"] = 1;
            builder.evidence().disturbances = {
                {Disturbance::Subject::Targets, 1, false, false, "frozen", Start, Start + 600ms}};
            CHECK(builder.violatedInvariants().empty());
        }
    }
}
