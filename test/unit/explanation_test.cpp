#include <sstream>
#include <string>

#include <catch2/catch.hpp>

#include "app/explanation.h"

using namespace mangoshift;

namespace {

const std::string Partial =
    "time=2026-12-04T10:00:02.000Z level=INFO event=request_ended request=p1 route=r "
    "config_version=3 outcome=partial status=200 execution=ran reason=ok took_ms=50 parts=19/20 "
    "hedges=1 retries=0 denied=0 missing=s7@i-a@i-b trace=20:sent:s7@i-b:extra\n";
const std::string MayHaveRun =
    "time=2026-12-04T10:00:03.000Z level=INFO event=request_ended request=u1 route=o "
    "config_version=3 outcome=error status=502 execution=may_have_run reason=lost took_ms=1 "
    "parts=0/1 hedges=0 retries=0 denied=0 missing=orders@i-c trace=1:failed:orders@i-c:lost\n";
const std::string Rejected =
    "time=2026-12-04T10:00:04.000Z level=INFO event=request_rejected request=n1 host=h path=/x/ "
    "config_version=0 status=503 reason=not_ready\n";
const std::string Background =
    "time=2026-12-04T10:00:00.000Z level=INFO event=vm_started vm=a-1 failure_domain=a\n"
    "time=2026-12-04T10:00:00.100Z level=INFO event=configuration_adopted version=2 routes=3\n"
    "time=2026-12-04T10:00:00.200Z level=INFO event=configuration_adopted version=3 routes=3\n"
    "time=2026-12-04T10:00:01.000Z level=INFO event=target_draining target=i-b service=s7\n"
    "time=2026-12-04T10:00:01.000Z level=INFO event=target_draining target=i-z service=s9\n"
    "time=2026-12-04T10:00:01.500Z level=WARNING event=store_lost why=\"connect timeout\" "
    "revision=9\n";

Explanation onlyExplanation(const RequestSearch &search)
{
    const auto found = search.explanations();
    REQUIRE(found.size() == 1);
    return found.front();
}

bool contains(const std::string &text, const std::string &what)
{
    return text.find(what) != std::string::npos;
}

} // namespace

TEST_CASE("A log line is parsed into its fields")
{
    SECTION("quoted values are unescaped, and a prefix from a log collector is ignored")
    {
        const auto line =
            parseLogLine("  41.5 vm-1 time=T level=INFO event=e why=\"a \\\"b\\\" c\" n=1");
        REQUIRE(line);
        CHECK(line->time == "T");
        CHECK(line->event == "e");
        CHECK(line->value("why") == "a \"b\" c");
        CHECK(line->value("n") == "1");
        CHECK(line->value("absent").empty());
    }
    SECTION("a line that is not an event is ignored")
    {
        CHECK_FALSE(parseLogLine(""));
        CHECK_FALSE(parseLogLine("terminate called"));
        CHECK_FALSE(parseLogLine("time=T level=INFO"));
    }
}

