#include "tamarackcove/Control/ControlProcess.h"
#include "tamarackcove/Observe/LogLine.h"
#include "tamarackcove/Settings/SettingsFile.h"

#include <iostream>
#include <tclap/CmdLine.h>

using namespace tamarackcove;

int main(int argc, char **argv)
{
    std::string settingsPath;
    bool check = false;
    try {
        TCLAP::CmdLine line("control process of tamarackcove: runs a replica of the configuration", ' ',
                            TAMARACKCOVE_VERSION);
        line.setExceptionHandling(false);
        TCLAP::ValueArg<std::string> settingsArg("s", "settings", "settings file", true, "", "FILE", line);
        TCLAP::SwitchArg checkArg("c", "check", "check the settings file and exit", line);
        line.parse(argc, argv);
        settingsPath = settingsArg.getValue();
        check = checkArg.getValue();
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "tamarackcove-control: " << error.error() << ' ' << error.argId() << '\n';
        return ExitUsage;
    } catch (const TCLAP::ExitException &exit) {
        return exit.getExitStatus();
    }
    const auto settings = loadControlSettings(settingsPath);
    if (settings.has_error()) {
        std::cerr << "tamarackcove-control: " << settings.error().detail << '\n';
        return ExitUsage;
    }
    if (check) {
        return 0;
    }
    initLogging("tamarackcove-control", settings.value().logLevel);
    return runControlProcess(settings.value());
}
