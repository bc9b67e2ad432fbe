#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "process.h"

namespace mangoshift::testing {

/// Evaluates `condition` repeatedly until it holds. Returns false after `timeout`, which only
/// bounds how long a failing test takes.
bool eventually(const std::function<bool()> &condition,
                std::chrono::seconds timeout = std::chrono::seconds(30));

/// How VMs reach each other: directly or through the relay stand-in.
enum class Network { Direct, Relayed };

/// Changes to the sample deployment that a test starts.
struct DeploymentOptions
{
    /// Additional command line arguments of the process that runs the targets.
    std::vector<std::string> targetOptions;
    /// Replaces the deadline of every service unless zero. With a longer deadline, a test that
    /// does not check response times passes on a busy machine too.
    std::chrono::milliseconds deadline{0};
    Network network = Network::Direct;
    /// Maps a prefix of VM names to the region of these VMs. VMs without a matching prefix keep the
    /// region of the sample.
    std::map<std::string, std::string> regions = {};
    /// A JSON object whose members replace those of the same name in the settings of every VM.
    std::string settings = "{}";
};

/// A sample deployment that runs as real processes: platform, targets and VMs.
///
/// The environment variable `MANGOSHIFT_NET_OFFSET`, if set, is added to the second octet of each
/// loopback address, so that several runs can share a machine.
class Deployment
{
public:
    /// Starts all processes of `deploy/<name>`. Returns when every VM is ready and reports all VMs
    /// as alive and started. Throws `std::runtime_error` if a process does not become ready.
    explicit Deployment(const std::string &name, DeploymentOptions options = {});
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /// The response to an HTTP request. `status` is 0 if none was received.
    struct Response
    {
        int status = 0;
        std::string body;
    };

    Response query(const std::string &vm, const std::string &service,
                   const std::string &body = "{}");
    Response post(const std::string &vm, const std::string &path, const std::string &body);
    /// Submits a request; `ticket` is sent as its idempotency key unless empty.
    Response submit(const std::string &vm, const std::string &service, const std::string &ticket,
                    const std::string &body = "{}");
    Response get(const std::string &address, const std::string &path);
    Response put(const std::string &address, const std::string &path, const std::string &body);

    std::vector<std::string> vmNames() const;
    Process &vm(const std::string &name) { return m_vms.at(name); }
    /// Starts a VM again. Kills its process if that is still running.
    void restartVm(const std::string &name);
    /// Kills the platform, so that a test can listen at its address.
    void stopPlatform() { m_platform.clear(); }
    /// Restarts the platform; its document then has the version `version`.
    void restartPlatform(std::uint64_t version);
    const std::string &callerAddress(const std::string &vm) const
    {
        return m_callerAddresses.at(vm);
    }
    const std::string &operatorAddress(const std::string &vm) { return m_operatorAddresses.at(vm); }
    /// Control address of the process that runs the targets.
    const std::string &targetControl() const { return m_targetControl; }
    /// Control address of the relay; empty if the network is direct.
    const std::string &relayControl() const { return m_relayControl; }
    /// Returns the IP address that a VM listens on and that relay rules refer to.
    std::string ipOf(const std::string &vm) const;
    const std::string &platformAddress() const { return m_platformAddress; }
    /// The folder with the document, the list of VMs, the settings and the logs (`VM.log`).
    const std::string &folder() const { return m_folder; }

private:
    /// Copies the files into the folder of the deployment, with the net offset added to their
    /// addresses.
    void copyWithNetOffset(const std::string &from);
    void setDeadlines(std::chrono::milliseconds deadline);
    void startRelay();
    Process startPlatform(std::uint64_t version) const;
    void startVm(const std::string &name);
    /// Throws `std::runtime_error` with the log of the VM if its process has ended.
    bool isReady(const std::string &vm);
    bool seesEveryVm(const std::string &vm);

    std::string m_folder;
    std::string m_platformAddress;
    std::string m_targetControl;
    std::string m_relayControl;
    std::map<std::string, std::string> m_callerAddresses;
    std::map<std::string, std::string> m_operatorAddresses;
    std::vector<Process> m_standins;
    /// Holds one process; a map, as a `Process` cannot be replaced by assignment.
    std::map<std::string, Process> m_platform;
    std::map<std::string, Process> m_vms;
};

} // namespace mangoshift::testing
