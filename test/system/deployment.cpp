#include "deployment.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <regex>
#include <stdexcept>
#include <thread>
#include <utility>

#include <httplib.h>
#include <nlohmann/json.hpp>

#include "app/files.h"
#include "base/address.h"

namespace mangoshift::testing {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds ResponseTimeout{20};

httplib::Client makeHttpClient(const std::string &address)
{
    const auto parsed = parseAddress(address);
    httplib::Client client(parsed->ip, parsed->port);
    client.set_read_timeout(ResponseTimeout);
    return client;
}

Deployment::Response toResponse(const httplib::Result &result)
{
    return result ? Deployment::Response{result->status, result->body} : Deployment::Response{};
}

/// Returns `text` with `offset` added to the second octet of each 127.x address.
std::string shiftAddresses(const std::string &text, int offset)
{
    static const std::regex pattern(R"(127\.(\d+)\.(\d+\.\d+:))");
    std::string shifted;
    auto from = text.begin();
    for (std::sregex_iterator it(text.begin(), text.end(), pattern), end; it != end; ++it) {
        shifted.append(from, text.begin() + it->position());
        shifted += "127." + std::to_string(std::stoi((*it)[1]) + offset) + "." + (*it)[2].str();
        from = text.begin() + it->position() + it->length();
    }
    shifted.append(from, text.end());
    return shifted;
}

int netOffset()
{
    const char *value = std::getenv("MANGOSHIFT_NET_OFFSET");
    return value == nullptr ? 0 : std::stoi(value);
}

std::string makeTemporaryFolder()
{
    std::string path = std::filesystem::temp_directory_path() / "mangoshift-XXXXXX";
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error("cannot create a temporary folder");
    return path;
}

void writeJson(const std::string &path, const Json &json)
{
    std::ofstream(path) << json.dump(1) << "\n";
}

/// Sets the region of each VM whose name starts with one of the prefixes in `regions`.
void setRegions(const std::string &folder, const std::map<std::string, std::string> &regions)
{
    Json vms = Json::parse(readFile(folder + "/vms.json").value());
    for (Json &vm : vms) {
        const std::string name = vm["vm"];
        const std::string path = folder + "/settings/" + vm["vm"].get<std::string>() + ".json";
        Json settings = Json::parse(readFile(path).value());
        for (const auto &[prefix, region] : regions)
            if (name.rfind(prefix, 0) == 0)
                vm["region"] = settings["region"] = region;
        writeJson(path, settings);
    }
    writeJson(folder + "/vms.json", vms);
}

/// Makes VMs reach each other through the relay: each VM still listens on its own port but
/// announces port 7103, where the relay listens.
void routePeersThroughRelay(const std::string &folder)
{
    Json vms = Json::parse(readFile(folder + "/vms.json").value());
    for (Json &vm : vms) {
        const std::string path = folder + "/settings/" + vm["vm"].get<std::string>() + ".json";
        Json settings = Json::parse(readFile(path).value());
        settings["peer_listen_address"] = settings["peer_address"];
        const std::string relayAddress =
            parseAddress(settings["peer_address"].get<std::string>())->ip + ":7103";
        settings["peer_address"] = relayAddress;
        vm["peer_address"] = relayAddress;
        writeJson(path, settings);
    }
    writeJson(folder + "/vms.json", vms);
}

} // namespace

bool eventually(const std::function<bool()> &condition, std::chrono::seconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end)
            return false;
        std::this_thread::yield();
    }
    return true;
}

Deployment::Deployment(const std::string &name, DeploymentOptions options)
    : m_folder(makeTemporaryFolder())
{
    copyWithNetOffset(sourcePath("deploy/" + name));
    if (options.deadline.count() > 0)
        setDeadlines(options.deadline);
    if (options.network == Network::Relayed)
        routePeersThroughRelay(m_folder);
    setRegions(m_folder, options.regions);
    std::vector<std::string> vms;
    for (const Json &each : Json::parse(readFile(m_folder + "/vms.json").value())) {
        const std::string vm = each["vm"];
        const std::string path = m_folder + "/settings/" + vm + ".json";
        Json settings = Json::parse(readFile(path).value());
        settings.update(Json::parse(options.settings));
        writeJson(path, settings);
        m_callerAddresses[vm] = settings["caller_address"];
        m_operatorAddresses[vm] = settings["operator_address"];
        m_platformAddress = settings["platform_address"];
        vms.push_back(vm);
    }
    m_targetControl = parseAddress(m_platformAddress)->ip + ":7001";
    std::vector<std::string> arguments{"--document", m_folder + "/document.json", "--control",
                                       m_targetControl};
    for (std::string &option : options.targetOptions)
        arguments.push_back(std::move(option));
    m_standins.emplace_back("faketarget", arguments, "/dev/null");
    m_platform.emplace("platform", startPlatform(1));
    if (options.network == Network::Relayed)
        startRelay();
    if (!eventually([this] { return get(m_targetControl, "/records").status == 200; }))
        throw std::runtime_error("the targets did not start");
    for (const std::string &vm : vms)
        startVm(vm);
    for (const std::string &vm : vms)
        if (!eventually([&] { return isReady(vm) && seesEveryVm(vm); }))
            throw std::runtime_error(vm + " did not become ready");
}

