#include <algorithm>

#include <catch2/catch.hpp>

#include "fakeservers/records.h"
#include "mangoshift/recordmerge.h"
#include "soak/judge.h"

using namespace mangoshift;
using namespace mangoshift::soak;
using namespace std::chrono_literals;

namespace {

constexpr Clock::time_point Start(1h);

/// Evidence of a run in which all is well, for the sections to spoil.
class Run
{
public:
    Run()
    {
        m_evidence.routes = {{RouteKind::All, {1500ms, 3, 0.5}},
                             {RouteKind::Moving, {1000ms, 0, 0}},
                             {RouteKind::Orders, {1000ms, 0, 0}}};
        m_evidence.serviceOf = {{"i-a", "a0"}, {"i-b", "a1"},     {"i-m", "m0"},
                                {"i-n", "m1"}, {"i-o", "orders"}, {"i-p", "orders"}};
        m_evidence.published = {{1, Start - 1min, Start - 1min, {"a0", "a1"}, "m0"}};
        m_evidence.starts[0] = {Start - 30s};
        m_evidence.lastFault = Start - 12s;
    }

    CallerRecord &ask(RouteKind route, const std::string &id, Clock::time_point at,
                      const std::vector<std::string> &servers)
    {
        CallerRecord record;
        record.id = id;
        record.route = route;
        record.sent = "GET /x ";
        record.sentAt = at;
        record.endedAt = at + 20ms;
        record.end = CallerRecord::End::Answered;
        record.status = 200;
        std::vector<std::string> bodies;
        for (const std::string &server : servers) {
            run(server, id, at + 5ms);
            bodies.push_back(serverRecords(m_evidence.serviceOf.at(server), id, true));
            record.receipt = server;
            record.receipt.append(".").append(id).append(".1");
            record.partReceipts.append(record.partReceipts.empty() ? "" : ", ");
            record.partReceipts.append(record.receipt);
        }
        if (route == RouteKind::All) {
            record.receipt.clear();
            record.missingParts = std::to_string(2 - servers.size());
            record.body = greatestRecords({bodies.begin(), bodies.end()}, 3);
        } else if (!bodies.empty()) {
            record.body = bodies.front();
        }
        m_evidence.callers.push_back(record);
        return m_evidence.callers.back();
    }

    void run(const std::string &server, const std::string &id, Clock::time_point at)
    {
        note(ServerEvent::Kind::Arrived, server, id, at, "GET /x ");
        note(ServerEvent::Kind::Ran, server, id, at, "");
    }

    void note(ServerEvent::Kind kind, const std::string &server, const std::string &id,
              Clock::time_point at, const std::string &what)
    {
        m_evidence.servers.push_back({at, kind, server, m_evidence.serviceOf.at(server), id, what});
    }

    Evidence &evidence() { return m_evidence; }

    /// Returns the promises that were broken, each once.
    std::vector<std::string> broken(Strictness strictness = Strictness::Timed) const
    {
        std::vector<std::string> promises;
        for (const Violation &violation : judge(m_evidence, strictness))
            if (std::find(promises.begin(), promises.end(), violation.promise) == promises.end())
                promises.push_back(violation.promise);
        return promises;
    }

private:
    Evidence m_evidence;
};

using Promises = std::vector<std::string>;

} // namespace

TEST_CASE("The soak's judge finds")
{
    Run run;
    run.ask(RouteKind::All, "r1", Start, {"i-a", "i-b"});
    run.ask(RouteKind::Moving, "r2", Start, {"i-m"});
    run.ask(RouteKind::Orders, "r3", Start, {"i-o"});

    SECTION("nothing where all is well")
    {
        CHECK(run.broken().empty());
    }
    SECTION("nothing in a partial answer that says so")
    {
        run.ask(RouteKind::All, "r4", Start, {"i-a"});
        CHECK(run.broken().empty());
    }
    SECTION("an order that ran twice")
    {
        run.run("i-p", "r3", Start + 10ms);
        CHECK(run.broken() == Promises{"a request that may run once runs once"});
    }
    SECTION("a refusal of what ran")
    {
        run.ask(RouteKind::Moving, "r4", Start, {"i-m"}).status = 503;
        CHECK(run.broken() == Promises{"what is refused as not run has not run"});
    }
    SECTION("another request's receipt, body or parts")
    {
        CallerRecord &record = run.ask(RouteKind::All, "r4", Start, {"i-a", "i-b"});
        SECTION("a receipt")
        {
            record.partReceipts = "i-a.r1.1, i-b.r4.1";
        }
        SECTION("a part twice")
        {
            record.partReceipts = "i-a.r4.1, i-a.r4.2";
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
            record.end = CallerRecord::End::Malformed;
        }
        CHECK(run.broken() == Promises{"each caller gets the whole answer to its own request"});
    }
    SECTION("a forwarded answer that is cut")
    {
        run.ask(RouteKind::Moving, "r4", Start, {"i-m"}).body.resize(16);
        CHECK(run.broken() == Promises{"each caller gets the whole answer to its own request"});
    }
    SECTION("a request that no caller sent, or that was changed on its way")
    {
        SECTION("an unknown one")
        {
            run.note(ServerEvent::Kind::Arrived, "i-a", "r9", Start, "GET /x ");
        }
        SECTION("a changed one")
        {
            run.note(ServerEvent::Kind::Arrived, "i-a", "r1", Start, "GET /y ");
        }
        CHECK(run.broken() == Promises{"servers get what callers sent"});
    }
    SECTION("a request at a service to which no configuration sends it")
    {
        run.ask(RouteKind::Moving, "r4", Start, {"i-n"});
        CHECK(run.broken() == Promises{"a request runs where a configuration allows it"});
    }
    SECTION("more extra arrivals than the budget has")
    {
        run.evidence().bounds.retrySlack = 2;
        for (int i = 0; i < 3; ++i)
            run.note(ServerEvent::Kind::Arrived, "i-m", "r2", Start + 10ms, "GET /x ");
        CHECK(run.broken() == Promises{"extra arrivals stay within the budget"});
    }
    SECTION("a process that ended by itself")
    {
        run.evidence().processFaults = {"VM 0 ended by itself"};
        CHECK(run.broken() == Promises{"processes end only when they are told to"});
    }
    SECTION("requests that were dropped, where nothing disturbed the VM")
    {
        for (int i = 0; i < 4; ++i)
            run.ask(RouteKind::Moving, "d" + std::to_string(i), Start, {"i-m"}).end =
                CallerRecord::End::Closed;
        CHECK(run.broken() == Promises{"a request that was passed on is answered"});
        run.evidence().disturbances = {
            {Disturbance::Subject::Vm, 0, false, false, "killed", Start, Start + 1s}};
        CHECK(run.broken().empty());
    }
    SECTION("that service does not come back")
    {
        for (CallerRecord &record : run.evidence().callers)
            record.status = 504;
        CHECK(run.broken() == Promises{"service is back once the faults are over"});
    }
}

