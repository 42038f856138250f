#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Proxy/ProxyProcess.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Settings/ToolCommandLine.h"
#include "tamarackcove/Supervision/ProcessLoop.h"

#include <optional>

using namespace tamarackcove;

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto command = parseCommandLine(argc, argv, "TCP proxy that injects faults", TAMARACKCOVE_VERSION, exitCode);
    if (!command) {
        return exitCode;
    }
    initLogging("tamarackcove-fault-proxy", LogLevel::Info);
    auto settings = loadProxySettings(command->settingsPath);
    if (settings.has_error()) {
        LogLine(LogLevel::Error, "settings_refused").add("reason", settings.error().detail);
        return ExitUsage;
    }
    if (command->check) {
        return 0;
    }
    std::optional<ProxyProcess> process;
    ProcessHooks hooks;
    hooks.start = [&](Supervisor &root) {
        return process.emplace(root, std::move(settings.value())).start();
    };
    hooks.drain = [&] {
        return process->drain();
    };
    return runProcess("fault-proxy", std::move(hooks));
}
