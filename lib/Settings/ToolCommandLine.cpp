#include "tamarackcove/Settings/ToolCommandLine.h"

#include "tamarackcove/Settings/SettingsFile.h"

#include <algorithm>
#include <memory>
#include <tclap/CmdLine.h>

namespace tamarackcove {

bool ToolCommandLine::has(std::string_view flag) const
{
    return std::find(flags.begin(), flags.end(), flag) != flags.end();
}

std::string ToolCommandLine::value(std::string_view option) const
{
    const auto found = std::find_if(optionValues.begin(), optionValues.end(),
                                    [option](const auto &entry) { return entry.first == option; });
    return found == optionValues.end() ? std::string() : found->second;
}

std::optional<ToolCommandLine> parseCommandLine(int argc, char **argv, const std::string &description,
                                                const std::string &version, int &exitCode,
                                                const std::vector<ToolOption> &extra)
{
    ToolCommandLine result;
    exitCode = ExitUsage;
    try {
        TCLAP::CmdLine command(description, ' ', version);
        TCLAP::ValueArg<std::string> settings("s", "settings", "JSON settings file", true, "", "FILE", command);
        TCLAP::SwitchArg check("c", "check", "check the settings and exit", command);
        std::vector<std::pair<std::string, std::unique_ptr<TCLAP::SwitchArg>>> switches;
        std::vector<std::pair<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>>> options;
        for (const auto &option : extra) {
            if (option.takesValue) {
                options.emplace_back(option.name,
                                     std::make_unique<TCLAP::ValueArg<std::string>>("", option.name, option.description,
                                                                                    false, "", "VALUE", command));
            } else {
                switches.emplace_back(option.name,
                                      std::make_unique<TCLAP::SwitchArg>("", option.name, option.description, command));
            }
        }
        command.parse(argc, argv);
        result.settingsPath = settings.getValue();
        result.check = check.getValue();
        for (const auto &[name, argument] : switches) {
            if (argument->getValue()) {
                result.flags.push_back(name);
            }
        }
        for (const auto &[name, argument] : options) {
            if (argument->isSet()) {
                result.optionValues.emplace_back(name, argument->getValue());
            }
        }
    } catch (const TCLAP::ArgException &error) {
        (void)std::fprintf(stderr, "%s: %s\n", error.argId().c_str(), error.error().c_str());
        return std::nullopt;
    } catch (const TCLAP::ExitException &exit) {
        exitCode = exit.getExitStatus() == 0 ? 0 : ExitUsage;
        return std::nullopt;
    }
    exitCode = 0;
    return result;
}

} // namespace tamarackcove
