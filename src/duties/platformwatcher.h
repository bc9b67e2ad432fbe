#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>

#include "base/address.h"
#include "base/metrics.h"
#include "http/httpclient.h"
#include "mangoshift/clock.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// What a VM reads from the platform, and how often.
struct PlatformPlan
{
    /// Whether to read configuration documents at all.
    bool shouldReadConfig = false;
    /// Whether to watch continuously rather than read once in each `configInterval`.
    bool isWatching = false;
    /// Only versions after this one are requested.
    ConfigVersion afterVersion = 0;
    std::chrono::milliseconds configInterval{60000};
    std::chrono::milliseconds listInterval{1000};

    bool operator==(const PlatformPlan &) const = default;
};

/// Receives the platform's responses. Called on the watcher's threads.
struct PlatformSinks
{
    std::function<void(ConfigVersion, std::string)> onDocument;
    std::function<void(std::string, Clock::time_point requestedAt)> onVmList;
};

/// Reads the platform's configuration and its list of VMs, each on its own thread, because its
/// client blocks. A response that is too large, too slow or not HTTP is rejected, logged and
/// counted. Failed reads are retried with exponential backoff and jitter, except that a VM
/// that does not watch reads the configuration again only after `PlatformPlan::configInterval`.
class PlatformWatcher
{
public:
    PlatformWatcher(Address address, PlatformSinks sinks, Metrics &metrics);
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void start();
    void stop();
    /// Safe to call from any thread.
    void setPlan(const PlatformPlan &plan);

private:
    void watchConfig();
    void pollVmLists();
    /// Reads the configuration. Returns false on failure. Sets `deliveredVersion` to the version of
    /// a document that was delivered to the sink.
    bool readConfig(ConfigVersion afterVersion, ConfigVersion &deliveredVersion);
    bool readVmList();
    /// Returns the response to a GET, of any status, or no value if there is none.
    std::optional<HttpResponse> read(HttpClient &reader, const std::string &path);
    /// Waits until the time that `dueTime` returns for the current plan. Returns false if the
    /// watcher is stopping.
    bool waitUntil(const std::function<Clock::time_point(const PlatformPlan &)> &dueTime);
    double randomJitterFactor();

    Address m_address;
    PlatformSinks m_sinks;
    Metrics &m_metrics;
    prometheus::Counter &m_bytesIn;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    PlatformPlan m_plan;
    bool m_isStopping = false;
    std::mt19937 m_random;
    HttpClient m_configReader;
    HttpClient m_listReader;
    std::thread m_configThread;
    std::thread m_listThread;
};

} // namespace mangoshift
