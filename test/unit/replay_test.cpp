#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "app/replayreport.h"
#include "app/replayrows.h"

using namespace mangoshift;
using std::chrono::milliseconds;

namespace {

constexpr const char *Head =
    R"({"trace":"t","deployment":"d","seed":1,"outcomes":[)"
    R"({"segment":"after","measure":"p99_ms","at_most":1.5,"times":"before"}]})"
    "\n";
constexpr const char *Segments =
    R"({"segment":"before","service":"s","from_ms":0,"to_ms":1000,"rate":10})"
    "\n"
    R"({"segment":"after","service":"s","from_ms":1000,"to_ms":2000,"rate":10,"rate_end":20})"
    "\n";

std::string firstFault(const std::string &text)
{
    const auto trace = parseTrace(text);
    return trace ? std::string() : trace.error().front().path;
}

Sample sampleOf(std::size_t segment, milliseconds latency)
{
    Sample sample;
    sample.segment = segment;
    sample.end = SampleEnd::Answered;
    sample.latency = latency;
    sample.isWithinDeadline = true;
    sample.shardsRequested = 2;
    sample.shardsAnswered = 2;
    return sample;
}

Document documentWithTwoShards()
{
    Document document;
    document.kinds = {{"urgent", 0, true}};
    document.targets = {{"t0", "127.0.0.1:1", "a", 1, 1}, {"t1", "127.0.0.1:2", "a", 1, 1}};
    document.services = {{"s", 0, milliseconds(100), true, {}}};
    document.services[0].shards = {{"x", shardKey("s", "x"), {0}}, {"y", shardKey("s", "y"), {1}}};
    return document;
}

HttpResponse answerOf(const std::string &rows, int answered, const std::string &missing)
{
    HttpResponse response;
    response.status = 200;
    response.body = R"({"request_id":"r","snapshot":4,"complete":)"
        + std::string(answered == 2 ? "true" : "false") + R"(,"shards":{"asked":2,"answered":)"
        + std::to_string(answered) + R"(},"missing":)" + missing + R"(,"rows":)" + rows + "}";
    return response;
}

constexpr const char *RowX = R"({"shard":"x","snapshot":4,"target":"t0","request":"r"})";
constexpr const char *RowY = R"({"shard":"y","snapshot":4,"target":"t1","request":"r"})";

} // namespace

TEST_CASE("A trace is parsed from JSON lines")
{
    SECTION("a valid trace has the segments of its lines")
    {
        const auto trace = parseTrace(std::string(Head) + Segments);
        REQUIRE(trace);
        CHECK(trace->segments.size() == 2);
        CHECK(trace->segments[0].rateEnd == 10);
        CHECK(trace->segments[1].rateEnd == 20);
        CHECK(trace->duration() == milliseconds(2000));
    }
    SECTION("a validation fault names the line and the field")
    {
        CHECK(firstFault(std::string(Head) + Segments + R"({"at_ms":1,"set":{},"typo":1})")
              == "4:/typo");
        CHECK(firstFault(std::string(Head) + Segments + R"({"at_ms":1,"process":"p","signal":"X"})")
              == "4:/signal");
        CHECK(
            firstFault(
                R"({"trace":"t","deployment":"d","seed":1,"outcomes":[{"measure":"m","at_most":1}]})")
            == "1:/outcomes/0/measure");
    }
    SECTION("an outcome that refers to an unknown segment is a fault")
    {
        CHECK_FALSE(parseTrace(Head).has_value());
    }
}

TEST_CASE("A stated outcome is compared with the measured value")
{
    const Trace trace = *parseTrace(std::string(Head) + Segments);

    GIVEN("a first segment with a p99 of 20 ms")
    {
        std::vector<Sample> samples{sampleOf(0, milliseconds(20))};

        SECTION("a p99 of 30 ms in the second meets a bound of 1.5 times the first")
        {
            samples.push_back(sampleOf(1, milliseconds(30)));
            CHECK(makeReport(trace, {samples, 0}).areOutcomesMet());
        }
        SECTION("a p99 of 31 ms in the second exceeds the bound")
        {
            samples.push_back(sampleOf(1, milliseconds(31)));
            CHECK_FALSE(makeReport(trace, {samples, 0}).areOutcomesMet());
        }
    }
}

