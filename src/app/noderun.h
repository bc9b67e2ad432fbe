#pragma once

#include <chrono>
#include <memory>
#include <system_error>
#include <utility>

#include "app/command.h"
#include "app/processsignals.h"
#include "app/settingsfile.h"
#include "base/log.h"

namespace mangoshift {

/// Runs a VM from its settings until it is told to stop. `makeNode` takes the settings and returns
/// the node, `apply` takes the node, the settings in force and those that are wanted. Returns an
/// exit status where the settings cannot be used; else the process ends here.
template <typename Parse, typename MakeNode, typename Apply>
int runNode(const char *command, const std::string &path, Parse parse, MakeNode makeNode,
            Apply apply)
{
    auto inForce = loadSettings(command, path, parse);
    if (!inForce)
        return inForce.error();
    startLogging(inForce->logLevel);
    decltype(makeNode(*inForce)) node;
    ProcessSignals signals(path, [&] {
        const auto wanted = reloadSettings(path, parse);
        if (!wanted)
            return;
        setLogLevel(wanted->logLevel);
        logEvent(LogLevel::Info, "settings_reloaded", {{"vm", wanted->vm}});
        for (const std::string &field : fieldsThatNeedRestart(*inForce, *wanted))
            logEvent(LogLevel::Warning, "settings_need_restart", {{"field", field}});
        apply(*node, *inForce, *wanted);
    });
    try {
        node = makeNode(*inForce);
    } catch (const std::system_error &error) {
        logEvent(LogLevel::Error, "listen_failed",
                 {{"field", "peer_address"}, {"why", error.code().message()}});
    }
    if (!node || !node->start())
        endProcess(ExitFailure);
    signals.waitForStop();
    node->stop();
    logEvent(LogLevel::Info, "vm_stopped", {{"vm", inForce->vm}});
    endProcess(ExitOk);
}

} // namespace mangoshift
