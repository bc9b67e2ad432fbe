#include <chrono>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "duties/platformwatcher.h"
#include "pouringserver.h"

using namespace mangoshift;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string GoodDocument =
    "HTTP/1.1 200 OK\r\nConfig-Version: 7\r\nContent-Length: 2\r\n\r\n{}";

/// A watcher of a platform, with what it has reported.
class WatcherFixture
{
public:
    explicit WatcherFixture(const PouringServer &platform)
        : m_watcher(platform.address(),
                    {[this](ConfigVersion version, const std::string &) { m_version = version; },
                     [](const std::string &, Clock::time_point) {}},
                    m_metrics)
    {
        PlatformPlan plan;
        plan.shouldReadConfig = true;
        plan.isWatching = true;
        m_watcher.setPlan(plan);
        m_watcher.start();
    }

    ConfigVersion version() const { return m_version; }
    bool hasRejected(const std::string &why) const
    {
        return m_metrics.text().find("mangoshift_platform_answers_rejected_total{why=\"" + why
                                     + "\"}")
            != std::string::npos;
    }
    void stop() { m_watcher.stop(); }

private:
    Metrics m_metrics;
    std::atomic<ConfigVersion> m_version{0};
    PlatformWatcher m_watcher;
};

/// Waits until `isDone` returns true. Returns false after 20 s, which only bounds how long a
/// failing test takes.
bool comesTrue(const std::function<bool()> &isDone)
{
    const auto end = std::chrono::steady_clock::now() + seconds(20);
    while (!isDone() && std::chrono::steady_clock::now() < end)
        std::this_thread::yield();
    return isDone();
}

} // namespace

TEST_CASE("An answer of the platform without an end is rejected and counted")
{
    const auto [begin, repeated, end] = GENERATE(from_range(endlessPours()));
    const std::string why(rejectionReason(end));
    INFO(begin << " / " << repeated << ": " << why);
    PouringServer platform(begin, repeated);
    const WatcherFixture watcher(platform);
    CHECK(comesTrue([&] { return watcher.hasRejected(why); }));
}

TEST_CASE("A platform whose answers had no end and that answers properly again")
{
    PouringServer platform("HTTP/1.1 200 OK\r\nConfig-Version: 6\r\n\r\n", "{");
    const WatcherFixture watcher(platform);
    REQUIRE(comesTrue([&] { return watcher.hasRejected("body_too_large"); }));
    CHECK(watcher.version() == 0);

    SECTION("is read again, and its document is delivered")
    {
        platform.setResponse(GoodDocument);
        CHECK(comesTrue([&] { return watcher.version() == 7; }));
    }
}

TEST_CASE("An answer of the platform that trickles without an end is rejected")
{
    PausedClock clock;
    PouringServer platform("HTTP/1.1 200 OK\r\n", "a: b\r\n",
                           [&clock] { clock.advance(milliseconds(500)); });
    const WatcherFixture watcher(platform);
    CHECK(comesTrue([&] { return watcher.hasRejected("too_slow"); }));
}

TEST_CASE("A watcher stops although the platform has nothing to say")
{
    PouringServer platform("", "");
    WatcherFixture watcher(platform);
    platform.waitForRequests(1);
    watcher.stop();
    CHECK(watcher.version() == 0);
}
