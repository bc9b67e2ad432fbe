// The actions of a plan, as the cluster performs them.

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include "soak/cluster.h"
#include "soak/clusteraddresses.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;
using testing::Process;

/// The delay of a slow link, in one direction.
constexpr milliseconds LinkDelay{150};
/// The warm-up time that a newly started target announces in its entry.
constexpr int WarmupMs = 1000;
constexpr milliseconds EndPollInterval{10};

} // namespace

void Cluster::apply(const SignalVm &action)
{
    if (action.signal == SIGTERM || action.signal == SIGKILL)
        m_isStopExpected[action.vm] = true;
    m_vms.at(action.vm)->signal(action.signal);
    m_signalledAt[action.vm] = Clock::now();
}

void Cluster::apply(const RestartVm &action)
{
    Process &process = *m_vms.at(action.vm);
    const std::string name = "VM " + std::to_string(action.vm);
    VmEnd end{action.vm, m_signalledAt.at(action.vm), m_signalledAt.at(action.vm)};
    // On a busy machine the signal may have been sent later than planned, and the kernel may take a
    // while to end a killed process.
    for (Clock::time_point now = Clock::now(); !process.hasEnded(); now = Clock::now()) {
        end.lastRunning = now;
        if (end.lastRunning - end.signalledAt > m_evidence.bounds.grace)
            process.signal(SIGKILL);
        std::this_thread::sleep_for(EndPollInterval);
    }
    m_evidence.vmEnds.push_back(end);
    const int status = process.wait();
    if (status != 0 && status != -SIGKILL)
        m_evidence.processFaults.push_back(name + " ended with status " + std::to_string(status));
    startVm(action.vm);
}

Json Cluster::makeLinkRules(SetVmLink::State state, const std::string &ip)
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
    case State::BlockedToEndpoint:
        return {rule(true, blocked)};
    case State::BlockedFromEndpoint:
        return {rule(false, blocked)};
    case State::Cut:
        return {rule(true, {{"mode", "cut"}})};
    case State::Slow:
        return {rule(true, {{"delay_ms", LinkDelay.count()}})};
    }
    return Json::array();
}

void Cluster::apply(const SetVmLink &action)
{
    const bool isStore = action.side == SetVmLink::Side::Store;
    const std::string ip = isStore ? makeAddress(StoreSubnet, 1, StorePort).ip
                                   : makeAddress(VmSubnet, action.vm + 1, CallerPort).ip;
    sendCommandOrThrow(makeAddress(VmRelaySubnet, action.vm + 1, RelayControlPort), "PUT", "/rules",
                       makeLinkRules(action.state, ip).dump());
}

void Cluster::apply(const SilenceVmConnections &action)
{
    sendCommandOrThrow(makeAddress(VmRelaySubnet, action.vm + 1, RelayControlPort), "PUT",
                       "/silence", "");
}

void Cluster::apply(const SetStoreMode &action)
{
    runOrDefer([this, mode = action.mode] {
        sendCommandOrThrow(storeControlAddress(), "POST", "/mode", mode);
    });
}

void Cluster::apply(const SignalStore &action)
{
    m_store->signal(action.signal);
    m_isStoreFrozen = action.signal == SIGSTOP;
    if (m_isStoreFrozen)
        return;
    for (const auto &command : std::exchange(m_deferredCommands, {}))
        command();
}

void Cluster::apply(const SignalTargets &action)
{
    for (const auto &process : m_groups.at(action.group).processes)
        process->signal(action.signal);
}

void Cluster::apply(const RestartTargets &action)
{
    TargetGroup &group = m_groups.at(action.group);
    for (GroupTarget &target : group.targets) {
        removeRegistration(target);
        target.id = newTargetId(target.service);
        target.sequence = 0;
        target.isStopped = false;
        m_evidence.groupByTarget[target.id] = action.group;
    }
    startTargets(action.group);
    for (GroupTarget &target : group.targets)
        registerTarget(action.group, target, "ready", WarmupMs);
}

