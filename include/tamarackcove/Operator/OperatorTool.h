#pragma once

#include "tamarackcove/Operator/OperatorCommand.h"

#include <iosfwd>
#include <string>

namespace tamarackcove {

/// Exit codes of tamarackcovectl; ExitUsage (2) is shared by all binaries.
inline constexpr int ExitRefused = 1;
inline constexpr int ExitUnreachable = 3;

/// Parses the command line. Without a command to run, `exitCode` says how the process ends.
std::optional<OperatorCommand> parseOperatorCommand(int argc, const char *const *argv, const std::string &version,
                                                    std::ostream &err, int &exitCode);

/// Carries out one command and returns the exit code.
int runOperatorCommand(const OperatorCommand &command, std::ostream &out, std::ostream &err);

} // namespace tamarackcove
