#include "tamarackcove/Entry/EntryProcess.h"
#include "tamarackcove/Entry/EntrySettings.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <cstdio>
#include <string>
#include <tclap/CmdLine.h>

using namespace tamarackcove;

int main(int argc, char **argv)
{
    std::string path;
    bool checkOnly = false;
    try {
        TCLAP::CmdLine command("Serves callers and dispatches their requests to the targets of its zone", ' ',
                               TAMARACKCOVE_VERSION);
        command.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settingsArg("", "settings", "settings file (JSON)", true, "", "file", command);
        TCLAP::SwitchArg checkArg("", "check", "check the settings and exit", command);
        command.parse(argc, argv);
        path = settingsArg.getValue();
        checkOnly = checkArg.getValue();
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException &error) {
        std::fprintf(stderr, "tamarackcove-entry: %s %s, see --help\n", error.error().c_str(), error.argId().c_str());
        return ExitUsage;
    }
    auto settings = loadEntrySettings(path);
    if (settings.has_error()) {
        std::fprintf(stderr, "tamarackcove-entry: %s\n", settings.error().detail.c_str());
        return ExitUsage;
    }
    if (checkOnly) {
        std::printf("settings are valid\n");
        return 0;
    }
    initLogging("tamarackcove-entry " + settings.value().name.value(), settings.value().logLevel);
    EntryProcess process(std::move(settings.value()));
    if (const auto listening = process.listen(); listening.has_error()) {
        std::fprintf(stderr, "tamarackcove-entry: %s\n", listening.error().c_str());
        return ExitUsage;
    }
    return process.run();
}
