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

/// Runs a VM with the settings from the file at `path` until SIGTERM or SIGINT. `makeVm` creates
/// the VM from its settings. When the settings are reloaded, `apply` is called with the VM, the
/// settings in force and the updated ones; it must also copy the settings that it applies to the
/// settings in force. Returns an exit status if the settings are unreadable or invalid; otherwise
/// ends the process.
template <typename Parse, typename MakeVm, typename Apply>
int runVm(const char *command, const std::string &path, Parse parse, MakeVm makeVm, Apply apply)
{
    auto inForce = loadSettings(command, path, parse);
    if (!inForce)
        return inForce.error();
    startLogging(inForce->logLevel, inForce->logLimits);
    decltype(makeVm(*inForce)) vm;
    ProcessSignals signals(path, [&] {
        const auto updated = reloadSettings(path, parse);
        if (!updated)
            return;
        setLogOptions(updated->logLevel, updated->logLimits);
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