void Cluster::apply(const SetTargetLink &action)
{
    Json rules = Json::array();
    for (const GroupTarget &target : m_groups.at(action.group).targets)
        for (const Json &rule :
             makeLinkRules(action.state, targetAddress(action.group, target, false).ip))
            rules.push_back(rule);
    sendCommandOrThrow(
        makeAddress(FirstTargetRelaySubnet + action.group, RelayControlHost, RelayControlPort),
        "PUT", "/rules", rules.dump());
}

void Cluster::apply(const SilenceTargetConnections &action)
{
    sendCommandOrThrow(
        makeAddress(FirstTargetRelaySubnet + action.group, RelayControlHost, RelayControlPort),
        "PUT", "/silence", "");
}

void Cluster::apply(const SetTargetMode &action)
{
    const GroupTarget &target =
        m_groups.at(action.group).targets.at(static_cast<std::size_t>(action.target));
    sendCommandOrThrow(targetControlAddress(action.group, isPooled(target)), "POST",
                       "/mode?" + target.id, action.mode);
}

void Cluster::apply(const DrainTarget &action)
{
    GroupTarget &target =
        m_groups.at(action.group).targets.at(static_cast<std::size_t>(action.target));
    registerTarget(action.group, target, "draining", 0);
}

void Cluster::apply(const StopTarget &action)
{
    GroupTarget &target =
        m_groups.at(action.group).targets.at(static_cast<std::size_t>(action.target));
    sendCommandOrThrow(targetControlAddress(action.group, isPooled(target)), "POST",
                       "/end?" + target.id, "");
    removeRegistration(target);
    target.isStopped = true;
}

void Cluster::apply(const ReplaceTarget &action)
{
    std::vector<GroupTarget> &targets = m_groups.at(action.group).targets;
    GroupTarget &target = targets.at(static_cast<std::size_t>(action.target));
    const std::string old = target.id;
    const bool wasPooled = isPooled(target);
    // A process runs either shards or pooled services, so the other service is of the same kind.
    if (action.isOtherService) {
        const auto other =
            std::find_if(targets.begin(), targets.end(), [&](const GroupTarget &each) {
                return isPooled(each) == wasPooled && each.service != target.service;
            });
        target.service = other == targets.end() ? target.service : other->service;
    }
    target.id = newTargetId(target.service);
    target.sequence = 0;
    target.isStopped = false;
    m_evidence.groupByTarget[target.id] = action.group;
    sendCommandOrThrow(targetControlAddress(action.group, wasPooled), "POST", "/replace?" + old,
                       target.id + "=" + target.service);
    registerTarget(action.group, target, "ready", WarmupMs);
}

void Cluster::apply(const PublishNextConfig &)
{
    runOrDefer([this] { publishNextConfig(); });
}

void Cluster::publishNextConfig()
{
    const Json document = makeDocument(m_version);
    PublishedConfig published;
    published.version = document.at("version");
    for (const Json &shard : document.at("routes").at(0).at("fanout_services"))
        published.shards.insert(shard.get<std::string>());
    published.movingService = movingService(m_version);
    ++m_version;
    published.sentAt = Clock::now();
    sendCommandOrThrow(storeControlAddress(), "PUT", "/item?op/config", document.dump());
    published.acknowledgedAt = Clock::now();
    m_evidence.published.push_back(std::move(published));
}

void Cluster::apply(const ChangeSettings &action)
{
    Json &settings = m_settings.at(action.vm);
    settings["reply_margin_ms"] = settings.value("reply_margin_ms", 10) == 10 ? 12 : 10;
    writeSettings(action.vm);
    if (action.sendsSighup)
        m_vms.at(action.vm)->signal(SIGHUP);
}

void Cluster::apply(const SetLoadFactor &action)
{
    m_loadFactor = action.factor;
}

} // namespace mangoshift::soak
