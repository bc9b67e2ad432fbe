#include "soak/cluster.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <stdexcept>
#include <thread>
#include <utility>

#include <httplib.h>
#include <unistd.h>

#include "soak/clusteraddresses.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;
using testing::Process;

/// How long a stand-in may take to start, and a VM to become ready or to stop.
constexpr std::chrono::seconds StartStopTimeout{20};
/// How long a stand-in may take to connect and to respond to a command.
constexpr std::chrono::seconds CommandTimeout{5};
constexpr milliseconds PollInterval{10};
/// The idle limits of callers' connections in alternate versions of the configuration.
constexpr milliseconds LongIdleTimeout{15000};
constexpr milliseconds ShortIdleTimeout{1000};

/// Returns false if the condition does not become true within `StartStopTimeout`.
template <typename Condition>
bool waitUntil(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + StartStopTimeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace

Cluster::Cluster(const Shape &shape, int network, std::string folder)
    : m_shape(shape)
    , m_network(network)
    , m_folder(std::move(folder))
{
    m_evidence.routes[RouteKind::All] = {shape.allTimeout, shape.topK, shape.minCoverage};
    m_evidence.routes[RouteKind::Moving] = {shape.pooledTimeout, 0, 0};
    m_evidence.routes[RouteKind::Orders] = {shape.pooledTimeout, 0, 0};
}

Cluster::~Cluster() = default;

Address Cluster::makeAddress(int subnet, int host, int port) const
{
    return {"127." + std::to_string(m_network) + "." + std::to_string(subnet) + "."
                + std::to_string(host),
            static_cast<std::uint16_t>(port)};
}

Address Cluster::storeControlAddress() const
{
    return makeAddress(StoreSubnet, 1, StandInControlPort);
}

Address Cluster::targetControlAddress(int group, bool isPooled) const
{
    return makeAddress(FirstTargetSubnet + group, isPooled ? PooledControlHost : ShardControlHost,
                       StandInControlPort);
}

Address Cluster::targetAddress(int group, const GroupTarget &target, bool isBehindRelay) const
{
    return makeAddress((isBehindRelay ? FirstTargetRelaySubnet : FirstTargetSubnet) + group,
                       target.index + 1, TargetPort);
}

Address Cluster::callerAddress(int vm) const
{
    return makeAddress(VmRelaySubnet, vm + 1, CallerPort);
}

Address Cluster::readyAddress(int vm) const
{
    return makeAddress(VmSubnet, vm + 1, ReadyPort);
}

bool Cluster::isPooled(const GroupTarget &target)
{
    return target.service == "orders" || target.service.starts_with("m");
}

bool Cluster::sendCommand(const Address &to, const std::string &method, const std::string &path,
                          const std::string &body)
{
    httplib::Client client(to.ip, to.port);
    client.set_connection_timeout(CommandTimeout);
    client.set_read_timeout(CommandTimeout);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    const auto result = client.send(request);
    return result && result->status == 200;
}

void Cluster::sendCommandOrThrow(const Address &to, const std::string &method,
                                 const std::string &path, const std::string &body)
{
    if (!sendCommand(to, method, path, body))
        throw std::runtime_error("no successful response to " + method + " " + path + " at "
                                 + to.toString());
}

void Cluster::start()
{
    startStore();
    for (int group = 0; group < TargetGroups; ++group) {
        createTargets(group);
        startTargets(group);
        startTargetRelay(group);
        for (GroupTarget &target : m_groups[group].targets)
            registerTarget(group, target, "ready", 0);
    }
    perform(PublishNextConfig{});
    for (int vm = 0; vm < m_shape.vms; ++vm) {
        startVmRelay(vm);
        writeSettings(vm);
        startVm(vm);
    }
    for (int vm = 0; vm < m_shape.vms; ++vm)
        if (!waitUntil([this, vm] { return isReady(vm); }))
            throw std::runtime_error("VM " + std::to_string(vm) + " does not become ready");
}

void Cluster::startStore()
{
    m_store = std::make_unique<Process>(
        "fakestore",
        std::vector<std::string>{makeAddress(StoreSubnet, 1, StorePort).toString(),
                                 storeControlAddress().toString()},
        m_folder + "/store.log");
    if (!waitUntil([this] { return sendCommand(storeControlAddress(), "POST", "/mode", "ok"); }))
        throw std::runtime_error("the store does not start");
}

std::string Cluster::newTargetId(const std::string &service)
{
    std::string id = "i-" + std::to_string(++m_lastTargetId);
    m_evidence.serviceByTarget[id] = service;
    return id;
}

void Cluster::createTargets(int group)
{
    std::vector<std::string> services = shardNames(m_shape, false);
    for (const std::string &service : shardNames(m_shape, true))
        services.push_back(service);
    for (int i = 0; i < m_shape.pooledTargetCount; ++i) {
        services.emplace_back("orders");
        for (int version = 0; version < MovingServices; ++version)
            services.push_back(movingService(static_cast<std::size_t>(version)));
    }
    for (const std::string &service : services) {
        GroupTarget target;
        target.id = newTargetId(service);
        target.service = service;
        target.index = static_cast<int>(m_groups[group].targets.size());
        m_evidence.groupByTarget[target.id] = group;
        m_groups[group].targets.push_back(target);
    }
}

void Cluster::startTargets(int group)
{
    TargetGroup &targetGroup = m_groups[group];
    targetGroup.processes.clear();
    for (const bool isForPooled : {false, true}) {
        const TargetShape &shape = isForPooled ? m_shape.pooledTargets : m_shape.shardTargets;
        std::vector<std::string> arguments{
            "--work-ms",       std::to_string(shape.workTime.count()),
            "--slots",         std::to_string(shape.slots),
            "--connections",   std::to_string(shape.connections),
            "--pause-ms",      std::to_string(shape.pauseTime.count()),
            "--events",        m_folder + "/events-" + std::to_string(group),
            "--records-by-id", targetControlAddress(group, isForPooled).toString()};
        for (const GroupTarget &target : targetGroup.targets)
            if (isPooled(target) == isForPooled)
                arguments.push_back(target.id + "=" + targetAddress(group, target, false).toString()
                                    + "=" + target.service);
        targetGroup.processes.push_back(std::make_unique<Process>(
            "fakeservers", arguments, m_folder + "/servers-" + std::to_string(group) + ".log"));
        if (!waitUntil([this, group, isForPooled] {
                return sendCommand(targetControlAddress(group, isForPooled), "POST", "/mode?none",
                                   "ok");
            }))
            throw std::runtime_error("the targets do not start");
    }
}

void Cluster::startTargetRelay(int group)
{
    const Address control =
        makeAddress(FirstTargetRelaySubnet + group, RelayControlHost, RelayControlPort);
    std::vector<std::string> arguments{"--control", control.toString()};
    for (const GroupTarget &target : m_groups[group].targets) {
        arguments.emplace_back("--link");
        arguments.push_back(targetAddress(group, target, true).toString() + "="
                            + targetAddress(group, target, false).toString());
    }
    m_groups[group].relay = std::make_unique<Process>(
        "relay", arguments, m_folder + "/relay-servers-" + std::to_string(group) + ".log");
    if (!waitUntil([&control] { return sendCommand(control, "PUT", "/rules", "[]"); }))
        throw std::runtime_error("the relay does not start");
}

void Cluster::startVmRelay(int vm)
{
    const Address control = makeAddress(VmRelaySubnet, vm + 1, RelayControlPort);
    const std::vector<std::string> arguments{
        "--control",
        control.toString(),
        "--link",
        makeAddress(VmRelaySubnet, vm + 1, StorePort).toString() + "="
            + makeAddress(StoreSubnet, 1, StorePort).toString(),
        "--link",
        callerAddress(vm).toString() + "=" + makeAddress(VmSubnet, vm + 1, CallerPort).toString()};
    m_vmRelays[vm] = std::make_unique<Process>(
        "relay", arguments, m_folder + "/relay-vm-" + std::to_string(vm) + ".log");
    if (!waitUntil([&control] { return sendCommand(control, "PUT", "/rules", "[]"); }))
        throw std::runtime_error("the relay does not start");
}

void Cluster::writeSettings(int vm)
{
    const Bounds &bounds = m_evidence.bounds;
    Json &settings = m_settings[vm];
    if (settings.is_null())
        settings = {{"vm", "vm-" + std::to_string(vm)},
                    {"failure_domain", "domain-" + std::to_string(vm % 2)},
                    {"region", "region"},
                    {"caller_address", makeAddress(VmSubnet, vm + 1, CallerPort).toString()},
                    {"ready_address", readyAddress(vm).toString()},
                    {"operator_address", makeAddress(VmSubnet, vm + 1, OperatorPort).toString()},
                    {"store_address", makeAddress(VmRelaySubnet, vm + 1, StorePort).toString()},
                    {"peer_address", makeAddress(VmSubnet, vm + 1, PeerPort).toString()},
                    {"seeds",
                     {makeAddress(VmSubnet, 1, PeerPort).toString(),
                      makeAddress(VmSubnet, 2, PeerPort).toString()}},
                    {"retry_budget",
                     {{"ratio", bounds.retryRatio},
                      {"slack", bounds.retrySlack},
                      {"window_s", bounds.retryWindow / std::chrono::seconds(1)}}},
                    {"stop_patience_ms", 5200}};
    std::ofstream(m_folder + "/settings-" + std::to_string(vm) + ".json") << settings.dump(1);
}

void Cluster::startVm(int vm)
{
    const std::string name = std::to_string(vm);
    m_isStopExpected[vm] = false;
    m_evidence.vmStarts[vm].push_back(Clock::now());
    m_vms[vm] = std::make_unique<Process>(
        "mangoshift",
        std::vector<std::string>{"entry", "--settings", m_folder + "/settings-" + name + ".json"},
        m_folder + "/vm-" + name + ".log");
}

bool Cluster::isReady(int vm) const
{
    return sendCommand(readyAddress(vm), "GET", "/api/ready", "");
}

void Cluster::registerTarget(int group, GroupTarget &target, const std::string &state, int warmupMs)
{
    const Json entry{
        {"service", target.service},
        {"address", targetAddress(group, target, true).toString()},
        {"zone", "domain-" + std::to_string(group)},
        {"version", "v1"},
        {"slots", isPooled(target) ? m_shape.pooledTargets.slots : m_shape.shardTargets.slots},
        {"state", state},
        {"warmup_left_ms", warmupMs},
        {"seq", ++target.sequence}};
    runOrDefer([this, id = target.id, text = entry.dump()] {
        sendCommandOrThrow(storeControlAddress(), "PUT", "/item?servers/" + id, text);
        // The bound on the drain time counts from the store's acknowledgement: from then on, VMs
        // can fetch the entry.
        if (Json::parse(text).at("state") == "draining")
            m_evidence.departures.push_back({id, Clock::now()});
    });
}

void Cluster::removeRegistration(const GroupTarget &target)
{
    runOrDefer([this, id = target.id] {
        sendCommandOrThrow(storeControlAddress(), "DELETE", "/item?servers/" + id, "");
        m_evidence.departures.push_back({id, Clock::now()});
    });
}

void Cluster::runOrDefer(std::function<void()> command)
{
    if (m_isStoreFrozen)
        m_deferredCommands.push_back(std::move(command));
    else
        command();
}

Json Cluster::makeDocument(std::size_t version) const
{
    const auto route = [](const std::string &name, const std::string &kind, milliseconds timeout,
                          milliseconds latencyTarget, const Json &more) {
        Json json{{"name", name},
                  {"host", "shop.example"},
                  {"prefix", "/" + name + "/"},
                  {"kind", kind},
                  {"timeout_ms", timeout.count()},
                  {"target_latency_ms", latencyTarget.count()},
                  {"priority", 1},
                  {"max_attempts", 2}};
        json.update(more);
        return json;
    };
    const bool isResharded = version / MovingServices % 2 == 1;
    const milliseconds idleTimeout = version % 2 == 0 ? LongIdleTimeout : ShortIdleTimeout;
    const std::vector<std::string> shards = shardNames(m_shape, isResharded);
    Json document{{"version", version * 3 + 1}, {"services", Json::array()}};
    document["routes"] = {route("all", "safe", m_shape.allTimeout, m_shape.allLatencyTarget,
                                {{"fanout_services", shards},
                                 {"top_k", m_shape.topK},
                                 {"min_coverage", m_shape.minCoverage}}),
                          route("moving", "safe", m_shape.pooledTimeout,
                                m_shape.pooledLatencyTarget, {{"service", movingService(version)}}),
                          route("orders", "unsafe", m_shape.pooledTimeout,
                                m_shape.pooledLatencyTarget, {{"service", "orders"}})};
    for (const bool isReshardedSet : {false, true})
        for (const std::string &shard : shardNames(m_shape, isReshardedSet))
            document["services"].push_back(
                {{"name", shard}, {"max_conns", m_shape.shardTargets.connections}});
    for (std::size_t i = 0; i < MovingServices; ++i)
        document["services"].push_back(
            {{"name", movingService(i)}, {"max_conns", m_shape.pooledTargets.connections}});
    document["services"].push_back(
        {{"name", "orders"}, {"max_conns", m_shape.pooledTargets.connections}});
    document["limits"] = {{"max_header_bytes", 16384},
                          {"max_body_bytes", 262144},
                          {"header_timeout_ms", 3000},
                          {"idle_timeout_ms", idleTimeout.count()}};
    return document;
}

void Cluster::perform(const Action &action)
{
    std::visit([this](const auto &each) { apply(each); }, action);
}

void Cluster::restartEndedVms()
{
    for (const auto &[vm, process] : m_vms)
        if (!m_isStopExpected[vm] && process->hasEnded()) {
            m_evidence.processFaults.push_back("VM " + std::to_string(vm)
                                               + " ended unexpectedly with status "
                                               + std::to_string(process->wait()));
            startVm(vm);
            return;
        }
}

void Cluster::stopVms()
{
    for (const auto &[vm, process] : m_vms) {
        m_isStopExpected[vm] = true;
        process->signal(SIGTERM);
    }
    for (const auto &[vm, process] : m_vms) {
        const bool hasEnded = waitUntil([&process = *process] { return process.hasEnded(); });
        const int status = hasEnded ? process->wait() : -1;
        if (status != 0)
            m_evidence.processFaults.push_back("VM " + std::to_string(vm) + " stopped with status "
                                               + std::to_string(status));
    }
}

void Cluster::collectUsage(Evidence &evidence) const
{
    for (const auto &[vm, process] : m_vms) {
        const std::string folder = "/proc/" + std::to_string(process->pid());
        std::ifstream stat(folder + "/stat");
        std::string line;
        std::getline(stat, line);
        // After the program's name in parentheses, user and system time are the 12th and 13th
        // fields, in clock ticks.
        std::istringstream fields(line.substr(line.rfind(')') + 1));
        std::vector<std::string> words{std::istream_iterator<std::string>(fields), {}};
        if (words.size() > 13)
            evidence.vmProcessorTime += milliseconds((std::stoll(words[11]) + std::stoll(words[12]))
                                                     * 1000 / sysconf(_SC_CLK_TCK));
        std::ifstream status(folder + "/status");
        while (std::getline(status, line))
            if (line.starts_with("VmHWM:"))
                evidence.vmPeakKb =
                    std::max<std::size_t>(evidence.vmPeakKb, std::stoul(line.substr(6)));
    }
}

void Cluster::collectEvidence(Evidence &evidence) const
{
    evidence.published = m_evidence.published;
    evidence.departures = m_evidence.departures;
    evidence.vmStarts = m_evidence.vmStarts;
    evidence.serviceByTarget = m_evidence.serviceByTarget;
    evidence.groupByTarget = m_evidence.groupByTarget;
    evidence.routes = m_evidence.routes;
    evidence.vmEnds = m_evidence.vmEnds;
    evidence.processFaults = m_evidence.processFaults;
    evidence.bounds = m_evidence.bounds;
    static const std::map<std::string, TargetEvent::Kind> kinds{
        {"arrived", TargetEvent::Kind::Arrived},
        {"ran", TargetEvent::Kind::Ran},
        {"refused", TargetEvent::Kind::Refused},
        {"ended", TargetEvent::Kind::Ended},
        {"cancelled", TargetEvent::Kind::Cancelled}};
    for (int group = 0; group < TargetGroups; ++group) {
        std::ifstream file(m_folder + "/events-" + std::to_string(group));
        for (std::string line; std::getline(file, line);) {
            const Json json = Json::parse(line);
            evidence.targetEvents.push_back(
                {Clock::time_point(std::chrono::microseconds(json.at("at_us").get<std::int64_t>())),
                 kinds.at(json.at("event")), json.at("server"), json.at("service"),
                 json.at("request"), json.at("what")});
        }
    }
    std::stable_sort(evidence.targetEvents.begin(), evidence.targetEvents.end(),
                     [](const TargetEvent &a, const TargetEvent &b) { return a.at < b.at; });
}

} // namespace mangoshift::soak
