#pragma once

#include "tamarackcove/Operator/OperatorCommand.h"

#include <iosfwd>
#include <string>

namespace tamarackcove {

/// Exit codes of tamarackcovectl; ExitUsage (2) is shared by all binaries.
inline constexpr int ExitRefused = 1;
inline constexpr int ExitUnreachable = 3;

/// Parses the command line. Returns nothing when there is no command to run, for instance after a usage error;
/// `exitCode` is then the exit code of the process.
std::optional<OperatorCommand> parseOperatorCommand(int argc, const char *const *argv, const std::string &version,
                                                    std::ostream &err, int &exitCode);

/// Runs one command, writes its result to `out` and errors to `err`, and returns the exit code. Blocks the thread.
int runOperatorCommand(const OperatorCommand &command, std::ostream &out, std::ostream &err);

} // namespace tamarackcove
