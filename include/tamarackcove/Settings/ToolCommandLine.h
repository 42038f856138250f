#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tamarackcove {

/// The command line that the binaries share: `--settings FILE`, `--check`, `--version` and `--help`.
struct ToolCommandLine
{
    std::string settingsPath;
    /// Only checks the settings.
    bool check = false;
    /// The switches of `extra` that were given.
    std::vector<std::string> flags;
    /// The values of those of `extra` that take one.
    std::vector<std::pair<std::string, std::string>> values;

    [[nodiscard]] bool has(std::string_view flag) const;
    /// The value given for an option, or an empty text.
    [[nodiscard]] std::string value(std::string_view option) const;
};

/// An option beyond the shared ones.
struct ToolOption
{
    std::string name;
    std::string description;
    bool takesValue = false;
};

/// Reads the command line. Prints help, version or the error itself; then it returns the exit code in `exitCode` and
/// nothing else. Thread safe.
[[nodiscard]] std::optional<ToolCommandLine> parseCommandLine(int argc, char **argv, const std::string &description,
                                                              const std::string &version, int &exitCode,
                                                              const std::vector<ToolOption> &extra = {});

} // namespace tamarackcove
