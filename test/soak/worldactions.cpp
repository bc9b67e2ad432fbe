// How the world performs the actions of a plan.

#include <algorithm>
#include <csignal>
#include <utility>

#include "soak/world.h"
#include "soak/worldaddresses.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;
using testing::Process;

constexpr milliseconds LinkDelay{150};
/// How long a server that has just started says that it will be slow.
constexpr int WarmupMs = 1000;

} // namespace

void World::act(const SignalVm &action)
{
    if (action.signal == SIGTERM || action.signal == SIGKILL)
        m_isToldToStop[action.vm] = true;
    m_vms.at(action.vm)->signal(action.signal);
}

void World::act(const RestartVm &action)
{
    Process &process = *m_vms.at(action.vm);
    const std::string name = "VM " + std::to_string(action.vm);
    if (!process.hasEnded()) {
        m_known.processFaults.push_back(name + " still runs after its grace");
        process.signal(SIGKILL);
    }
    const int status = process.wait();
    if (status != 0 && status != -SIGKILL)
        m_known.processFaults.push_back(name + " ended with status " + std::to_string(status));
    startVm(action.vm);
}

Json World::linkRules(SetVmLink::State state, const std::string &ip)
{
    using State = SetVmLink::State;
    const auto rule = [&ip](bool isTo, const Json &more) {
        Json json{{"from", isTo ? "*" : ip}, {"to", isTo ? ip : "*"}};
        json.update(more);
        return json;
    };
    const Json blocked{{"mode", "block"}};
    switch (state) {
    case State::Open:
        return Json::array();
    case State::Blocked:
        return {rule(true, blocked), rule(false, blocked)};
    case State::BlockedToVm:
        return {rule(true, blocked)};
    case State::BlockedFromVm:
        return {rule(false, blocked)};
    case State::Cut:
        return {rule(true, {{"mode", "cut"}})};
    case State::Slow:
        return {rule(true, {{"delay_ms", LinkDelay.count()}})};
    }
    return Json::array();
}

void World::act(const SetVmLink &action)
{
    const bool isStore = action.side == SetVmLink::Side::Store;
    const std::string ip =
        isStore ? at(StoreNetwork, 1, StorePort).ip : at(VmNetwork, action.vm + 1, CallerPort).ip;
    mustObey(at(VmRelayNetwork, action.vm + 1, ControlPort), "PUT", "/rules",
             linkRules(action.state, ip).dump());
}

void World::act(const SilenceVmLinks &action)
{
    mustObey(at(VmRelayNetwork, action.vm + 1, ControlPort), "PUT", "/silence", "");
}

void World::act(const SetStore &action)
{
    whenStoreAnswers(
        [this, mode = action.mode] { mustObey(storeOrders(), "POST", "/mode", mode); });
}

void World::act(const SignalStore &action)
{
    m_store->signal(action.signal);
    m_isStoreFrozen = action.signal == SIGSTOP;
    if (m_isStoreFrozen)
        return;
    for (const auto &order : std::exchange(m_deferred, {}))
        order();
}

void World::act(const SignalServers &action)
{
    for (const auto &process : m_groups.at(action.group).processes)
        process->signal(action.signal);
}

void World::act(const RestartServers &action)
{
    ServerGroup &group = m_groups.at(action.group);
    for (ServerSlot &slot : group.slots) {
        withdraw(slot);
        slot.id = newServerId(slot.service);
        slot.sequence = 0;
        slot.isGone = false;
        m_known.groupOf[slot.id] = action.group;
    }
    startServers(action.group);
    for (ServerSlot &slot : group.slots)
        announce(action.group, slot, "ready", WarmupMs);
}

void World::act(const SetServerLink &action)
{
    Json rules = Json::array();
    for (const ServerSlot &slot : m_groups.at(action.group).slots)
        for (const Json &rule :
             linkRules(action.state, serverAddress(action.group, slot, false).ip))
            rules.push_back(rule);
    mustObey(at(FirstServerRelayNetwork + action.group, RelayControl, ControlPort), "PUT", "/rules",
             rules.dump());
}

void World::act(const SilenceServerLinks &action)
{
    mustObey(at(FirstServerRelayNetwork + action.group, RelayControl, ControlPort), "PUT",
             "/silence", "");
}

void World::act(const SetServerMode &action)
{
    const ServerSlot &slot =
        m_groups.at(action.group).slots.at(static_cast<std::size_t>(action.server));
    mustObey(serverOrders(action.group, isPooled(slot)), "POST", "/mode?" + slot.id, action.mode);
}

void World::act(const DrainServer &action)
{
    ServerSlot &slot = m_groups.at(action.group).slots.at(static_cast<std::size_t>(action.server));
    announce(action.group, slot, "draining", 0);
}

void World::act(const EndServer &action)
{
    ServerSlot &slot = m_groups.at(action.group).slots.at(static_cast<std::size_t>(action.server));
    mustObey(serverOrders(action.group, isPooled(slot)), "POST", "/end?" + slot.id, "");
    withdraw(slot);
    slot.isGone = true;
}

void World::act(const ReplaceServer &action)
{
    std::vector<ServerSlot> &slots = m_groups.at(action.group).slots;
    ServerSlot &slot = slots.at(static_cast<std::size_t>(action.server));
    const std::string old = slot.id;
    const bool wasPooled = isPooled(slot);
    // A process plays either shards or pooled services, so it is another of the same sort.
    if (action.isOther) {
        const auto other = std::find_if(slots.begin(), slots.end(), [&](const ServerSlot &each) {
            return isPooled(each) == wasPooled && each.service != slot.service;
        });
        slot.service = other == slots.end() ? slot.service : other->service;
    }
    slot.id = newServerId(slot.service);
    slot.sequence = 0;
    slot.isGone = false;
    m_known.groupOf[slot.id] = action.group;
    mustObey(serverOrders(action.group, wasPooled), "POST", "/replace?" + old,
             slot.id + "=" + slot.service);
    announce(action.group, slot, "ready", WarmupMs);
}

void World::act(const PublishNext &)
{
    whenStoreAnswers([this] { publishNext(); });
}

void World::publishNext()
{
    const Json document = documentOf(m_version);
    Published published;
    published.version = document.at("version");
    for (const Json &shard : document.at("routes").at(0).at("fanout_services"))
        published.shards.insert(shard.get<std::string>());
    published.movingService = movingService(m_version);
    ++m_version;
    published.sentAt = Clock::now();
    mustObey(storeOrders(), "PUT", "/item?op/config", document.dump());
    published.acknowledgedAt = Clock::now();
    m_known.published.push_back(std::move(published));
}

void World::act(const ChangeSettings &action)
{
    Json &settings = m_settings.at(action.vm);
    settings["reply_margin_ms"] = settings.value("reply_margin_ms", 10) == 10 ? 12 : 10;
    writeSettings(action.vm);
    if (action.hasSignal)
        m_vms.at(action.vm)->signal(SIGHUP);
}

void World::act(const SetPressure &action)
{
    m_pressure = action.factor;
}

} // namespace mangoshift::soak
