#include "entry/registryduty.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "http/httpstatus.h"

namespace mangoshift {

namespace {

constexpr std::size_t RingCapacity = 64;
/// How long one listing call may take: the store answers in 4 ms, and in some 200 ms when slow.
constexpr std::chrono::milliseconds ListTimeout{1500};
/// What an answer to a watch may take beyond the wait that was asked for.
constexpr std::chrono::milliseconds WatchSlack{700};
/// How long removals wait after an outage of the store. The platform promises that entries which
/// lapsed meanwhile are back within about two seconds if the target lives.
constexpr std::chrono::milliseconds ReturnGrace{2300};

} // namespace

RegistryDuty::RegistryDuty(const EntrySettings &settings, const WireAdapter &adapter,
                           RegistrySinks sinks)
    : m_settings(settings)
    , m_adapter(adapter)
    , m_sinks(std::move(sinks))
    , m_duty("registry", RingCapacity)
    , m_connection(m_duty.io(), settings.storeAddress)
    , m_registry(ReturnGrace)
    , m_waitTimer(m_duty.io())
    , m_expiryTimer(m_duty.io())
{
}

RegistryDuty::~RegistryDuty()
{
    stop();
}

void RegistryDuty::start()
{
    asio::post(m_duty.io(), [this] { perform(m_follower.start()); });
    m_duty.start([this](Message &message) {
        std::visit(Overloaded{[this](StateRequest &request) { request.reply(stateJson()); }},
                   message);
    });
}

void RegistryDuty::perform(const StoreStep &step)
{
    std::visit(Overloaded{[this](const ReadPage &page) {
                              if (page.afterKey.empty())
                                  m_listed.clear();
                              ask(m_adapter.listTarget(page.afterKey), ListTimeout, true);
                          },
                          [this](const WatchChanges &watch) {
                              ask(m_adapter.watchTarget(watch.revision, m_settings.watchWait),
                                  m_settings.watchWait + WatchSlack, false);
                          },
                          [this](const WaitBeforeNext &wait) {
                              m_waitTimer.expires_after(wait.delay);
                              m_waitTimer.async_wait([this](const asio::error_code &error) {
                                  if (!error)
                                      perform(m_follower.onWaited());
                              });
                          }},
               step);
}

void RegistryDuty::ask(const std::string &target, std::chrono::milliseconds timeout, bool isListing)
{
    m_askedAt = Clock::now();
    m_connection.get(target, timeout, [this, isListing](const StoreConnection::Result &result) {
        onResult(result, isListing);
    });
}

void RegistryDuty::onResult(const StoreConnection::Result &result, bool isListing)
{
    const Clock::duration took = Clock::now() - m_askedAt;
    if (!result) {
        m_sinks.onRead("failed", took);
        onFailure(result.error());
        return;
    }
    if (result->status == httpstatus::Gone) {
        m_sinks.onRead("history_gone", took);
        logEvent(LogLevel::Warning, "store_history_gone",
                 {{"revision", std::to_string(m_follower.revision())}});
        perform(m_follower.onHistoryGone());
        return;
    }
    if (result->status != httpstatus::Ok
        && !(isListing && result->status == httpstatus::NotFound)) {
        m_sinks.onRead("refused", took);
        onFailure("status " + std::to_string(result->status));
        return;
    }
    const auto answer =
        isListing ? m_adapter.parseListing(result->body) : m_adapter.parseChanges(result->body);
    if (!answer) {
        m_sinks.onRead("failed", took);
        onFailure(answer.error());
        return;
    }
    m_sinks.onRead("ok", took);
    if (isListing) {
        onPage(*answer);
        return;
    }
    const StoreStep step = m_follower.onChanges(answer->revision, !answer->entries.empty());
    onAnswer();
    for (const StoreEntry &entry : answer->entries)
        take(entry);
    perform(step);
}

void RegistryDuty::onPage(const StoreAnswer &answer)
{
    const StoreStep step = m_follower.onPage(answer.revision, !answer.isTruncated, answer.lastKey);
    onAnswer();
    for (const StoreEntry &entry : answer.entries) {
        if (const auto *target = std::get_if<RegisteredTarget>(&entry.value))
            m_listed.push_back(*target);
        else
            take(entry);
    }
    if (!m_follower.isListing()) {
        publish(m_registry.replaceAll(m_listed, Clock::now()));
        armExpiry();
        m_listed.clear();
        if (!std::exchange(m_hasListed, true))
            m_sinks.onListed();
    }
    perform(step);
}

void RegistryDuty::onAnswer()
{
    if (!m_follower.takeIsBack())
        return;
    const Clock::time_point now = Clock::now();
    m_registry.onStoreBack(now);
    logEvent(
        LogLevel::Info, "store_regained",
        {{"away_ms",
          std::to_string(
              std::chrono::duration_cast<std::chrono::milliseconds>(now - m_awaySince).count())},
         {"revision", std::to_string(m_follower.revision())}});
}

void RegistryDuty::onFailure(const std::string &why)
{
    if (!m_follower.isAway()) {
        m_awaySince = Clock::now();
        logEvent(LogLevel::Warning, "store_lost",
                 {{"why", why}, {"revision", std::to_string(m_follower.revision())}});
    }
    perform(m_follower.onFailure());
}

void RegistryDuty::take(const StoreEntry &entry)
{
    std::visit(
        Overloaded{[this](const RoutingDocument &document) {
                       if (m_routing && document.version <= m_routing->version())
                           return;
                       m_routing = std::make_shared<const RoutingTable>(document);
                       logEvent(LogLevel::Info, "configuration_adopted",
                                {{"version", std::to_string(document.version)},
                                 {"routes", std::to_string(document.routes.size())}});
                       m_sinks.onRouting(m_routing);
                   },
                   [this](const RegisteredTarget &target) { publish(m_registry.put(target)); },
                   [this, &entry](const UnreadableEntry &unreadable) {
                       logEvent(LogLevel::Warning, "entry_rejected",
                                {{"key", entry.key}, {"why", unreadable.why}});
                       if (!entry.targetId.empty())
                           publish(m_registry.remove(entry.targetId, Clock::now()));
                   },
                   [this, &entry](const RemovedEntry &) {
                       if (!entry.targetId.empty())
                           publish(m_registry.remove(entry.targetId, Clock::now()));
                   }},
        entry.value);
    armExpiry();
}

void RegistryDuty::publish(std::vector<RegistryChange> changes)
{
    if (!changes.empty())
        m_sinks.onTargets(std::move(changes));
}

void RegistryDuty::armExpiry()
{
    const auto next = m_registry.nextExpiry();
    if (!next)
        return;
    m_expiryTimer.expires_at(*next);
    m_expiryTimer.async_wait([this](const asio::error_code &error) {
        if (!error)
            publish(m_registry.expire(Clock::now()));
    });
}

std::string RegistryDuty::stateJson() const
{
    nlohmann::json state;
    state["revision"] = m_follower.revision();
    state["store_away"] = m_follower.isAway();
    state["config_version"] = m_routing ? m_routing->version() : 0;
    state["held_removals"] = m_registry.heldRemovals();
    for (const auto &[id, target] : m_registry.targets())
        state["targets"][id] = {{"service", target.service},
                                {"address", target.address},
                                {"failure_domain", target.failureDomain},
                                {"draining", target.isDraining}};
    return state.dump();
}

} // namespace mangoshift
