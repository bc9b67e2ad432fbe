#pragma once

#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>

#include "base/address.h"
#include "base/metrics.h"
#include "mangoshift/clock.h"
#include "mangoshift/document.h"

namespace mangoshift {

/// How a VM reads the platform at present.
struct PlatformPlan
{
    /// Whether documents are read at all.
    bool shouldReadConfig = false;
    /// Whether it watches without a break, or reads once in each `configInterval`.
    bool isWatching = false;
    /// Only later versions are of interest.
    ConfigVersion afterVersion = 0;
    std::chrono::milliseconds configInterval{60000};
    std::chrono::milliseconds listInterval{1000};

    bool operator==(const PlatformPlan &) const = default;
};

/// Where the platform's answers go. Called on the watcher's threads.
struct PlatformSinks
{
    std::function<void(ConfigVersion, std::string)> onDocument;
    std::function<void(std::string, Clock::time_point requestedAt)> onVmList;
};

/// Reads the platform's configuration and its list of VMs, each on a thread of its own, since the
/// client blocks. Failed reads are tried again after pauses that grow.
class PlatformWatcher
{
public:
    PlatformWatcher(Address address, PlatformSinks sinks, Metrics &metrics);
    ~PlatformWatcher();
    PlatformWatcher(const PlatformWatcher &) = delete;
    PlatformWatcher &operator=(const PlatformWatcher &) = delete;

    void start();
    void stop();
    /// May be called from any thread.
    void setPlan(const PlatformPlan &plan);

private:
    class Reader;

    void watchConfig();
    void pollVmLists();
    void onThreadFinished();
    /// Sets `deliveredVersion` to the version of a document that it passed on.
    bool readConfig(Reader &reader, ConfigVersion afterVersion, ConfigVersion &deliveredVersion);
    bool readVmList(Reader &reader);
    /// Waits until `dueTime` says so of the present plan, or the end. Returns false at the end.
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
    int m_runningThreads = 0;
    std::mt19937 m_random;
    std::unique_ptr<Reader> m_configReader;
    std::unique_ptr<Reader> m_listReader;
    std::thread m_configThread;
    std::thread m_listThread;
};

} // namespace mangoshift