TEST_CASE("A request's failure is explained from the logs alone")
{
    std::istringstream log(Background + Partial + MayHaveRun + Rejected);

    SECTION("a partial answer is explained with the missing shard and the targets tried for it")
    {
        RequestSearch search("p1");
        search.read("a-1", log);
        const Explanation found = onlyExplanation(search);
        CHECK(contains(found.cause, "s7@i-a@i-b"));
        REQUIRE(found.steps.size() == 1);
        CHECK(found.steps[0] == "after 20 ms: sent again, to target i-b of s7");
        const std::string text = toText(found);
        CHECK(contains(text, "target_draining service=s7 target=i-b"));
        CHECK_FALSE(contains(text, "i-z"));
        CHECK(contains(text, "configuration_adopted routes=3 version=3"));
        CHECK_FALSE(contains(text, "version=2"));
        CHECK(contains(text, "store_lost"));
    }
    SECTION("an order that may have run is explained with the target whose log shows if it ran")
    {
        RequestSearch search("u1");
        search.read("a-1", log);
        const Explanation found = onlyExplanation(search);
        CHECK(contains(found.cause, "It may have run"));
        CHECK(contains(found.cause, "orders@i-c"));
        CHECK(contains(found.steps.at(0), "target i-c of orders failed"));
    }
    SECTION(
        "a rejected request is explained with what the VM did not know, and that it did not run")
    {
        RequestSearch search("n1");
        search.read("a-1", log);
        const Explanation found = onlyExplanation(search);
        CHECK(contains(found.cause, "did not know the configuration"));
        CHECK(contains(found.cause, "It has not run anywhere."));
    }
    SECTION("a request for which no target was open is explained with what its targets said")
    {
        std::istringstream more(
            "time=2026-12-04T10:00:05.000Z level=INFO event=target_pauses target=i-d "
            "service=orders pause_ms=1500\n"
            "time=2026-12-04T10:00:05.000Z level=INFO event=target_leaving target=i-e "
            "service=orders pause_ms=0\n"
            "time=2026-12-04T10:00:05.000Z level=INFO event=target_pauses target=i-f "
            "service=other pause_ms=1500\n"
            "time=2026-12-04T10:00:06.000Z level=INFO event=request_ended request=w1 route=o "
            "config_version=3 outcome=refused status=503 execution=not_run reason=no_replica "
            "took_ms=0 parts=0/1 hedges=0 retries=0 denied=0 missing=orders "
            "trace=0:not_sent:orders:paused\n");
        RequestSearch search("w1");
        search.read("a-1", more);
        const Explanation found = onlyExplanation(search);
        CHECK(found.steps.at(0)
              == "after 0 ms: not sent to orders: each target that is left has asked for a pause "
                 "that is too long for it");
        const std::string text = toText(found);
        CHECK(contains(text, "target_pauses pause_ms=1500 service=orders target=i-d"));
        CHECK(contains(text, "target_leaving pause_ms=0 service=orders target=i-e"));
        CHECK_FALSE(contains(text, "i-f"));
    }
    SECTION("a query that the limits of targets left no room for is explained with them")
    {
        std::istringstream more(
            "time=2026-12-04T10:00:05.000Z level=INFO event=target_limit_named target=i-d "
            "service=s1 limit_per_s=4.000000\n"
            "time=2026-12-04T10:00:05.000Z level=INFO event=target_limit_ended target=i-e "
            "service=s1 limit_per_s=\n"
            "time=2026-12-04T10:00:06.000Z level=INFO event=request_ended request=w1 route=q "
            "config_version=3 outcome=refused status=503 execution=not_run reason=overloaded "
            "took_ms=2 parts=0/3 hedges=0 retries=0 denied=0 missing=s1,s2,s3 "
            "trace=0:not_sent:s1:limited;2:no_permits:q\n");
        RequestSearch search("w1");
        search.read("a-1", more);
        const Explanation found = onlyExplanation(search);
        CHECK(found.steps.at(0)
              == "after 0 ms: not sent to s1: each target that is left has named a limit that "
                 "leaves no room for it in time");
        CHECK(contains(found.steps.at(1), "leave room for too few parts"));
        CHECK(contains(found.cause,
                       "Limits in force, in requests a second of all VMs together: i-d of s1 "
                       "4.000000."));
        const std::string text = toText(found);
        CHECK(contains(text, "target_limit_named limit_per_s=4.000000 service=s1 target=i-d"));
        CHECK_FALSE(contains(text, "i-e"));
    }
    SECTION("a query that waited for shards whose targets fail is explained with them")
    {
        std::istringstream more(
            "time=2026-12-04T10:00:05.000Z level=INFO event=target_failing target=i-d "
            "service=s1\n"
            "time=2026-12-04T10:00:06.000Z level=INFO event=request_ended request=w2 route=o "
            "config_version=3 outcome=partial status=200 execution=ran reason=ok "
            "took_ms=40 parts=19/20 hedges=0 retries=0 denied=0 missing=s1 "
            "trace=0:waits:s1:failing\n");
        RequestSearch search("w2");
        search.read("a-1", more);
        const Explanation found = onlyExplanation(search);
        CHECK(found.steps.at(0)
              == "after 0 ms: waits for a target of s1, as each one fails and is being probed");
        CHECK(contains(toText(found), "target_failing service=s1 target=i-d"));
    }
    SECTION(
        "a shard without targets is explained with its latest lost ones, however many there were")
    {
        std::string delisted = Background;
        for (int i = 100; i < 200; ++i)
            delisted += "time=2026-12-04T10:00:01." + std::to_string(i)
                + "Z level=INFO event=target_delisted target=i-" + std::to_string(i)
                + " service=s7\n";
        std::istringstream lines(delisted
                                 + "time=2026-12-04T10:00:02.000Z level=INFO event=request_ended "
                                   "request=q1 route=r config_version=3 outcome=partial status=200 "
                                   "execution=ran reason=ok took_ms=1 parts=19/20 hedges=0 "
                                   "retries=0 denied=0 missing=s7 trace=0:not_sent:s7:no_target\n");
        RequestSearch search("q1");
        search.read("vm-1", lines);
        const std::string text = toText(onlyExplanation(search));
        CHECK(contains(text, "configuration_adopted"));
        CHECK(contains(text, "target_delisted service=s7 target=i-199"));
        CHECK(contains(text, "target=i-190"));
        CHECK_FALSE(contains(text, "target=i-150"));
    }
    SECTION("a request that is in no log is not explained, and dropped lines are counted")
    {
        RequestSearch search("other");
        std::istringstream more("time=T level=WARNING event=log_lines_left_out lines=12 "
                                "since_start=12\n");
        search.read("a-1", log);
        search.read("a-2", more);
        CHECK(search.explanations().empty());
        CHECK(search.droppedLines() == 12);
    }
}

TEST_CASE("An explanation names the targets that were known to be slow")
{
    const std::string slower = "time=2026-12-04T10:00:01.900Z level=INFO event=target_slower "
                               "target=i-b service=s7 slowness=4.100000 capacity=1\n";
    const std::string known = "Targets known to be slow: i-b of s7 (4.100000 times the usual "
                              "latency, capacity 1).";
    SECTION("if one of them was tried for a missing part")
    {
        std::istringstream log(Background + slower + Partial);
        RequestSearch search("p1");
        search.read("vm", log);
        CHECK(contains(toText(onlyExplanation(search)), known));
    }
    SECTION("but not once it has recovered")
    {
        std::istringstream log(Background + slower
                               + "time=2026-12-04T10:00:01.950Z level=INFO event=target_recovered "
                                 "target=i-b service=s7 slowness=1.100000 capacity=2\n"
                               + Partial);
        RequestSearch search("p1");
        search.read("vm", log);
        CHECK_FALSE(contains(toText(onlyExplanation(search)), "known to be slow"));
    }
}
