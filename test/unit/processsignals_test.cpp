#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

#include "app/processsignals.h"

using namespace mangoshift;

namespace {

/// Returns whether `waitForStop` returns. If it does not, its thread is left behind. Otherwise the
/// thread no longer holds `signals`, which would keep the next test from handling signals.
bool stopsInTime(const std::shared_ptr<ProcessSignals> &signals)
{
    const auto hasStopped = std::make_shared<std::promise<void>>();
    std::future<void> stopped = hasStopped->get_future();
    std::thread thread([signals, hasStopped] {
        signals->waitForStop();
        hasStopped->set_value();
    });
    const bool isStopped = stopped.wait_for(std::chrono::seconds(20)) == std::future_status::ready;
    if (isStopped)
        thread.join();
    else
        thread.detach();
    return isStopped;
}

} // namespace

// Guards against a process that ignores SIGTERM for good because another event, such as SIGHUP, is
// handled in the same turn of the event loop, as after a freeze.
TEST_CASE("A process that gets several signals at once stops")
{
    const std::string path = std::filesystem::temp_directory_path() / "mangoshift-signals-test";
    std::ofstream(path) << "{}";
    const auto reloads = std::make_shared<std::atomic<int>>(0);
    const auto signals = std::make_shared<ProcessSignals>(path, [reloads] { ++*reloads; });

    SECTION("if SIGHUP follows SIGTERM")
    {
        std::raise(SIGTERM);
        std::raise(SIGHUP);
        CHECK(stopsInTime(signals));
    }
    SECTION("if SIGHUP precedes SIGTERM, and the settings are reloaded")
    {
        std::raise(SIGHUP);
        std::raise(SIGTERM);
        CHECK(stopsInTime(signals));
        CHECK(*reloads == 1);
    }
    SECTION("if the settings file has changed too")
    {
        std::ofstream(path) << "{ }";
        std::raise(SIGTERM);
        std::raise(SIGHUP);
        std::raise(SIGTERM);
        CHECK(stopsInTime(signals));
    }
}
