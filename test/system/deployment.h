#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process.h"

namespace mangoshift::testing {

/// Asks `condition` again and again until it holds. Returns false after `timeout`, which only
/// bounds how long a failing test takes.
bool eventually(const std::function<bool()> &condition,
                std::chrono::seconds timeout = std::chrono::seconds(30));

/// Whether VMs reach each other directly or through the relay stand-in.
enum class Network { Direct, Relayed };

/// How a deployment differs from the sample that it is made from.
struct DeploymentOptions
{
    /// Further arguments of the targets' process.
    std::vector<std::string> targetOptions;
    /// Takes the place of every service's deadline where it is not zero: a test of what happens,
    /// and not of how fast, then holds on a busy machine too.
    std::chrono::milliseconds deadline{0};
    Network network = Network::Direct;
    /// Regions of VMs and their failure domains, by the beginning of their names, where they
    /// differ from the sample's.
    std::map<std::string, std::string> regions = {};
    /// A JSON object whose members go into the settings of every VM.
    std::string settings = "{}";
};

/// A sample deployment run from real processes: platform, targets, VMs.
///
/// The second number of each loopback address is raised by `MANGOSHIFT_NET_OFFSET`, where that is
/// set, so that several runs can go on beside each other.
class Deployment
{
public:
    /// Starts all processes of `deploy/<name>` and returns when every VM is ready and
    /// sees all the others.
    explicit Deployment(const std::string &name, DeploymentOptions options = {});
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// An answer to an HTTP request; `status` is 0 where there was none.
    struct Response
    {
        int status = 0;
        std::string body;
    };

    Response query(const std::string &vm, const std::string &service,
                   const std::string &body = "{}");
    Response post(const std::string &vm, const std::string &path, const std::string &body);
    /// Submits a request, with a ticket unless that is empty.
    Response submit(const std::string &vm, const std::string &service, const std::string &ticket,
                    const std::string &body = "{}");
    Response get(const std::string &address, const std::string &path);
    Response put(const std::string &address, const std::string &path, const std::string &body);

    std::vector<std::string> vmNames() const;
    Process &vm(const std::string &name) { return m_vms.at(name); }
    /// Starts a VM that was killed or stopped.
    void restartVm(const std::string &name);
    /// Ends the platform's process and starts another, whose document has the version `version`.
    void restartPlatform(std::uint64_t version);
    const std::string &callerAddress(const std::string &vm) const
    {
        return m_callerAddresses.at(vm);
    }
    const std::string &operatorAddress(const std::string &vm) { return m_operatorAddresses.at(vm); }
    /// Control address of the targets' process.
    const std::string &targetControl() const { return m_targetControl; }
    /// Control address of the relay, where the network is relayed.
    const std::string &relayControl() const { return m_relayControl; }
    /// The IP number that a VM listens on and that relay rules name.
    std::string ipOf(const std::string &vm) const;
    const std::string &platformAddress() const { return m_platformAddress; }
    /// The folder of this run's document, list of VMs, settings and logs (`VM.log`).
    const std::string &folder() const { return m_folder; }

private:
    void copyFolder(const std::string &from);
    void setDeadlines(std::chrono::milliseconds deadline);
    void startRelay();
    Process startPlatform(std::uint64_t version) const;
    void startVm(const std::string &name);
    bool isReady(const std::string &vm);
    bool seesEveryVm(const std::string &vm);

    std::string m_folder;
    std::string m_platformAddress;
    std::string m_targetControl;
    std::string m_relayControl;
    std::map<std::string, std::string> m_callerAddresses;
    std::map<std::string, std::string> m_operatorAddresses;
    std::vector<Process> m_standins;
    std::map<std::string, Process> m_platform;
    std::map<std::string, Process> m_vms;
};

} // namespace mangoshift::testing
