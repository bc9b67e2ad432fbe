#include "duties/platformwatcher.h"

#include <algorithm>
#include <utility>

#include <httplib.h>

namespace mangoshift {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
/// Exceeds the 10 s for which the platform holds a watch request by little, because a lost response
/// is noticed only after this time and a document has to be in force within 13 s.
constexpr std::chrono::seconds WatchTimeout{11};
/// The minimum interval between two reads of the configuration.
constexpr std::chrono::milliseconds MinReadInterval{100};
constexpr std::chrono::milliseconds InitialRetryDelay{250};
constexpr std::chrono::milliseconds MaxRetryDelay{8000};
/// The longest wait before the plan is read again.
constexpr std::chrono::milliseconds MaxPlanWait{1000};
/// How long a delivered document may wait for its check before it is read again.
constexpr std::chrono::milliseconds CheckTimeout{2000};
constexpr std::chrono::milliseconds StopRetryInterval{10};
/// The estimated size of the status line and headers of a response, in bytes.
constexpr std::size_t ResponseOverheadBytes = 150;

Clock::duration scaled(std::chrono::milliseconds time, double factor)
{
    return std::chrono::duration_cast<Clock::duration>(time * factor);
}

} // namespace

/// An HTTP connection to the platform whose requests another thread can abort.
class PlatformWatcher::Reader
{
public:
    explicit Reader(const Address &address)
        : m_client(address.ip, address.port)
    {
        m_client.set_connection_timeout(ConnectTimeout);
        m_client.set_read_timeout(WatchTimeout);
    }

    httplib::Result get(const std::string &path) { return m_client.Get(path.c_str()); }
    void stop() { m_client.stop(); }

private:
    httplib::Client m_client;
};

PlatformWatcher::PlatformWatcher(Address address, PlatformSinks sinks, Metrics &metrics)
    : m_address(std::move(address))
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_bytesIn(metrics.controlBytes.Add({{"direction", "in"}, {"channel", "platform"}}))
    , m_random(std::random_device{}())
    , m_configReader(std::make_unique<Reader>(m_address))
    , m_listReader(std::make_unique<Reader>(m_address))
{
}

PlatformWatcher::~PlatformWatcher()
{
    stop();
}

void PlatformWatcher::start()
{
    m_runningThreads = 2;
    m_configThread = std::thread([this] {
        watchConfig();
        onThreadFinished();
    });
    m_listThread = std::thread([this] {
        pollVmLists();
        onThreadFinished();
    });
}

void PlatformWatcher::onThreadFinished()
{
    const std::lock_guard lock(m_mutex);
    --m_runningThreads;
    m_wake.notify_all();
}

void PlatformWatcher::stop()
{
    {
        std::unique_lock lock(m_mutex);
        m_isStopping = true;
        m_wake.notify_all();
        // Repeated, because a request that is just starting does not notice the first stop.
        while (m_runningThreads > 0) {
            m_configReader->stop();
            m_listReader->stop();
            m_wake.wait_for(lock, StopRetryInterval);
        }
    }
    if (m_configThread.joinable())
        m_configThread.join();
    if (m_listThread.joinable())
        m_listThread.join();
}

void PlatformWatcher::setPlan(const PlatformPlan &plan)
{
    {
        const std::lock_guard lock(m_mutex);
        if (plan == m_plan)
            return;
        m_plan = plan;
    }
    m_wake.notify_all();
}

void PlatformWatcher::watchConfig()
{
    Clock::time_point lastReadAt = Clock::now();
    std::chrono::milliseconds retryDelay = InitialRetryDelay;
    // Spreads the first reads of VMs that do not watch, so that they do not read all at once.
    double jitterFactor = randomJitterFactor() - 0.5;
    bool hasFailed = false;
    ConfigVersion deliveredVersion = 0;
    const auto dueTime = [&](const PlatformPlan &plan) {
        if (!plan.shouldReadConfig)
            return Clock::time_point::max();
        if (hasFailed && plan.isWatching)
            return lastReadAt + scaled(retryDelay, jitterFactor);
        if (!plan.isWatching)
            return lastReadAt + scaled(plan.configInterval, jitterFactor);
        return lastReadAt + (deliveredVersion > plan.afterVersion ? CheckTimeout : MinReadInterval);
    };
    while (waitUntil(dueTime)) {
        ConfigVersion afterVersion = 0;
        {
            const std::lock_guard lock(m_mutex);
            afterVersion = m_plan.afterVersion;
        }
        hasFailed = !readConfig(*m_configReader, afterVersion, deliveredVersion);
        retryDelay = hasFailed ? std::min(retryDelay * 2, MaxRetryDelay) : InitialRetryDelay;
        jitterFactor = randomJitterFactor();
        lastReadAt = Clock::now();
    }
}

void PlatformWatcher::pollVmLists()
{
    Clock::time_point nextReadAt = Clock::now();
    std::chrono::milliseconds retryDelay = InitialRetryDelay;
    Clock::time_point lastReadAt = Clock::now() - MaxRetryDelay;
    double jitterFactor = 1;
    bool hasFailed = false;
    const auto dueTime = [&](const PlatformPlan &plan) {
        return hasFailed ? nextReadAt : lastReadAt + scaled(plan.listInterval, jitterFactor);
    };
    while (waitUntil(dueTime)) {
        hasFailed = !readVmList(*m_listReader);
        retryDelay = hasFailed ? std::min(retryDelay * 2, MaxRetryDelay) : InitialRetryDelay;
        jitterFactor = randomJitterFactor();
        lastReadAt = Clock::now();
        nextReadAt = lastReadAt + scaled(retryDelay, jitterFactor);
    }
}

bool PlatformWatcher::readConfig(Reader &reader, ConfigVersion afterVersion,
                                 ConfigVersion &deliveredVersion)
{
    m_metrics.platformReads.Increment();
    const auto result = reader.get("/v1/config?watch=1&after=" + std::to_string(afterVersion));
    if (!result)
        return false;
    m_bytesIn.Increment(static_cast<double>(result->body.size() + ResponseOverheadBytes));
    if (result->status != 200)
        return result->status == 304;
    const ConfigVersion version =
        std::strtoull(result->get_header_value("Config-Version").c_str(), nullptr, 10);
    deliveredVersion = version;
    m_sinks.onDocument(version, result->body);
    return true;
}

bool PlatformWatcher::readVmList(Reader &reader)
{
    const Clock::time_point requestedAt = Clock::now();
    m_metrics.platformReads.Increment();
    const auto result = reader.get("/v1/vms");
    if (!result)
        return false;
    m_bytesIn.Increment(static_cast<double>(result->body.size() + ResponseOverheadBytes));
    if (result->status != 200)
        return false;
    m_sinks.onVmList(result->body, requestedAt);
    return true;
}

bool PlatformWatcher::waitUntil(
    const std::function<Clock::time_point(const PlatformPlan &)> &dueTime)
{
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        const Clock::time_point now = Clock::now();
        const Clock::time_point at = dueTime(m_plan);
        if (at <= now)
            return true;
        m_wake.wait_for(lock, std::min<Clock::duration>(at - now, MaxPlanWait));
    }
    return false;
}

double PlatformWatcher::randomJitterFactor()
{
    const std::lock_guard lock(m_mutex);
    return std::uniform_real_distribution<double>(0.8, 1.2)(m_random);
}

} // namespace mangoshift