Deployment::~Deployment()
{
    m_vms.clear();
    m_platform.clear();
    m_standins.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

void Deployment::copyWithNetOffset(const std::string &from)
{
    namespace fs = std::filesystem;
    for (const fs::directory_entry &entry : fs::recursive_directory_iterator(from)) {
        const fs::path to = m_folder / fs::relative(entry.path(), from);
        if (entry.is_directory()) {
            fs::create_directories(to);
            continue;
        }
        std::ofstream(to) << shiftAddresses(readFile(entry.path()).value(), netOffset());
    }
}

void Deployment::setDeadlines(std::chrono::milliseconds deadline)
{
    const std::string path = m_folder + "/document.json";
    Json document = Json::parse(readFile(path).value());
    for (Json &service : document["services"])
        service["deadline_ms"] = deadline.count();
    std::ofstream(path) << document.dump(1);
}

void Deployment::startRelay()
{
    m_relayControl = parseAddress(m_platformAddress)->ip + ":7002";
    std::vector<std::string> arguments{"--control", m_relayControl};
    for (const std::string &vm : vmNames()) {
        arguments.emplace_back("--link");
        arguments.push_back(ipOf(vm) + ":7103=" + ipOf(vm) + ":7102");
    }
    m_standins.emplace_back("relay", arguments, "/dev/null");
    if (!eventually([this] { return get(m_relayControl, "/healthz").status == 200; }))
        throw std::runtime_error("the relay did not start");
}

std::string Deployment::ipOf(const std::string &vm) const
{
    return parseAddress(m_callerAddresses.at(vm))->ip;
}

Process Deployment::startPlatform(std::uint64_t version) const
{
    return {"fakeplatform",
            {"--listen", m_platformAddress, "--version", std::to_string(version), "--document",
             m_folder + "/document.json", "--vms", m_folder + "/vms.json"},
            "/dev/null"};
}

void Deployment::restartPlatform(std::uint64_t version)
{
    m_platform.clear();
    m_platform.emplace("platform", startPlatform(version));
}

void Deployment::startVm(const std::string &name)
{
    const std::vector<std::string> arguments{"serve", "--settings",
                                             m_folder + "/settings/" + name + ".json"};
    m_vms.emplace(name, Process("mangoshift", arguments, m_folder + "/" + name + ".log"));
}

void Deployment::restartVm(const std::string &name)
{
    m_vms.erase(name);
    startVm(name);
}

bool Deployment::isReady(const std::string &vm)
{
    if (m_vms.at(vm).hasEnded())
        throw std::runtime_error(vm + " has ended; its log:\n"
                                 + readFile(m_folder + "/" + vm + ".log").value_or("none"));
    return get(m_operatorAddresses.at(vm), "/readyz").status == 200;
}

bool Deployment::seesEveryVm(const std::string &vm)
{
    const Response response = get(m_operatorAddresses.at(vm), "/state");
    const Json state = Json::parse(response.body, nullptr, false);
    if (response.status != 200 || !state.is_object() || !state["control"].is_object())
        return false;
    const Json &members = state["control"]["members"];
    const auto readyVms = std::count_if(members.begin(), members.end(), [](const Json &each) {
        return each["state"] == "alive" && each["starting"] == false;
    });
    return static_cast<std::size_t>(readyVms) == m_vms.size();
}

Deployment::Response Deployment::query(const std::string &vm, const std::string &service,
                                       const std::string &body)
{
    auto client = makeHttpClient(m_callerAddresses.at(vm));
    return toResponse(client.Post(("/v1/query/" + service).c_str(), body, "application/json"));
}

Deployment::Response Deployment::post(const std::string &vm, const std::string &path,
                                      const std::string &body)
{
    auto client = makeHttpClient(m_callerAddresses.at(vm));
    return toResponse(client.Post(path.c_str(), body, "application/json"));
}

Deployment::Response Deployment::submit(const std::string &vm, const std::string &service,
                                        const std::string &ticket, const std::string &body)
{
    auto client = makeHttpClient(m_callerAddresses.at(vm));
    httplib::Headers headers;
    if (!ticket.empty())
        headers.emplace("Idempotency-Key", ticket);
    return toResponse(
        client.Post(("/v1/submit/" + service).c_str(), headers, body, "application/json"));
}

Deployment::Response Deployment::get(const std::string &address, const std::string &path)
{
    auto client = makeHttpClient(address);
    return toResponse(client.Get(path.c_str()));
}

Deployment::Response Deployment::put(const std::string &address, const std::string &path,
                                     const std::string &body)
{
    auto client = makeHttpClient(address);
    return toResponse(client.Put(path.c_str(), body, "application/json"));
}

std::vector<std::string> Deployment::vmNames() const
{
    std::vector<std::string> names;
    for (const auto &[name, address] : m_callerAddresses)
        names.push_back(name);
    return names;
}

} // namespace mangoshift::testing
