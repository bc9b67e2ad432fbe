#include "soak/world.h"

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

#include "soak/worldaddresses.h"

namespace mangoshift::soak {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;
using testing::Process;

/// How long a stand-in may take to come up, and a VM to be ready or to end.
constexpr std::chrono::seconds Patience{20};
/// How long an order may take.
constexpr std::chrono::seconds OrderPatience{5};
constexpr milliseconds PollInterval{10};

template <typename Condition>
bool await(Condition condition)
{
    const auto end = std::chrono::steady_clock::now() + Patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

} // namespace

World::World(const Shape &shape, int network, std::string folder)
    : m_shape(shape)
    , m_network(network)
    , m_folder(std::move(folder))
{
    m_known.routes[RouteKind::All] = {shape.allTimeout, shape.records, shape.leastCoverage};
    m_known.routes[RouteKind::Moving] = {shape.pooledTimeout, 0, 0};
    m_known.routes[RouteKind::Orders] = {shape.pooledTimeout, 0, 0};
}

World::~World() = default;

Address World::at(int third, int last, int port) const
{
    return {"127." + std::to_string(m_network) + "." + std::to_string(third) + "."
                + std::to_string(last),
            static_cast<std::uint16_t>(port)};
}

Address World::storeOrders() const
{
    return at(StoreNetwork, 1, OrdersPort);
}

Address World::serverOrders(int group, bool isPooled) const
{
    return at(FirstServerNetwork + group, isPooled ? PooledOrders : ShardOrders, OrdersPort);
}

Address World::serverAddress(int group, const ServerSlot &slot, bool isBehindRelay) const
{
    return at((isBehindRelay ? FirstServerRelayNetwork : FirstServerNetwork) + group,
              slot.index + 1, ServerPort);
}

Address World::callerAddress(int vm) const
{
    return at(VmRelayNetwork, vm + 1, CallerPort);
}

Address World::readyAddress(int vm) const
{
    return at(VmNetwork, vm + 1, ReadyPort);
}

bool World::isPooled(const ServerSlot &slot)
{
    return slot.service == "orders" || slot.service.starts_with("m");
}

bool World::order(const Address &to, const std::string &method, const std::string &path,
                  const std::string &body)
{
    httplib::Client client(to.ip, to.port);
    client.set_connection_timeout(OrderPatience);
    client.set_read_timeout(OrderPatience);
    httplib::Request request;
    request.method = method;
    request.path = path;
    request.body = body;
    const auto result = client.send(request);
    return result && result->status == 200;
}

void World::mustObey(const Address &to, const std::string &method, const std::string &path,
                     const std::string &body)
{
    if (!order(to, method, path, body))
        throw std::runtime_error("no answer to " + method + " " + path + " at " + to.toString());
}

void World::start()
{
    startStore();
    for (int group = 0; group < ServerGroups; ++group) {
        makeSlots(group);
        startServers(group);
        startServerRelay(group);
        for (ServerSlot &slot : m_groups[group].slots)
            announce(group, slot, "ready", 0);
    }
    perform(PublishNext{});
    for (int vm = 0; vm < m_shape.vms; ++vm) {
        startVmRelay(vm);
        writeSettings(vm);
        startVm(vm);
    }
    for (int vm = 0; vm < m_shape.vms; ++vm)
        if (!await([this, vm] { return isReady(vm); }))
            throw std::runtime_error("VM " + std::to_string(vm) + " does not become ready");
}

void World::startStore()
{
    m_store = std::make_unique<Process>(
        "fakestore",
        std::vector<std::string>{at(StoreNetwork, 1, StorePort).toString(),
                                 storeOrders().toString()},
        m_folder + "/store.log");
    if (!await([this] { return order(storeOrders(), "POST", "/mode", "ok"); }))
        throw std::runtime_error("the store does not come up");
}

std::string World::newServerId(const std::string &service)
{
    std::string id = "i-" + std::to_string(++m_lastServer);
    m_known.serviceOf[id] = service;
    return id;
}

void World::makeSlots(int group)
{
    std::vector<std::string> services = shardNames(m_shape, false);
    for (const std::string &service : shardNames(m_shape, true))
        services.push_back(service);
    for (int i = 0; i < m_shape.pooledServers; ++i) {
        services.emplace_back("orders");
        for (int version = 0; version < MovingServices; ++version)
            services.push_back(movingService(static_cast<std::size_t>(version)));
    }
    for (const std::string &service : services) {
        ServerSlot slot;
        slot.id = newServerId(service);
        slot.service = service;
        slot.index = static_cast<int>(m_groups[group].slots.size());
        m_known.groupOf[slot.id] = group;
        m_groups[group].slots.push_back(slot);
    }
}

void World::startServers(int group)
{
    ServerGroup &servers = m_groups[group];
    servers.processes.clear();
    for (const bool isForPooled : {false, true}) {
        const ServerShape &shape = isForPooled ? m_shape.pooled : m_shape.shardServers;
        std::vector<std::string> arguments{
            "--work-ms",       std::to_string(shape.work.count()),
            "--slots",         std::to_string(shape.slots),
            "--connections",   std::to_string(shape.connections),
            "--pause-ms",      std::to_string(shape.pause.count()),
            "--events",        m_folder + "/events-" + std::to_string(group),
            "--records-by-id", serverOrders(group, isForPooled).toString()};
        for (const ServerSlot &slot : servers.slots)
            if (isPooled(slot) == isForPooled)
                arguments.push_back(slot.id + "=" + serverAddress(group, slot, false).toString()
                                    + "=" + slot.service);
        servers.processes.push_back(std::make_unique<Process>(
            "fakeservers", arguments, m_folder + "/servers-" + std::to_string(group) + ".log"));
        if (!await([this, group, isForPooled] {
                return order(serverOrders(group, isForPooled), "POST", "/mode?none", "ok");
            }))
            throw std::runtime_error("the servers do not come up");
    }
}

void World::startServerRelay(int group)
{
    const Address control = at(FirstServerRelayNetwork + group, RelayControl, ControlPort);
    std::vector<std::string> arguments{"--control", control.toString()};
    for (const ServerSlot &slot : m_groups[group].slots) {
        arguments.emplace_back("--link");
        arguments.push_back(serverAddress(group, slot, true).toString() + "="
                            + serverAddress(group, slot, false).toString());
    }
    m_groups[group].relay = std::make_unique<Process>(
        "relay", arguments, m_folder + "/relay-servers-" + std::to_string(group) + ".log");
    if (!await([&control] { return order(control, "PUT", "/rules", "[]"); }))
        throw std::runtime_error("the relay does not come up");
}

void World::startVmRelay(int vm)
{
    const Address control = at(VmRelayNetwork, vm + 1, ControlPort);
    const std::vector<std::string> arguments{"--control",
                                             control.toString(),
                                             "--link",
                                             at(VmRelayNetwork, vm + 1, StorePort).toString() + "="
                                                 + at(StoreNetwork, 1, StorePort).toString(),
                                             "--link",
                                             callerAddress(vm).toString() + "="
                                                 + at(VmNetwork, vm + 1, CallerPort).toString()};
    m_vmRelays[vm] = std::make_unique<Process>(
        "relay", arguments, m_folder + "/relay-vm-" + std::to_string(vm) + ".log");
    if (!await([&control] { return order(control, "PUT", "/rules", "[]"); }))
        throw std::runtime_error("the relay does not come up");
}

void World::writeSettings(int vm)
{
    const Bounds &bounds = m_known.bounds;
    Json &settings = m_settings[vm];
    if (settings.is_null())
        settings = {
            {"vm", "vm-" + std::to_string(vm)},
            {"failure_domain", "domain-" + std::to_string(vm % 2)},
            {"region", "region"},
            {"caller_address", at(VmNetwork, vm + 1, CallerPort).toString()},
            {"ready_address", readyAddress(vm).toString()},
            {"operator_address", at(VmNetwork, vm + 1, OperatorPort).toString()},
            {"store_address", at(VmRelayNetwork, vm + 1, StorePort).toString()},
            {"peer_address", at(VmNetwork, vm + 1, PeerPort).toString()},
            {"seeds",
             {at(VmNetwork, 1, PeerPort).toString(), at(VmNetwork, 2, PeerPort).toString()}},
            {"retry_budget",
             {{"ratio", bounds.retryRatio},
              {"slack", bounds.retrySlack},
              {"window_s", bounds.retryWindow / std::chrono::seconds(1)}}},
            {"stop_patience_ms", 5200}};
    std::ofstream(m_folder + "/settings-" + std::to_string(vm) + ".json") << settings.dump(1);
}

void World::startVm(int vm)
{
    const std::string name = std::to_string(vm);
    m_isToldToStop[vm] = false;
    m_known.starts[vm].push_back(Clock::now());
    m_vms[vm] = std::make_unique<Process>(
        "mangoshift",
        std::vector<std::string>{"entry", "--settings", m_folder + "/settings-" + name + ".json"},
        m_folder + "/vm-" + name + ".log");
}

bool World::isReady(int vm) const
{
    return order(readyAddress(vm), "GET", "/api/ready", "");
}

void World::announce(int group, ServerSlot &slot, const std::string &state, int warmupMs)
{
    const Json entry{{"service", slot.service},
                     {"address", serverAddress(group, slot, true).toString()},
                     {"zone", "domain-" + std::to_string(group)},
                     {"version", "v1"},
                     {"slots", isPooled(slot) ? m_shape.pooled.slots : m_shape.shardServers.slots},
                     {"state", state},
                     {"warmup_left_ms", warmupMs},
                     {"seq", ++slot.sequence}};
    whenStoreAnswers([this, id = slot.id, text = entry.dump()] {
        mustObey(storeOrders(), "PUT", "/item?servers/" + id, text);
        // The last word of a leaving server counts from its acknowledgement on.
        if (Json::parse(text).at("state") == "draining")
            m_known.departures.push_back({id, Clock::now()});
    });
}

void World::withdraw(const ServerSlot &slot)
{
    whenStoreAnswers([this, id = slot.id] {
        mustObey(storeOrders(), "DELETE", "/item?servers/" + id, "");
        m_known.departures.push_back({id, Clock::now()});
    });
}

void World::whenStoreAnswers(std::function<void()> order)
{
    if (m_isStoreFrozen)
        m_deferred.push_back(std::move(order));
    else
        order();
}

Json World::documentOf(std::size_t version) const
{
    const auto route = [](const std::string &name, const std::string &kind, milliseconds timeout,
                          milliseconds target, const Json &more) {
        Json json{{"name", name},
                  {"host", "shop.example"},
                  {"prefix", "/" + name + "/"},
                  {"kind", kind},
                  {"timeout_ms", timeout.count()},
                  {"target_latency_ms", target.count()},
                  {"priority", 1},
                  {"max_attempts", 2}};
        json.update(more);
        return json;
    };
    const bool isCutAnew = version / MovingServices % 2 == 1;
    const std::vector<std::string> shards = shardNames(m_shape, isCutAnew);
    Json document{{"version", version * 3 + 1}, {"services", Json::array()}};
    document["routes"] = {route("all", "safe", m_shape.allTimeout, m_shape.allTarget,
                                {{"fanout_services", shards},
                                 {"top_k", m_shape.records},
                                 {"min_coverage", m_shape.leastCoverage}}),
                          route("moving", "safe", m_shape.pooledTimeout, m_shape.pooledTarget,
                                {{"service", movingService(version)}}),
                          route("orders", "unsafe", m_shape.pooledTimeout, m_shape.pooledTarget,
                                {{"service", "orders"}})};
    for (const bool isOther : {false, true})
        for (const std::string &shard : shardNames(m_shape, isOther))
            document["services"].push_back(
                {{"name", shard}, {"max_conns", m_shape.shardServers.connections}});
    for (std::size_t i = 0; i < MovingServices; ++i)
        document["services"].push_back(
            {{"name", movingService(i)}, {"max_conns", m_shape.pooled.connections}});
    document["services"].push_back({{"name", "orders"}, {"max_conns", m_shape.pooled.connections}});
    return document;
}

void World::perform(const Action &action)
{
    std::visit([this](const auto &each) { act(each); }, action);
}

void World::watchProcesses()
{
    for (const auto &[vm, process] : m_vms)
        if (!m_isToldToStop[vm] && process->hasEnded()) {
            m_known.processFaults.push_back("VM " + std::to_string(vm)
                                            + " ended by itself with status "
                                            + std::to_string(process->wait()));
            startVm(vm);
            return;
        }
}

void World::stopVms()
{
    for (const auto &[vm, process] : m_vms) {
        m_isToldToStop[vm] = true;
        process->signal(SIGTERM);
    }
    for (const auto &[vm, process] : m_vms) {
        const bool hasEnded = await([&process = *process] { return process.hasEnded(); });
        const int status = hasEnded ? process->wait() : -1;
        if (status != 0)
            m_known.processFaults.push_back("VM " + std::to_string(vm) + " stopped with status "
                                            + std::to_string(status));
    }
}

void World::collectUsage(Evidence &evidence) const
{
    for (const auto &[vm, process] : m_vms) {
        const std::string folder = "/proc/" + std::to_string(process->pid());
        std::ifstream stat(folder + "/stat");
        std::string line;
        std::getline(stat, line);
        // Behind the program's name in brackets, user and system time are the 12th and 13th field.
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

void World::collect(Evidence &evidence) const
{
    evidence.published = m_known.published;
    evidence.departures = m_known.departures;
    evidence.starts = m_known.starts;
    evidence.serviceOf = m_known.serviceOf;
    evidence.groupOf = m_known.groupOf;
    evidence.routes = m_known.routes;
    evidence.processFaults = m_known.processFaults;
    evidence.bounds = m_known.bounds;
    static const std::map<std::string, ServerEvent::Kind> kinds{
        {"arrived", ServerEvent::Kind::Arrived},
        {"ran", ServerEvent::Kind::Ran},
        {"refused", ServerEvent::Kind::Refused},
        {"ended", ServerEvent::Kind::Ended},
        {"cancelled", ServerEvent::Kind::Cancelled}};
    for (int group = 0; group < ServerGroups; ++group) {
        std::ifstream file(m_folder + "/events-" + std::to_string(group));
        for (std::string line; std::getline(file, line);) {
            const Json json = Json::parse(line);
            evidence.servers.push_back(
                {Clock::time_point(std::chrono::microseconds(json.at("at_us").get<std::int64_t>())),
                 kinds.at(json.at("event")), json.at("server"), json.at("service"),
                 json.at("request"), json.at("what")});
        }
    }
    std::stable_sort(evidence.servers.begin(), evidence.servers.end(),
                     [](const ServerEvent &a, const ServerEvent &b) { return a.at < b.at; });
}

} // namespace mangoshift::soak
