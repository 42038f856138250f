#include "tamarackcove/Engine/EngineProcess.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Settings/ToolCommandLine.h"
#include "tamarackcove/Supervision/ProcessLoop.h"

#include <optional>

using namespace tamarackcove;

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto command
        = parseCommandLine(argc, argv, "simulated engine or plain service", TAMARACKCOVE_VERSION, exitCode);
    if (!command) {
        return exitCode;
    }
    initLogging("tamarackcove-fake-engine", LogLevel::Info);
    auto settings = loadEngineSettings(command->settingsPath);
    if (settings.has_error()) {
        LogLine(LogLevel::Error, "settings_refused").add("reason", settings.error().detail);
        return ExitUsage;
    }
    if (command->check) {
        return 0;
    }
    // Maximum time for which running requests may continue after SIGTERM.
    constexpr seconds DrainTimeout{20};
    std::optional<EngineProcess> process;
    ProcessHooks hooks;
    hooks.start = [&](Supervisor &root) {
        return process.emplace(root, std::move(settings.value())).start();
    };
    hooks.drain = [&] {
        return process->drain(DrainTimeout);
    };
    return runProcess("fake-engine", std::move(hooks));
}
