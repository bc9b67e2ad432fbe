#include <catch2/catch.hpp>

#include <algorithm>
#include <future>
#include <vector>

#include "base/logwriter.h"

using namespace mangoshift;
using namespace std::chrono_literals;

namespace {

LogRecord makeLine(const std::string &text, LogLevel level = LogLevel::Info)
{
    return {level, std::chrono::system_clock::now(), text};
}

} // namespace

TEST_CASE("A stalled log reader does not block threads that write log lines")
{
    std::promise<void> entered;
    std::promise<void> released;
    std::shared_future<void> gate = released.get_future().share();
    std::vector<std::string> written;
    bool isFirst = true;
    LogWriter writer({4, {1000}}, [&](const LogRecord &line) {
        if (std::exchange(isFirst, false)) {
            entered.set_value();
            gate.wait();
        }
        written.push_back(line.text);
    });
    REQUIRE(writer.tryWrite(makeLine("first")));
    entered.get_future().wait();

    for (int i = 0; i < 4; ++i)
        CHECK(writer.tryWrite(makeLine("line " + std::to_string(i))));
    CHECK_FALSE(writer.tryWrite(makeLine("too much")));
    CHECK(writer.droppedLines() == 1);

    SECTION("stop() returns without waiting for the reader")
    {
        CHECK_FALSE(writer.stop(0ms));
        released.set_value();
    }
    SECTION("queued lines and the number of dropped lines are written once the reader resumes")
    {
        released.set_value();
        REQUIRE(writer.stop(20s));
        REQUIRE(written.size() == 6);
        CHECK(written.front() == "first");
        const std::string report = "event=log_lines_left_out lines=1 since_start=1";
        CHECK(std::count(written.begin(), written.end(), report) == 1);
        CHECK(std::count(written.begin(), written.end(), "line 3") == 1);
    }
}

TEST_CASE("The number of log lines per second is limited")
{
    const PausedClock clock;
    std::vector<std::string> written;
    LogWriter writer({100, {3}}, [&](const LogRecord &line) { written.push_back(line.text); });
    int accepted = 0;
    for (int i = 0; i < 10; ++i)
        accepted += writer.tryWrite(makeLine("info")) ? 1 : 0;
    CHECK(accepted == 3);
    SECTION("warnings and errors have twice the limit")
    {
        for (int i = 0; i < 3; ++i)
            CHECK(writer.tryWrite(makeLine("error", LogLevel::Error)));
        CHECK_FALSE(writer.tryWrite(makeLine("error", LogLevel::Error)));
    }
    REQUIRE(writer.stop(20s));
    CHECK(written.back().starts_with("event=log_lines_left_out"));
}

TEST_CASE("The budget of log lines is renewed every second")
{
    PausedClock clock;
    LogWriter writer({100, {2}}, [](const LogRecord &) {});
    CHECK(writer.tryWrite(makeLine("one")));
    CHECK(writer.tryWrite(makeLine("two")));
    CHECK_FALSE(writer.tryWrite(makeLine("three")));
    CHECK(writer.tryWrite(makeLine("warning", LogLevel::Warning)));
    clock.advance(1s);
    CHECK(writer.tryWrite(makeLine("four")));
}

TEST_CASE("Dropped log lines are counted and reported by event")
{
    const PausedClock clock;
    std::vector<std::string> written;
    LogWriter writer({100, {2, 1000}},
                     [&](const LogRecord &line) { written.push_back(line.text); });
    const auto write = [&writer](const std::string &event, LogTopic topic) {
        LogRecord line = makeLine("event=" + event);
        line.event = event;
        line.topic = topic;
        return writer.tryWrite(std::move(line));
    };
    CHECK(write("request_ended", LogTopic::Request));
    for (int i = 0; i < 3; ++i)
        CHECK_FALSE(write("request_ended", LogTopic::Request));
    CHECK(write("target_failing", LogTopic::Vm));
    CHECK_FALSE(write("target_answers", LogTopic::Vm));

    CHECK(writer.droppedLines() == 4);
    CHECK(writer.droppedLinesByEvent()
          == LogLineCounts{{"request_ended", 3}, {"target_answers", 1}});
    REQUIRE(writer.stop(20s));
    CHECK(written.back()
          == "event=log_lines_left_out lines=4 since_start=4 "
             "by_event=request_ended:3,target_answers:1");
}
