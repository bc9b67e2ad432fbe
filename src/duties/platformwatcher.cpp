#include "duties/platformwatcher.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/documentjson.h"

namespace mangoshift {

namespace {

constexpr std::chrono::milliseconds ConnectTimeout{1000};
/// The maximum time of a whole read. Exceeds the 10 s for which the platform holds a watch request
/// by little, because a lost response is noticed only after this time and a document has to be in
/// force within 13 s.
constexpr std::chrono::seconds ReadTimeout{11};
/// The maximum size of a response, in bytes. Four times the longest valid document, so that a
/// longer one is still reported as a document; the list of VMs has some 200 bytes for each VM.
constexpr HttpSizeLimits ResponseLimits{16U << 10U, 4 * MaxDocumentBytes};
/// The minimum interval between two reads of the configuration.
constexpr std::chrono::milliseconds MinReadInterval{100};
constexpr std::chrono::milliseconds InitialRetryDelay{250};
constexpr std::chrono::milliseconds MaxRetryDelay{8000};
/// The longest wait before the plan is read again.
constexpr std::chrono::milliseconds MaxPlanWait{1000};
/// How long a delivered document may wait for its check before it is read again.
constexpr std::chrono::milliseconds CheckTimeout{2000};
/// The estimated size of the status line and headers of a response, in bytes.
constexpr std::size_t ResponseOverheadBytes = 150;

Clock::duration scaled(std::chrono::milliseconds time, double factor)
{
    return std::chrono::duration_cast<Clock::duration>(time * factor);
}

} // namespace

PlatformWatcher::PlatformWatcher(Address address, PlatformSinks sinks, Metrics &metrics)
    : m_address(std::move(address))
    , m_sinks(std::move(sinks))
    , m_metrics(metrics)
    , m_bytesIn(metrics.controlBytes.Add({{"direction", "in"}, {"channel", "platform"}}))
    , m_random(std::random_device{}())
    , m_configReader(m_address, {ResponseLimits, ConnectTimeout, ReadTimeout})
    , m_listReader(m_address, {ResponseLimits, ConnectTimeout, ReadTimeout})
{
}

PlatformWatcher::~PlatformWatcher()
{
    stop();
}

void PlatformWatcher::start()
{
    m_configThread = std::thread([this] { watchConfig(); });
    m_listThread = std::thread([this] { pollVmLists(); });
}

void PlatformWatcher::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_all();
    m_configReader.abort();
    m_listReader.abort();
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
        hasFailed = !readConfig(afterVersion, deliveredVersion);
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
        hasFailed = !readVmList();
        retryDelay = hasFailed ? std::min(retryDelay * 2, MaxRetryDelay) : InitialRetryDelay;
        jitterFactor = randomJitterFactor();
        lastReadAt = Clock::now();
        nextReadAt = lastReadAt + scaled(retryDelay, jitterFactor);
    }
}

bool PlatformWatcher::readConfig(ConfigVersion afterVersion, ConfigVersion &deliveredVersion)
{
    auto response =
        read(m_configReader, "/v1/config?watch=1&after=" + std::to_string(afterVersion));
    if (!response)
        return false;
    if (response->status != 200)
        return response->status == 304;
    const std::string versionText(response->headers.value("config-version"));
    const ConfigVersion version = std::strtoull(versionText.c_str(), nullptr, 10);
    deliveredVersion = version;
    m_sinks.onDocument(version, std::move(response->body));
    return true;
}

bool PlatformWatcher::readVmList()
{
    const Clock::time_point requestedAt = Clock::now();
    auto response = read(m_listReader, "/v1/vms");
    if (!response || response->status != 200)
        return false;
    m_sinks.onVmList(std::move(response->body), requestedAt);
    return true;
}

std::optional<HttpResponse> PlatformWatcher::read(HttpClient &reader, const std::string &path)
{
    m_metrics.platformReads.Increment();
    HttpClient::Result result = reader.get(path);
    if (result.end == HttpClient::End::Responded) {
        m_bytesIn.Increment(
            static_cast<double>(result.response.body.size() + ResponseOverheadBytes));
        return std::move(result.response);
    }
    // Reads that fail are repeated ever more rarely, which also bounds these lines.
    if (const std::string why(rejectionReason(result.end)); !why.empty()) {
        m_metrics.platformAnswersRejected.Add({{"why", why}}).Increment();
        logEvent(LogLevel::Warning, "platform_answer_rejected",
                 {{"path", path.substr(0, path.find('?'))}, {"why", why}});
    }
    return std::nullopt;
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