TEST_CASE("The soak's judge holds VMs to versions of the configuration")
{
    Run run;
    run.evidence().published.push_back({2, Start, Start, {"a0", "a1"}, "m1"});
    run.ask(RouteKind::Moving, "r1", Start + 1s, {"i-n"});

    SECTION("an older one may be in force until the newer is due")
    {
        run.ask(RouteKind::Moving, "r2", Start - 1s, {"i-m"});
        CHECK(run.broken().empty());
    }
    SECTION("an older one after a newer one is never right in one process")
    {
        run.ask(RouteKind::Moving, "r2", Start + 2s, {"i-m"});
        CHECK(run.broken(Strictness::Safety) == Promises{"a configuration in force never reverts"});
        AND_WHEN("the process was started anew between them")
        {
            run.evidence().starts[0].push_back(Start + 1500ms);
            CHECK(run.broken(Strictness::Safety).empty());
        }
    }
    SECTION("an older one beyond the time in which a newer one is due")
    {
        run.evidence().callers.clear();
        run.evidence().servers.clear();
        run.ask(RouteKind::Moving, "r2", Start + 4s, {"i-m"});
        CHECK(run.broken() == Promises{"a configuration is in force within its time"});
        CHECK(run.broken(Strictness::Safety).empty());
        AND_WHEN("the store was away")
        {
            run.evidence().disturbances = {
                {Disturbance::Subject::Store, 0, false, false, "away", Start + 1s, Start + 2s}};
            CHECK(run.broken().empty());
        }
    }
}

TEST_CASE("The soak's judge holds VMs to times")
{
    Run run;
    run.ask(RouteKind::All, "r1", Start, {"i-a", "i-b"});

    SECTION("a server that has left gets nothing once its time to drain is over")
    {
        run.evidence().departures = {{"i-m", Start}};
        run.ask(RouteKind::Moving, "r2", Start + 3s, {"i-m"});
        CHECK(run.broken().empty());
        run.ask(RouteKind::Moving, "r3", Start + 4s, {"i-m"});
        CHECK(run.broken() == Promises{"a leaving server gets nothing new"});
    }
    SECTION("requests are answered by their timeout")
    {
        for (int i = 0; i < 8; ++i) {
            run.ask(RouteKind::Moving, "s" + std::to_string(i), Start, {"i-m"});
            CallerRecord &record =
                run.ask(RouteKind::Moving, "t" + std::to_string(i), Start, {"i-m"});
            record.status = 504;
            record.receipt.clear();
            record.endedAt = record.sentAt + 1600ms;
        }
        CHECK(run.broken() == Promises{"a request has its final answer by its timeout"});
        AND_WHEN("their connections had gone silent long before")
        {
            run.evidence().disturbances = {
                {Disturbance::Subject::Vm, 0, false, true, "silenced", Start - 1min, Start - 1min}};
            for (CallerRecord &record : run.evidence().callers)
                record.connectedAt = Start - 2min;
            CHECK(run.broken().empty());
        }
    }
    SECTION("nothing is sent on long after a caller has left")
    {
        for (int i = 0; i < 4; ++i) {
            const std::string id = "l" + std::to_string(i);
            CallerRecord &record = run.ask(RouteKind::Moving, id, Start, {});
            record.end = CallerRecord::End::LeftEarly;
            run.note(ServerEvent::Kind::Arrived, "i-m", id, record.endedAt + 600ms, "GET /x ");
        }
        CHECK(run.broken() == Promises{"nothing is sent on for a caller that has left"});
        AND_WHEN("the server had been frozen until then")
        {
            run.evidence().groupOf["i-m"] = 1;
            run.evidence().disturbances = {
                {Disturbance::Subject::Servers, 1, false, false, "frozen", Start, Start + 600ms}};
            CHECK(run.broken().empty());
        }
    }
}