TEST_CASE("Extra load is measured from the records of the targets, not from the answers")
{
    const Trace trace = *parseTrace(std::string(Head) + Segments);
    const std::vector<Sample> samples{sampleOf(0, milliseconds(20)), sampleOf(1, milliseconds(20))};

    SECTION("5 queries run for 4 requested shards are 25% extra load")
    {
        CHECK(makeReport(trace, {samples, 5}).whole.targetExtraPercent == 25);
    }
    SECTION("as many queries run as shards requested are no extra load")
    {
        CHECK(makeReport(trace, {samples, 4}).whole.targetExtraPercent == 0);
    }
}

TEST_CASE("Measures are calculated from what callers see")
{
    Sample refused = sampleOf(0, milliseconds(1));
    refused.end = SampleEnd::Refused;
    Sample partial = sampleOf(0, milliseconds(40));
    partial.shardsAnswered = 1;
    Sample lost = sampleOf(0, milliseconds(1000));
    lost.end = SampleEnd::Lost;
    lost.shardsAnswered = 0;
    const Sample whole = sampleOf(0, milliseconds(20));
    const Measures measures = measure({&refused, &partial, &lost, &whole}, milliseconds(1000));

    SECTION("coverage includes lost requests but not refused ones")
    {
        CHECK(measures.coveragePercent == 50);
    }
    SECTION("goodput counts only complete answers within the deadline")
    {
        CHECK(measures.goodput == 1);
        CHECK(measures.completePercent == 25);
    }
    SECTION("the time waited for a lost request counts as latency")
    {
        CHECK(measures.p99Ms == 1000);
        CHECK(measures.refusalP99Ms == 1);
    }
}

TEST_CASE("The rows of an answer are checked against what it states")
{
    RowChecker checker;
    checker.addDocument(documentWithTwoShards());
    Sample sample;
    const auto check = [&](const std::string &rows, int answered, const std::string &missing) {
        checker.check("s", answerOf(rows, answered, missing), sample);
    };
    const std::string x = RowX;
    const std::string y = RowY;

    SECTION("one row from each shard confirms a complete answer")
    {
        check("[" + x + "," + y + "]", 2, "[]");
        CHECK(sample.end == SampleEnd::Answered);
        CHECK_FALSE((sample.mixesSnapshots || sample.misstatesCoverage || sample.hasForeignRows));
    }
    SECTION("a shard that counts as answered but has no row contradicts the coverage")
    {
        check("[" + x + "]", 2, "[]");
        CHECK(sample.misstatesCoverage);
    }
    SECTION("two rows from one shard contradict the coverage")
    {
        check("[" + x + "," + x + "]", 2, "[]");
        CHECK(sample.misstatesCoverage);
    }
    SECTION("a row with another snapshot is reported as a mixed snapshot")
    {
        check("[" + x + R"(,{"shard":"y","snapshot":5,"target":"t1","request":"r"}])", 2, "[]");
        CHECK(sample.mixesSnapshots);
    }
    SECTION("a row from another request, or not from a replica of its shard, is foreign")
    {
        check("[" + x + R"(,{"shard":"y","snapshot":4,"target":"t1","request":"q"}])", 2, "[]");
        CHECK(sample.hasForeignRows);
        sample = {};
        check("[" + x + R"(,{"shard":"y","snapshot":4,"target":"t0","request":"r"}])", 2, "[]");
        CHECK(sample.hasForeignRows);
    }
    // Guards against a replay that ends on such an answer, or that lets it pass.
    SECTION("an answer whose coverage is missing or malformed misstates it")
    {
        const std::string rows = "[" + x + "," + y + "]";
        const auto whole = nlohmann::json::parse(answerOf(rows, 2, "[]").body);
        for (const std::string field : {"complete", "shards", "missing", "rows"}) {
            for (const nlohmann::json &value :
                 {nlohmann::json("text"), nlohmann::json(-1), nlohmann::json(nullptr),
                  nlohmann::json({{"a", 1}})}) {
                HttpResponse response = answerOf(rows, 2, "[]");
                nlohmann::json changed = whole;
                changed[field] = value;
                response.body = changed.dump();
                sample = {};
                checker.check("s", response, sample);
                INFO(response.body);
                CHECK(sample.misstatesCoverage);
            }
            if (field == "rows")
                continue;
            HttpResponse response = answerOf(rows, 2, "[]");
            nlohmann::json changed = whole;
            changed.erase(field);
            response.body = changed.dump();
            sample = {};
            checker.check("s", response, sample);
            CHECK(sample.misstatesCoverage);
        }
    }
    SECTION("a problem response stating that the request did not run is a refusal")
    {
        HttpResponse response;
        response.status = 503;
        response.body = R"({"execution":"not_run"})";
        checker.check("s", response, sample);
        CHECK(sample.end == SampleEnd::Refused);
    }
}
