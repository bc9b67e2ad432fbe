#include <catch2/catch.hpp>

#include "filters/filterchain.h"

using namespace mangoshift;
using std::chrono::milliseconds;

namespace {

DocumentPtr documentWithOneService()
{
    Document document;
    document.kinds = {{"urgent", 0, true}};
    Service service;
    service.name = "search";
    service.deadline = milliseconds(100);
    document.services = {service};
    return std::make_shared<IndexedDocument>(std::move(document));
}

CallerRequest requestOf(const std::string &text)
{
    CallerRequest request;
    request.serviceName = "search";
    request.text = text;
    request.requestId = "made-here";
    request.receivedAt = Clock::now();
    request.document = documentWithOneService();
    return request;
}

} // namespace

TEST_CASE("The filter chain for queries checks a caller's request")
{
    AdmissionGate gate(1, 1, true);
    const FilterChain chain = queryFilters(gate);
    CallerRequest request = requestOf("{}");
    const auto fault = [&] {
        const auto problem = runFilters(chain, request);
        REQUIRE(problem);
        CHECK(problem->verdict.execution == Execution::NotRun);
        CHECK_FALSE(request.isAdmitted);
        return std::to_string(problem->status) + " " + problem->field;
    };

    SECTION("any valid JSON body passes")
    {
        for (const char *text : {"{}", "[1]", "\"x\"", "null", "7"}) {
            AdmissionGate freshGate(1, 1, true);
            CallerRequest each = requestOf(text);
            CHECK_FALSE(runFilters(queryFilters(freshGate), each));
            CHECK(each.body->body == text);
        }
    }

    SECTION("a body that is not JSON or is nested too deep is rejected")
    {
        for (const std::string &text :
             {std::string(), std::string("{"), std::string("{}x"), std::string(100, '['),
              std::string(500'000, '['), std::string("\"\xff\"")}) {
            request.text = text;
            CHECK(fault() == "400 body");
        }
    }

    SECTION("a deadline that is malformed or out of range is rejected")
    {
        for (const char *text :
             {"0", "-5", "1.5", "ten", "1e3", "3600001", "99999999999999999999", " 5"}) {
            request.headers["deadline-ms"] = text;
            CHECK(fault() == "400 Deadline-Ms");
        }
    }

    SECTION("the deadline is capped at that of the service")
    {
        request.headers["deadline-ms"] = "3600000";
        REQUIRE_FALSE(runFilters(chain, request));
        CHECK(request.deadline == request.receivedAt + milliseconds(100));
    }

    SECTION("a request whose deadline passed before it was read is rejected and not run")
    {
        request.receivedAt -= milliseconds(100);
        CHECK(fault() == "503 ");
    }

    SECTION("a content type other than JSON is rejected")
    {
        request.headers["content-type"] = "text/plain";
        CHECK(fault() == "415 Content-Type");
    }

    SECTION("a content type with a character set passes")
    {
        request.headers["content-type"] = "Application/JSON; charset=utf-8";
        CHECK_FALSE(runFilters(chain, request));
    }

    SECTION("an unknown service is rejected")
    {
        request.serviceName = "other";
        CHECK(fault() == "404 service");
    }

    SECTION("a request id that is safe to log is kept")
    {
        request.headers["x-request-id"] = "abc-1";
        CHECK_FALSE(runFilters(chain, request));
        CHECK(request.body->requestId == "abc-1");
    }

    SECTION("a request id that is not safe to log is replaced")
    {
        for (const std::string &id : {std::string(128, 'a'), std::string("a b"), std::string("a\n"),
                                      std::string("\xc3\xa9")}) {
            AdmissionGate freshGate(1, 1, true);
            CallerRequest each = requestOf("{}");
            each.headers["x-request-id"] = id;
            CHECK_FALSE(runFilters(queryFilters(freshGate), each));
            CHECK(each.body->requestId == "made-here");
        }
    }

    SECTION("a request beyond the capacity is refused until another has ended")
    {
        REQUIRE_FALSE(runFilters(chain, request));
        CallerRequest second = requestOf("{}");
        const auto problem = runFilters(chain, second);
        REQUIRE(problem);
        CHECK(problem->status == 503);
        CHECK(problem->cause == "vm_limit");
        CHECK(problem->verdict.execution == Execution::NotRun);
        CHECK(problem->verdict.retryAfter.count() > 0);
        gate.finish(request, {milliseconds(1), milliseconds(100), {}});
        CallerRequest third = requestOf("{}");
        CHECK_FALSE(runFilters(chain, third));
    }
}
