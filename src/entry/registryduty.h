#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <asio/basic_waitable_timer.hpp>

#include "base/duty.h"
#include "duties/messages.h"
#include "entry/entrysettings.h"
#include "entry/storeconnection.h"
#include "entry/wireadapter.h"
#include "mangoshift/routing.h"
#include "mangoshift/storefollower.h"
#include "mangoshift/targetregistry.h"

namespace mangoshift {

/// Where the registry duty hands on what it has learnt.
struct RegistrySinks
{
    std::function<void(RoutingTablePtr)> onRouting;
    std::function<void(std::vector<RegistryChange>)> onTargets;
    /// The registry has been read whole for the first time.
    std::function<void()> onListed;
    /// One read of the store, by its outcome: `ok`, `refused`, `failed` or `history_gone`.
    std::function<void(const char *outcome, Clock::duration)> onRead;
};

/// The duty that follows the store: the configuration in force, and which targets there are.
///
/// Puts a configuration in force only if its version is greater than the last, whoever brought it.
class RegistryDuty
{
public:
    RegistryDuty(const EntrySettings &settings, const WireAdapter &adapter, RegistrySinks sinks);
    ~RegistryDuty();
    RegistryDuty(const RegistryDuty &) = delete;
    RegistryDuty &operator=(const RegistryDuty &) = delete;

    void start();
    void stop() { m_duty.stop(); }
    /// Asks for this duty's part of the state dump. Returns false where its ring is full.
    bool requestState(StateRequest request) { return m_duty.tryPost(std::move(request)); }

private:
    using Message = std::variant<StateRequest>;

    void perform(const StoreStep &step);
    void ask(const std::string &target, std::chrono::milliseconds timeout, bool isListing);
    void onResult(const StoreConnection::Result &result, bool isListing);
    void onPage(const StoreAnswer &answer);
    void onAnswer();
    void onFailure(const std::string &why);
    void take(const StoreEntry &entry);
    void publish(std::vector<RegistryChange> changes);
    void armExpiry();
    std::string stateJson() const;

    EntrySettings m_settings;
    const WireAdapter &m_adapter;
    RegistrySinks m_sinks;
    Duty<Message> m_duty;
    StoreConnection m_connection;
    StoreFollower m_follower;
    TargetRegistry m_registry;
    asio::basic_waitable_timer<Clock> m_waitTimer;
    asio::basic_waitable_timer<Clock> m_expiryTimer;
    RoutingTablePtr m_routing;
    std::vector<RegisteredTarget> m_listed;
    Clock::time_point m_askedAt{};
    Clock::time_point m_awaySince{};
    bool m_hasListed = false;
};

} // namespace mangoshift
