#include <catch2/catch.hpp>

#include <random>

#include "base/logbudget.h"

using namespace mangoshift;
using namespace std::chrono_literals;

TEST_CASE("The budget of a log")
{
    LogBudget budget({8, 1000});
    const Clock::time_point start = Clock::now();
    // Offers lines until one is rejected. Returns how many were accepted.
    const auto fill = [&](LogLevel level, LogTopic topic, std::size_t bytes,
                          Clock::time_point now) {
        int accepted = 0;
        while (budget.tryConsume(level, topic, bytes, now))
            ++accepted;
        return accepted;
    };

    // Guards against a log that shows many failed requests, but not the event that explains them.
    SECTION("keeps a quarter for lines that are not about requests")
    {
        CHECK(fill(LogLevel::Info, LogTopic::Request, 10, start) == 6);
        CHECK(fill(LogLevel::Info, LogTopic::Vm, 10, start) == 2);
        AND_WHEN("that is used up, warnings and errors still fit")
        {
            CHECK(fill(LogLevel::Warning, LogTopic::Vm, 10, start) == 8);
        }
    }
    // Guards against a log in which a process seems to have ended without a stop.
    SECTION("keeps room for the start and stop of the VM beside many lines about targets")
    {
        CHECK(fill(LogLevel::Info, LogTopic::Vm, 10, start) == 8);
        CHECK(fill(LogLevel::Info, LogTopic::Lifecycle, 10, start) == 8);
    }
    SECTION("limits bytes as well as lines, in the same shares")
    {
        CHECK(fill(LogLevel::Info, LogTopic::Request, 250, start) == 3);
        CHECK(fill(LogLevel::Info, LogTopic::Vm, 250, start) == 1);
        CHECK(fill(LogLevel::Error, LogTopic::Request, 250, start) == 4);
    }
    SECTION("is renewed after a second, not before")
    {
        fill(LogLevel::Info, LogTopic::Vm, 10, start);
        CHECK(fill(LogLevel::Info, LogTopic::Vm, 10, start + 999ms) == 0);
        CHECK(fill(LogLevel::Info, LogTopic::Vm, 10, start + 1s) == 8);
    }
    SECTION("can be changed while it is in use")
    {
        fill(LogLevel::Info, LogTopic::Vm, 10, start);
        budget.setLimits({10, 1000});
        CHECK(fill(LogLevel::Info, LogTopic::Vm, 10, start) == 2);
    }
}

// Guards against a caller who hides what a VM logs about itself behind malformed requests.
TEST_CASE("Lines that callers can cause in any number share the budget of requests")
{
    CHECK(topicOf("request_ended", true) == LogTopic::Request);
    CHECK(topicOf("request_rejected", false) == LogTopic::Request);
    CHECK(topicOf("caller_connection_ended", false) == LogTopic::Request);
    CHECK(topicOf("target_avoided", true) == LogTopic::Request);
    CHECK(topicOf("target_avoided", false) == LogTopic::Vm);
    CHECK(topicOf("store_regained", false) == LogTopic::Lifecycle);
    CHECK(topicOf("vm_stopped", false) == LogTopic::Lifecycle);
}

TEST_CASE("Whatever lines are offered, a log stays within its limits")
{
    constexpr int runs = 2000;
    constexpr LogLimits limits{20, 4000};
    constexpr std::uint64_t maxLines = limits.linesPerSecond;
    constexpr std::uint64_t maxBytes = limits.bytesPerSecond;
    for (int seed = 0; seed < runs; ++seed) {
        std::mt19937_64 random(seed);
        const auto below = [&random](std::uint64_t bound) { return random() % bound; };
        LogBudget budget(limits);
        Clock::time_point now = Clock::now();
        Clock::time_point secondStart{};
        std::uint64_t lines = 0;
        std::uint64_t bytes = 0;
        std::uint64_t requestLines = 0;
        std::uint64_t ordinaryLines = 0;
        for (int i = 0; i < 200; ++i) {
            now += std::chrono::milliseconds(below(20) == 0 ? 1000 : below(30));
            if (now - secondStart >= 1s) {
                secondStart = now;
                lines = bytes = requestLines = ordinaryLines = 0;
            }
            const auto level = static_cast<LogLevel>(below(4));
            const auto topic = below(4) == 0 ? LogTopic::Vm : LogTopic::Request;
            const std::size_t size = 1 + below(600);
            const bool isOrdinary = level < LogLevel::Warning;
            const bool isAccepted = budget.tryConsume(level, topic, size, now);
            // A line is never rejected while its share is free.
            const bool isShareFree = lines < maxLines * 3 / 4 && bytes + size <= maxBytes * 3 / 4;
            REQUIRE((isAccepted || !isShareFree));
            if (!isAccepted)
                continue;
            ++lines;
            bytes += size;
            ordinaryLines += isOrdinary ? 1 : 0;
            requestLines += isOrdinary && topic == LogTopic::Request ? 1 : 0;
            REQUIRE(lines <= 2 * maxLines);
            REQUIRE(bytes <= 2 * maxBytes);
            REQUIRE(ordinaryLines <= maxLines);
            REQUIRE(requestLines <= maxLines * 3 / 4);
        }
    }
}
