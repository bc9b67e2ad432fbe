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

/// Runs a VM from its settings until it is told to stop. `makeVm` takes the settings and returns
/// the node, `apply` takes the node, the settings in force and those that are wanted. Returns an
/// exit status where the settings cannot be used; else the process ends here.
template <typename Parse, typename MakeVm, typename Apply>
int runVm(const char *command, const std::string &path, Parse parse, MakeVm makeVm, Apply apply)
{
    auto inForce = loadSettings(command, path, parse);
    if (!inForce)
        return inForce.error();
    startLogging(inForce->logLevel);
    decltype(makeVm(*inForce)) vm;
    ProcessSignals signals(path, [&] {
        const auto updated = reloadSettings(path, parse);
        if (!updated)
            return;
        setLogLevel(updated->logLevel);
        logEvent(LogLevel::Info, "settings_reloaded", {{"vm", updated->vm}});
        for (const std::string &field : fieldsThatNeedRestart(*inForce, *updated))
            logEvent(LogLevel::Warning, "settings_need_restart", {{"field", field}});
        apply(*vm, *inForce, *updated);
    });
    try {
        vm = makeVm(*inForce);
    } catch (const std::system_error &error) {
        logEvent(LogLevel::Error, "listen_failed",
                 {{"field", "peer_address"}, {"why", error.code().message()}});
    }
    if (!vm || !vm->start())
        endProcess(ExitFailure);
    signals.waitForStop();
    vm->stop();
    logEvent(LogLevel::Info, "vm_stopped", {{"vm", inForce->vm}});
    endProcess(ExitOk);
}

} // namespace mangoshift
