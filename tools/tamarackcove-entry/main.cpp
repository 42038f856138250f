#include "tamarackcove/Entry/EntryProcess.h"
#include "tamarackcove/Entry/EntrySettings.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"
#include "tamarackcove/Settings/ToolCommandLine.h"

#include <cstdio>
#include <utility>

using namespace tamarackcove;

int main(int argc, char **argv)
{
    int exitCode = 0;
    const auto command = parseCommandLine(argc, argv, "serves callers and dispatches their requests to targets",
                                          TAMARACKCOVE_VERSION, exitCode, {});
    if (!command) {
        return exitCode;
    }
    auto settings = loadEntrySettings(command->settingsPath);
    if (settings.has_error()) {
        (void)std::fprintf(stderr, "tamarackcove-entry: %s\n", settings.error().detail.c_str());
        return ExitUsage;
    }
    if (command->check) {
        return 0;
    }
    initLogging("tamarackcove-entry " + settings.value().name.value(), settings.value().logLevel);
    EntryProcess process(std::move(settings.value()));
    if (const auto listening = process.listen(); listening.has_error()) {
        (void)std::fprintf(stderr, "tamarackcove-entry: %s\n", listening.error().c_str());
        return ExitUsage;
    }
    return process.run();
}
