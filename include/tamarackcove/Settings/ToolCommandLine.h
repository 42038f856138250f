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
    /// Whether to check the settings and exit.
    bool check = false;
    /// Names of the extra options without a value that were given.
    std::vector<std::string> flags;
    /// Names and values of the extra options with a value that were given.
    std::vector<std::pair<std::string, std::string>> optionValues;

    [[nodiscard]] bool has(std::string_view flag) const;
    /// The value given for an option, or an empty string.
    [[nodiscard]] std::string value(std::string_view option) const;
};

/// An option of one tool, in addition to the shared ones.
struct ToolOption
{
    std::string name;
    std::string description;
    bool takesValue = false;
};

/// Parses the shared options and those in `extra`. Returns nothing when it has printed the help, the version or an
/// error; the process should then exit with `exitCode`. Thread safe.
[[nodiscard]] std::optional<ToolCommandLine> parseCommandLine(int argc, char **argv, const std::string &description,
                                                              const std::string &version, int &exitCode,
                                                              const std::vector<ToolOption> &extra = {});

} // namespace tamarackcove
